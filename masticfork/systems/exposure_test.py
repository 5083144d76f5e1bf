import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.systems.exposure import (
    ExposureBudget,
    ExposureLimit,
    RolloutMoment,
)

DURATION = 15.0
LIMIT = ExposureLimit(0.15, 30.0)


def budget(rounding=0.5):
    return ExposureBudget(LIMIT, rounding)


def moment(elapsed, hosts=4, old_running=0):
    return RolloutMoment(elapsed, DURATION, old_running, hosts)


class TestCanary:
    def sent_to_new(self, hosts, per_second, routes, seed):
        """Return the requests of the canary step of all hosts, by route."""
        rng = random.Random(seed)
        budgets = [budget(rng.random()) for _ in range(hosts)]
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
        assert 0.2 * allowed < sum(sent.values()) <= allowed

    def test_rare_route_gets_requests(self):
        """Guards against routes on which a version is hardly tried."""
        sent = self.sent_to_new(4, 30, {"a": 0.45, "b": 0.4, "c": 0.15}, 1)
        assert sent["c"] > 0.5 * sent["a"]

    def test_running_calls_of_the_old_version_leave_less(self):
        own = budget(0.0)
        for n in range(100):
            own.count("a", False, n * 0.1)
        assert own.allows_canary("a", moment(10.0))
        own.count("a", True, 10.0)
        own.count("a", True, 10.0)
        assert own.allows_canary("a", moment(10.0))
        assert not own.allows_canary("a", moment(10.0, old_running=60))


class TestAll:
    @given(st.integers(0, 200), st.integers(0, 60), st.integers(1, 60))
    def test_new_version_never_gets_more_than_the_hosts_part(self, old, new, hosts):
        own = budget()
        for _ in range(old):
            own.count("a", False, 5.0)
        for _ in range(new):
            own.count("a", True, 5.0)
        if own.allows_all(moment(14.9, hosts)):
            bound = LIMIT.share * (own.sent + 1) + LIMIT.slack / hosts
            assert own.sent_to_new + 1 <= bound

    def test_everything_is_allowed_after_the_end(self):
        own = budget()
        own.count("a", True, 1.0)
        assert own.allows_all(moment(DURATION + 0.1, hosts=1000))
