"""Paces of servers over several hosts, without a network.

Each test of `TestLoad` names the load that the pace answers.
"""

import random
from collections import Counter

import pytest

from masticfork.systems.server_pace import (
    PROBATION_SECONDS,
    ColdLimits,
    ServerPace,
)

SLOTS = 64
STEP_SECONDS = 0.02
REPORT_SECONDS = 0.5
TICK_SECONDS = 0.25


class Server:
    """A server that answers in time up to a rate, and falls over beyond another."""

    def __init__(self, key, answers=lambda rate, now: True, falls_over_at=None):
        self.key, self.answers, self.falls_over_at = key, answers, falls_over_at
        self.arrivals, self.fell_over = [], False

    def arrive(self, now):
        """Take a request; return whether its answer is in time."""
        self.arrivals.append(now)
        rate = self.rate_at(now)
        if self.falls_over_at is not None and rate > self.falls_over_at(now):
            self.fell_over = True
        return self.answers(rate, now)

    def rate_at(self, now):
        """Return the requests that arrived in the last second."""
        return sum(now - 1.0 < at <= now for at in self.arrivals)

    def most_in_a_second(self):
        return max((self.rate_at(at) for at in self.arrivals), default=0)


class Fleet:
    """Hosts that send a load to some servers, each by what it knows itself."""

    def __init__(self, hosts, servers, per_second, limits, seed=1):
        self.rng = random.Random(seed)
        self.servers, self.per_second, self.limits = servers, per_second, limits
        self.names = [f"host-{n}" for n in range(hosts)]
        self.known = {name: frozenset(self.names) for name in self.names}
        self.paces = {
            name: {server.key: ServerPace() for server in servers}
            for name in self.names
        }
        self.unserved = 0
        # Answers on the way, and the calls in progress by host and server.
        self.answers = []
        self.running = Counter()

    def begin(self, server, cold_seconds, now, names=None):
        for name in names or self.names:
            pace = self.paces[name][server.key]
            pace.begin(self.limits, SLOTS, cold_seconds, now)

    def divide(self, now):
        for name, paces in self.paces.items():
            for key, pace in paces.items():
                pace.run(now)
                pace.divide(key, name, self.known[name], now)

    def report(self, now):
        for sender, paces in self.paces.items():
            for key, pace in paces.items():
                report = pace.report(key, now)
                for receiver in self.names:
                    if report and receiver != sender and sender in self.known[receiver]:
                        self.paces[receiver][key].apply(report, now)

    def play(self, start, end, latency=0.5):
        now, next_tick, next_report, due = start, start, start, 0.0
        while now < end:
            if now >= next_tick:
                self.divide(now)
                next_tick += TICK_SECONDS
            if now >= next_report:
                self.report(now)
                next_report += REPORT_SECONDS
            while self.answers and self.answers[0][0] <= now:
                at, name, key, timely, sent_at = self.answers.pop(0)
                self.running[name, key] -= 1
                if name in self.paces:
                    self.paces[name][key].record_answer(timely, sent_at, at)
            due += self.per_second * STEP_SECONDS
            while due >= 1.0:
                due -= 1.0
                self.send(now, latency)
            now += STEP_SECONDS

    def send(self, now, latency):
        name = self.rng.choice(self.names)
        paces = self.paces[name]
        open_servers = [
            server
            for server in self.servers
            if paces[server.key].accepts_calls(self.running[name, server.key], now)
        ]
        if not open_servers:
            self.unserved += 1
            return
        # The least loaded server is chosen, as hosts do: an idle one draws all calls.
        server = min(open_servers, key=lambda s: s.rate_at(now))
        paces[server.key].take(now)
        self.running[name, server.key] += 1
        timely = server.arrive(now)
        self.answers.append((now + latency, name, server.key, timely, now))


LIMITS = ColdLimits(rate=6.3, seconds=3.0)
TOLERATED = LIMITS.rate * 1.5 + 5


