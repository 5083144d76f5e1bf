"""Tests of what heartbeats tell of other hosts."""

import attrs
import pytest

from masticfork.core.hosts import HostReport, HostState, ListedHost
from masticfork.core.tables import SelfRow, Tables
from masticfork.peers.gossip import NEWS_REPEATS, Gossip, known_host, report_of
from masticfork.systems.membership import Membership


@pytest.fixture
def tables():
    tables = Tables(SelfRow("a", "z1"))
    for name in ("b", "c", "d"):
        report = HostReport(name, "z2", "r1", "10.0.0.2:1", 1, 0.0)
        Membership().heard(tables, report, 0.0)
    return tables


def settled(tables):
    gossip = Gossip()
    for _ in range(NEWS_REPEATS):
        gossip.digest(tables, 0.0)
    return gossip


def whole(digest):
    """The hosts of which everything is told."""
    return [known.host for known in digest if known.address]


class TestDigest:
    def test_news_is_told_whole_a_few_times(self, tables):
        gossip = settled(tables)
        tables.hosts["c"] = attrs.evolve(tables.hosts["c"], state=HostState.DEAD)
        told = [whole(gossip.digest(tables, 1.0)) for _ in range(NEWS_REPEATS + 1)]
        assert told == [["c"]] * NEWS_REPEATS + [[]]

    def test_accusation_that_this_host_knows_to_be_wrong_is_news(self, tables):
        gossip = settled(tables)
        wrong = HostReport("c", "z2", "r1", "", 1, 0.0, HostState.DEAD)
        Membership().told(tables, wrong, 1.0)
        (known,) = [k for k in gossip.digest(tables, 1.0) if k.address]
        assert (known.host, known.state) == ("c", HostState.ALIVE)

    def test_without_news_hosts_are_told_in_turn(self, tables):
        gossip = settled(tables)
        told = [known.host for _ in range(6) for known in gossip.digest(tables, 1.0)]
        assert sorted(told) == ["b", "b", "c", "c", "d", "d"]

    def test_host_that_is_only_listed_is_not_told(self, tables):
        Membership().listed(tables, [ListedHost("e", "z1", "10.0.0.5:1")], 0.0)
        gossip = Gossip()
        assert "e" not in whole(gossip.digest(tables, 0.0))

    def test_report_that_goes_round_never_gets_fresher(self, tables):
        row, now = tables.hosts["b"], 10.0
        for _ in range(5):
            report = report_of(known_host(row, now), now + 0.1)
            assert report.heard_at < row.heard_at
            row, now = attrs.evolve(row, heard_at=report.heard_at), now + 0.1
