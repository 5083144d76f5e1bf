"""Rollouts of versions that fail under load, over hosts that are lost meanwhile.

Hosts with a `RolloutController` each share a simulated service whose answers, digests
and calls to the store take time. A host that is lost starts again without memory, and
its time of day may be wrong.
"""

import functools
import math
import random
from collections import Counter
from collections.abc import Callable

import attrs
import pytest
from result import Err, Ok

from masticfork.core.backend_servers import Address, BackendServer, RolloutState
from masticfork.core.ids import short_key
from masticfork.platform.objects import PlatformObject
from masticfork.platform.server_format import decode_rollout
from masticfork.relay import rollout_controller
from masticfork.relay.rollout_controller import RolloutController
from masticfork.relay.tables import Tables
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.version_shift import ResponseTime
from standins.fake_loop import FakeLoop

LIMIT = ExposureLimit(0.15, 30.0)
# Time from the 50th bad answer on within which no further request may be sent.
MAX_BAD_ANSWERS, ROLLBACK_SECONDS = 50, 5.0
WARMUP_SECONDS = 8.0
# Time after the rollout's end that is played as well.
AFTER_SECONDS = 20.0
TICK_SECONDS = 0.05
# Interval at which hosts advance rollouts.
RUN_SECONDS = 0.25
OVERLOADED_CALLS = 3
FAILED_SHARE = 0.5
# Share of the requests that belong to a session with earlier ones.
SESSION_SHARE, SESSIONS = 0.3, 20
UNIX_SECONDS = 1_800_000_000.0


@attrs.frozen
class Loss:
    """Hosts that are killed, by number, and start again."""

    at: float
    hosts: tuple[int, ...]
    seconds: float = 0.5


@attrs.frozen
class Day:
    """What happens to the hosts during a rollout; times count from the order."""

    losses: tuple[Loss, ...] = ()
    # Error of the time of day of some hosts, from and until when.
    clock_error: float = 0.0
    clock_hosts: tuple[int, ...] = ()
    clock_from: float = 0.0
    clock_until: float = 0.0


ALL = (0, 1, 2, 3)
DAYS = {
    "calm": Day(),
    "hosts lost in turn, clocks ahead": Day(
        (Loss(3.5, (0,)), Loss(5.5, (1,)), Loss(7.5, (2,))), 2.4, (0, 1), 3.0, 9.0
    ),
    "hosts lost often": Day(
        tuple(Loss(3.0 + 1.9 * n, (n % 4,)) for n in range(10)), 2.4, ALL, 3.0, 24.0
    ),
    "all hosts lost": Day((Loss(4.0, ALL, 1.0),)),
    "all hosts lost, clocks ahead": Day((Loss(4.0, ALL, 1.0),), 2.4, ALL, 3.0, 11.0),
    "all hosts lost, clocks behind": Day((Loss(4.0, ALL, 1.0),), -2.4, ALL, 3.0, 11.0),
    "all hosts lost late": Day((Loss(19.0, ALL),), 2.4, ALL, 18.0, 24.0),
    "hosts lost under load": Day((Loss(20.8, (0, 1)),)),
}


@attrs.frozen
class Service:
    """The traffic and the servers of a service."""

    requests_per_second: float = 31.0
    servers: int = 3
    duration: float = 24.0
    # Median time that a call takes.
    work_seconds: float = 0.3
    # Seconds since the order from which on there are more requests, and how many times.
    burst_from: float = math.inf
    burst_factor: float = 1.0


def ignore(*args, **fields):
    pass


class LateExecutor:
    """Runs calls to the store after the delay of a write."""

    def __init__(self, simulation):
        self._simulation = simulation

    def submit(self, call):
        simulation = self._simulation
        delay = simulation.rng.uniform(0.005, simulation.store_seconds)
        simulation.pending.append((simulation.now + delay, call))