class TestLoad:
    @pytest.mark.parametrize("hosts", [1, 4, 34, 62])
    def test_one_restarted_server_of_thirty_is_neither_flooded_nor_idle(self, hosts):
        """Load: steady traffic; an empty server attracts the calls of all hosts."""
        servers = [Server(key) for key in range(30)]
        fleet = Fleet(hosts, servers, 250, LIMITS)
        fleet.play(0.0, 1.0)
        cold = servers[3]
        cold.arrivals.clear()
        fleet.begin(cold, LIMITS.seconds, 1.0)
        fleet.play(1.0, 1.0 + LIMITS.seconds)
        assert cold.most_in_a_second() <= TOLERATED
        assert len(cold.arrivals) >= 0.5 * LIMITS.rate * LIMITS.seconds
        fleet.play(4.0, 8.0)
        # An even part of the load, soon after the server is warm.
        assert cold.rate_at(8.0) >= 0.7 * 250 / 30

    def test_all_restarted_at_once(self):
        """Load: all servers of a service are replaced within one second."""
        servers = [Server(key) for key in range(30)]
        fleet = Fleet(34, servers, 120, LIMITS)
        for server in servers:
            fleet.begin(server, LIMITS.seconds, 0.0)
        fleet.play(0.0, 6.0)
        assert max(server.most_in_a_second() for server in servers) <= TOLERATED
        fleet.unserved = 0
        fleet.play(6.0, 8.0)
        assert fleet.unserved == 0

    def test_slow_start_that_never_ends(self):
        """Load: a server that stays too slow gets few requests, but some."""
        slow = Server(1, answers=lambda rate, now: False)
        servers = [slow, *(Server(key) for key in range(2, 12))]
        fleet = Fleet(34, servers, 250, LIMITS)
        fleet.begin(slow, 0.0, 0.0)
        fleet.play(0.0, 20.0)
        # One call of each of the first hosts at a time, and no host more than that.
        assert slow.most_in_a_second() <= SLOTS
        assert slow.rate_at(20.0) >= 2

    def test_server_that_falls_over_at_half_its_pace(self):
        """Load: a recovered server that bears half of what the others get."""
        weak = Server(1, falls_over_at=lambda now: 10 + 10 * now)
        servers = [weak, *(Server(key) for key in range(2, 8))]
        fleet = Fleet(34, servers, 250, LIMITS)
        fleet.begin(weak, LIMITS.seconds, 0.0)
        fleet.play(0.0, 5.0)
        assert not weak.fell_over

    def test_cold_again_at_any_moment(self):
        """Load: a warm server becomes cold while it gets its full part."""
        server, others = Server(1), [Server(key) for key in range(2, 12)]
        fleet = Fleet(34, [server, *others], 250, LIMITS)
        fleet.begin(server, LIMITS.seconds, 0.0)
        fleet.play(0.0, 6.0)
        server.arrivals.clear()
        fleet.begin(server, LIMITS.seconds, 6.0)
        fleet.play(6.0, 6.0 + LIMITS.seconds)
        assert server.most_in_a_second() <= TOLERATED


