"""Tests of membership: deadlines, incarnations and precedence of sources."""

import random

import attrs
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from masticfork.core.hosts import HostReport, HostState, ListedHost
from masticfork.core.tables import SelfRow, Tables
from masticfork.peers.gossip import Gossip, report_of
from masticfork.systems.membership import Membership, MembershipSettings, live_hosts

ALIVE, SUSPECT, DEAD = HostState.ALIVE, HostState.SUSPECT, HostState.DEAD
LISTED = ListedHost("b", "z2", "10.0.0.2:1")


def report(host="b", incarnation=1, heard_at=0.0, state=ALIVE, **fields):
    return HostReport(
        host, "z2", "r1", "10.0.0.2:1", incarnation, heard_at, state, **fields
    )


@pytest.fixture
def tables():
    return Tables(SelfRow("a", "z1", incarnation=5))


@pytest.fixture
def membership():
    return Membership()


def states(tables):
    return {host: row.state for host, row in tables.hosts.items()}


class TestDeadlines:
    def test_silent_host_is_suspected_before_it_is_declared_dead(
        self, tables, membership
    ):
        membership.record_heartbeat(tables, report(), 0.0)
        seen = []
        for now in (2.4, 2.5, 3.9, 4.0):
            findings = membership.run(tables, now)
            seen.append((tables.hosts["b"].state, [f.code for f in findings]))
        assert seen == [
            (ALIVE, []),
            (SUSPECT, ["host_suspect"]),
            (SUSPECT, []),
            (DEAD, ["host_dead"]),
        ]

    def test_heartbeat_ends_suspicion(self, tables, membership):
        membership.record_heartbeat(tables, report(), 0.0)
        membership.run(tables, 3.0)
        membership.record_heartbeat(tables, report(), 3.1)
        membership.run(tables, 5.5)
        assert states(tables) == {"b": ALIVE}

    def test_dead_host_is_removed_after_the_retention_time(self, tables, membership):
        membership.record_heartbeat(tables, report(), 0.0)
        membership.run(tables, 4.0)
        membership.run(tables, 1204.0)
        assert not tables.hosts


class TestIncarnations:
    def test_restarted_host_is_alive_again(self, tables, membership):
        membership.record_heartbeat(tables, report(leaving=True), 0.0)
        membership.run(tables, 4.0)
        membership.record_peer_report(tables, report(incarnation=2, heard_at=4.0), 4.5)
        assert states(tables) == {"b": ALIVE}
        assert not tables.hosts["b"].leaving

    def test_report_of_an_earlier_incarnation_is_ignored(self, tables, membership):
        membership.record_heartbeat(tables, report(incarnation=2), 0.0)
        membership.record_heartbeat(tables, report(incarnation=1, leaving=True), 1.0)
        membership.record_peer_report(tables, report(incarnation=1, state=DEAD), 1.0)
        assert states(tables) == {"b": ALIVE}
        assert not tables.hosts["b"].leaving

    @pytest.mark.parametrize("false_state", [{"state": SUSPECT}, {"state": DEAD}])
    def test_this_host_refutes_its_own_suspicion_or_death(
        self, tables, membership, false_state
    ):
        findings = membership.record_peer_report(
            tables, report("a", 5, **false_state), 0.0
        )
        assert tables.me.incarnation == 6
        assert [f.code for f in findings] == ["host_refuted"]

    def test_this_host_refutes_leaving_unless_it_is_stopping(self, tables, membership):
        membership.record_peer_report(tables, report("a", 5, leaving=True), 0.0)
        assert tables.me.incarnation == 6
        tables.me = attrs.evolve(tables.me, stopping=True)
        membership.record_peer_report(tables, report("a", 6, leaving=True), 0.0)
        assert tables.me.incarnation == 6


