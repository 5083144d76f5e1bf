"""Start the whole path of the users' platform on this machine, with stand-ins."""

import json
import signal
import sys
import tempfile
import threading
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import attrs
import click

from masticfork.core.backend_servers import Address
from standins.common import LOOPBACK, serving
from standins.entry_world import (
    ENGINES,
    KEY,
    SERVICE,
    configuration,
    free_address,
    server_entry,
)
from standins.object_store import ObjectStore
from standins.scripted_server import Asked, ScriptedServer, answer, events
from tools.processes import Program, end_all

ENTRY_MODULE = "masticfork.scripts.masticfork_entry"
ZONES = ("zone-a", "zone-b", "zone-c")
# Events of a stand-in's stream, and the pause between them in seconds.
EVENTS = 8
EVENT_PAUSE = 0.05
# The hosts' grace period in seconds, long enough for every stream of the stand-ins.
GRACE_SECONDS = 4
# Seconds until a host is killed that was told to stop.
STOP_SECONDS = GRACE_SECONDS + 2.0

SETTINGS = """\
node = "{host}"
role = "entry"
zone = "{zone}"
internal_ports = [{peer}, {peer}]
[listen]
front = "{front}"
ready = "{ready}"
[limits]
memory_mb = 256
file_descriptors = 1024
[bounds]
grace_s = {grace}
[platform]
address = "{store}"
"""


@attrs.frozen
class RunningHost:
    """One entry host as a process."""

    program: Program
    front: Address
    ready: Address


@attrs.frozen
class RunningPlatform:
    """Everything that runs."""

    store: ObjectStore
    hosts: list[RunningHost]

    def describe(self) -> dict[str, Any]:
        """Return what a person needs to send requests."""
        return {
            "entries": [str(host.front) for host in self.hosts],
            "ready": [str(host.ready) for host in self.hosts],
            "host_header": "a.example",
            "key": KEY,
            "paths": ["/safe/x", "/unsafe/x", "/streaming/x"],
        }


def _plain(asked: Asked) -> Iterator[bytes]:
    yield answer(asked, b"done " + asked.target.encode())


def _engine(asked: Asked) -> Iterator[bytes]:
    small = asked.headers.get("x-masticfork-model") == "small"
    # Every fourth answer of the small model is one that it is not sure of.
    unsure = small and sum(asked.attempt_id.encode()) % 4 == 0
    yield from events(asked, EVENTS, EVENT_PAUSE, confidence=10 if unsure else 90)


def start_host(number: int, store: Address, folder: Path) -> RunningHost:
    """Start one host; its settings and its log are in the folder."""
    front, ready, host = free_address(), free_address(), f"host-{number}"
    path = folder / f"{host}.toml"
    path.write_text(
        SETTINGS.format(
            host=host,
            zone=ZONES[number % len(ZONES)],
            peer=free_address().port,
            front=front,
            ready=ready,
            grace=GRACE_SECONDS,
            store=store,
        )
    )
    program = Program(host, [ENTRY_MODULE, "--settings", str(path)], folder)
    program.start()
    return RunningHost(program, front, ready)


@contextmanager
def running(hosts: int) -> Iterator[RunningPlatform]:
    """Run a store, servers and entry hosts until the end of the context."""
    store = ObjectStore()
    store.put("config", "main", configuration(1))
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        address = Address(LOOPBACK, stack.enter_context(serving(store)).port)
        scripts = [(_plain, SERVICE)] * 3 + [(_engine, ENGINES)] * 3
        for number, (script, service) in enumerate(scripts):
            server = ScriptedServer(script)
            stack.callback(server.close)
            zone = ZONES[number % len(ZONES)]
            entry = server_entry(server, service, zone=zone)
            store.put("servers", f"i-{number}", entry)
        started = [start_host(number, address, folder) for number in range(hosts)]
        try:
            yield RunningPlatform(store, started)
        finally:
            end_all([host.program for host in started], STOP_SECONDS)


@click.command()
@click.option("--hosts", default=3, help="Entry hosts to start.")
def main(hosts: int) -> None:
    """Run until interrupted; print one line of JSON that tells where."""
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    with running(hosts) as platform:
        print(json.dumps(platform.describe()), flush=True)
        stopped.wait()
    sys.exit(0)


if __name__ == "__main__":
    main()
