"""Tests of the entries on other hosts in heartbeats."""

import attrs
import pytest

from masticfork.core.hosts import HostReport, HostState, ListedHost
from masticfork.core.tables import SelfRow, Tables
from masticfork.peers.gossip import CHANGE_REPEATS, Gossip, known_host, report_of
from masticfork.systems.membership import Membership


@pytest.fixture
def tables():
    tables = Tables(SelfRow("a", "z1"))
    for name in ("b", "c", "d"):
        report = HostReport(name, "z2", "r1", "10.0.0.2:1", 1, 0.0)
        Membership().record_heartbeat(tables, report, 0.0)
    return tables


def gossip_without_changes(tables):
    gossip = Gossip()
    for _ in range(CHANGE_REPEATS):
        gossip.digest(tables, 0.0)
    return gossip


def complete_entries(digest):
    """Return the hosts with a complete entry."""
    return [known.host for known in digest if known.address]


class TestDigest:
    def test_change_is_sent_completely_and_repeated(self, tables):
        gossip = gossip_without_changes(tables)
        tables.hosts["c"] = attrs.evolve(tables.hosts["c"], state=HostState.DEAD)
        sent = [
            complete_entries(gossip.digest(tables, 1.0))
            for _ in range(CHANGE_REPEATS + 1)
        ]
        assert sent == [["c"]] * CHANGE_REPEATS + [[]]

    def test_disputed_report_is_sent_as_a_change(self, tables):
        gossip = gossip_without_changes(tables)
        wrong = HostReport("c", "z2", "r1", "", 1, 0.0, HostState.DEAD)
        Membership().record_peer_report(tables, wrong, 1.0)
        (known,) = [k for k in gossip.digest(tables, 1.0) if k.address]
        assert (known.host, known.state) == ("c", HostState.ALIVE)

    def test_unchanged_hosts_are_sent_in_turn(self, tables):
        gossip = gossip_without_changes(tables)
        sent = [known.host for _ in range(6) for known in gossip.digest(tables, 1.0)]
        assert sorted(sent) == ["b", "b", "c", "c", "d", "d"]

    def test_host_known_only_from_the_platform_list_is_not_sent(self, tables):
        Membership().record_host_list(
            tables, [ListedHost("e", "z1", "10.0.0.5:1")], 0.0
        )
        gossip = Gossip()
        assert "e" not in complete_entries(gossip.digest(tables, 0.0))

    def test_circulating_report_always_gets_older(self, tables):
        row, now = tables.hosts["b"], 10.0
        for _ in range(5):
            report = report_of(known_host(row, now), now + 0.1)
            assert report.heard_at < row.heard_at
            row, now = attrs.evolve(row, heard_at=report.heard_at), now + 0.1
