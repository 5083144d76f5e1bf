import itertools
import random
from collections import defaultdict

import attrs
import pytest

from masticfork.core.crash_reports import CrashReport
from masticfork.systems.crash_evidence import (
    INCIDENT_SECONDS,
    MAX_OBSERVATIONS,
    MIN_CRASHES,
    SETTLING_SECONDS,
)
from masticfork.systems.crash_quarantine import (
    ABANDONED_SECONDS,
    FIRST_TRIAL_SECONDS,
    MANY_SERVERS,
    MAX_QUARANTINES,
    MAX_REPORTED,
    MIN_CRASHES_OF_ANSWERED_PARTS,
    OBSERVATION_LIFETIME_SECONDS,
    QUARANTINE_SECONDS,
    REPORT_SECONDS,
    RERUN_SECONDS,
    RUNNING_SECONDS,
    TRIAL_GROWTH_FACTOR,
    CrashQuarantine,
    Suspicion,
)

COMMON, DEADLY, OTHER = 1, 2, 3
# Keys of servers, distinct from those of parts.
SERVERS = itertools.count(1000)


def crash(quarantine, parts, at):
    quarantine.record_crash(parts, next(SERVERS), at)


def quarantined(quarantine, now):
    quarantine.run(now)
    return set(quarantine.quarantines)


class TestSuspicion:
    def test_part_common_to_several_crashes_is_quarantined(self):
        quarantine = CrashQuarantine()
        for number in range(MIN_CRASHES):
            assert not quarantined(quarantine, number + 0.9)
            crash(quarantine, [10 + number, DEADLY], number + 1.0)
        assert quarantined(quarantine, MIN_CRASHES + 1.0) == {DEADLY}

    def test_answer_clears_a_part_of_earlier_crashes_only(self):
        """Guards against sound parts that are shared with the deadly requests."""
        quarantine = CrashQuarantine()
        for number in range(MIN_CRASHES):
            crash(quarantine, [COMMON, DEADLY], float(number))
            quarantine.record_answer([COMMON], number + 0.5)
        assert quarantined(quarantine, MIN_CRASHES + 1.0) == {DEADLY}

    def test_answer_of_the_server_shows_that_it_did_not_crash(self):
        """Guards against lost responses and resets that are taken for crashes."""
        quarantine = CrashQuarantine()
        for number in range(9):
            quarantine.record_crash([OTHER], 50 + number, float(number))
            quarantine.record_alive(50 + number, number + 0.1, number + 0.05)
        assert not quarantined(quarantine, 10.0)

    def test_crashes_at_the_same_time_count_as_one(self):
        """Guards against a lost rack that condemns what its servers were reading."""
        quarantine = CrashQuarantine()
        for number in range(9):
            crash(quarantine, [OTHER], 1.0 + number * INCIDENT_SECONDS / 10)
        assert not quarantined(quarantine, 5.0)

    def test_part_on_many_crashed_servers_needs_only_two_incidents(self):
        """Guards against deadly requests that come faster than crashes can be told."""
        quarantine = CrashQuarantine()
        quarantine.record_answer([COMMON], 0.0)
        for server in range(MANY_SERVERS):
            assert not quarantined(quarantine, 3.0)
            crash(quarantine, [COMMON, DEADLY], 1.0 + server % 2 * INCIDENT_SECONDS)
        assert quarantined(quarantine, 3.0) == {DEADLY}

    def test_host_without_memory_of_answers_needs_all_incidents(self):
        """Guards against a host that was just started as all servers are lost."""
        quarantine = CrashQuarantine()
        for server in range(2 * MANY_SERVERS):
            crash(quarantine, [COMMON, OTHER], 1.0 + server % 2 * INCIDENT_SECONDS)
        assert not quarantined(quarantine, 3.0)

    def test_two_lost_racks_condemn_no_part_that_was_answered_before(self):
        quarantine = CrashQuarantine()
        quarantine.record_answer([COMMON], 0.0)
        for server in range(2 * MANY_SERVERS):
            crash(quarantine, [COMMON], 1.0 + server % 2 * INCIDENT_SECONDS)
        assert not quarantined(quarantine, 3.0)

    def test_crash_that_a_quarantined_part_explains_accuses_no_other(self):
        quarantine = CrashQuarantine()
        for number in range(6):
            server = next(SERVERS)
            quarantine.record_crash([DEADLY], server, float(number))
            if number > 1:
                quarantine.record_crash([OTHER], server, float(number))
        assert quarantined(quarantine, 8.0) == {DEADLY}

    def test_two_deadly_parts_are_both_found(self):
        quarantine = CrashQuarantine()
        for number in range(MIN_CRASHES):
            crash(quarantine, [DEADLY], float(number))
            crash(quarantine, [OTHER], number + 0.4)
        assert quarantined(quarantine, 5.0) == {DEADLY, OTHER}

    def test_old_crashes_are_forgotten(self):
        quarantine = CrashQuarantine()
        for number in range(MIN_CRASHES + 2):
            at = number * OBSERVATION_LIFETIME_SECONDS / (MIN_CRASHES - 1)
            crash(quarantine, [OTHER], at)
            assert not quarantined(quarantine, at + SETTLING_SECONDS)

    def test_memory_is_bounded(self):
        quarantine = CrashQuarantine()
        for number in range(MAX_OBSERVATIONS + 50):
            quarantine.record_crash([number], 5, 1.0)
        assert len(quarantine.report(1.0).observations) == MAX_REPORTED
        quarantine.record_crash([0], 6, 1.5)
        quarantine.record_crash([0], 7, 2.0)
        assert not quarantined(quarantine, 3.0)


