"""Requests that a new version gets before the time of its rollout ends.

Hosts with a `RolloutController` each share a simulated service: requests of several
routes arrive at random, and digests reach the other hosts with a delay.
"""

import functools
import random
from collections import Counter
from collections.abc import Callable

import attrs
import pytest
from result import Err, Ok

from masticfork.core.backend_servers import Address, BackendServer, RolloutState
from masticfork.platform.objects import PlatformObject
from masticfork.platform.server_format import decode_rollout
from masticfork.relay.rollout_controller import RolloutController
from masticfork.relay.tables import ServerRow, Tables
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.version_shift import ResponseTime
from standins.fake_loop import FakeLoop, SynchronousExecutor

DURATION_SECONDS = 15.0
# Time before the order, in which hosts learn the usual response times.
WARMUP_SECONDS = 6.0
TICK_SECONDS = 0.05
# Interval at which hosts advance rollouts.
RUN_SECONDS = 0.25
# Delay until a host reads what another one has written to the store.
STORE_DELAY_SECONDS = 0.1
FIRST_BYTE_SECONDS = 0.1
EXPOSE_SLACK = 30


@attrs.frozen
class Fleet:
    """The size of a deployment and the traffic of one of its services."""

    hosts: int
    servers: int
    requests_per_second: float
    # Relative frequency of each route's requests.
    routes: dict[str, float]
    digest_seconds: float
    expose_share: float
    stream_seconds: float = 1.2


ENGINES = Fleet(4, 9, 28.0, {"long": 0.37, "check": 0.16, "short": 0.47}, 0.3, 0.15)
PLAIN = Fleet(4, 3, 9.0, {"book": 0.7, "look": 0.3}, 0.3, 0.15, stream_seconds=0.04)
MANY_ENGINES = Fleet(
    28, 30, 120.0, {"long": 0.37, "check": 0.16, "short": 0.47}, 1.0, 0.12
)
MANY_HOSTS_PLAIN = Fleet(
    28, 4, 31.0, {"book": 0.7, "look": 0.3}, 1.0, 0.12, stream_seconds=0.04
)
FLEETS = {
    "engines": ENGINES,
    "plain": PLAIN,
    "many engines": MANY_ENGINES,
    "many hosts": MANY_HOSTS_PLAIN,
}


@attrs.frozen
class Call:
    """A call to the new version, as a kind of bad version sees it."""

    route: str
    # Seconds since the order.
    age: float
    # Calls that run on the same server.
    running: int


@attrs.frozen
class Answer:
    """What a version makes of a call."""

    failed: bool = False
    # Factor by which the answer is later than usual.
    slowness: float = 1.0


Version = Callable[[Call, random.Random], Answer]


def good(call: Call, rng: random.Random) -> Answer:
    return Answer()


def errors(call: Call, rng: random.Random) -> Answer:
    return Answer(failed=rng.random() < 0.25)


def errors_on_one_route(call: Call, rng: random.Random) -> Answer:
    on_route = call.route in ("long", "book")
    return Answer(failed=on_route and rng.random() < 0.25)


def late_errors(call: Call, rng: random.Random) -> Answer:
    return Answer(failed=call.age > 3.0 and rng.random() < 0.25)


def slow(call: Call, rng: random.Random) -> Answer:
    return Answer(slowness=8.0 if rng.random() < 0.25 else 1.0)


def errors_under_load(call: Call, rng: random.Random) -> Answer:
    return Answer(failed=call.running > 60 and rng.random() < 0.5)


