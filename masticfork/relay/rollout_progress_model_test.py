"""Model test of hosts that advance one rollout while writes are lost or delayed."""

import itertools
from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Err, Ok, Result

from masticfork.core.backend_servers import Address, BackendServer, RolloutState
from masticfork.core.deadlines import Deadline
from masticfork.core.store_position import StorePosition
from masticfork.platform.objects import PlatformObject
from masticfork.platform.server_format import decode_rollout
from masticfork.relay.rollout_controller import (
    MAX_WRITE_DELAY_SECONDS,
    RolloutController,
)
from masticfork.relay.tables import Tables
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.version_shift import ResponseTime
from standins.fake_loop import FakeLoop, SynchronousExecutor

HOSTS = 3
DURATION_SECONDS = 20.0
ORDER = {"service": "s", "target": "v2", "duration_s": DURATION_SECONDS}
FINAL = (RolloutState.DONE, RolloutState.ROLLED_BACK)


class FakeStore:
    """A single object with a revision; the test draws the outcome of each write."""

    def __init__(self) -> None:
        self.held = PlatformObject("s", 1, 1, ORDER, None)
        self.history = [self.held]
        self.outcome = "answered"
        # Writes applied later, if the object still has the expected revision.
        self.delayed: list[tuple[int, Any]] = []

    def replace_status(
        self,
        kind: str,
        name: str,
        status: Any,
        position: StorePosition,
        deadline: Deadline,
    ) -> Result[PlatformObject, PlatformError]:
        revision = position.revision
        if self.outcome == "lost":
            return Err(PlatformError(ErrorKind.UNAVAILABLE, "lost"))
        if self.outcome == "delayed":
            self.delayed.append((revision, status))
            return Err(PlatformError(ErrorKind.UNAVAILABLE, "no answer"))
        done = self.write(revision, status)
        if self.outcome == "answer lost":
            return Err(PlatformError(ErrorKind.UNAVAILABLE, "no answer"))
        return Ok(self.held) if done else Err(PlatformError(ErrorKind.CONFLICT, ""))

    def write(self, revision: int, status: Any) -> bool:
        """Write if the object still has the given revision; return whether it had."""
        if revision != self.held.revision:
            return False
        self.held = attrs.evolve(self.held, revision=revision + 1, status=status)
        self.history.append(self.held)
        return True


class Host:
    """The tables and the `RolloutController` of one host."""

    def __init__(self, name: str, store: FakeStore, time: float) -> None:
        loop: Any = FakeLoop(time)
        self.loop = loop
        # Newest revision of the rollout that the host has read.
        self.seen = 0
        self.tables = Tables(loop, _ignore)
        self.controller = RolloutController(
            loop,
            store,  # type: ignore[arg-type]
            self.tables,
            name,
            _ignore,
            lambda service, created: [],
            ExposureLimit(0.15, 30.0),
            lambda: 4,
            executor=SynchronousExecutor(),
        )

    def read(self, stored: PlatformObject) -> None:
        self.tables.put_rollout(decode_rollout(stored).unwrap())

    def run(self, time: float) -> None:
        self.loop.now = time
        self.controller.run(time)


def _ignore(message: str, **fields: object) -> None:
    """Log nothing."""


def _server(version: str) -> BackendServer:
    address = Address("127.0.0.1", 1000)
    return BackendServer(f"i-{version}", "s", address, "zone-a", version, 6, False)


class RolloutMachine(RuleBasedStateMachine):
    """Hosts that run, read stale state, restart and lose writes."""

    @initialize()
    def begin(self) -> None:
        self.store = FakeStore()
        self.time = 0.0
        self.names = [f"host-{number}" for number in range(HOSTS)]
        self.hosts = [Host(name, self.store, 0.0) for name in self.names]
        for host in self.hosts:
            host.read(self.store.held)

    @rule(
        host=st.integers(0, HOSTS - 1),
        outcome=st.sampled_from(["answered", "lost", "answer lost", "delayed"]),
        seconds=st.sampled_from([0.1, 0.5, 3.0]),
    )
    def host_runs(self, host: int, outcome: str, seconds: float) -> None:
        self.store.outcome = outcome
        # The second run follows the longest delay that a host waits before a write.
        for elapsed in (seconds, MAX_WRITE_DELAY_SECONDS):
            self.time += elapsed
            self.hosts[host].run(self.time)

    @rule(host=st.integers(0, HOSTS - 1), data=st.data())
    def host_reads(self, host: int, data: st.DataObject) -> None:
        """Let a host read any earlier state of the store, since a watch may lag."""
        self.hosts[host].read(data.draw(st.sampled_from(self.store.history)))

    @rule(host=st.integers(0, HOSTS - 1), failed=st.booleans(), count=st.integers(1, 8))
    def answers_arrive(self, host: int, failed: bool, count: int) -> None:
        for _ in range(count):
            self.hosts[host].controller.record_answer(
                _server("v2"), "r", failed, ResponseTime(0, 0.1), self.time
            )

    @rule(host=st.integers(0, HOSTS - 1))
    def host_is_restarted(self, host: int) -> None:
        self.hosts[host] = Host(self.names[host], self.store, self.time)
        self.hosts[host].read(self.store.held)

    @rule()
    def delayed_writes_arrive(self) -> None:
        delayed, self.store.delayed = self.store.delayed, []
        for revision, status in delayed:
            self.store.write(revision, status)

    @invariant()
    def stored_progress_never_goes_back(self) -> None:
        states = [
            decode_rollout(stored).unwrap().progress for stored in self.store.history
        ]
        for before, after in itertools.pairwise(states):
            assert before.state not in FINAL
            assert after.step >= before.step
            assert after.step - before.step <= 1
            assert after.state is not RolloutState.ORDERED

    @invariant()
    def no_host_goes_back_to_an_older_revision(self) -> None:
        newest = decode_rollout(self.store.held).unwrap()
        for host in self.hosts:
            known = host.tables.rollouts["s"]
            assert host.seen <= known.position.revision <= newest.position.revision
            host.seen = known.position.revision
            if known.progress.state in FINAL:
                assert known.progress.state is newest.progress.state


TestRolloutProgress = RolloutMachine.TestCase
TestRolloutProgress.settings = settings(
    max_examples=150, deadline=None, derandomize=True
)