class TestAbandonedCalls:
    """Calls that the host has ended itself, of which the server may still crash."""

    def test_call_that_was_dropped_just_before_accuses_its_parts(self):
        """Guards against a request that crashes a server after it left for another."""
        quarantine = CrashQuarantine()
        for number in range(MIN_CRASHES):
            server = next(SERVERS)
            quarantine.record_abandoned([10 + number, DEADLY], server, number + 0.9)
            quarantine.record_crash([20 + number], server, number + 1.0)
        assert quarantined(quarantine, MIN_CRASHES + 1.0) == {DEADLY}

    def test_crash_that_only_another_host_has_seen_accuses_its_parts(self):
        first, second = CrashQuarantine(), CrashQuarantine()
        for number in range(MIN_CRASHES):
            server = next(SERVERS)
            first.record_abandoned([DEADLY], server, number + 0.9)
            second.record_crash([20 + number], server, number + 1.0)
            first.apply_report(second.report(number + 1.1), number + 1.11)
            second.apply_report(first.report(number + 1.2), number + 1.21)
        assert quarantined(first, MIN_CRASHES + 1.0) == {DEADLY}
        assert quarantined(second, MIN_CRASHES + 1.0) == {DEADLY}

    def test_older_ones_and_those_at_other_servers_accuse_nothing(self):
        quarantine = CrashQuarantine()
        for number in range(MIN_CRASHES):
            server = next(SERVERS)
            at = number + 1.0 - 2 * ABANDONED_SECONDS
            quarantine.record_abandoned([DEADLY], server, at)
            quarantine.record_abandoned([DEADLY], next(SERVERS), number + 0.9)
            quarantine.record_crash([20 + number], server, number + 1.0)
        assert not quarantined(quarantine, MIN_CRASHES + 1.0)


class TestPartsOfTheSameRequests:
    def test_part_that_was_never_answered_is_chosen_at_once(self):
        quarantine = CrashQuarantine()
        quarantine.record_answer([COMMON], 0.0)
        for number in range(MIN_CRASHES):
            crash(quarantine, [COMMON, DEADLY], number + 1.0)
        assert quarantined(quarantine, MIN_CRASHES + 2.0) == {DEADLY}

    def test_part_never_answered_comes_before_one_in_more_crashes(self):
        """Guards against another crash, before any answer, that condemns a class."""
        quarantine = CrashQuarantine()
        quarantine.record_answer([COMMON], 0.0)
        crash(quarantine, [COMMON], 1.0)
        for number in range(MIN_CRASHES):
            crash(quarantine, [COMMON, DEADLY], number + 2.0)
        assert quarantined(quarantine, MIN_CRASHES + 3.0) == {DEADLY}

    def test_without_answers_the_later_part_is_chosen(self):
        """Guards against servers that all crash before any answer tells parts apart."""
        quarantine = CrashQuarantine()
        for number in range(MIN_CRASHES):
            crash(quarantine, [COMMON, DEADLY], number + 1.0)
        assert quarantined(quarantine, MIN_CRASHES + 2.0) == {DEADLY}

    def test_part_that_was_answered_before_needs_more_crashes(self):
        """Guards against a class that is refused since servers crash one by one."""
        quarantine = CrashQuarantine()
        quarantine.record_answer([COMMON], 0.0)
        for number in range(MIN_CRASHES_OF_ANSWERED_PARTS):
            assert not quarantined(quarantine, number + 0.9)
            crash(quarantine, [COMMON, 10 + number], number + 1.0)
        assert quarantined(quarantine, 9.0) == {COMMON}

    def test_part_that_turned_deadly_is_the_one_answered_longest_ago(self):
        quarantine = CrashQuarantine()
        quarantine.record_answer([DEADLY], 0.0)
        quarantine.record_answer([COMMON], 0.5)
        for number in range(MIN_CRASHES_OF_ANSWERED_PARTS):
            assert not quarantined(quarantine, number + 0.9)
            crash(quarantine, [DEADLY, COMMON], number + 1.0)
        assert quarantined(quarantine, 9.0) == {DEADLY}


