"""Run entry hosts locally, with stand-ins for the store and the backend servers."""

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
from standins.entry_environment import (
    ENGINES,
    KEY,
    SERVICE,
    configuration,
    free_address,
    server_entry,
)
from standins.object_store import ObjectStore
from standins.ports import free_ports
from standins.scripted_server import (
    ReceivedRequest,
    Script,
    ScriptedServer,
    events,
    response,
)
from tools.processes import ROOT, Program, stop_all

ENTRY_MODULE = "masticfork.scripts.masticfork_entry"
ZONES = ("zone-a", "zone-b", "zone-c")
# Events of a stand-in's stream, and the pause between them.
EVENT_COUNT = 8
EVENT_PAUSE_SECONDS = 0.05
# Grace period of the hosts; longer than any stream of the stand-ins.
GRACE_SECONDS = 4
# Time after SIGTERM until a host is killed.
STOP_SECONDS = GRACE_SECONDS + 2.0

SETTINGS = """\
node = "{host}"
role = "entry"
zone = "{zone}"
internal_ports = [{first_port}, {last_port}]
[listen]
front = "{front}"
ready = "{ready}"
[limits]
memory_mb = {limits.memory_mb}
file_descriptors = {limits.file_descriptors}
[bounds]
grace_s = {grace}
evacuate_ms = 5000
[platform]
address = "{store}"
"""


@attrs.frozen
class MachineLimits:
    """What the machine of a host allows its process."""

    memory_mb: int = 256
    file_descriptors: int = 1024


@attrs.frozen
class RunningHost:
    """The process and the addresses of an entry host."""

    program: Program
    front: Address
    ready: Address


@attrs.frozen
class RunningPlatform:
    """The store and the entry hosts of a running platform."""

    store: ObjectStore
    hosts: list[RunningHost]

    def describe(self) -> dict[str, Any]:
        """Return what is needed to send requests by hand, as JSON."""
        return {
            "entries": [str(host.front) for host in self.hosts],
            "ready": [str(host.ready) for host in self.hosts],
            "host_header": "a.example",
            "key": KEY,
            "paths": ["/safe/x", "/unsafe/x", "/streaming/x"],
        }


def _plain_script(request: ReceivedRequest) -> Iterator[bytes]:
    yield response(request, b"done " + request.target.encode())


def _engine_script(request: ReceivedRequest) -> Iterator[bytes]:
    small = request.headers.get("x-masticfork-model") == "small"
    # Every fourth answer of the small model has low confidence.
    low_confidence = small and sum(request.attempt_id.encode()) % 4 == 0
    yield from events(
        request,
        EVENT_COUNT,
        EVENT_PAUSE_SECONDS,
        confidence=10 if low_confidence else 90,
    )


def start_host(
    number: int,
    store: Address,
    folder: Path,
    source: Path = ROOT,
    limits: MachineLimits = MachineLimits(),
) -> RunningHost:
    """Start one entry host; write its settings and its log to `folder`.

    `source` is the folder of the build that it runs.
    """
    front, ready, host = free_address(), free_address(), f"host-{number}"
    first_port, last_port = sorted(free_ports(2))
    path = folder / f"{host}.toml"
    path.write_text(
        SETTINGS.format(
            host=host,
            zone=ZONES[number % len(ZONES)],
            first_port=first_port,
            last_port=last_port,
            front=front,
            ready=ready,
            grace=GRACE_SECONDS,
            limits=limits,
            store=store,
        )
    )
    arguments = [ENTRY_MODULE, "--settings", str(path)]
    program = Program(host, arguments, folder, source)
    program.start()
    return RunningHost(program, front, ready)


@contextmanager
def running_platform(
    hosts: int,
    limits: MachineLimits = MachineLimits(),
    engine_script: Script | None = None,
) -> Iterator[RunningPlatform]:
    """Run a store, backend servers and entry hosts until the context exits.

    `engine_script` takes the place of the usual answers of the engines.
    """
    store = ObjectStore()
    store.put("config", "main", configuration(1))
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        address = Address(LOOPBACK, stack.enter_context(serving(store)).port)
        engine = engine_script or _engine_script
        scripts = [(_plain_script, SERVICE)] * 3 + [(engine, ENGINES)] * 3
        for number, (script, service) in enumerate(scripts):
            server = ScriptedServer(script)
            stack.callback(server.close)
            zone = ZONES[number % len(ZONES)]
            entry = server_entry(server, service, zone=zone)
            store.put("servers", f"i-{number}", entry)
        started = [
            start_host(number, address, folder, limits=limits)
            for number in range(hosts)
        ]
        try:
            yield RunningPlatform(store, started)
        finally:
            stop_all([host.program for host in started], STOP_SECONDS)


@click.command()
@click.option("--hosts", default=3, help="Number of entry hosts.")
def main(hosts: int) -> None:
    """Run until SIGINT or SIGTERM; print the addresses as one line of JSON."""
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    with running_platform(hosts) as platform:
        print(json.dumps(platform.describe()), flush=True)
        stopped.wait()
    sys.exit(0)


if __name__ == "__main__":
    main()