class Store:
    """Holds the order of the rollout and its progress."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        spec = {"service": "s", "target": "v2", "duration_s": DURATION_SECONDS}
        self.held = PlatformObject("s", 1, 1, spec, None)
        self.written_at = 0.0

    def replace_status(self, kind, name, status, position, deadline):
        if position.revision != self.held.revision:
            return Err(PlatformError(ErrorKind.CONFLICT, ""))
        revision = self.held.revision + 1
        self.held = attrs.evolve(self.held, revision=revision, status=status)
        self.written_at = self._now()
        return Ok(self.held)


def ignore(message, **fields):
    pass


class Host:
    """One host: its tables, its controller, and the sessions that it has served."""

    def __init__(self, name, simulation):
        self.loop = FakeLoop()
        self.tables = Tables(self.loop, ignore)
        self.controller = RolloutController(
            self.loop,
            simulation.store,
            self.tables,
            name,
            ignore,
            lambda service, created: simulation.reported.get(self, []),
            ExposureLimit(simulation.fleet.expose_share, EXPOSE_SLACK),
            lambda: simulation.fleet.hosts,
            executor=SynchronousExecutor(),
            on_evidence=simulation.publish,
        )


@attrs.frozen(eq=False)
class RunningCall:
    """A call that has not ended."""

    host: Host
    row: ServerRow
    route: str
    ends_at: float


class Simulation:
    """A rollout of one version over a fleet."""

    def __init__(self, fleet: Fleet, version: Version, seed: int) -> None:
        self.fleet, self.version = fleet, version
        self.rng = random.Random(seed)
        self.now = 0.0
        self.store = Store(lambda: self.now)
        self.hosts = [Host(f"host-{n}", self) for n in range(fleet.hosts)]
        self._add_servers("v1")
        for host in self.hosts:
            host.tables.list_rollouts([])
        # Evidence of the other hosts by the host that has read it.
        self.reported = {}
        # Hosts, rows, routes and end times of the calls that run.
        self.running = []
        self.ordered = self.done = False
        self.running_by_server = Counter()
        self.pinned = {}
        self.sent = Counter()
        # Times of the bad answers of the new version.
        self.bad_at = []

    @property
    def state(self) -> RolloutState:
        return decode_rollout(self.store.held).unwrap().progress.state

    @property
    def allowed(self) -> float:
        """Return how many requests a bad version may get by now."""
        return self.fleet.expose_share * self.sent.total() + EXPOSE_SLACK

    def publish(self) -> None:
        """Let each host have what the others know."""
        published = {host: host.controller.evidence() for host in self.hosts}
        self.reported = {
            reader: [
                item
                for host in self.hosts
                if host is not reader
                for item in published[host]
            ]
            for reader in self.hosts
        }

    def play(self) -> None:
        """Play the time before the order and the time of the rollout."""
        next_digest = next_run = 0.0
        while self.now < WARMUP_SECONDS + DURATION_SECONDS:
            self.now += TICK_SECONDS
            for host in self.hosts:
                host.loop.advance(self.now - host.loop.now)
            self._finish_calls()
            if self.now >= WARMUP_SECONDS:
                if not self.ordered:
                    self.ordered = True
                    self._add_servers("v2")
                self._read_store()
            self._tell_loads()
            if self.now >= next_digest:
                next_digest = self.now + self.fleet.digest_seconds
                self.publish()
            if self.now >= next_run:
                next_run = self.now + RUN_SECONDS
                for host in self.hosts:
                    host.controller.run(self.now)
            arrivals = self.fleet.requests_per_second * TICK_SECONDS
            for _ in range(int(arrivals) + (self.rng.random() < arrivals % 1.0)):
                self._send_new_request()

    def _tell_loads(self):
        """Let each host know the calls of the others."""
        for host in self.hosts:
            for row in host.tables.rows:
                running = self.running_by_server[row.server.id]
                row.load.running_elsewhere = running - row.load.running

    def _add_servers(self, version):
        for host in self.hosts:
            for number in range(self.fleet.servers):
                host.tables.put_server(_server(version, number))

    def _read_store(self):
        if self.now - self.store.written_at >= STORE_DELAY_SECONDS:
            for host in self.hosts:
                host.tables.put_rollout(decode_rollout(self.store.held).unwrap())

    def _finish_calls(self):
        ended = [call for call in self.running if call.ends_at <= self.now]
        stopped = []
        if self.state is RolloutState.DONE and not self.done:
            # The old servers stop at once; what runs there is repeated.
            self.done = True
            stopped = [
                call
                for call in self.running
                if call.ends_at > self.now and call.row.server.version == "v1"
            ]
        for call in ended + stopped:
            call.row.load.running -= 1
            self.running_by_server[call.row.server.id] -= 1
            self.running.remove(call)
        for call in stopped:
            self._send(call.host, call.route)

    def _send_new_request(self):
        routes = self.fleet.routes
        route = self.rng.choices(list(routes), list(routes.values()))[0]
        self._send(self.rng.choice(self.hosts), route)

    def _send(self, host, route):
        session = f"session-{self.rng.randrange(1 << 40)}"
        rows = host.tables.servers_of("s")
        if self.done:
            rows = [row for row in rows if row.server.version == "v2"]
        eligible = host.controller.eligible("s", route, session, None, rows)
        if not eligible:
            # The host has judged the version bad that another one has completed.
            return
        row = self.rng.choice(eligible)
        host.controller.record_call(row.server, route)
        is_new = row.server.version == "v2"
        if self.now >= WARMUP_SECONDS:
            self.sent["new" if is_new else "old"] += 1
        row.load.running += 1
        self.running_by_server[row.server.id] += 1
        ends_at = self.now + self.rng.expovariate(1.0 / self.fleet.stream_seconds)
        self.running.append(RunningCall(host, row, route, ends_at))
        age = self.now - WARMUP_SECONDS
        call = Call(route, age, self.running_by_server[row.server.id])
        answer = self.version(call, self.rng) if is_new else Answer()
        if answer.failed or answer.slowness > 1.0:
            self.bad_at.append(self.now)
        seconds = FIRST_BYTE_SECONDS * self.rng.uniform(0.5, 1.5) * answer.slowness
        host.controller.record_answer(
            row.server, route, answer.failed, ResponseTime(0, seconds), self.now
        )


def _server(version: str, number: int) -> BackendServer:
    address = Address("127.0.0.1", 1000 + number)
    name = f"i-{version}-{number}"
    return BackendServer(name, "s", address, "zone-a", version, 6, False)


BAD_VERSIONS = {
    "errors": errors,
    "one route": errors_on_one_route,
    "late": late_errors,
    "slow": slow,
    "under load": errors_under_load,
}


@functools.cache
def played(kind: str, fleet: str, seed: int) -> Simulation:
    """Return a simulation that has been played, the same one for several tests."""
    version = good if kind == "good" else BAD_VERSIONS[kind]
    simulation = Simulation(FLEETS[fleet], version, seed)
    simulation.play()
    return simulation


class TestExposure:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("fleet", FLEETS)
    @pytest.mark.parametrize("kind", BAD_VERSIONS)
    def test_version_that_is_not_proven_gets_no_more_than_the_allowed_share(
        self, kind, fleet, seed
    ):
        """Guards against rollouts that advance by the clock, without evidence."""
        simulation = played(kind, fleet, seed)
        assert simulation.sent["new"] <= simulation.allowed

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("fleet", FLEETS)
    @pytest.mark.parametrize("kind", ["errors", "one route", "late", "slow"])
    def test_bad_version_is_rolled_back(self, kind, fleet, seed):
        """Guards against failures of one route that are diluted by the others'."""
        simulation = played(kind, fleet, seed)
        assert simulation.state is RolloutState.ROLLED_BACK

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("fleet", FLEETS)
    def test_good_version_is_done_in_time(self, fleet, seed):
        """Guards against good versions that are not completed for want of evidence."""
        simulation = played("good", fleet, seed)
        assert simulation.state is RolloutState.DONE
