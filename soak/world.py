"""The processes, servers and links of a soak, and the faults done to them."""

import json
import random
import signal
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import attrs

from masticfork.core.backend_servers import Address
from masticfork.core.findings import Finding, Place
from soak.callers import Caller, Shared, Target
from soak.links import Link
from soak.records import (
    PROCESS_KINDS,
    SERVER_KINDS,
    STORE_LINK_KINDS,
    Fault,
    FaultKind,
    History,
    RequestKind,
    Run,
    Span,
)
from soak.servers import SoakServer
from standins.common import LOOPBACK, serving
from standins.entry_world import (
    ENGINES,
    SERVICE,
    configuration,
    route,
    server_entry,
)
from standins.object_store import ObjectStore
from standins.scripted_server import ScriptedServer
from tools.processes import Program, end_all
from tools.run_platform import GRACE_SECONDS, start_host

# Seconds within which a host that was told to stop has ended.
STOP_SECONDS = GRACE_SECONDS + 1.0
# Seconds in which SIGHUP ends a process, because the interpreter has not come to the
# program's first line (seed 4).
INTERPRETER_START = 0.3
# Seconds for which a delayed link holds each piece.
DELAY = 0.15
# Answers that the store loses, one after the other.
LOST_ANSWERS = 3
# Seconds by which a slow store is late.
SLOW_SECONDS = 0.5
# Seconds from the word that a server leaves until it is gone, by the rules.
DRAIN_SECONDS = 2.0
# Seconds after the last fault within which all hosts serve everything again: the time
# that the rules give a whole system for its recovery.
RECOVERY_SECONDS = 12.0
# Pause in seconds between two looks at the clock, and the delay that counts as a stall.
STALL_PAUSE, STALL = 0.02, 0.15
MEMORY_KB = 256 * 1024


@attrs.define
class _Host:
    """One entry host: its process, and its link to the store."""

    program: Program
    target: Target
    store_link: Link
    started_at: float
    # When the process may be started again, None while it is not to be.
    start_at: float | None = None
    # The time by which a stopping process has to have ended.
    stops_by: float | None = None


@attrs.define
class _Server:
    """One backend server behind its link."""

    script: SoakServer
    scripted: ScriptedServer
    link: Link
    service: str
    starts: int = 0


