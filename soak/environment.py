"""The environment of a soak: processes, servers and proxies, with fault injection."""

import json
import queue
import random
import signal
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import attrs

from masticfork.core.backend_servers import Address
from masticfork.core.findings import Finding, SourceLocation
from soak.callers import Caller, SharedState, Target
from soak.records import (
    HOST_PROCESS_KINDS,
    SERVER_KINDS,
    STORE_CONNECTION_KINDS,
    Fault,
    FaultInterval,
    FaultKind,
    History,
    RequestKind,
    Run,
)
from soak.servers import (
    COLD_RATE,
    COLD_SECONDS,
    EVACUATED_ZONE,
    SoakServer,
    server_zone,
)
from standins.common import LOOPBACK, serving
from standins.entry_environment import (
    ENGINES,
    SERVICE,
    configuration,
    route,
    server_entry,
)
from standins.fault_proxy import FaultProxy
from standins.object_store import ObjectStore
from standins.scripted_server import ScriptedServer
from tools.processes import ROOT, Program, stop_all
from tools.run_platform import GRACE_SECONDS, start_host

# Time within which a host must exit after SIGTERM.
STOP_SECONDS = GRACE_SECONDS + 1.0
# Time after a start during which SIGHUP kills the process, because the interpreter
# has not reached the program's first line (seed 4).
INTERPRETER_START_SECONDS = 0.3
# Delay of each chunk by a proxy.
PROXY_DELAY_SECONDS = 0.15
# Consecutive answers that the store loses.
LOST_ANSWER_COUNT = 3
# Added latency of a slow store.
STORE_DELAY_SECONDS = 0.5
# Time from announcing a server as draining to its removal, as specified.
DRAIN_SECONDS = 2.0
# Time for which a crashed server is away.
CRASH_SECONDS = 0.8
# Required recovery time of the system: all hosts serve all routes again within this
# time after the last fault.
RECOVERY_SECONDS = 12.0
# Interval of the main loop, and the extra delay of one that counts as a stall.
POLL_SECONDS, STALL_SECONDS = 0.02, 0.15
# Limit on the peak resident memory of a host process.
MAX_MEMORY_KB = 256 * 1024


@attrs.define
class _Host:
    """One entry host: its process, and the proxy to the store."""

    program: Program
    target: Target
    store_proxy: FaultProxy
    started_at: float
    # When to restart the process; None while it is meant to be running.
    restart_at: float | None = None
    # When a stopping process must have exited.
    stop_deadline: float | None = None


@attrs.define
class _Server:
    """One backend server behind its proxy; `starts` counts its instances."""

    script: SoakServer
    scripted: ScriptedServer
    proxy: FaultProxy
    service: str
    starts: int = 0
    # Whether it has crashed and refuses connections.
    down: bool = False