class Store:
    """Holds the order of the rollout and its progress."""

    def __init__(self, simulation, duration):
        self._simulation = simulation
        spec = {"service": "s", "target": "v2", "duration_s": duration}
        self.held = PlatformObject("s", 5, 5, spec, None)

    def replace_status(self, kind, name, status, position, deadline):
        if position.revision != self.held.revision:
            return Err(PlatformError(ErrorKind.CONFLICT, ""))
        revision = self.held.revision + 1
        self.held = attrs.evolve(self.held, revision=revision, status=status)
        self._simulation.on_stored(self.held)
        return Ok(self.held)


class Host:
    """One start of a host: its tables and its controller."""

    def __init__(self, number, simulation):
        self.number = number
        self.loop = FakeLoop(simulation.now)
        self.tables = Tables(self.loop, ignore)
        self.seen = {}
        self.controller = RolloutController(
            self.loop,
            simulation.store,
            self.tables,
            f"host-{number}",
            ignore,
            lambda service, created: simulation.heard(self, service),
            LIMIT,
            lambda: simulation.host_count(self),
            executor=LateExecutor(simulation),
        )
        simulation.list_servers(self)
        if simulation.ordered:
            listed = [decode_rollout(simulation.store.held).unwrap()]
        else:
            listed = []
        self.tables.list_rollouts(listed)


@attrs.define(eq=False)
class Call:
    """A call that has not ended."""

    host: Host
    row: object
    route: str
    sent_at: float
    ends_at: float
    failed: bool


class Clock:
    """The time of day of the host that runs."""

    def __init__(self, simulation):
        self._simulation = simulation

    def time(self):
        return UNIX_SECONDS + self._simulation.now + self._simulation.clock_error

    def monotonic(self):
        return self._simulation.now


