"""Tests of the bound on retries."""

from collections import deque

from hypothesis import given
from hypothesis import strategies as st

from masticfork.systems.retry_budget import UnlimitedRetryBudget, WindowedRetryBudget

SHARE, SLACK, WINDOW = 0.9, 52.0, 10.0


class TestWindowedRetryBudget:
    @given(
        st.integers(1, 8),
        st.lists(
            st.tuples(st.integers(0, 7), st.booleans(), st.floats(0.0, 0.4)),
            max_size=300,
        ),
    )
    def test_all_hosts_together_stay_within_the_bound(self, hosts, steps):
        budgets = [WindowedRetryBudget(SHARE, SLACK, WINDOW) for _ in range(hosts)]
        for budget in budgets:
            budget.hosts = hosts
        firsts, retries, now = deque(), deque(), 0.0
        for host, is_first, pause in steps:
            now += pause
            budget = budgets[host % hosts]
            if is_first:
                budget.count_request("llm", now)
                firsts.append(now)
            elif budget.try_retry("llm", now, 0.0):
                retries.append(now)
                recent = sum(at > now - WINDOW for at in retries)
                # The bound counts the first calls of this window or the previous one.
                asked = sum(at > now - 2 * WINDOW for at in firsts)
                assert recent <= SHARE * asked + SLACK

    def test_retries_without_first_calls_are_limited_to_the_slack(self):
        budget = WindowedRetryBudget(SHARE, SLACK, WINDOW)
        budget.hosts = 4
        allowed = sum(budget.try_retry("llm", 1.0, 0.0) for _ in range(100))
        assert 0 < allowed <= SLACK / 4

    def test_a_reserve_is_kept_for_urgent_retries(self):
        budget = WindowedRetryBudget(SHARE, SLACK, WINDOW)
        while budget.try_retry("llm", 1.0, 0.5):
            pass
        assert budget.try_retry("llm", 1.0, 0.0)

    def test_retries_expire_after_the_window(self):
        budget = WindowedRetryBudget(SHARE, SLACK, WINDOW)
        while budget.try_retry("llm", 1.0, 0.0):
            pass
        assert budget.try_retry("llm", 1.5 + WINDOW, 0.0)

    def test_each_service_has_its_own_budget(self):
        budget = WindowedRetryBudget(SHARE, SLACK, WINDOW)
        while budget.try_retry("llm", 1.0, 0.0):
            pass
        assert budget.try_retry("desk", 1.0, 0.0)


class TestUnlimitedRetryBudget:
    def test_allows_every_retry(self):
        budget = UnlimitedRetryBudget()
        assert all(budget.try_retry("llm", 0.0, 0.0) for _ in range(1000))
