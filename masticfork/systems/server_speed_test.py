"""Speeds of servers over several hosts, without a network."""

import random

import pytest

from masticfork.systems.server_speed import (
    MAX_DIFFERENCE,
    REPORT_LIFETIME_SECONDS,
    ServerSpeeds,
)

SERVERS = range(45)


def play(hosts, slowness, seconds=10.0, per_second=200, seed=1, reports=True):
    """Return what each host finds after answers of servers as slow as given."""
    rng = random.Random(seed)
    speeds = [ServerSpeeds() for _ in range(hosts)]
    count = int(seconds * per_second)
    for n in range(count):
        now = n / per_second
        server = rng.choice(SERVERS)
        noise = 2.5 if rng.random() < 0.15 else rng.uniform(0.7, 1.4)
        expected = rng.uniform(0.05, 0.5)
        measured = expected * slowness(server, now) * noise
        rng.choice(speeds).record(server, measured, expected, now)
        if reports and n % per_second == 0:
            share(speeds, now)
    if reports:
        share(speeds, seconds)
    return [host.slowness(SERVERS, seconds) for host in speeds]


def share(speeds, now):
    reports = [host.report(SERVERS, now) for host in speeds]
    for receiver, host in enumerate(speeds):
        for sender, report in enumerate(reports):
            if sender != receiver:
                host.apply(f"host-{sender}", report, now)


class TestLoad:
    @pytest.mark.parametrize("hosts", [1, 62])
    def test_third_of_the_servers_is_much_slower(self, hosts):
        """Load: even demand on servers of which every third takes 2.4 times as long."""
        found = play(hosts, lambda server, now: 2.4 if server % 3 == 2 else 1.0)
        for slowness in found:
            for server in SERVERS:
                if server % 3 == 2:
                    assert 1.5 <= slowness[server] <= 3.5
                else:
                    assert slowness[server] == 1.0

    def test_servers_that_differ_little_are_left_alone(self):
        """Guards against other choices where servers are even."""
        found = play(24, lambda server, now: 1.3 if server % 3 == 2 else 1.0)
        values = [value for slowness in found for value in slowness.values()]
        assert values.count(1.0) >= 0.99 * len(values)

    def test_whole_service_that_is_slow_is_even(self):
        """Load: all servers are overloaded; none is to be avoided for it."""
        found = play(8, lambda server, now: 6.0)
        values = [value for slowness in found for value in slowness.values()]
        assert values.count(1.0) >= 0.99 * len(values)

    def test_server_that_recovers_is_found_out(self):
        """Load: one server is slow for a while."""
        slow = play(8, lambda server, now: 4.0 if server == 7 and now < 10 else 1.0)
        assert all(slowness[7] > 1.5 for slowness in slow)
        later = play(
            8, lambda server, now: 4.0 if server == 7 and now < 10 else 1.0, 50.0
        )
        assert all(slowness[7] == 1.0 for slowness in later)


class TestFailures:
    def test_host_without_reports_knows_little_and_errs_to_even(self):
        """Guards against placement by one or two answers after a partition."""
        found = play(62, lambda server, now: 1.0, reports=False)
        values = [value for slowness in found for value in slowness.values()]
        assert values.count(1.0) >= 0.98 * len(values)

    def test_absurd_times_are_bounded(self):
        speeds = ServerSpeeds()
        for n in range(100):
            speeds.record(1, 1000.0, 0.05, n * 0.01)
            speeds.record(2, 0.05, 0.05, n * 0.01)
            speeds.record(3, 0.05, 0.05, n * 0.01)
        assert speeds.slowness([1, 2, 3], 1.0)[1] <= MAX_DIFFERENCE

    def test_two_servers_are_not_compared(self):
        speeds = ServerSpeeds()
        speeds.record(1, 1.0, 0.1, 0.0)
        assert speeds.slowness([1, 2], 0.0) == {1: 1.0, 2: 1.0}

    def test_reports_of_lost_hosts_expire(self):
        """Guards against sums that keep what a lost host has reported."""
        slow = ServerSpeeds()
        for n in range(100):
            for server, seconds in ((1, 0.8), (2, 0.1), (3, 0.1)):
                slow.record(server, seconds, 0.1, n * 0.01)
        speeds = ServerSpeeds()
        for at in (1.0, 2.0):
            speeds.apply("host-2", slow.report([1, 2, 3], at), at)
        assert speeds.slowness([1, 2, 3], 2.0)[1] > 1.5
        later = 2.0 + REPORT_LIFETIME_SECONDS
        assert speeds.slowness([1, 2, 3], later) == {1: 1.0, 2: 1.0, 3: 1.0}