class Simulation:
    """A rollout of one version over four hosts."""

    def __init__(self, version, day, service, seed):
        self.version, self.day, self.service = version, day, service
        self.rng = random.Random(seed)
        self.now = 0.0
        self.running_host = 0
        # Delays of this play: from a digest to its readers, and of the store.
        self.digest_seconds = self.rng.uniform(0.002, 0.05)
        self.store_seconds = self.rng.uniform(0.01, 0.2)
        self.store = Store(self, service.duration)
        self.ordered = self.done = False
        # Times and actions to come.
        self.pending = []
        self.published = {}
        self.hosts = {}
        for number in ALL:
            self.hosts[number] = Host(number, self)
        self.calls = []
        self.running = Counter()
        self.sessions = {}
        self.sent, self.late = Counter(), 0
        # The requests that may have reached the new version by now, at the limit.
        self.sent_by_limit = Counter()
        self.bad_at = []
        self.final = None

    @property
    def age(self):
        return self.now - WARMUP_SECONDS

    @property
    def clock_error(self):
        day = self.day
        wrong = day.clock_from <= self.age < day.clock_until
        return day.clock_error if wrong and self.running_host in day.clock_hosts else 0

    @property
    def state(self):
        return decode_rollout(self.store.held).unwrap().progress.state

    @property
    def allowed(self):
        return LIMIT.share * self.sent_by_limit.total() + LIMIT.slack

    def heard(self, reader, service):
        """Return what other hosts told within the last seconds."""
        return [
            item
            for host, (at, evidence) in self.published.items()
            if host != reader.number and self.now - at < 3.0
            for item in evidence
        ]

    def host_count(self, reader):
        heard = [host for host in self.published if host != reader.number]
        return max(2, 1 + len(heard))

    def on_stored(self, held):
        state = decode_rollout(held).unwrap().progress.state
        if state in (RolloutState.DONE, RolloutState.ROLLED_BACK):
            self.final = self.final or (state, self.age)
        delay = self.rng.uniform(0.005, self.store_seconds)
        for number in ALL:
            self.pending.append(
                (self.now + delay, functools.partial(self._read, number, held))
            )

    def _read(self, number, held):
        host = self.hosts.get(number)
        if host is not None:
            self._enter(host)
            host.tables.put_rollout(decode_rollout(held).unwrap())

    def _enter(self, host):
        self.running_host = host.number
        host.loop.now = self.now

    def list_servers(self, host):
        versions = ["v1", "v2"] if self.ordered else ["v1"]
        if self.done:
            versions = ["v2"]
        host.tables.list_servers(
            [
                _server(version, number)
                for version in versions
                for number in range(self.service.servers)
            ],
            None,
        )

    def play(self, monkeypatch):
        monkeypatch.setattr(rollout_controller, "clock", Clock(self))
        losses = sorted(self.day.losses, key=lambda loss: loss.at)
        for loss in losses:
            self._at(loss.at, functools.partial(self._lose, loss))
        self._at(0.0, self._order)
        next_run = {number: self.rng.uniform(0, RUN_SECONDS) for number in ALL}
        end = WARMUP_SECONDS + self.service.duration + AFTER_SECONDS
        while self.now < end:
            self.now += TICK_SECONDS
            for host in self.hosts.values():
                self.running_host = host.number
                host.loop.advance(self.now - host.loop.now)
            due = [item for item in self.pending if item[0] <= self.now]
            self.pending = [item for item in self.pending if item[0] > self.now]
            for _, action in sorted(due, key=lambda item: item[0]):
                action()
            self._end_calls()
            self._tell_loads()
            for number, host in list(self.hosts.items()):
                if self.now >= next_run[number]:
                    next_run[number] = self.now + RUN_SECONDS
                    self._enter(host)
                    host.controller.run(self.now)
                    self._publish(host)
            arrivals = self.service.requests_per_second * TICK_SECONDS
            if self.age >= self.service.burst_from:
                arrivals *= self.service.burst_factor
            for _ in range(int(arrivals) + (self.rng.random() < arrivals % 1.0)):
                self._send_new_request()
        return self

    def _at(self, age, action):
        self.pending.append((WARMUP_SECONDS + age, action))

    def _order(self):
        self.ordered = True
        for host in self.hosts.values():
            self.list_servers(host)
        self.on_stored(self.store.held)

    def _lose(self, loss):
        for number in loss.hosts:
            if self.hosts.pop(number, None) is not None:
                self.pending.append(
                    (self.now + loss.seconds, functools.partial(self._start, number))
                )

    def _start(self, number):
        self.running_host = number
        self.hosts[number] = Host(number, self)

    def _publish(self, host):
        evidence = host.controller.evidence()

        def deliver():
            self.published[host.number] = (self.now, evidence)
            for reader in self.hosts.values():
                if reader is not host:
                    self._enter(reader)
                    reader.controller.apply_evidence(evidence)

        self.pending.append((self.now + self.digest_seconds, deliver))

    def _end_calls(self):
        if self.state is RolloutState.DONE and not self.done:
            # The old servers stop at once; what runs there is repeated.
            self.done = True
            for call in [c for c in self.calls if c.row.server.version == "v1"]:
                self._remove(call)
                if self.hosts.get(call.host.number) is call.host:
                    self._send(call.host, call.route, None)
            for host in self.hosts.values():
                self.list_servers(host)
        for call in [call for call in self.calls if call.ends_at <= self.now]:
            if call.row.server.version == "v2" and call.failed:
                self.bad_at.append(self.now)
            if self.hosts.get(call.host.number) is call.host:
                self._enter(call.host)
                seconds = self.now - call.sent_at
                time = ResponseTime(0, seconds, self.service.work_seconds)
                call.host.controller.record_answer(
                    call.row.server, call.route, call.failed, time, self.now
                )
            self._remove(call)

    def _remove(self, call):
        self.calls.remove(call)
        call.row.load.running -= 1
        self.running[call.row.server.id] -= 1

    def _tell_loads(self):
        """Let each host know the calls of the others."""
        for host in self.hosts.values():
            for row in host.tables.rows:
                load = row.load
                load.running_elsewhere = self.running[row.server.id] - load.running

    def _send_new_request(self):
        if not self.hosts:
            return
        route = self.rng.choices(["one", "two"], [0.6, 0.4])[0]
        session = None
        if self.rng.random() < SESSION_SHARE:
            session = f"session-{self.rng.randrange(SESSIONS)}"
            if self.rng.random() < 0.15:
                self.sessions.pop(session, None)
        self._send(self.rng.choice(list(self.hosts.values())), route, session)

    def _known_load(self, row):
        return row.load.running + row.load.running_elsewhere

    def _send(self, host, route, session):
        self._enter(host)
        rows = host.tables.servers_of("s")
        earlier = self.sessions.get(session) if session else None
        name = session or f"single-{self.rng.randrange(1 << 40)}"
        eligible = host.controller.eligible("s", route, name, earlier, rows)
        if not eligible:
            return
        choices = self.rng.sample(list(eligible), min(2, len(eligible)))
        row = min(choices, key=self._known_load)
        server = row.server
        host.controller.record_call(server, route)
        if session:
            self.sessions[session] = short_key(server.version)
        row.load.running += 1
        self.running[server.id] += 1
        failed = False
        if server.version == "v2":
            served = ServedCall(self.running[server.id], self.age)
            failed = self.version(served, self.rng)
        if self.age >= 0.0:
            self.sent[server.version] += 1
            if self.age <= self.service.duration:
                self.sent_by_limit[server.version] += 1
            limit = self.bad_at[MAX_BAD_ANSWERS - 1 : MAX_BAD_ANSWERS]
            if server.version == "v2" and limit:
                self.late += self.now > limit[0] + ROLLBACK_SECONDS
        work = self.service.work_seconds * self.rng.lognormvariate(0.0, 0.4)
        self.calls.append(
            Call(host, row, route, self.now, self.now + work, failed),
        )


