"""Tests of membership: deadlines, incarnations and whose word counts."""

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticfork.core.hosts import HostReport, HostState, ListedHost
from masticfork.core.tables import SelfRow, Tables
from masticfork.peers.gossip import Gossip, report_of
from masticfork.systems.membership import Membership, MembershipSettings, live_hosts

ALIVE, SUSPECT, DEAD = HostState.ALIVE, HostState.SUSPECT, HostState.DEAD
LISTED = ListedHost("b", "z2", "10.0.0.2:1")


def report(host="b", incarnation=1, heard_at=0.0, state=ALIVE, **more):
    return HostReport(
        host, "z2", "r1", "10.0.0.2:1", incarnation, heard_at, state, **more
    )


@pytest.fixture
def tables():
    return Tables(SelfRow("a", "z1", incarnation=5))


@pytest.fixture
def members():
    return Membership()


def states(tables):
    return {host: row.state for host, row in tables.hosts.items()}


class TestDeadlines:
    def test_suspicion_comes_before_death(self, tables, members):
        members.heard(tables, report(), 0.0)
        seen = []
        for now in (2.4, 2.5, 3.9, 4.0):
            findings = members.run(tables, now)
            seen.append((tables.hosts["b"].state, [f.code for f in findings]))
        assert seen == [
            (ALIVE, []),
            (SUSPECT, ["host_suspect"]),
            (SUSPECT, []),
            (DEAD, ["host_dead"]),
        ]

    def test_heartbeat_ends_suspicion(self, tables, members):
        members.heard(tables, report(), 0.0)
        members.run(tables, 3.0)
        members.heard(tables, report(), 3.1)
        members.run(tables, 5.5)
        assert states(tables) == {"b": ALIVE}

    def test_dead_host_is_forgotten_in_the_end(self, tables, members):
        members.heard(tables, report(), 0.0)
        members.run(tables, 4.0)
        members.run(tables, 1204.0)
        assert not tables.hosts


class TestIncarnations:
    def test_restarted_host_is_alive_again(self, tables, members):
        members.heard(tables, report(leaving=True), 0.0)
        members.run(tables, 4.0)
        members.told(tables, report(incarnation=2, heard_at=4.0), 4.5)
        assert states(tables) == {"b": ALIVE}
        assert not tables.hosts["b"].leaving

    def test_late_message_of_an_earlier_process_is_ignored(self, tables, members):
        members.heard(tables, report(incarnation=2), 0.0)
        members.heard(tables, report(incarnation=1, leaving=True), 1.0)
        members.told(tables, report(incarnation=1, state=DEAD), 1.0)
        assert states(tables) == {"b": ALIVE}
        assert not tables.hosts["b"].leaving

    @pytest.mark.parametrize("wrong", [{"state": SUSPECT}, {"state": DEAD}])
    def test_this_host_refutes_its_death(self, tables, members, wrong):
        findings = members.told(tables, report("a", 5, **wrong), 0.0)
        assert tables.me.incarnation == 6
        assert [f.code for f in findings] == ["host_refuted"]

    def test_this_host_refutes_leaving_unless_it_stops(self, tables, members):
        members.told(tables, report("a", 5, leaving=True), 0.0)
        assert tables.me.incarnation == 6
        tables.me = attrs.evolve(tables.me, stopping=True)
        members.told(tables, report("a", 6, leaving=True), 0.0)
        assert tables.me.incarnation == 6


