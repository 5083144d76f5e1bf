"""How long ago a rollout was ordered, on hosts whose time of day is wrong."""

import time

import pytest

from masticfork.core.backend_servers import (
    Address,
    BackendServer,
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.digests import RolloutEvidence
from masticfork.core.store_position import StorePosition
from masticfork.platform.objects import PlatformObject
from masticfork.relay import rollout_controller
from masticfork.relay.rollout_controller import AGE_WAIT_SECONDS, RolloutController
from masticfork.relay.tables import Tables
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.version_shift import FULL
from standins.fake_loop import FakeLoop, SynchronousExecutor

DURATION_SECONDS = 24.0
# Error of the time of day of a host that starts, and the true age of the rollout then.
CLOCK_ERROR_SECONDS, TRUE_AGE = 2.4, 21.0


def ignore(*args, **fields):
    pass


def server(version):
    address = Address("127.0.0.1", 1000)
    return BackendServer(f"i-{version}", "s", address, "zone-a", version, 6, False)


class Store:
    """A store that accepts each write."""

    def __init__(self):
        self.states = []

    def replace_status(self, kind, name, status, position, deadline):
        self.states.append(status["state"])
        spec = {"service": "s", "target": "v2", "duration_s": DURATION_SECONDS}
        revision = position.revision + 1
        return rollout_controller.Ok(PlatformObject("s", revision, 5, spec, status))


class StartedHost:
    """A host that starts during a rollout, in its full step, with a wrong clock."""

    def __init__(self, monkeypatch):
        wall = time.time()
        monkeypatch.setattr(
            rollout_controller.clock, "time", lambda: wall + CLOCK_ERROR_SECONDS
        )
        self.loop = FakeLoop(100.0)
        self.store = Store()
        tables = Tables(self.loop, ignore)
        tables.list_servers([server("v1"), server("v2")], None)
        self.controller = RolloutController(
            self.loop,
            self.store,
            tables,
            "host-1",
            ignore,
            lambda service, created: [],
            ExposureLimit(0.15, 30.0),
            lambda: 4,
            executor=SynchronousExecutor(),
        )
        progress = RolloutProgress(RolloutState.RUNNING, FULL, wall - TRUE_AGE)
        position = StorePosition(0, 7)
        tables.put_rollout(
            VersionRollout("s", "v2", DURATION_SECONDS, position, 5, 5, progress)
        )

    def run_for(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.controller.run(self.loop.now)
            self.loop.advance(0.1)

    def hear_age(self, age, created=5):
        evidence = RolloutEvidence("s", created, (), (), age=age)
        self.controller.apply_evidence((evidence,))

    @property
    def final_states(self):
        """Return the final states that were written."""
        return [state for state in self.store.states if state != "running"]

    @property
    def told_age(self):
        """Return the age that the host tells others."""
        (evidence,) = self.controller.evidence()
        return evidence.age


@pytest.fixture
def started(monkeypatch):
    return StartedHost(monkeypatch)


class TestStartWithAWrongClock:
    def test_rollout_is_not_completed_too_early(self, started):
        """Guards against a version that serves all requests before it is proven."""
        started.run_for(0.5)
        started.hear_age(TRUE_AGE + 0.5)
        started.run_for(DURATION_SECONDS - TRUE_AGE - 0.5 - 1.0)
        assert started.final_states == []
        started.run_for(1.0)
        assert started.final_states == ["done"]

    def test_nothing_is_written_before_others_can_be_heard(self, started):
        started.run_for(AGE_WAIT_SECONDS - 0.1)
        assert not started.store.states

    def test_time_of_day_is_used_if_no_host_tells_the_age(self, started):
        started.run_for(AGE_WAIT_SECONDS + 1.0)
        assert started.final_states == ["done"]

    def test_age_is_passed_on_once_it_is_sure(self, started):
        """Guards against an age that is lost with the hosts that saw the order."""
        assert started.told_age is None
        started.hear_age(TRUE_AGE)
        assert started.told_age == pytest.approx(TRUE_AGE)
        started.hear_age(TRUE_AGE + 9.0)
        assert started.told_age == pytest.approx(TRUE_AGE)

    def test_age_of_another_order_is_ignored(self, started):
        started.hear_age(3.0, created=4)
        assert started.told_age is None