def _server(version, number):
    address = Address("127.0.0.1", 1000 + number)
    return BackendServer(
        f"i-{version}-{number}", "s", address, "zone-a", version, 16, False
    )


@attrs.frozen
class ServedCall:
    """A call as the version that serves it sees it."""

    # Calls that run on the server.
    running: int
    # Seconds since the order.
    age: float


Version = Callable[[ServedCall, random.Random], bool]


def good(call, rng):
    return False


def failing_under_load(call, rng):
    return call.running > OVERLOADED_CALLS and rng.random() < FAILED_SHARE


@functools.cache
def played(version, day, seed, service=Service()):
    """Return a rollout that has been played, the same one for several tests."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        return Simulation(version, DAYS[day], service, seed).play(monkeypatch)


SEEDS = range(1, 7)


class TestVersionThatFailsUnderLoad:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("day", DAYS)
    def test_gets_no_more_than_its_share(self, day, seed):
        """Guards against shares that grow as hosts are lost or their clocks jump."""
        rollout = played(failing_under_load, day, seed)
        assert rollout.sent_by_limit["v2"] <= rollout.allowed
        assert rollout.late == 0

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("day", DAYS)
    def test_is_rolled_back(self, day, seed):
        """Guards against completion before the answers under full load are known."""
        rollout = played(failing_under_load, day, seed)
        assert rollout.final is not None
        assert rollout.final[0] is RolloutState.ROLLED_BACK


class TestGoodVersion:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("rate", [2.0, 31.0])
    @pytest.mark.parametrize("duration", [6.0, 15.0, 24.0])
    def test_is_done_in_time(self, duration, rate, seed):
        """Guards against good versions that are refused for want of evidence."""
        service = Service(requests_per_second=rate, duration=duration)
        rollout = played(good, "calm", seed, service)
        assert rollout.final is not None
        state, age = rollout.final
        assert state is RolloutState.DONE
        assert age < duration

    @pytest.mark.parametrize("seed", SEEDS)
    def test_is_done_in_time_though_hosts_are_lost(self, seed):
        rollout = played(good, "hosts lost in turn, clocks ahead", seed)
        assert rollout.final is not None
        state, age = rollout.final
        assert state is RolloutState.DONE
        assert age < rollout.service.duration
