import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.core.backend_servers import HostRequests
from masticfork.systems.exposure import (
    MIN_CANARY_REQUESTS,
    RECENT_ANSWERS,
    ExposureBudget,
    ExposureLimit,
    RequestSamples,
    RolloutMoment,
    Traffic,
    UsualLoad,
    host_part,
)
from masticfork.systems.rollout_plan import RolloutPlan

DURATION = 15.0
LIMIT = ExposureLimit(0.15, 30.0)


CANARY_SECONDS = 10.0
PLAN = RolloutPlan(CANARY_SECONDS, 14.6, DURATION)


def budget(rounding=0.5, hosts=4):
    return ExposureBudget(LIMIT, rounding, LIMIT.slack / hosts)


def moment(elapsed, hosts=4, old_running=0):
    return RolloutMoment(elapsed, elapsed, elapsed, PLAN, old_running, 3.0, hosts)


class TestCanary:
    def sent_to_new(self, hosts, per_second, routes, seed):
        """Return the requests of the canary step of all hosts, by route."""
        rng = random.Random(seed)
        budgets = [budget(rng.random(), hosts) for _ in range(hosts)]
        sent = dict.fromkeys(routes, 0)
        for n in range(int(per_second * DURATION)):
            elapsed = n / per_second
            route = rng.choices(list(routes), list(routes.values()))[0]
            own = rng.choice(budgets)
            is_new = own.allows_canary(route, moment(elapsed, hosts))
            own.count(route, is_new, elapsed)
            sent[route] += is_new
        return sent

    @pytest.mark.parametrize(("hosts", "per_second"), [(4, 9), (4, 30), (28, 120)])
    def test_sum_over_hosts_keeps_the_limit(self, hosts, per_second):
        sent = self.sent_to_new(hosts, per_second, {"a": 0.8, "b": 0.2}, 1)
        allowed = LIMIT.share * per_second * DURATION + LIMIT.slack
        assert min(0.2 * allowed, MIN_CANARY_REQUESTS) <= sum(sent.values()) <= allowed

    @pytest.mark.parametrize(("hosts", "per_second"), [(4, 9), (4, 30), (28, 60)])
    def test_full_load_uses_most_of_what_is_left(self, hosts, per_second):
        """Guards against allowed requests that give no evidence."""
        budgets = [budget(0.5, hosts) for _ in range(hosts)]
        to_new = 0
        for n in range(int(per_second * DURATION)):
            at, own = n / per_second, budgets[n % hosts]
            if at < CANARY_SECONDS:
                is_new = own.allows_canary("a", moment(at, hosts))
            else:
                is_new = own.allows_full_load(moment(at, hosts))
            own.count("a", is_new, at)
            to_new += is_new
        allowed = LIMIT.share * per_second * DURATION + LIMIT.slack
        assert 0.4 * allowed < to_new <= allowed

    def test_rare_route_gets_requests(self):
        """Guards against routes on which a version is hardly tried."""
        sent = self.sent_to_new(4, 30, {"a": 0.45, "b": 0.4, "c": 0.15}, 1)
        assert sent["c"] > 0.5 * sent["a"]

    def test_running_calls_of_the_old_version_leave_less(self):
        idle, busy = budget(), budget()
        for n in range(43):
            at = n / 3
            for own, running in ((idle, 0), (busy, 6)):
                now = moment(at, old_running=running)
                in_canary = at < CANARY_SECONDS
                full_load = own.allows_full_load(now)
                is_new = own.allows_canary("a", now) if in_canary else full_load
                own.count("a", is_new, at)
        assert 0 < busy.sent_to_new < idle.sent_to_new


class TestAll:
    @given(st.integers(0, 200), st.integers(0, 60), st.integers(1, 60))
    def test_new_version_never_gets_more_than_the_hosts_part(self, old, new, hosts):
        own = budget(0.0, hosts)
        for _ in range(old):
            own.count("a", False, 5.0)
        for _ in range(new):
            own.count("a", True, 5.0)
        if own.allows_full_load(moment(14.9, hosts)):
            bound = LIMIT.share * (own.sent + 1) + LIMIT.slack / hosts
            assert own.sent_to_new + 1 <= bound

    def test_everything_is_allowed_after_the_end(self):
        own = budget(hosts=1000)
        own.count("a", True, 1.0)
        assert own.allows_full_load(moment(DURATION + 0.1, hosts=1000))

    def test_end_by_a_wrong_clock_allows_nothing(self):
        """Guards against hosts whose time of day tells that the time is over."""
        own = budget(hosts=1000)
        own.count("a", True, 1.0)
        ended = moment(DURATION + 0.1, hosts=1000)
        assert not own.allows_full_load(attrs.evolve(ended, least_elapsed=DURATION - 2))

    def test_requests_told_in_advance_are_not_exceeded(self):
        """Guards against a host that is lost having sent more than it had told."""
        own = budget(0.4)
        for n in range(150):
            own.count("a", False, n * 0.1)
        told = own.committed(moment(10.0), full_load=True)
        while own.allows_full_load(moment(10.0)):
            own.count("a", True, 10.0)
        # Each request sent allows a part of a further one.
        assert own.sent_to_new <= told / (1.0 - LIMIT.share) + 1