class TestQuarantines:
    def test_quarantine_ends_by_itself(self):
        quarantine = CrashQuarantine()
        for number in range(MIN_CRASHES):
            crash(quarantine, [DEADLY], float(number))
        (added,) = quarantine.run(5.0).added
        assert (added.suspect, added.crashes) == (DEADLY, MIN_CRASHES)
        assert added.until == 5.0 + QUARANTINE_SECONDS
        assert quarantine.run(5.1).added == ()
        assert not quarantine.run(added.until - 0.1).released
        assert quarantine.run(added.until + 0.1).released == (added,)
        assert not quarantine.quarantines

    def test_quarantine_of_another_host_is_adopted_once(self):
        quarantine = CrashQuarantine()
        for now in (1.0, 1.3, 1.6):
            quarantine.apply_report(CrashReport(quarantined={DEADLY: 60.0 - now}), now)
        (added,) = quarantine.run(2.0).added
        assert (added.suspect, added.until, added.crashes) == (DEADLY, 60.0, None)

    def test_quarantine_that_has_ended_is_not_adopted_again(self):
        """Guards against hosts that tell each other for ever of one that has ended.

        It would explain all later crashes, so the part would never be found again.
        """
        hosts = [CrashQuarantine() for _ in range(3)]
        for number in range(MIN_CRASHES):
            crash(hosts[0], [DEADLY], float(number))
        assert quarantined(hosts[0], 4.0) == {DEADLY}
        added = self.exchange_and_run(hosts, 4.0, 8.0)
        assert len(added) == len(hosts) - 1
        end = 4.0 + QUARANTINE_SECONDS
        assert not self.exchange_and_run(hosts, end - 2.0, end + 20.0)
        assert not any(host.quarantines for host in hosts)
        for number in range(MIN_CRASHES):
            crash(hosts[0], [DEADLY], end + 20.0 + number)
        added = self.exchange_and_run(hosts, end + 23.0, end + 25.0)
        assert len(added) == len(hosts)

    def exchange_and_run(self, hosts, since, until):
        """Let hosts report every 0.1 s and run every 0.3 s; return what they added."""
        added = []
        for step in range(round((until - since) / 0.1)):
            for number, host in enumerate(hosts):
                now = since + step * 0.1 + number * 0.03
                if step % 3 == number:
                    added += host.run(now).added
                report = host.report(now)
                # Digests hold no negative times.
                left = {k: max(0.0, v) for k, v in report.quarantined.items()}
                report = attrs.evolve(report, quarantined=left)
                for other in hosts:
                    if other is not host:
                        other.apply_report(report, now + 0.01)
        return added

    def test_answer_that_begins_later_ends_a_quarantine_on_all_hosts(self):
        first, second = CrashQuarantine(), CrashQuarantine()
        for number in range(MIN_CRASHES):
            crash(first, [OTHER], float(number))
        assert quarantined(first, 5.0) == {OTHER}
        second.apply_report(first.report(5.1), 5.1)
        first.record_answer([OTHER], 5.2)
        assert not quarantined(first, 5.3)
        first.apply_report(second.report(5.3), 5.3)
        second.apply_report(first.report(5.4), 5.4)
        assert not quarantined(first, 5.5)
        assert not quarantined(second, 5.5)

    def test_host_that_was_cut_off_learns_that_a_part_was_answered(self):
        """Guards against a wrong quarantine that one host alone keeps to its end."""
        cut_off, other = CrashQuarantine(), CrashQuarantine()
        for number in range(MIN_CRASHES):
            crash(cut_off, [OTHER], float(number))
        assert quarantined(cut_off, 5.0) == {OTHER}
        other.record_answer([OTHER], 9.0)
        other.run(9.0 + 2 * REPORT_SECONDS)
        other.apply_report(cut_off.report(20.0), 20.0)
        assert not quarantined(other, 20.1)
        cut_off.apply_report(other.report(20.2), 20.2)
        assert not quarantined(cut_off, 20.3)

    def test_answer_on_the_way_of_a_quarantine_ends_it(self):
        """Guards against answers that begin between a decision and its arrival."""
        first, second = CrashQuarantine(), CrashQuarantine()
        for number in range(MIN_CRASHES):
            crash(first, [OTHER], float(number))
        assert quarantined(first, 5.0) == {OTHER}
        report = first.report(5.0)
        second.record_answer([OTHER], 5.02)
        second.apply_report(report, 5.1)
        assert not quarantined(second, 5.2)
        first.apply_report(second.report(5.2), 5.2)
        assert not quarantined(first, 5.3)

    def test_part_that_explains_more_crashes_replaces_another(self):
        """Guards against a sound part that was held by the first deadly requests."""
        quarantine = CrashQuarantine()
        for number in range(MIN_CRASHES):
            crash(quarantine, [DEADLY, OTHER], float(number))
        assert quarantined(quarantine, 4.0) == {OTHER}
        for number in range(MIN_CRASHES):
            crash(quarantine, [DEADLY], 5.0 + number)
        changes = quarantine.run(9.0)
        assert set(quarantine.quarantines) == {DEADLY}
        assert [item.suspect for item in changes.released] == [OTHER]