class SoakEnvironment:
    """Runs the processes, injects faults and records what happens."""

    def __init__(
        self,
        folder: Path,
        store: ObjectStore,
        port: int,
        seed: int,
        source: Path = ROOT,
    ) -> None:
        self._folder = folder
        self._source = source
        self._store = store
        self._store_address = Address(LOOPBACK, port)
        self._seed = seed
        self._hosts: list[_Host] = []
        self._servers: list[_Server] = []
        self._runs: list[Run] = []
        self._fault_intervals: list[FaultInterval] = []
        self._stalls: list[tuple[float, float]] = []
        self._config_written_at: dict[int, float] = {}
        self._findings: list[Finding] = []
        self._scheduled: list[tuple[float, Callable[[], None]]] = []
        # Servers that a deadly request has crashed, from the threads that serve it.
        self._crashed: queue.SimpleQueue[int] = queue.SimpleQueue()
        # When cold servers are warm, by index.
        self._cold_until: dict[int, float] = {}
        self._checks = 0
        self.shared = SharedState([])

    @property
    def history(self) -> History:
        """Return a snapshot of everything observed so far."""
        return History(
            list(self.shared.attempts),
            list(self._runs),
            list(self._fault_intervals),
            list(self._stalls),
            dict(self._config_written_at),
            {n: list(item.script.arrivals) for n, item in enumerate(self._servers)},
            sorted(at for item in self._servers for at in item.script.crashes),
        )

    @property
    def findings(self) -> list[Finding]:
        """Return the findings about the processes and their logs."""
        return self._findings + [
            finding for host in self._hosts for finding in _check_log(host.program)
        ]

    # Startup and shutdown.

    def start(self, hosts: int, servers: int) -> None:
        """Write the first configuration and start the servers and hosts."""
        self._write_configuration(1)
        for index in range(servers):
            self._add_server(index, SERVICE if index % 2 == 0 else ENGINES)
        for index in range(hosts):
            self._add_host(index)

    def end(self) -> None:
        """Stop the callers and all processes, servers and proxies."""
        self.shared.stopped.set()
        killed = stop_all([host.program for host in self._hosts], STOP_SECONDS)
        for name in killed:
            self._report("slow_stop", name, f"ran {STOP_SECONDS} s after SIGTERM")
        for server in self._servers:
            server.proxy.close()
            server.scripted.close()
        for host in self._hosts:
            host.store_proxy.close()

    def _add_server(self, index: int, service: str) -> None:
        script = SoakServer(
            index,
            self._runs,
            random.Random(f"{self._seed}/{index}"),
            lambda: self._on_crash(index),
        )
        answers = script.plain if service == SERVICE else script.stream
        scripted = ScriptedServer(answers)
        host, _, port = scripted.address.rpartition(":")
        proxy = FaultProxy(Address(host, int(port)))
        self._servers.append(_Server(script, scripted, proxy, service))
        self._write_entry(self._servers[-1])

    def _write_entry(self, server: _Server, state: str = "ready") -> None:
        """Write a server's entry to the store; a ready one gets a new identifier.

        The entry of the instance before, which a crash may have left, is removed.
        """
        if state == "ready":
            self._store.remove("servers", server.script.id)
            server.starts += 1
            server.script.id = f"i-{server.script.index}-{server.starts}"
        self._write_state(server, state)

    def _write_state(self, server: _Server, state: str) -> None:
        """Write the entry of a server's present instance."""
        index = server.script.index
        cold = max(0.0, self._cold_until.get(index, 0.0) - time.monotonic())
        entry = server_entry(
            server.scripted,
            server.service,
            state=state,
            zone=server_zone(index),
            cold_remaining_ms=round(cold * 1000),
        )
        entry["address"] = str(server.proxy.address)
        self._store.put("servers", server.script.id, entry)

    def _add_host(self, index: int) -> None:
        proxy = FaultProxy(self._store_address)
        started_at = time.monotonic()
        started = start_host(index, proxy.address, self._folder, self._source)
        target = Target(index, started.front)
        self.shared.targets.append(target)
        self._hosts.append(_Host(started.program, target, proxy, started_at))

    def use_build(self, source: Path) -> None:
        """Let each host run another build from its next start on."""
        for host in self._hosts:
            host.program.source = source

    # Main loop.

    def run(self, faults: list[Fault], seconds: float) -> None:
        """Inject the faults on schedule and supervise the processes.

        Returns after `seconds`, once every fault has been reverted.
        """
        started_at = time.monotonic()
        pending = list(faults)
        while (
            time.monotonic() - started_at < seconds
            or self._scheduled
            or not self._crashed.empty()
        ):
            now = time.monotonic()
            while pending and pending[0].at <= now - started_at:
                self._inject(pending.pop(0), now)
            while not self._crashed.empty():
                self._restart_crashed(self._crashed.get())
            due = [entry for entry in self._scheduled if entry[0] <= now]
            self._scheduled = [entry for entry in self._scheduled if entry[0] > now]
            for _, revert in due:
                revert()
            for host in self._hosts:
                self._supervise(host, now)
            self._sleep()

    def wait_for_recovery(self) -> None:
        """Wait until all hosts serve all routes; report those that do not in time."""
        until = time.monotonic() + RECOVERY_SECONDS
        for host in self._hosts:
            while not self._serves_all_kinds(host):
                if time.monotonic() > until:
                    message = f"unrecovered {RECOVERY_SECONDS} s after the last fault"
                    self._report("recover", host.program.name, message)
                    break
                self._supervise(host, time.monotonic())
                self._sleep()

    def _sleep(self) -> None:
        before = time.monotonic()
        time.sleep(POLL_SECONDS)
        after = time.monotonic()
        if after - before > POLL_SECONDS + STALL_SECONDS:
            self._stalls.append((before, after))

    def _serves_all_kinds(self, host: _Host) -> bool:
        self._checks += 1
        caller = Caller(f"check-{self._checks}", "", self.shared)
        for kind in RequestKind:
            if not caller.connect_to(host.target):
                return False
            attempt = caller.send_request(kind, newest=True)
            self.shared.attempts.append(attempt)
            if attempt.status != 200 or not attempt.complete:
                return False
        return True

    def _supervise(self, host: _Host, now: float) -> None:
        """Restart an exited process when it is due; report unexpected states."""
        name = host.program.name
        if host.program.alive:
            if host.stop_deadline is not None and now > host.stop_deadline:
                self._report("slow_stop", name, f"ran {STOP_SECONDS} s after SIGTERM")
                host.program.kill()
            self._check_memory(host)
            return
        if host.restart_at is None:
            self._report(
                "ended", name, f"exited unexpectedly with code {host.program.exit_code}"
            )
            host.restart_at = now
        if now >= host.restart_at:
            host.restart_at = host.stop_deadline = None
            host.target.restarts += 1
            host.started_at = now
            host.program.start()

    def _check_memory(self, host: _Host) -> None:
        status = Path(f"/proc/{host.program.pid}/status")
        try:
            lines = status.read_text().splitlines()
        except OSError:
            # The process has just exited; the next check notices it.
            return
        peak = [int(line.split()[1]) for line in lines if line.startswith("VmHWM")]
        if peak and peak[0] > MAX_MEMORY_KB:
            self._report(
                "memory",
                host.program.name,
                f"peak memory of {peak[0]} KB exceeds {MAX_MEMORY_KB} KB",
            )

    def _report(self, code: str, subject: str, message: str) -> None:
        self._findings.append(Finding(f"soak.{code}", SourceLocation(subject), message))

    # Faults.

    def _inject(self, fault: Fault, now: float) -> None:
        """Start a fault and schedule its end."""
        duration = fault.until - fault.at
        revert = self._start_fault(fault, now + duration)

        def end() -> None:
            revert()
            self._fault_intervals.append(
                FaultInterval(
                    fault.kind, fault.target, now, time.monotonic() + POLL_SECONDS
                )
            )

        self._scheduled.append((now + duration, end))

    def _start_fault(self, fault: Fault, until: float) -> Callable[[], None]:
        if fault.kind in HOST_PROCESS_KINDS:
            return self._inject_host_fault(fault.kind, self._hosts[fault.target], until)
        if fault.kind in STORE_CONNECTION_KINDS:
            proxy = self._hosts[fault.target].store_proxy
            return _inject_connection_fault(fault.kind, proxy)
        if fault.kind is FaultKind.SERVER_REPLACED:
            return self._replace_server(self._servers[fault.target], until)
        if fault.kind is FaultKind.SERVER_COLD:
            return self._cool_server(self._servers[fault.target], until)
        if fault.kind is FaultKind.ZONE_EVACUATED:
            self._store.put("evacuations", EVACUATED_ZONE, {})
            return lambda: self._store.remove("evacuations", EVACUATED_ZONE)
        if fault.kind is FaultKind.SERVER_LIMITED:
            return self._limit_server(self._servers[fault.target])
        if fault.kind in SERVER_KINDS:
            return _inject_connection_fault(
                fault.kind, self._servers[fault.target].proxy
            )
        if fault.kind is FaultKind.CONFIGURATION_CHANGED:
            self._write_configuration(self.shared.version + 1)
            return _no_revert
        return self._inject_store_fault(fault.kind)

    def _inject_host_fault(
        self, kind: FaultKind, host: _Host, until: float
    ) -> Callable[[], None]:
        program = host.program
        if not program.alive:
            return _no_revert
        if kind is FaultKind.HOST_PAUSED:
            program.signal(signal.SIGSTOP)
            return lambda: program.signal(signal.SIGCONT)
        if kind is FaultKind.HOST_RELOADED:
            if time.monotonic() - host.started_at > INTERPRETER_START_SECONDS:
                program.signal(signal.SIGHUP)
            return _no_revert
        host.restart_at = until
        if kind is FaultKind.HOST_KILLED:
            program.kill()
        else:
            program.signal(signal.SIGTERM)
            host.stop_deadline = time.monotonic() + STOP_SECONDS
        return _no_revert

    def _inject_store_fault(self, kind: FaultKind) -> Callable[[], None]:
        faults = self._store.faults
        if kind is FaultKind.STORE_HISTORY_LOST:
            self._store.compact()
            return _no_revert
        if kind is FaultKind.STORE_ANSWERS_LOST:
            faults.set({"lose_answers": LOST_ANSWER_COUNT})
            return _no_revert
        name, value = (
            ("down", True)
            if kind is FaultKind.STORE_DOWN
            else ("silent_seconds", STORE_DELAY_SECONDS)
        )
        faults.set({name: value})

        def end() -> None:
            faults.set({name: None})

        return end

    def _on_crash(self, index: int) -> None:
        """Make a server refuse all connections; the main loop does the rest."""
        self._servers[index].proxy.refuse()
        self._crashed.put(index)

    def _restart_crashed(self, index: int) -> None:
        """Let a crashed server return as a new instance."""
        server, now = self._servers[index], time.monotonic()
        if server.down:
            return
        server.down = True
        self._store.remove("servers", server.script.id)

        def return_to_service() -> None:
            server.down = False
            server.proxy.accept_again()
            self._write_entry(server)

        returns_at = now + CRASH_SECONDS
        self._scheduled.append((returns_at, return_to_service))
        self._fault_intervals.append(
            FaultInterval(FaultKind.SERVER_CONNECTIONS_RESET, index, now, returns_at)
        )

    def _cool_server(self, server: _Server, until: float) -> Callable[[], None]:
        """Let a server announce that it is cold until the end of the fault."""
        self._cold_until[server.script.index] = until
        self._write_state(server, "ready")
        return _no_revert

    def _limit_server(self, server: _Server) -> Callable[[], None]:
        server.script.limited = True

        def end() -> None:
            server.script.limited = False

        return end

    def _replace_server(self, server: _Server, until: float) -> Callable[[], None]:
        """Drain and remove a server; let it return later as a new instance."""
        old_id = server.script.id
        self._write_entry(server, "draining")
        removed_at = time.monotonic() + DRAIN_SECONDS
        self._scheduled.append(
            (removed_at, lambda: self._store.remove("servers", old_id))
        )
        return_at = max(until, removed_at + POLL_SECONDS)
        self._scheduled.append((return_at, lambda: self._write_entry(server)))
        return _no_revert

    def _write_configuration(self, version: int) -> None:
        """Write a configuration version with an EXTRA route that only it has."""
        routes = [route(kind) for kind in ("safe", "unsafe", "streaming")]
        extra = route("safe", name="extra", path_prefix=f"/extra-{version}/")
        self._config_written_at[version] = time.monotonic()
        spec = configuration(version, *routes, extra)
        for service in spec["services"]:
            service.update(cold_per_s=COLD_RATE, cold_start_s=COLD_SECONDS)
        self._store.put("config", "main", spec)
        self.shared.version = version