class TestWhoseWordCounts:
    def test_own_evidence_beats_peers_and_the_list(self, tables, members):
        members.heard(tables, report(), 0.0)
        members.told(tables, report(state=DEAD, heard_at=0.5), 1.0)
        assert tables.hosts["b"].disputes == 1
        members.listed(tables, [], 1.0)
        members.listed(tables, [attrs.evolve(LISTED, leaving=True)], 1.0)
        assert states(tables) == {"b": ALIVE}
        assert not tables.hosts["b"].leaving

    def test_silent_host_dies_though_it_is_listed(self, tables, members):
        members.heard(tables, report(), 0.0)
        for now in range(1, 6):
            members.listed(tables, [LISTED], now)
            members.run(tables, now)
        members.listed(tables, [LISTED], 6.0)
        assert states(tables) == {"b": DEAD}

    def test_peer_that_hears_a_silent_host_keeps_it_alive(self, tables, members):
        members.heard(tables, report(), 0.0)
        members.run(tables, 2.5)
        members.told(tables, report(heard_at=1.6), 2.6)
        assert states(tables) == {"b": SUSPECT}
        members.told(tables, report(heard_at=2.6), 2.7)
        members.run(tables, 10.0)
        assert states(tables) == {"b": ALIVE}

    def test_listed_host_is_known_but_not_live(self, tables, members):
        members.listed(tables, [LISTED], 0.0)
        assert states(tables) == {"b": HostState.UNKNOWN}
        assert live_hosts(tables) == ()
        members.listed(tables, [], 1.0)
        assert not tables.hosts

    def test_list_keeps_relayed_hosts_from_expiring(self, tables, members):
        members.told(tables, report(), 0.0)
        members.listed(tables, [LISTED], 899.0)
        members.run(tables, 1000.0)
        assert states(tables) == {"b": ALIVE}

    def test_short_report_keeps_where_the_host_is(self, tables, members):
        members.heard(tables, report(), 0.0)
        short = attrs.evolve(report(), address="", zone="", region="")
        members.heard(tables, short, 1.0)
        members.told(tables, attrs.evolve(short, incarnation=2), 1.0)
        row = tables.hosts["b"]
        assert (row.zone, row.region, row.address) == ("z2", "r1", "10.0.0.2:1")

    def test_leaving_is_told_on_and_leaves_no_live_host(self, tables, members):
        members.told(tables, report(leaving=True), 0.0)
        assert live_hosts(tables) == ()

    def test_parted_host_lives_on_by_relayed_deadlines(self, tables, members):
        members.heard(tables, report(), 0.0)
        members.parted(tables, "b", 1.0)
        members.run(tables, 200.0)
        assert states(tables) == {"b": ALIVE}


events = st.lists(
    st.tuples(
        st.sampled_from(["heard", "told", "listed", "parted"]),
        st.integers(1, 3),
        st.sampled_from(list(HostState)),
        st.booleans(),
        st.floats(0.0, 3.0),
    ),
    max_size=30,
)


class TestAnyOrder:
    @given(events)
    def test_no_order_of_events_breaks_the_rules(self, steps):
        tables, members = Tables(SelfRow("a", "z1")), Membership()
        now, incarnation, heard = 0.0, 0, None
        for kind, number, state, flag, wait in steps:
            now += wait
            if kind == "heard":
                members.heard(tables, report(incarnation=number), now)
                heard = (number, now) if number >= incarnation else heard
            elif kind == "told":
                told = report("b", number, now - wait, state, leaving=flag)
                members.told(tables, told, now)
            elif kind == "listed":
                members.listed(tables, [LISTED] if flag else [], now)
            else:
                members.parted(tables, "b", now)
            row = tables.hosts.get("b")
            if row is None:
                assert incarnation == 0
                continue
            assert row.incarnation >= incarnation
            incarnation = row.incarnation
            own = heard is not None and heard[0] == incarnation
            if own and row.direct and now < heard[1] + 2.5:
                assert row.state is ALIVE
        members.run(tables, now + MembershipSettings().relayed_dead_seconds + 1.0)
        assert all(s in (DEAD, HostState.UNKNOWN) for s in states(tables).values())


class TestFleet:
    """Hosts in a ring that lose messages, and one that is killed."""

    COUNT = 9

    @settings(deadline=None, max_examples=25)
    @given(st.integers(0, 2**32), st.integers(0, COUNT - 1), st.floats(0.0, 0.5))
    def test_all_survivors_agree_once_losses_end(self, seed, victim, loss):
        rng = random.Random(seed)
        members = Membership()
        fleet = {
            f"h{n}": Tables(SelfRow(f"h{n}", "z1", incarnation=1))
            for n in range(self.COUNT)
        }
        gossips = {host: Gossip() for host in fleet}
        names = list(fleet)
        for tick in range(60):
            now, dead = float(tick), names[victim] if tick >= 20 else None
            sends = [
                (sender, names[(place + step) % self.COUNT])
                for place, sender in enumerate(names)
                for step in (-2, -1, 1, 2)
            ]
            rng.shuffle(sends)
            digests = {h: gossips[h].digest(t, now) for h, t in fleet.items()}
            for sender, receiver in sends:
                lost = rng.random() < loss and tick < 30
                if lost or dead in (sender, receiver):
                    continue
                me, tables = fleet[sender].me, fleet[receiver]
                own = report(sender, me.incarnation)
                members.heard(tables, own, now)
                for known in digests[sender]:
                    members.told(tables, report_of(known, now), now)
            for tables in fleet.values():
                members.run(tables, now)
        for host, tables in fleet.items():
            if host == names[victim]:
                continue
            alive = {row.host for row in live_hosts(tables)}
            assert alive == set(names) - {host, names[victim]}
            assert tables.hosts[names[victim]].state is DEAD