class TestFailures:
    def test_hosts_that_are_cut_off_from_the_others_keep_the_sum(self):
        """Guards against halves that each use the whole rate of a cold server.

        Hosts remember each other for longer than a cold time lasts.
        """
        server, others = Server(1), [Server(key) for key in range(2, 12)]
        fleet = Fleet(34, [server, *others], 250, LIMITS)
        fleet.report = lambda now: None
        fleet.begin(server, LIMITS.seconds, 0.0)
        fleet.play(0.0, LIMITS.seconds)
        assert server.most_in_a_second() <= TOLERATED

    def test_hosts_that_learn_late_keep_the_sum(self):
        """Guards against stale entries: half of the hosts learn 0.8 s later."""
        server, others = Server(1), [Server(key) for key in range(2, 12)]
        fleet = Fleet(34, [server, *others], 60, LIMITS)
        fleet.begin(server, LIMITS.seconds, 0.0, fleet.names[:17])
        for name in fleet.names[17:]:
            # Until the entry arrives, nothing excludes the server there.
            fleet.paces[name][1].begin(LIMITS, SLOTS, 0.0, -1.0)
        fleet.play(0.0, 0.8)
        fleet.begin(server, LIMITS.seconds, 0.8, fleet.names[17:])
        fleet.play(0.8, LIMITS.seconds)
        assert server.most_in_a_second() <= TOLERATED

    @pytest.mark.parametrize("lost", [1, 17, 33])
    def test_lost_hosts_leave_their_part_unused(self, lost):
        """Guards against more requests than tolerated as hosts are forgotten."""
        server, others = Server(1), [Server(key) for key in range(2, 12)]
        fleet = Fleet(34, [server, *others], 250, LIMITS)
        fleet.begin(server, LIMITS.seconds, 0.0)
        fleet.play(0.0, 1.5)
        left = frozenset(fleet.names[lost:])
        fleet.names = sorted(left)
        fleet.known = dict.fromkeys(left, left)
        fleet.paces = {name: fleet.paces[name] for name in left}
        fleet.play(1.5, LIMITS.seconds)
        assert server.most_in_a_second() <= TOLERATED


class TestServerPace:
    def make(self, cold_seconds=0.0):
        pace = ServerPace()
        pace.begin(LIMITS, SLOTS, cold_seconds, 10.0)
        pace.divide(7, "host-1", frozenset({"host-1"}), 10.0)
        return pace

    def test_service_that_names_no_rate_is_not_paced(self):
        """Guards against a change for deployments that don't ask for it."""
        pace = ServerPace()
        assert not pace.begin(ColdLimits(), SLOTS, 3.0, 10.0)
        assert pace.accepts_calls(5, 10.0)

    def test_next_heartbeat_of_a_cold_server_is_no_new_start(self):
        """Guards against a cold time that each heartbeat prolongs."""
        pace = self.make(cold_seconds=3.0)
        assert not pace.begin(LIMITS, SLOTS, 2.2, 11.5)
        assert pace.cold_until == 13.0

    def test_answers_to_earlier_requests_tell_nothing(self):
        pace = self.make()
        pace.record_answer(True, sent_at=9.9, now=10.1)
        assert pace.window == 1

    def test_late_answer_halves_the_window(self):
        pace = self.make()
        for _ in range(7):
            pace.record_answer(True, sent_at=10.1, now=10.2)
        assert pace.accepts_calls(7, 10.2)
        pace.record_answer(False, sent_at=10.1, now=10.3)
        assert pace.window == 4
        assert not pace.accepts_calls(4, 10.3)

    def test_late_answer_to_another_host_keeps_the_pace(self):
        """Guards against hosts without answers that flood a slow server."""
        pace, other = self.make(), self.make()
        other.record_answer(False, sent_at=10.1, now=12.0)
        pace.apply(other.report(1, 12.2), 12.2)
        assert not pace.run(10.0 + PROBATION_SECONDS)
        assert pace.run(12.0 + PROBATION_SECONDS)

    def test_hosts_beyond_half_of_the_slots_wait(self):
        """Guards against a fleet whose first calls fill a small server."""
        hosts = frozenset(f"host-{n}" for n in range(62))
        windows = 0
        for host in hosts:
            pace = ServerPace()
            pace.begin(LIMITS, 24, 0.0, 10.0)
            pace.divide(7, host, hosts, 10.0)
            windows += pace.window
        assert windows == 12

    def test_ends_after_the_probation_unless_answers_are_late(self):
        pace = self.make()
        pace.record_answer(False, sent_at=10.1, now=12.0)
        assert not pace.run(10.0 + PROBATION_SECONDS)
        assert pace.run(12.0 + PROBATION_SECONDS)
        assert pace.accepts_calls(5, 12.0 + PROBATION_SECONDS)