def _inject_connection_fault(kind: FaultKind, proxy: FaultProxy) -> Callable[[], None]:
    if kind in (FaultKind.SERVER_CONNECTIONS_RESET, FaultKind.STORE_CONNECTIONS_RESET):
        proxy.reset()
        return _no_revert
    if kind is FaultKind.SERVER_TRAFFIC_DELAYED:
        proxy.delay(PROXY_DELAY_SECONDS)
        return lambda: proxy.delay(0.0)
    proxy.hold(
        to_server=kind is not FaultKind.SERVER_ANSWERS_HELD,
        from_server=kind is not FaultKind.SERVER_REQUESTS_HELD,
    )
    return lambda: proxy.hold(to_server=False, from_server=False)


def _no_revert() -> None:
    """Do nothing: the fault needs no reverting."""


def _check_log(program: Program) -> Iterator[Finding]:
    """Yield a finding for each log line that is not JSON or is an internal error."""
    for number, line in enumerate(program.log.splitlines(), start=1):
        place = SourceLocation(f"{program.name}.log", line=number)
        try:
            message = json.loads(line).get("message")
        except (ValueError, AttributeError):
            yield Finding("soak.log", place, line[:200])
            continue
        if message == "internal error":
            yield Finding("soak.internal_error", place, line[:400])


@contextmanager
def soak_environment(
    folder: Path, seed: int, hosts: int, servers: int, source: Path = ROOT
) -> Iterator[SoakEnvironment]:
    """Run the processes of a soak until the context exits.

    `source` is the folder of the build that the hosts run.
    """
    store = ObjectStore()
    with ExitStack() as stack:
        store_server = stack.enter_context(serving(store))
        environment = SoakEnvironment(folder, store, store_server.port, seed, source)
        stack.callback(environment.end)
        environment.start(hosts, servers)
        yield environment


def start_callers(
    environment: SoakEnvironment, count: int, seed: int
) -> list[threading.Thread]:
    """Start each caller on its own daemon thread; return the threads."""
    names = [(f"c{n}", f"{seed}/{n}") for n in range(1, count + 1)]
    callers = [
        Caller(name, caller_seed, environment.shared) for name, caller_seed in names
    ]
    threads = [threading.Thread(target=caller.run, daemon=True) for caller in callers]
    for thread in threads:
        thread.start()
    return threads
