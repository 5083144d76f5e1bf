"""Run a local cluster: entry hosts and the stand-ins that they depend on."""

import json
import signal
import tempfile
import threading
import time
import uuid
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path
from typing import Any

import attrs
import click

from standins.ports import free_ports
from standins.testing import HttpClient
from tools.launch_files import (
    CURRENT_VERSIONS,
    LOOPBACK,
    POOLS,
    SERVICE,
    ZONES,
    EntryHost,
    Secrets,
    Server,
    manifest_object,
    merge_settings,
    settings_object,
)
from tools.launch_options import Json, Options, engine_backends, service_backends
from tools.processes import Program, StartError, stop_all

START_SECONDS = 30.0
# Longer than the daemons' own limit for a graceful shutdown.
STOP_SECONDS = 10.0
POLL_SECONDS = 0.05
# Mean rating of each version, as the rating stand-in's --quality option takes it.
QUALITY_ARGUMENT = ",".join(
    f"{v}={q}" for pool in POOLS.values() for v, q in pool.items()
)


class Cluster:
    """The programs of a local cluster, with their addresses and keys."""

    def __init__(self, options: Options, folder: Path) -> None:
        self.options = options
        self.secrets = Secrets.generate()
        self.servers: list[Server] = []
        self.entry_hosts: list[EntryHost] = []
        # Base URLs of the stand-ins by name.
        self.standins: dict[str, str] = {}
        self.manifest: Json = {}
        self._folder = folder
        self._programs: dict[str, Program] = {}

    @property
    def entry_urls(self) -> list[str]:
        """Return the base URLs for callers, in the order of the hosts."""
        return [_url(entry_host.entry_port) for entry_host in self.entry_hosts]

    @property
    def admin_urls(self) -> list[str]:
        """Return the base URLs for administrators, in the order of the hosts."""
        return [_url(entry_host.admin_port) for entry_host in self.entry_hosts]

    @property
    def hosts(self) -> list[str]:
        """Return the names of the entry hosts."""
        return [entry_host.name for entry_host in self.entry_hosts]

    @property
    def pids(self) -> dict[str, int]:
        """Return the process ids of the running programs by name."""
        return {name: p.pid for name, p in self._programs.items() if p.alive}

    @property
    def summary(self) -> Json:
        """Return the addresses, keys and names that a client needs, as JSON."""
        return {
            "entries": self.entry_urls,
            "admin": self.admin_urls[0] if self.admin_urls else None,
            "team_keys": self.secrets.team_keys,
            "admin_key": self.secrets.admin_key,
            "services": [SERVICE],
            "models": list(CURRENT_VERSIONS),
            "standins": self.standins,
        }

    def client(self, name: str) -> HttpClient:
        """Return a client of a stand-in."""
        return HttpClient(_port(self.standins[name]))

    def log(self, name: str) -> str:
        """Return the log of a program."""
        return self._programs[name].log

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a program if it is running."""
        self._programs[name].signal(signum)

    def kill(self, name: str) -> None:
        """Kill a program with SIGKILL."""
        self._programs[name].kill()

    def stop(self, name: str, seconds: float = STOP_SECONDS) -> bool:
        """Stop a program gracefully; return whether it exited before it was killed."""
        return self._programs[name].stop(seconds)

    def restart(self, host: str, *, wait: bool = True) -> None:
        """Restart an entry host; start it if it is not running."""
        self.stop(host)
        self._programs[host].start()
        if wait:
            self.wait_ready(host)

    def wait_ready(self, host: str, seconds: float = START_SECONDS) -> None:
        """Wait until an entry host is ready; raise StartError if it is not in time."""
        entry_host = next(
            entry_host for entry_host in self.entry_hosts if entry_host.name == host
        )
        ask, program = HttpClient(entry_host.entry_port), self._programs[host]
        until = time.monotonic() + seconds
        while time.monotonic() < until and program.alive:
            with suppress(OSError):
                if ask("GET", "/readyz")[0] == 200:
                    return
            time.sleep(POLL_SECONDS)
        raise program.start_error(f"was not ready within {seconds} s")

    def submit(self, manifest: Json, seconds: float = START_SECONDS) -> Json:
        """Submit a manifest to any host; raise StartError if none accepts it."""
        headers = {
            "Authorization": f"Bearer {self.secrets.admin_key}",
            "Submission-Id": uuid.uuid4().hex,
        }
        until = time.monotonic() + seconds
        answer: Any = "no host answered"
        while time.monotonic() < until:
            for entry_host in self.entry_hosts:
                with suppress(OSError):
                    ask = HttpClient(entry_host.admin_port)
                    path = "/admin/v1/submissions"
                    status, answer = ask("POST", path, manifest, headers)
                    if status == 200:
                        return dict(answer)
            time.sleep(POLL_SECONDS)
        raise StartError(f"no host accepted the manifest: {answer}")

    def start_standins(self) -> None:
        """Start all stand-ins, read their ports and add them to the host list."""
        for name in ("platform", "host-list", "rating", "weight-store"):
            self._start_standin(name, name.replace("-", "_"), [])
        self._read_ports("rating", "weight-store", "platform", "host-list")
        backends = [*engine_backends(self.options), *service_backends(self.options)]
        for server, program, arguments in backends:
            self._start_standin(server.name, program, arguments)
        self._read_ports(*(server.name for server, _, _ in backends))
        for server, program, _ in backends:
            port = _port(self.standins[server.name])
            started = attrs.evolve(server, port=port)
            self.servers.append(started)
            kind = "engine" if program == "engine" else "service"
            self._register(started.name, f"{LOOPBACK}:{port}", started.zone, kind)

    def start_hosts(self) -> None:
        """Start the entry hosts, submit the manifest and wait until all are ready."""
        ports = free_ports(3 * self.options.hosts)
        for number in range(self.options.hosts):
            zone = ZONES[number % len(ZONES)]
            host_ports = ports[3 * number : 3 * number + 3]
            self.entry_hosts.append(EntryHost(f"entry-{number + 1}", zone, *host_ports))
        for entry_host in self.entry_hosts:
            self._start_host(entry_host)
        for entry_host in self.entry_hosts:
            self._register(
                entry_host.name, entry_host.peer_address, entry_host.zone, "entry"
            )
        default = manifest_object(self.secrets, self.servers)
        self.manifest = self.options.change_manifest(default)
        if self.entry_hosts:
            self.submit(self.manifest)
        for name in self.hosts:
            self.wait_ready(name)

    def close(self) -> list[str]:
        """Stop all programs, hosts first; return the names of those killed."""
        hosts = [self._programs[name] for name in self.hosts if name in self._programs]
        others = [p for p in self._programs.values() if p not in hosts]
        return stop_all(hosts, STOP_SECONDS) + stop_all(others, STOP_SECONDS)

    def _start_standin(self, name: str, program: str, arguments: list[str]) -> None:
        quality = ["--quality", QUALITY_ARGUMENT] if program == "rating" else []
        configured = [self.options.arguments.get(key, []) for key in {program, name}]
        extra = [part for parts in configured for part in parts]
        if program == "engine":
            extra += ["--weight-store", self.standins["weight-store"]]
        command = [f"standins.{program}", "--port", "0", *quality, *arguments, *extra]
        self._programs[name] = Program(name, command, self._folder)
        self._programs[name].start(reports_ready=True)

    def _read_ports(self, *names: str) -> None:
        for name in names:
            ready_line = self._programs[name].read_ready_line(START_SECONDS)
            self.standins[name] = _url(ready_line["port"])

    def _start_host(self, entry_host: EntryHost) -> None:
        default = settings_object(
            entry_host, self.entry_hosts, self.standins, self.secrets
        )
        settings = merge_settings(default, self.options.settings)
        path = self._folder / f"{entry_host.name}.jsonc"
        path.write_text(json.dumps(settings, indent=2))
        command = ["masticfork.scripts.masticforkd", "--settings", str(path)]
        self._programs[entry_host.name] = Program(
            entry_host.name, command, self._folder
        )
        self._programs[entry_host.name].start()

    def _register(self, name: str, address: str, zone: str, kind: str) -> None:
        host = {"name": name, "address": address, "zone": zone, "kind": kind}
        self.client("host-list")("PUT", f"/hosts/{name}", host | {"state": "live"})


@contextmanager
def start(options: Options | None = None) -> Iterator[Cluster]:
    """Run a cluster until the context exits."""
    with ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="masticfork-"))
        cluster = Cluster(options or Options(), Path(folder))
        stack.callback(cluster.close)
        cluster.start_standins()
        cluster.start_hosts()
        yield cluster


def _url(port: int) -> str:
    return f"http://{LOOPBACK}:{port}"


def _port(url: str) -> int:
    return int(url.rsplit(":", 1)[1])


@click.command()
@click.option("--hosts", type=int, default=4)
@click.option("--engines-per-pool", type=int, default=3)
@click.option("--slots", type=int, default=16)
@click.option("--tokens", type=int, default=64)
@click.option("--token-seconds", type=float, default=0.057)
def main(**options: Any) -> None:
    """Run a cluster in the foreground until SIGINT or SIGTERM."""
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    try:
        with start(Options(**options)) as cluster:
            print(json.dumps(cluster.summary), flush=True)
            stopped.wait()
    except StartError as error:
        raise click.ClickException(str(error)) from error


if __name__ == "__main__":
    main()