class TestHostPart:
    """Guards against hosts that get their whole part again with each start."""

    def test_fixed_number_is_divided_among_the_hosts(self):
        assert host_part(LIMIT, 4, []) == LIMIT.slack / 4

    def test_next_start_gets_what_is_left(self):
        earlier = [HostRequests("a", 1, 40, 9), HostRequests("a", 2, 0, 3)]
        left = host_part(LIMIT, 4, earlier)
        assert left == pytest.approx(LIMIT.slack / 4 + 40 * LIMIT.share - 12)

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 200)), max_size=20))
    def test_any_series_of_starts_keeps_the_limit(self, series):
        """Each start sends as much to the new version as it may, and is lost."""
        known = []
        for start, (number, sent) in enumerate(series):
            host = str(number)
            earlier = [item for item in known if item.host == host]
            part = host_part(LIMIT, 4, earlier)
            to_new = max(0, int(LIMIT.share * sent + part))
            known.append(HostRequests(host, start, sent, to_new))
        all_sent = sum(item.sent for item in known)
        to_new = sum(item.to_new for item in known)
        assert to_new <= LIMIT.share * all_sent + LIMIT.slack + 1e-6


class TestUsualLoad:
    def test_mean_follows_the_samples(self):
        load = UsualLoad()
        assert load.mean == 0.0
        for tenth in range(300):
            load.sample(20 if tenth >= 100 else 10, tenth / 10)
        assert load.mean == pytest.approx(20.0, abs=0.5)

    def test_length_of_calls_follows_from_their_number(self):
        load = UsualLoad()
        load.sample(30, 0.0)
        assert load.call_seconds(20.0) == pytest.approx(1.5)
        assert load.call_seconds(0.0) == 0.0


class TestRequestSamples:
    def test_burst_is_known_within_half_a_second(self):
        """Guards against completion at the start of a burst that it cannot afford."""
        samples, total = RequestSamples(), 0
        for quarter in range(40):
            total += 12 if quarter >= 38 else 2
            samples.add(total, quarter / 4)
            if quarter == 37:
                assert samples.rate == pytest.approx(8.0)
        assert samples.rate > 30.0

    def test_single_sample_tells_no_rate(self):
        samples = RequestSamples()
        assert samples.rate == 0.0
        samples.add(30, 1.0)
        assert samples.rate == 0.0


class TestTraffic:
    PLAN = RolloutPlan.of(DURATION, 0.0, 0.01)

    @pytest.mark.parametrize("rate", [2.0, 8.0, 31.0, 120.0])
    @pytest.mark.parametrize("call_seconds", [0.015, 0.3, 1.2])
    def test_full_load_fits_into_the_limit(self, rate, call_seconds):
        """Guards against full loads that end before the completion."""
        traffic = Traffic(rate, call_seconds)
        seconds = traffic.full_load_seconds(LIMIT, self.PLAN)
        allowed = LIMIT.share * rate * DURATION + LIMIT.slack
        alone = rate * (DURATION - self.PLAN.complete_from)
        assert rate * seconds + alone <= allowed or seconds == 0.0

    def test_light_service_gets_a_long_one(self):
        light = Traffic(8.0, 0.015).full_load_seconds(LIMIT, self.PLAN)
        busy = Traffic(120.0, 0.015).full_load_seconds(LIMIT, self.PLAN)
        assert busy < 2.0 < light

    def test_recent_answers_are_needed_as_far_as_there_are_any(self):
        """Guards against good versions of services whose answers come later."""
        plan = RolloutPlan.of(DURATION, 3.0, 0.01)
        needed = [Traffic(rate, 0.015).recent_answers(plan, 1.0) for rate in (2, 8, 31)]
        assert needed == [0, 3, RECENT_ANSWERS]
        assert Traffic(31.0, 4.0).recent_answers(plan, 1.0) == 0
        assert Traffic(31.0, 4.0, 0.5).recent_answers(plan, 1.0) == RECENT_ANSWERS
        assert Traffic(0.0, 0.0).recent_answers(plan, 1.0) == 0


class TestLongCalls:
    def test_full_load_begins_before_the_old_versions_calls_have_ended(self):
        """Guards against a full load that gets no request, so that none of them end."""
        own = budget(hosts=4)
        for n in range(120):
            own.count("a", False, n / 10)
        now = attrs.evolve(moment(12.0, old_running=36), call_seconds=1.5)
        assert own.allows_full_load(now)
        assert not own.allows_full_load(attrs.evolve(now, call_seconds=15.0))


class TestLastSeconds:
    def test_requests_are_kept_for_the_last_second_before_the_completion(self):
        """Guards against answers that end while a version may still turn bad."""
        own = budget(0.0, hosts=1)
        for tenth in range(100):
            own.count("a", False, tenth / 10)
        to_new = []
        for tenth in range(100, 146):
            at = tenth / 10
            to_new.append(own.allows_full_load(moment(at, hosts=1)))
            own.count("a", to_new[-1], at)
        assert all(to_new[:20])
        assert not all(to_new[:-10])
        assert sum(to_new[-10:]) >= 4
