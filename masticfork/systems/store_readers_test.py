"""Tests of the choice of hosts that read the store."""

import pytest

from masticfork.systems.store_readers import (
    ReaderCandidate,
    choose_readers,
    overdue_limit,
    silence_limit,
)


def fleet(zones, hosts_per_zone, failing=()):
    return [
        ReaderCandidate(f"{zone}-{number}", zone, f"{zone}-{number}" in failing)
        for zone in zones
        for number in range(hosts_per_zone)
    ]


class TestChoice:
    def test_number_of_readers_grows_with_zones_and_not_with_hosts(self):
        for hosts_per_zone in (6, 16, 80):
            assert len(choose_readers(fleet("abcde", hosts_per_zone))) == 10

    def test_small_fleet_reads_on_every_host(self):
        assert len(choose_readers(fleet("ab", 2))) == 4

    def test_order_of_candidates_does_not_matter(self):
        candidates = fleet("abc", 9)
        assert choose_readers(candidates) == choose_readers(candidates[::-1])

    def test_hosts_that_the_store_turns_away_are_replaced(self):
        before = choose_readers(fleet("abc", 9))
        failing = {host for host in before if host.startswith("a")}
        after = choose_readers(fleet("abc", 9, failing))
        assert not failing & after
        assert {h for h in before if not h.startswith("a")} < after

    def test_failing_hosts_read_if_there_are_no_others(self):
        failing = {candidate.host for candidate in fleet("a", 3)}
        assert len(choose_readers(fleet("a", 3, failing))) == 2


class TestSilence:
    @pytest.mark.parametrize("shortest_change", [0.5, 1.0, 2.0, 3.0, 4.0, 60.0])
    def test_lost_readers_are_replaced_in_half_the_time_of_a_change(
        self, shortest_change
    ):
        """Guards against changes that apply late because all readers are lost."""
        assert silence_limit(shortest_change) <= shortest_change / 2

    def test_long_bounds_do_not_make_hosts_wait_long(self):
        assert silence_limit(60.0) <= 2.2


class TestOverdueLimit:
    @pytest.mark.parametrize("shortest_change", [1.0, 2.0, 3.0, 4.0])
    def test_waits_for_others_leave_time_to_read_the_store(self, shortest_change):
        """Guards against waits that have limits of their own and no common one."""
        waits = silence_limit(shortest_change) + overdue_limit(shortest_change)
        assert waits <= 0.75 * shortest_change
