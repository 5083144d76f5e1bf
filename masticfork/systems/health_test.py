"""Tests of outlier ejection and slow start."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.manifest import BackendServer, Manifest, Pool
from masticfork.core.tables import SelfRow, Tables
from masticfork.systems.health import Health, HealthSettings, ramp_weight
from masticfork.systems.outcomes import CallEnds, Outcome, outcome_of
from masticfork.systems.servers import put_in_force

OK, FAILED = Outcome.SUCCESS, Outcome.FAILED


class World:
    def __init__(self, servers=4):
        rows = tuple(
            BackendServer(f"s{n}", "10.0.0.9", n + 1, "z1") for n in range(servers)
        )
        self.tables = Tables(SelfRow("a", "z1"))
        manifest = Manifest((), (), (Pool("p", rows),))
        put_in_force(self.tables, Configuration(1, "s", manifest))
        self.ends = CallEnds()
        self.health = Health(self.ends)
        self.now = 0.0

    def feed(self, server, *outcomes):
        for outcome in outcomes:
            self.ends.add(server, outcome, self.now)

    def run(self, now=None):
        self.now = self.now if now is None else now
        findings = self.health.run(self.tables, self.now)
        return [finding.place.path for finding in findings]

    def ejected(self):
        rows = self.tables.servers.values()
        return {r.server.name for r in rows if r.ejected_until is not None}


@pytest.fixture
def world():
    return World()


class TestEjection:
    def test_failures_in_a_row_eject(self, world):
        world.feed("s1", *[FAILED] * 4)
        assert world.run() == []
        assert world.tables.servers["s1"].failures_in_row == 4
        world.feed("s1", FAILED)
        assert world.run() == ["s1"]
        assert world.tables.servers["s1"].ejected_until == Deadline(5.0)

    def test_server_worse_than_its_pool_is_ejected(self, world):
        for server in ("s0", "s2", "s3"):
            world.feed(server, *[OK] * 10)
        world.feed("s1", *[FAILED, OK] * 5)
        assert world.run() == ["s1"]

    def test_server_no_worse_than_its_pool_stays(self, world):
        for server in ("s0", "s1", "s2", "s3"):
            world.feed(server, *[FAILED, OK] * 5)
        assert world.run() == []

    def test_old_failures_do_not_count(self, world):
        world.feed("s1", *[FAILED, OK] * 5)
        world.now = 10.0
        world.feed("s1", OK)
        assert world.run() == []

    @pytest.mark.parametrize(("servers", "most"), [(1, 0), (2, 1), (3, 1), (5, 2)])
    def test_at_most_half_of_a_pool_is_ejected(self, servers, most):
        world = World(servers)
        for now in range(3):
            for number in range(servers):
                world.feed(f"s{number}", *[FAILED] * 5)
            world.run(float(now))
        assert len(world.ejected()) == most

    def test_ejections_in_a_row_grow_longer(self, world):
        lengths = []
        for _ in range(7):
            world.feed("s1", *[FAILED] * 5)
            world.run()
            until = world.tables.servers["s1"].ejected_until
            lengths.append(until.remaining(world.now))
            world.run(until.at)
        assert lengths == [5.0, 10.0, 20.0, 40.0, 80.0, 120.0, 120.0]

    @given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=200))
    def test_no_order_of_outcomes_ejects_more_than_half(self, calls):
        world = World()
        for number, good in calls:
            world.feed(f"s{number}", OK if good else FAILED)
            world.run(world.now + 0.2)
            assert len(world.ejected()) <= 2


class TestSlowStart:
    def test_returning_server_gets_its_share_step_by_step(self, world):
        world.feed("s1", *[FAILED] * 5)
        world.run()
        world.run(5.0)
        row, settings = world.tables.servers["s1"], HealthSettings()
        assert row.ejected_until is None
        weights = [ramp_weight(row, now, settings) for now in (5.0, 20.0, 35.0)]
        assert weights == [0.1, 0.5, 1.0]
        world.run(35.0)
        assert world.tables.servers["s1"].ramp_until is None

    def test_other_servers_have_their_whole_share(self, world):
        row = world.tables.servers["s0"]
        assert ramp_weight(row, 0.0, HealthSettings()) == 1.0
        evolved = attrs.evolve(row, ramp_until=Deadline(1e9))
        assert ramp_weight(evolved, 0.0, HealthSettings()) == 0.1


class TestOutcomes:
    @pytest.mark.parametrize(
        ("failure", "outcome"),
        [
            (None, OK),
            ((Stage.CONNECTING, FailureKind.TIMEOUT), Outcome.UNREACHABLE),
            ((Stage.CONNECTING, FailureKind.REFUSED), Outcome.REFUSED),
            ((Stage.SENT, FailureKind.TIMEOUT), FAILED),
            ((Stage.ANSWERING, FailureKind.CALLER_GONE), None),
            ((Stage.ANSWERING, FailureKind.NOT_LOADED), None),
        ],
    )
    def test_failure_tells_of_the_server(self, failure, outcome):
        made = None if failure is None else CallFailure(*failure, "")
        assert outcome_of(made) is outcome