class TestSourcePrecedence:
    def test_direct_heartbeats_override_peers_and_the_list(self, tables, membership):
        membership.record_heartbeat(tables, report(), 0.0)
        membership.record_peer_report(tables, report(state=DEAD, heard_at=0.5), 1.0)
        assert tables.hosts["b"].disputes == 1
        membership.record_host_list(tables, [], 1.0)
        membership.record_host_list(tables, [attrs.evolve(LISTED, leaving=True)], 1.0)
        assert states(tables) == {"b": ALIVE}
        assert not tables.hosts["b"].leaving

    def test_silent_host_is_declared_dead_although_it_is_listed(
        self, tables, membership
    ):
        membership.record_heartbeat(tables, report(), 0.0)
        for now in range(1, 6):
            membership.record_host_list(tables, [LISTED], now)
            membership.run(tables, now)
        membership.record_host_list(tables, [LISTED], 6.0)
        assert states(tables) == {"b": DEAD}

    def test_newer_report_from_a_peer_revives_a_suspected_host(
        self, tables, membership
    ):
        membership.record_heartbeat(tables, report(), 0.0)
        membership.run(tables, 2.5)
        membership.record_peer_report(tables, report(heard_at=1.6), 2.6)
        assert states(tables) == {"b": SUSPECT}
        membership.record_peer_report(tables, report(heard_at=2.6), 2.7)
        membership.run(tables, 10.0)
        assert states(tables) == {"b": ALIVE}

    def test_death_is_passed_on_with_the_heartbeat_that_it_is_based_on(
        self, tables, membership
    ):
        # The death was declared after a silence from 10.0 s on. Passed on as if it had
        # followed the heartbeat of 13.0 s, it would override those heard of later.
        membership.record_peer_report(tables, report(heard_at=13.0), 13.5)
        membership.record_peer_report(tables, report(heard_at=10.0, state=DEAD), 14.0)
        assert tables.hosts["b"].state is DEAD
        assert tables.hosts["b"].heard_at == 10.0
        membership.record_peer_report(tables, report(heard_at=14.5), 15.0)
        assert states(tables) == {"b": ALIVE}

    def test_own_deadline_confirms_a_death_with_the_later_heartbeat(
        self, tables, membership
    ):
        membership.record_heartbeat(tables, report(), 13.0)
        membership.run(tables, 16.0)
        membership.record_peer_report(tables, report(heard_at=10.0, state=DEAD), 16.1)
        assert tables.hosts["b"].heard_at == 10.0
        membership.run(tables, 17.0)
        assert tables.hosts["b"].heard_at == 13.0

    def test_listed_host_is_unknown_until_heard_of(self, tables, membership):
        membership.record_host_list(tables, [LISTED], 0.0)
        assert states(tables) == {"b": HostState.UNKNOWN}
        assert live_hosts(tables) == ()
        membership.record_host_list(tables, [], 1.0)
        assert not tables.hosts

    def test_list_extends_deadlines_of_indirectly_known_hosts(self, tables, membership):
        membership.record_peer_report(tables, report(), 0.0)
        membership.record_host_list(tables, [LISTED], 899.0)
        membership.run(tables, 1000.0)
        assert states(tables) == {"b": ALIVE}

    def test_short_report_keeps_zone_region_and_address(self, tables, membership):
        membership.record_heartbeat(tables, report(), 0.0)
        short = attrs.evolve(report(), address="", zone="", region="")
        membership.record_heartbeat(tables, short, 1.0)
        membership.record_peer_report(tables, attrs.evolve(short, incarnation=2), 1.0)
        row = tables.hosts["b"]
        assert (row.zone, row.region, row.address) == ("z2", "r1", "10.0.0.2:1")

    def test_host_reported_as_leaving_is_not_live(self, tables, membership):
        membership.record_peer_report(tables, report(leaving=True), 0.0)
        assert live_hosts(tables) == ()

    def test_host_that_closed_its_link_gets_the_indirect_deadlines(
        self, tables, membership
    ):
        membership.record_heartbeat(tables, report(), 0.0)
        membership.record_link_closed(tables, "b", 1.0)
        membership.run(tables, 200.0)
        assert states(tables) == {"b": ALIVE}


events = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "record_heartbeat",
                "record_peer_report",
                "record_host_list",
                "record_link_closed",
            ]
        ),
        st.integers(1, 3),
        st.sampled_from(list(HostState)),
        st.booleans(),
        st.floats(0.0, 3.0),
    ),
    max_size=30,
)


class TestEventOrder:
    @given(events)
    def test_invariants_hold_for_any_order_of_events(self, event_sequence):
        tables, membership = Tables(SelfRow("a", "z1")), Membership()
        now, incarnation, last_heartbeat = 0.0, 0, None
        for kind, number, state, flag, wait in event_sequence:
            now += wait
            if kind == "record_heartbeat":
                membership.record_heartbeat(tables, report(incarnation=number), now)
                last_heartbeat = (
                    (number, now) if number >= incarnation else last_heartbeat
                )
            elif kind == "record_peer_report":
                gossiped = report("b", number, now - wait, state, leaving=flag)
                membership.record_peer_report(tables, gossiped, now)
            elif kind == "record_host_list":
                membership.record_host_list(tables, [LISTED] if flag else [], now)
            else:
                membership.record_link_closed(tables, "b", now)
            row = tables.hosts.get("b")
            if row is None:
                assert incarnation == 0
                continue
            assert row.incarnation >= incarnation
            incarnation = row.incarnation
            heartbeat_current = (
                last_heartbeat is not None and last_heartbeat[0] == incarnation
            )
            if heartbeat_current and row.direct and now < last_heartbeat[1] + 2.5:
                assert row.state is ALIVE
        membership.run(tables, now + MembershipSettings().indirect_dead_seconds + 1.0)
        assert all(s in (DEAD, HostState.UNKNOWN) for s in states(tables).values())


class TestConvergence:
    """Hosts in a ring that gossip over lossy links while one of them is killed."""

    HOST_COUNT = 9

    # Draws that once left a live host dead, or a dead one alive.
    @settings(deadline=None, max_examples=25)
    @example(187, 6, 0.3125)
    @example(431, 1, 0.375)
    @example(2973184417, 5, 0.38825993620380006)
    @example(3235800362, 4, 0.44857614990846095)
    @given(st.integers(0, 2**32), st.integers(0, HOST_COUNT - 1), st.floats(0.0, 0.5))
    def test_survivors_converge_after_message_loss_ends(self, seed, victim, loss):
        rng = random.Random(seed)
        membership = Membership()
        tables_by_host = {
            f"h{n}": Tables(SelfRow(f"h{n}", "z1", incarnation=1))
            for n in range(self.HOST_COUNT)
        }
        gossips = {host: Gossip() for host in tables_by_host}
        names = list(tables_by_host)
        for tick in range(60):
            now, dead = float(tick), names[victim] if tick >= 20 else None
            deliveries = [
                (sender, names[(position + offset) % self.HOST_COUNT])
                for position, sender in enumerate(names)
                for offset in (-2, -1, 1, 2)
            ]
            rng.shuffle(deliveries)
            digests = {h: gossips[h].digest(t, now) for h, t in tables_by_host.items()}
            for sender, receiver in deliveries:
                lost = rng.random() < loss and tick < 30
                if lost or dead in (sender, receiver):
                    continue
                me, tables = tables_by_host[sender].me, tables_by_host[receiver]
                heartbeat = report(sender, me.incarnation)
                membership.record_heartbeat(tables, heartbeat, now)
                for entry in digests[sender]:
                    membership.record_peer_report(tables, report_of(entry, now), now)
            for tables in tables_by_host.values():
                membership.run(tables, now)
        for host, tables in tables_by_host.items():
            if host == names[victim]:
                continue
            alive = {row.host for row in live_hosts(tables)}
            assert alive == set(names) - {host, names[victim]}
            assert tables.hosts[names[victim]].state is DEAD
