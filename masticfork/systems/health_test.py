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
from masticfork.systems.health import HealthSettings, OutlierEjection, ramp_weight
from masticfork.systems.outcomes import CallResults, Outcome, outcome_of
from masticfork.systems.servers import activate

OK, FAILED = Outcome.SUCCESS, Outcome.FAILED


class PoolSimulation:
    """One pool of servers under outlier ejection, with a manually set clock."""

    def __init__(self, servers=4):
        rows = tuple(
            BackendServer(f"s{n}", "10.0.0.9", n + 1, "z1") for n in range(servers)
        )
        self.tables = Tables(SelfRow("a", "z1"))
        manifest = Manifest((), (), (Pool("p", rows),))
        activate(self.tables, Configuration(1, "s", manifest))
        self.ends = CallResults()
        self.health = OutlierEjection(self.ends)
        self.now = 0.0

    def record_outcomes(self, server, *outcomes):
        for outcome in outcomes:
            self.ends.add(server, outcome, self.now)

    def run(self, now=None):
        self.now = self.now if now is None else now
        findings = self.health.run(self.tables, self.now)
        return [finding.place.path for finding in findings]

    def ejected_servers(self):
        rows = self.tables.servers.values()
        return {r.server.name for r in rows if r.ejected_until is not None}


@pytest.fixture
def sim():
    return PoolSimulation()


class TestEjection:
    def test_consecutive_failures_eject(self, sim):
        sim.record_outcomes("s1", *[FAILED] * 4)
        assert sim.run() == []
        assert sim.tables.servers["s1"].consecutive_failures == 4
        sim.record_outcomes("s1", FAILED)
        assert sim.run() == ["s1"]
        assert sim.tables.servers["s1"].ejected_until == Deadline(5.0)

    def test_server_failing_more_than_its_pool_is_ejected(self, sim):
        for server in ("s0", "s2", "s3"):
            sim.record_outcomes(server, *[OK] * 10)
        sim.record_outcomes("s1", *[FAILED, OK] * 5)
        assert sim.run() == ["s1"]

    def test_server_failing_as_often_as_its_pool_is_not_ejected(self, sim):
        for server in ("s0", "s1", "s2", "s3"):
            sim.record_outcomes(server, *[FAILED, OK] * 5)
        assert sim.run() == []

    def test_failures_outside_the_window_are_ignored(self, sim):
        sim.record_outcomes("s1", *[FAILED, OK] * 5)
        sim.now = 10.0
        sim.record_outcomes("s1", OK)
        assert sim.run() == []

    @pytest.mark.parametrize(
        ("servers", "max_ejected"), [(1, 0), (2, 1), (3, 1), (5, 2)]
    )
    def test_at_most_half_of_a_pool_is_ejected(self, servers, max_ejected):
        sim = PoolSimulation(servers)
        for now in range(3):
            for number in range(servers):
                sim.record_outcomes(f"s{number}", *[FAILED] * 5)
            sim.run(float(now))
        assert len(sim.ejected_servers()) == max_ejected

    def test_repeated_ejections_double_up_to_the_maximum(self, sim):
        ejection_seconds = []
        for _ in range(7):
            sim.record_outcomes("s1", *[FAILED] * 5)
            sim.run()
            until = sim.tables.servers["s1"].ejected_until
            ejection_seconds.append(until.remaining(sim.now))
            sim.run(until.at)
        assert ejection_seconds == [5.0, 10.0, 20.0, 40.0, 80.0, 120.0, 120.0]

    @given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=200))
    def test_no_order_of_outcomes_ejects_more_than_half(self, calls):
        sim = PoolSimulation()
        for number, succeeded in calls:
            sim.record_outcomes(f"s{number}", OK if succeeded else FAILED)
            sim.run(sim.now + 0.2)
            assert len(sim.ejected_servers()) <= 2


class TestSlowStart:
    def test_readmitted_server_ramps_up_to_full_weight(self, sim):
        sim.record_outcomes("s1", *[FAILED] * 5)
        sim.run()
        sim.run(5.0)
        row, settings = sim.tables.servers["s1"], HealthSettings()
        assert row.ejected_until is None
        weights = [ramp_weight(row, now, settings) for now in (5.0, 20.0, 35.0)]
        assert weights == [0.1, 0.5, 1.0]
        sim.run(35.0)
        assert sim.tables.servers["s1"].ramp_until is None

    def test_weight_is_full_without_a_ramp_and_minimal_at_its_start(self, sim):
        row = sim.tables.servers["s0"]
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
    def test_outcome_of_a_call_failure(self, failure, outcome):
        call_failure = None if failure is None else CallFailure(*failure, "")
        assert outcome_of(call_failure) is outcome