class TestTrials:
    @pytest.fixture()
    def quarantine(self):
        quarantine = CrashQuarantine()
        for number in range(MIN_CRASHES):
            crash(quarantine, [OTHER], float(number))
        assert quarantined(quarantine, 4.0) == {OTHER}
        return quarantine

    def test_one_request_is_tried_after_some_time(self, quarantine):
        assert not quarantine.begin_trial(OTHER, 3.9 + FIRST_TRIAL_SECONDS)
        assert quarantine.begin_trial(OTHER, 4.1 + FIRST_TRIAL_SECONDS)
        assert not quarantine.begin_trial(OTHER, 4.2 + FIRST_TRIAL_SECONDS)

    def test_answered_trial_ends_the_quarantine(self, quarantine):
        """Guards against a sound part that is refused long after crashes."""
        now = 5.0 + FIRST_TRIAL_SECONDS
        assert quarantine.begin_trial(OTHER, now)
        quarantine.record_answer([OTHER], now + 1.0)
        assert not quarantined(quarantine, now + 1.1)

    def test_trials_that_crash_servers_become_rarer_and_extend_it(self, quarantine):
        now = 5.0 + FIRST_TRIAL_SECONDS
        assert quarantine.begin_trial(OTHER, now)
        crash(quarantine, [OTHER], now + 1.0)
        quarantine.run(now + 2.0)
        interval = FIRST_TRIAL_SECONDS * TRIAL_GROWTH_FACTOR
        assert not quarantine.begin_trial(OTHER, now + interval - 0.1)
        assert quarantine.begin_trial(OTHER, now + interval)
        assert quarantined(quarantine, now + QUARANTINE_SECONDS) == {OTHER}

    def test_reported_time_left_is_limited(self):
        """Guards against a faulty report that refuses a part for good."""
        quarantine = CrashQuarantine()
        quarantine.apply_report(CrashReport(quarantined={OTHER: 1e6}), 1.0)
        assert not quarantined(quarantine, 1.0 + QUARANTINE_SECONDS)

    def test_extension_is_adopted_by_other_hosts(self, quarantine):
        other = CrashQuarantine()
        other.apply_report(quarantine.report(4.0), 4.0)
        crash(quarantine, [OTHER], 30.0)
        other.apply_report(quarantine.report(31.0), 31.0)
        assert quarantined(other, 29.0 + QUARANTINE_SECONDS) == {OTHER}


