"""Tests of the back-off from unreachable and refusing backend servers."""

import attrs
import pytest

from masticfork.core.manifest import BackendServer
from masticfork.core.tables import SelfRow, ServerRow, Tables
from masticfork.systems.call_failure_backoff import CallFailureBackoff
from masticfork.systems.eligibility import server_takes_work
from masticfork.systems.outcomes import CallResults, Outcome

TICK_SECONDS = 0.25


class SingleServerSimulation:
    """One server that is called 4 times a second while it is eligible for work."""

    def __init__(self):
        self.tables = Tables(SelfRow("a", "z1"))
        self.tables.servers["s"] = ServerRow(BackendServer("s", "10.0.0.9", 1, "z1"))
        self.ends = CallResults()
        self.drains = CallFailureBackoff(self.ends)
        self.now, self.call_times, self.finding_codes = 0.0, [], []

    def advance(self, seconds, outcome):
        end = self.now + seconds
        while self.now < end:
            if server_takes_work(self.tables.servers["s"], self.now):
                self.call_times.append(self.now)
                self.ends.add("s", outcome, self.now)
            self.now += TICK_SECONDS
            findings = self.drains.run(self.tables, self.now)
            self.finding_codes += [finding.code for finding in findings]


@pytest.fixture
def sim():
    return SingleServerSimulation()


class TestUnreachableServer:
    def test_retries_are_single_calls_at_growing_intervals(self, sim):
        sim.advance(100.0, Outcome.UNREACHABLE)
        assert sim.call_times == [0.0, 0.25, 1.5, 3.75, 8.0, 16.25, 32.5, 62.75, 93.0]
        assert sim.finding_codes == ["server_unreachable"]

    def test_single_failed_connection_starts_no_backoff(self, sim):
        for _ in range(10):
            sim.advance(TICK_SECONDS, Outcome.UNREACHABLE)
            sim.advance(TICK_SECONDS, Outcome.SUCCESS)
        assert len(sim.call_times) == 20

    def test_load_report_ends_the_backoff(self, sim):
        sim.advance(20.0, Outcome.UNREACHABLE)
        row = sim.tables.servers["s"]
        sim.tables.servers["s"] = attrs.evolve(row, reported_at=sim.now)
        sim.advance(1.0, Outcome.SUCCESS)
        assert sim.call_times[-1] >= 20.0

    def test_load_report_before_the_failures_does_not_end_it(self, sim):
        sim.advance(20.0, Outcome.UNREACHABLE)
        row = sim.tables.servers["s"]
        sim.tables.servers["s"] = attrs.evolve(row, reported_at=0.1)
        sim.advance(1.0, Outcome.SUCCESS)
        assert sim.call_times[-1] < 20.0


class TestRefusingServer:
    def test_listed_server_that_refuses_gets_no_new_work(self, sim):
        sim.advance(20.0, Outcome.REFUSED)
        assert sim.call_times == [0.0, 0.25, 0.5, 1.75, 4.0, 8.25, 13.5, 18.75]
        assert sim.finding_codes == ["server_refused"]

    def test_failed_calls_start_no_backoff(self, sim):
        sim.advance(5.0, Outcome.FAILED)
        assert len(sim.call_times) == 20

    def test_server_removed_from_the_configuration_is_ignored(self, sim):
        sim.advance(5.0, Outcome.REFUSED)
        del sim.tables.servers["s"]
        sim.ends.add("s", Outcome.REFUSED, sim.now)
        assert sim.drains.run(sim.tables, sim.now) == ()