class SoakWorld:
    """Runs the processes, does faults to them and gathers what is seen."""

    def __init__(self, folder: Path, store: ObjectStore, port: int, seed: int) -> None:
        self._folder = folder
        self._store = store
        self._store_address = Address(LOOPBACK, port)
        self._seed = seed
        self._hosts: list[_Host] = []
        self._servers: list[_Server] = []
        self._runs: list[Run] = []
        self._spans: list[Span] = []
        self._stalls: list[tuple[float, float]] = []
        self._configured: dict[int, float] = {}
        self._findings: list[Finding] = []
        self._later: list[tuple[float, Callable[[], None]]] = []
        self._checks = 0
        self.shared = Shared([])

    @property
    def history(self) -> History:
        """Return what was seen so far."""
        return History(
            list(self.shared.attempts),
            list(self._runs),
            list(self._spans),
            list(self._stalls),
            dict(self._configured),
        )

    @property
    def findings(self) -> list[Finding]:
        """Return what is wrong with the processes themselves."""
        return self._findings + [
            found for host in self._hosts for found in _judge_log(host.program)
        ]

    # Starting and ending.

    def start(self, hosts: int, servers: int) -> None:
        """Start servers and hosts."""
        self._configure(1)
        for index in range(servers):
            self._add_server(index, SERVICE if index % 2 == 0 else ENGINES)
        for index in range(hosts):
            self._add_host(index)

    def end(self) -> None:
        """End all processes and links."""
        self.shared.stopped.set()
        killed = end_all([host.program for host in self._hosts], STOP_SECONDS)
        for name in killed:
            self._report("slow_stop", name, f"ran {STOP_SECONDS} s after SIGTERM")
        for server in self._servers:
            server.link.close()
            server.scripted.close()
        for host in self._hosts:
            host.store_link.close()

    def _add_server(self, index: int, service: str) -> None:
        script = SoakServer(index, self._runs, random.Random(f"{self._seed}/{index}"))
        answers = script.plain if service == SERVICE else script.stream
        scripted = ScriptedServer(answers)
        host, _, port = scripted.address.rpartition(":")
        link = Link(Address(host, int(port)))
        self._servers.append(_Server(script, scripted, link, service))
        self._enter(self._servers[-1])

    def _enter(self, server: _Server, state: str = "ready") -> None:
        """Write a server's entry; one that returns has a new identifier."""
        if state == "ready":
            server.starts += 1
            server.script.id = f"i-{server.script.index}-{server.starts}"
        entry = server_entry(server.scripted, server.service, state=state)
        entry["address"] = str(server.link.address)
        self._store.put("servers", server.script.id, entry)

    def _add_host(self, index: int) -> None:
        link = Link(self._store_address)
        started_at = time.monotonic()
        started = start_host(index, link.address, self._folder)
        target = Target(index, started.front)
        self.shared.targets.append(target)
        self._hosts.append(_Host(started.program, target, link, started_at))

    # Running.

    def run(self, faults: list[Fault], seconds: float) -> None:
        """Do the faults in their time, and look after the processes."""
        begun = time.monotonic()
        waiting = list(faults)
        while time.monotonic() - begun < seconds or self._later:
            now = time.monotonic()
            while waiting and waiting[0].at <= now - begun:
                self._do(waiting.pop(0), now)
            due = [entry for entry in self._later if entry[0] <= now]
            self._later = [entry for entry in self._later if entry[0] > now]
            for _, undo in due:
                undo()
            for host in self._hosts:
                self._look_after(host, now)
            self._sleep()

    def recover(self) -> None:
        """Require that all hosts serve everything soon after the last fault."""
        until = time.monotonic() + RECOVERY_SECONDS
        for host in self._hosts:
            while not self._serves_all(host):
                if time.monotonic() > until:
                    message = f"did not serve {RECOVERY_SECONDS} s after the last fault"
                    self._report("recover", host.program.name, message)
                    break
                self._look_after(host, time.monotonic())
                self._sleep()

    def _sleep(self) -> None:
        before = time.monotonic()
        time.sleep(STALL_PAUSE)
        after = time.monotonic()
        if after - before > STALL_PAUSE + STALL:
            self._stalls.append((before, after))

    def _serves_all(self, host: _Host) -> bool:
        self._checks += 1
        caller = Caller(f"check-{self._checks}", "", self.shared)
        for kind in RequestKind:
            if not caller.connect_to(host.target):
                return False
            attempt = caller.ask(kind, newest=True)
            self.shared.attempts.append(attempt)
            if attempt.status != 200 or not attempt.whole:
                return False
        return True

    def _look_after(self, host: _Host, now: float) -> None:
        """Start a process again, and report one that ended by itself."""
        name = host.program.name
        if host.program.alive:
            if host.stops_by is not None and now > host.stops_by:
                self._report("slow_stop", name, f"ran {STOP_SECONDS} s after SIGTERM")
                host.program.kill()
            self._judge_memory(host)
            return
        if host.start_at is None:
            self._report("ended", name, f"ended by itself: {host.program.exit_code}")
            host.start_at = now
        if now >= host.start_at:
            host.start_at = host.stops_by = None
            host.target.boot += 1
            host.started_at = now
            host.program.start()

    def _judge_memory(self, host: _Host) -> None:
        status = Path(f"/proc/{host.program.pid}/status")
        try:
            lines = status.read_text().splitlines()
        except OSError:
            # The process has just ended; it is seen to be gone at the next look.
            return
        peak = [int(line.split()[1]) for line in lines if line.startswith("VmHWM")]
        if peak and peak[0] > MEMORY_KB:
            self._report("memory", host.program.name, f"peak of {peak[0]} KB")

    def _report(self, code: str, subject: str, message: str) -> None:
        self._findings.append(Finding(f"soak.{code}", Place(subject), message))

    # Faults.

    def _do(self, fault: Fault, now: float) -> None:
        """Do a fault, and see that it is taken back."""
        lasts = fault.until - fault.at
        undo = self._begin(fault, now + lasts)

        def end() -> None:
            undo()
            self._spans.append(
                Span(fault.kind, fault.target, now, time.monotonic() + STALL_PAUSE)
            )

        self._later.append((now + lasts, end))

    def _begin(self, fault: Fault, until: float) -> Callable[[], None]:
        if fault.kind in PROCESS_KINDS:
            return self._disturb_host(fault.kind, self._hosts[fault.target], until)
        if fault.kind in STORE_LINK_KINDS:
            link = self._hosts[fault.target].store_link
            return _disturb_link(fault.kind, link)
        if fault.kind is FaultKind.SERVER_LEAVES:
            return self._take_out(self._servers[fault.target], until)
        if fault.kind in SERVER_KINDS:
            return _disturb_link(fault.kind, self._servers[fault.target].link)
        if fault.kind is FaultKind.CONFIGURED:
            self._configure(self.shared.version + 1)
            return _nothing
        return self._disturb_store(fault.kind)

    def _disturb_host(
        self, kind: FaultKind, host: _Host, until: float
    ) -> Callable[[], None]:
        program = host.program
        if not program.alive:
            return _nothing
        if kind is FaultKind.HOST_PAUSED:
            program.signal(signal.SIGSTOP)
            return lambda: program.signal(signal.SIGCONT)
        if kind is FaultKind.HOST_RELOADS:
            if time.monotonic() - host.started_at > INTERPRETER_START:
                program.signal(signal.SIGHUP)
            return _nothing
        host.start_at = until
        if kind is FaultKind.HOST_KILLED:
            program.kill()
        else:
            program.signal(signal.SIGTERM)
            host.stops_by = time.monotonic() + STOP_SECONDS
        return _nothing

    def _disturb_store(self, kind: FaultKind) -> Callable[[], None]:
        faults = self._store.faults
        if kind is FaultKind.STORE_FORGETS:
            self._store.forget_history()
            return _nothing
        if kind is FaultKind.STORE_LOSES:
            faults.set({"lose_answers": LOST_ANSWERS})
            return _nothing
        name, value = (
            ("down", True)
            if kind is FaultKind.STORE_DOWN
            else ("silent_seconds", SLOW_SECONDS)
        )
        faults.set({name: value})

        def end() -> None:
            faults.set({name: None})

        return end

    def _take_out(self, server: _Server, until: float) -> Callable[[], None]:
        """Let a server leave as it says itself, and return as another one."""
        old = server.script.id
        self._enter(server, "draining")
        gone_at = time.monotonic() + DRAIN_SECONDS
        self._later.append((gone_at, lambda: self._store.remove("servers", old)))
        back = max(until, gone_at + STALL_PAUSE)
        self._later.append((back, lambda: self._enter(server)))
        return _nothing

    def _configure(self, version: int) -> None:
        """Write a version of the configuration that has a route of its own."""
        routes = [route(kind) for kind in ("safe", "unsafe", "streaming")]
        extra = route("safe", name="extra", path_prefix=f"/extra-{version}/")
        self._configured[version] = time.monotonic()
        self._store.put("config", "main", configuration(version, *routes, extra))
        self.shared.version = version