class TestReports:
    def test_observations_of_all_hosts_count_together(self):
        """Guards against requests of which no two reach the same host."""
        hosts = [CrashQuarantine() for _ in range(MIN_CRASHES)]
        for number, host in enumerate(hosts):
            crash(host, [10 + number, DEADLY], float(number))
            for other in hosts:
                if other is not host:
                    other.apply_report(host.report(number + 0.1), number + 0.2)
        assert all(quarantined(host, 9.0) == {DEADLY} for host in hosts)

    def test_observation_is_repeated_for_some_time_and_not_passed_on(self):
        first, second = CrashQuarantine(), CrashQuarantine()
        crash(first, [DEADLY], 1.0)
        second.apply_report(first.report(1.5), 1.5)
        assert not second.report(1.6).observations
        assert first.report(1.0 + REPORT_SECONDS / 2).observations
        assert not first.report(1.1 + REPORT_SECONDS).observations

    def test_answer_at_one_host_clears_a_part_at_all(self):
        first, second = CrashQuarantine(), CrashQuarantine()
        for number in range(MIN_CRASHES):
            crash(first, [COMMON], float(number))
        second.apply_report(first.report(2.1), 2.1)
        second.record_answer([COMMON], 2.2)
        first.apply_report(second.report(2.3), 2.3)
        assert not quarantined(first, 5.0)

    def test_latest_answers_are_reported_first(self):
        """Guards against a common part whose last of many answers is not told."""
        quarantine = CrashQuarantine()
        for part in range(MAX_REPORTED + 10):
            crash(quarantine, [part], 1.0)
            quarantine.record_answer([part], 1.1)
        crash(quarantine, [0], 1.2)
        quarantine.record_answer([0], 1.3)
        assert quarantine.report(1.3).answered[0] == 0.0

    def test_parts_that_were_never_answered_are_reported_first(self):
        """Guards against a part that is lost among those of many requests."""
        quarantine = CrashQuarantine()
        topics = range(10, 10 + MAX_REPORTED)
        quarantine.record_answer(topics, 0.0)
        server = next(SERVERS)
        for topic in topics:
            quarantine.record_crash([topic], server, 1.0)
        quarantine.record_crash([topics[0], DEADLY], server, 1.0)
        reported = {item.suspect for item in quarantine.report(1.1).observations}
        assert DEADLY in reported

    def test_cleared_observation_does_not_come_back(self):
        """Guards against reports that cross the answer that clears them."""
        first, second = CrashQuarantine(), CrashQuarantine()
        crash(first, [COMMON], 1.0)
        report = first.report(1.1)
        second.apply_report(report, 1.1)
        second.record_answer([COMMON], 1.2)
        second.apply_report(attrs.evolve(report), 1.1)
        second.apply_report(first.report(1.3), 1.3)
        assert not second._evidence


@attrs.define
class Fleet:
    """Hosts that exchange reports now and then, and servers that a part crashes."""

    host_count: int
    server_count: int
    rng: random.Random
    restart_seconds: float = 3.0
    now: float = 0.0
    hosts: list = attrs.field(init=False)
    # Incarnation of each server, and the time from which it runs.
    servers: list = attrs.field(init=False)
    # Requests at each incarnation that have no answer yet: host and parts.
    waiting: defaultdict = attrs.field(factory=lambda: defaultdict(list))
    crashes: list = attrs.field(factory=list)
    deadly_sends: list = attrs.field(factory=list)
    sound_refused: int = 0
    sound_sent: int = 0
    in_flight: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.hosts = [CrashQuarantine() for _ in range(self.host_count)]
        self.servers = [[next(SERVERS), 0.0] for _ in range(self.server_count)]

    def send(self, parts):
        host = self.rng.choice(self.hosts)
        deadly = DEADLY in parts
        if set(parts) & set(host.quarantines):
            self.sound_refused += not deadly
            return
        self.sound_sent += not deadly
        self.dispatch(host, parts, 1)

    def dispatch(self, host, parts, attempt):
        running = [s for s in self.servers if s[1] <= self.now]
        if not running or set(parts) & set(host.quarantines):
            return
        server = self.rng.choice(running)
        if DEADLY in parts:
            self.deadly_sends.append(self.now)
        begins = self.now + self.rng.uniform(0.1, 0.8)
        self.in_flight.append((begins, server[0], server, host, parts, attempt))

    def step(self, seconds):
        self.now += seconds
        for due in sorted(f for f in self.in_flight if f[0] <= self.now):
            if due in self.in_flight and due[2][0] == due[1]:
                self.begin_answer(due)
        self.in_flight = [f for f in self.in_flight if f[0] > self.now]
        for host in self.hosts:
            host.run(self.now)

    def begin_answer(self, call):
        _, incarnation, server, host, parts, _ = call
        if DEADLY not in parts:
            host.record_answer(parts, self.now)
            host.record_alive(incarnation, self.now, self.now)
            return
        self.crashes.append(self.now)
        lost = [f for f in self.in_flight if f[1] == incarnation]
        self.in_flight = [f for f in self.in_flight if f[1] != incarnation]
        server[:] = [next(SERVERS), self.now + self.restart_seconds]
        for _, _, _, owner, lost_parts, attempt in lost:
            owner.record_crash(lost_parts, incarnation, self.now)
            if attempt < 3:
                self.dispatch(owner, lost_parts, attempt + 1)

    def exchange_reports(self):
        reports = [host.report(self.now) for host in self.hosts]
        for receiver, (sender, report) in itertools.product(
            self.hosts, zip(self.hosts, reports, strict=True)
        ):
            if receiver is not sender:
                receiver.apply_report(report, self.now)


