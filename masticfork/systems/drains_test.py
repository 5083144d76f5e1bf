"""Tests of holding work off dead and leaving backend servers."""

import attrs
import pytest

from masticfork.core.manifest import BackendServer
from masticfork.core.tables import SelfRow, ServerRow, Tables
from masticfork.systems.drains import Drains
from masticfork.systems.eligibility import server_takes_work
from masticfork.systems.outcomes import CallEnds, Outcome

TICK_SECONDS = 0.25


class World:
    """One server, called 4 times a second where it takes work."""

    def __init__(self):
        self.tables = Tables(SelfRow("a", "z1"))
        self.tables.servers["s"] = ServerRow(BackendServer("s", "10.0.0.9", 1, "z1"))
        self.ends = CallEnds()
        self.drains = Drains(self.ends)
        self.now, self.called, self.codes = 0.0, [], []

    def pass_time(self, seconds, outcome):
        end = self.now + seconds
        while self.now < end:
            if server_takes_work(self.tables.servers["s"], self.now):
                self.called.append(self.now)
                self.ends.add("s", outcome, self.now)
            self.now += TICK_SECONDS
            findings = self.drains.run(self.tables, self.now)
            self.codes += [finding.code for finding in findings]


@pytest.fixture
def world():
    return World()


class TestDeadServer:
    def test_only_single_trials_that_grow_rare_go_there(self, world):
        world.pass_time(100.0, Outcome.UNREACHABLE)
        assert world.called == [0.0, 0.25, 1.5, 3.75, 8.0, 16.25, 32.5, 62.75, 93.0]
        assert world.codes == ["server_unreachable"]

    def test_single_lost_connection_holds_nothing_off(self, world):
        for _ in range(10):
            world.pass_time(TICK_SECONDS, Outcome.UNREACHABLE)
            world.pass_time(TICK_SECONDS, Outcome.SUCCESS)
        assert len(world.called) == 20

    def test_load_report_ends_the_hold(self, world):
        world.pass_time(20.0, Outcome.UNREACHABLE)
        row = world.tables.servers["s"]
        world.tables.servers["s"] = attrs.evolve(row, reported_at=world.now)
        world.pass_time(1.0, Outcome.SUCCESS)
        assert world.called[-1] >= 20.0

    def test_older_load_report_does_not(self, world):
        world.pass_time(20.0, Outcome.UNREACHABLE)
        row = world.tables.servers["s"]
        world.tables.servers["s"] = attrs.evolve(row, reported_at=0.1)
        world.pass_time(1.0, Outcome.SUCCESS)
        assert world.called[-1] < 20.0


class TestLeavingServer:
    def test_server_that_refuses_gets_no_new_work_though_it_is_listed(self, world):
        world.pass_time(20.0, Outcome.REFUSED)
        assert world.called == [0.0, 0.25, 0.5, 1.75, 4.0, 8.25, 13.5, 18.75]
        assert world.codes == ["server_refused"]

    def test_failures_are_left_to_ejection(self, world):
        world.pass_time(5.0, Outcome.FAILED)
        assert len(world.called) == 20

    def test_server_that_left_the_configuration_is_forgotten(self, world):
        world.pass_time(5.0, Outcome.REFUSED)
        del world.tables.servers["s"]
        world.ends.add("s", Outcome.REFUSED, world.now)
        assert world.drains.run(world.tables, world.now) == ()