def _disturb_link(kind: FaultKind, link: Link) -> Callable[[], None]:
    if kind in (FaultKind.SERVER_RESET, FaultKind.STORE_RESET):
        link.reset()
        return _nothing
    if kind is FaultKind.SERVER_DELAYED:
        link.delay(DELAY)
        return lambda: link.delay(0.0)
    link.hold(
        to=kind is not FaultKind.SERVER_UNHEARD,
        back=kind is not FaultKind.SERVER_UNREACHED,
    )
    return lambda: link.hold(to=False, back=False)


def _nothing() -> None:
    """Take nothing back: the fault was over at once."""


def _judge_log(program: Program) -> Iterator[Finding]:
    """Yield a finding for each line that is not JSON or tells of a fault."""
    for number, line in enumerate(program.log.splitlines(), start=1):
        place = Place(f"{program.name}.log", line=number)
        try:
            message = json.loads(line).get("message")
        except (ValueError, AttributeError):
            yield Finding("soak.log", place, line[:200])
            continue
        if message == "internal error":
            yield Finding("soak.internal_error", place, line[:400])


@contextmanager
def soak_world(
    folder: Path, seed: int, hosts: int, servers: int
) -> Iterator[SoakWorld]:
    """Run a soak's processes until the end of the context."""
    store = ObjectStore()
    with ExitStack() as stack:
        served = stack.enter_context(serving(store))
        world = SoakWorld(folder, store, served.port, seed)
        stack.callback(world.end)
        world.start(hosts, servers)
        yield world


def start_callers(world: SoakWorld, count: int, seed: int) -> list[threading.Thread]:
    """Start callers on threads of their own."""
    names = [(f"c{n}", f"{seed}/{n}") for n in range(1, count + 1)]
    callers = [Caller(name, drawn, world.shared) for name, drawn in names]
    threads = [threading.Thread(target=caller.run, daemon=True) for caller in callers]
    for thread in threads:
        thread.start()
    return threads