def play(fleet, rate, share, since=0.0, seconds=30.0):
    """Send requests of one class; from `since` on, a share holds the deadly part."""
    rng, step = fleet.rng, 0.05
    for tick in range(round(seconds / step)):
        fleet.step(step)
        for _ in range(sum(rng.random() < 0.1 for _ in range(int(rate * step * 10)))):
            topic = 100 + rng.randrange(40)
            parts = [COMMON, topic]
            if rng.random() < share and fleet.now > since:
                parts = [COMMON, topic, DEADLY]
            fleet.send(parts)
        if tick % 6 == 0:
            fleet.exchange_reports()


def check_that_deadly_requests_stopped(fleet):
    if len(fleet.crashes) >= 5:
        limit = fleet.crashes[4] + 3.0
        assert sum(at > limit for at in fleet.deadly_sends) <= 3
    assert all(set(host.quarantines) <= {DEADLY} for host in fleet.hosts)
    assert fleet.sound_refused == 0


def lose(quarantine, request, at, parts=(), server=None):
    """Record the crash of a server with one unanswered request."""
    quarantine.record_crash(parts, server or next(SERVERS), at, request)


class TestRequests:
    REQUEST = 7

    def convict(self, quarantine):
        """Lose the request with two servers by itself; return the servers."""
        servers = [next(SERVERS), next(SERVERS)]
        for number, server in enumerate(servers):
            lose(quarantine, self.REQUEST, number + 1.0, server=server)
        assert quarantined(quarantine, 3.0) == {self.REQUEST}
        return servers

    def test_request_that_crashes_two_servers_by_itself_is_quarantined(self):
        quarantine = CrashQuarantine()
        lose(quarantine, self.REQUEST, 1.0)
        assert not quarantined(quarantine, 2.0)
        lose(quarantine, self.REQUEST, 2.1)
        assert quarantined(quarantine, 3.0) == {self.REQUEST}

    def test_second_crash_at_once_counts_by_itself(self):
        """Guards against a request that one attempt sends to server after server."""
        quarantine = CrashQuarantine()
        lose(quarantine, self.REQUEST, 1.0)
        lose(quarantine, self.REQUEST, 1.06)
        assert quarantined(quarantine, 2.0) == {self.REQUEST}

    def test_requests_in_flight_as_a_rack_fails_stay_free(self):
        """Guards against sound requests that are refused after a loss of power."""
        quarantine = CrashQuarantine()
        for number in range(40):
            server = next(SERVERS)
            lose(quarantine, self.REQUEST, 1.0 + number * 0.0005, server=server)
            lose(quarantine, 100 + number, 1.0, server=server)
        assert not quarantined(quarantine, 2.0)

    def test_request_beside_a_deadly_one_twice_is_not_quarantined(self):
        quarantine = CrashQuarantine()
        for at in (1.0, 3.0):
            server = next(SERVERS)
            lose(quarantine, self.REQUEST, at, server=server)
            lose(quarantine, OTHER, at, server=server)
        assert not quarantined(quarantine, 5.0)
        lose(quarantine, self.REQUEST, 6.0)
        assert quarantined(quarantine, 7.0) == {self.REQUEST}

    def test_answer_clears_a_request(self):
        quarantine = CrashQuarantine()
        lose(quarantine, self.REQUEST, 1.0)
        quarantine.record_answer([], 1.5, self.REQUEST)
        assert quarantine.suspicion_of(self.REQUEST, 1.6) is Suspicion.NONE
        lose(quarantine, self.REQUEST, 2.0)
        assert not quarantined(quarantine, 3.0)

    def test_request_that_was_answered_before_is_found_as_soon(self):
        """Guards against a request that only began to crash servers."""
        quarantine = CrashQuarantine()
        lose(quarantine, self.REQUEST, 1.0)
        quarantine.record_answer([], 1.5, self.REQUEST)
        for at in (2.0, 3.0):
            lose(quarantine, self.REQUEST, at)
        assert quarantined(quarantine, 4.0) == {self.REQUEST}

    def test_answers_clear_the_parts_but_not_the_request(self):
        """Guards against a deadly request all of whose parts are answered."""
        quarantine = CrashQuarantine()
        for at in (1.0, 2.0):
            lose(quarantine, self.REQUEST, at, parts=[COMMON])
            quarantine.record_answer([COMMON], at + 0.1, OTHER)
        assert quarantined(quarantine, 3.0) == {self.REQUEST}

    def test_part_of_several_deadly_requests_is_found(self):
        """Guards against each request with a deadly part costing its own crashes."""
        quarantine = CrashQuarantine()
        for number in range(3):
            for at in (number + 1.0, number + 1.3):
                lose(quarantine, 100 + number, at, parts=[COMMON, DEADLY])
            quarantine.record_answer([COMMON], number + 1.5)
        assert quarantined(quarantine, 5.0) == {DEADLY}

    def test_suspected_request_runs_once_at_a_time(self):
        quarantine = CrashQuarantine()
        lose(quarantine, self.REQUEST, 1.0)
        assert quarantine.suspicion_of(self.REQUEST, 1.1) is Suspicion.ALONE
        quarantine.begin_run(self.REQUEST)
        assert quarantine.suspicion_of(self.REQUEST, 1.2) is Suspicion.HELD
        assert quarantine.seconds_until_run(self.REQUEST, 1.2) == RERUN_SECONDS
        quarantine.end_run(self.REQUEST)
        assert quarantine.suspicion_of(self.REQUEST, 1.3) is Suspicion.ALONE

    def test_suspected_request_that_runs_at_another_host_is_held(self):
        first, second = CrashQuarantine(), CrashQuarantine()
        lose(first, self.REQUEST, 1.0)
        first.begin_run(self.REQUEST)
        second.apply_report(first.news(1.1), 1.1)
        assert second.suspicion_of(self.REQUEST, 1.2) is Suspicion.HELD
        later = 1.2 + RUNNING_SECONDS
        assert second.suspicion_of(self.REQUEST, later) is Suspicion.ALONE

    def test_request_is_held_until_its_second_crash_is_settled(self):
        quarantine = CrashQuarantine()
        lose(quarantine, self.REQUEST, 1.0)
        lose(quarantine, self.REQUEST, 2.0)
        assert quarantine.suspicion_of(self.REQUEST, 2.1) is Suspicion.HELD

    def test_memory_is_bounded_under_floods_of_requests(self):
        """Guards against the requests of many crashes that displace a deadly one."""
        quarantine = CrashQuarantine()
        for number in range(3 * MAX_OBSERVATIONS):
            at = number * 0.001
            lose(quarantine, 10_000 + number, at, server=number // 64 + 1)
        lose(quarantine, self.REQUEST, 13.0)
        lose(quarantine, self.REQUEST, 14.0)
        assert quarantined(quarantine, 15.0) == {self.REQUEST}
        assert len(quarantine._evidence) <= MAX_OBSERVATIONS
        assert len(quarantine.report(15.0).observations) <= MAX_REPORTED

    def test_request_is_released_if_its_servers_turn_out_to_live(self):
        """Guards against a sound request that resets by live servers condemn."""
        quarantine = CrashQuarantine()
        servers = self.convict(quarantine)
        for server in servers:
            quarantine.record_alive(server, 3.5, sent_at=3.4)
        assert not quarantined(quarantine, 3.6)

    def test_answer_to_an_earlier_call_releases_no_request(self):
        """Guards against a deadly request that a late answer sets free."""
        quarantine = CrashQuarantine()
        servers = self.convict(quarantine)
        for server in servers:
            quarantine.record_alive(server, 3.5, sent_at=0.9)
        assert quarantined(quarantine, 3.6) == {self.REQUEST}

    def test_other_hosts_release_it_as_well(self):
        first, second = CrashQuarantine(), CrashQuarantine()
        servers = self.convict(first)
        second.apply_report(first.report(3.1), 3.1)
        for server in servers:
            first.record_alive(server, 3.5, sent_at=3.4)
        second.apply_report(first.report(3.6), 3.6)
        assert not quarantined(second, 3.7)
        first.apply_report(second.report(3.8), 3.8)
        assert not quarantined(first, 3.9)

    def test_number_of_quarantines_is_bounded(self):
        quarantine = CrashQuarantine()
        for number in range(MAX_QUARANTINES + 40):
            for at in (number * 0.1, number * 0.1 + 0.05):
                lose(quarantine, 10_000 + number, at)
        quarantine.run(31.0)
        assert len(quarantine.quarantines) <= MAX_QUARANTINES

    def test_host_that_joins_learns_of_quarantines(self):
        first, joined = CrashQuarantine(), CrashQuarantine()
        for at in (1.0, 2.0):
            lose(first, self.REQUEST, at)
        assert quarantined(first, 3.0) == {self.REQUEST}
        joined.apply_report(first.report(60.0), 60.0)
        assert quarantined(joined, 60.1) == {self.REQUEST}


@attrs.define
class RepeatedRequest:
    """Hosts to which one deadly request comes again and again, and its crashes."""

    hosts: list
    rng: random.Random
    # Delay of reports between hosts.
    report_seconds: float = 0.03
    run_seconds: float = 0.06
    crashes: list = attrs.field(factory=list)
    sends: list = attrs.field(factory=list)

    def play(self, interval, seconds, attempts, restarts=()):
        """Send the request at intervals; hosts start anew at the times in `restarts`.

        Each call crashes a server of its own after `run_seconds`.
        """
        request, running, restarts, joined = 7, [], list(restarts), False
        for tick in range(round(seconds / 0.01)):
            now = tick * 0.01
            if restarts and now >= restarts[0]:
                restarts.pop(0)
                self.hosts[self.rng.randrange(len(self.hosts))] = CrashQuarantine()
                joined = True
            for call in [call for call in running if call[0] <= now]:
                running.remove(call)
                self.crash(call, request, now, running, attempts)
            if tick % round(interval / 0.01) == 0:
                self.send(self.rng.choice(self.hosts), request, now, running, 1)
            if tick % round(self.report_seconds / 0.01) == 0:
                self.exchange_reports(now, full=joined or now % 1.0 < 0.1)
                joined = False
            for host in self.hosts if tick % 25 == 0 else ():
                host.run(now)

    def send(self, host, request, now, running, attempt):
        if request in host.quarantines:
            if host is not self.hosts[0] or not host.begin_trial(request, now):
                return
        elif host.suspicion_of(request, now) is Suspicion.HELD:
            return
        host.begin_run(request)
        self.sends.append(now)
        running.append((now + self.run_seconds, host, attempt))

    def crash(self, call, request, now, running, attempts):
        _, host, attempt = call
        host.end_run(request)
        self.crashes.append(now)
        lose(host, request, now)
        if attempt < attempts:
            self.send(host, request, now, running, attempt + 1)

    def exchange_reports(self, now, full):
        """Send reports; hosts send full ones now and then, and as another one joins."""
        for sender in self.hosts:
            report = sender.report(now) if full else sender.news(now)
            for host in self.hosts if report != CrashReport() else ():
                if host is not sender:
                    host.apply_report(report, now)


class TestFleetUnderADeadlyRequest:
    """One request crashes each server that runs it and comes again at any host."""

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize(
        ("host_count", "report_seconds"), [(1, 0.03), (4, 0.03), (30, 0.1)]
    )
    @pytest.mark.parametrize("attempts", [1, 3])
    @pytest.mark.parametrize("interval", [0.02, 0.5])
    def test_request_reaches_few_servers(
        self, seed, host_count, report_seconds, attempts, interval
    ):
        """Guards against a request that crashes server after server at all hosts."""
        hosts = [CrashQuarantine() for _ in range(host_count)]
        fleet = RepeatedRequest(hosts, random.Random(seed), report_seconds)
        fleet.play(interval, 25.0, attempts)
        # Sent before any host can know of the first crash.
        unknowing = (fleet.run_seconds + report_seconds) / interval
        assert len(fleet.crashes) <= 4 + unknowing
        if len(fleet.crashes) > 2:
            late = [at for at in fleet.sends if at > fleet.crashes[2] + 3.0]
            assert len(late) <= 3

    @pytest.mark.parametrize("seed", range(3))
    def test_hosts_that_restart_do_not_forget_it(self, seed):
        """Guards against a host that joins and sends what the others refuse."""
        rng = random.Random(seed)
        fleet = RepeatedRequest([CrashQuarantine() for _ in range(4)], rng)
        fleet.play(0.1, 30.0, 2, restarts=[at + 0.055 for at in range(5, 30, 2)])
        assert len([at for at in fleet.sends if at > fleet.crashes[1] + 3.0]) <= 3


class TestFleetUnderADeadlyPart:
    """A share of one class of requests holds a part that crashes servers."""

    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize(
        ("hosts", "servers", "rate"), [(4, 6, 22.0), (30, 56, 90.0)]
    )
    @pytest.mark.parametrize("share", [0.02, 0.05, 0.2])
    def test_deadly_requests_stop_and_sound_ones_go_on(
        self, seed, hosts, servers, rate, share
    ):
        fleet = Fleet(hosts, servers, random.Random(seed))
        play(fleet, rate, share)
        check_that_deadly_requests_stopped(fleet)

    @pytest.mark.parametrize("seed", range(6))
    @pytest.mark.parametrize(
        ("servers", "rate", "share"), [(6, 22.0, 0.3), (12, 60.0, 0.6), (3, 60.0, 0.6)]
    )
    def test_requests_that_crash_all_servers_at_once_stop(
        self, seed, servers, rate, share
    ):
        """Guards against servers that all crash before three crashes can be told."""
        fleet = Fleet(4, servers, random.Random(seed))
        play(fleet, rate, share, since=5.0)
        check_that_deadly_requests_stopped(fleet)
