"""Tests of the retry budget."""

from masticfork.core.deadlines import Deadline
from masticfork.systems.retries import MAX_RETRY_BUDGET, BudgetedRetries, FixedRetries

LATER = Deadline(100.0)


def attempts_at_dead_pool(policy, requests):
    """Return the total number of attempts when every attempt fails."""
    total = 0
    for _ in range(requests):
        policy.count_request("p")
        attempts = 1
        while policy.try_retry("p", attempts, LATER, 0.0):
            attempts += 1
        total += attempts
    return total


class TestBudgetedRetries:
    def test_retries_to_a_dead_pool_are_a_small_share_of_requests(self):
        assert attempts_at_dead_pool(BudgetedRetries(), 1000) <= 1100
        assert attempts_at_dead_pool(FixedRetries(), 1000) == 3000

    def test_a_full_budget_covers_the_requests_of_one_dead_server(self):
        policy = BudgetedRetries()
        allowed = [
            policy.try_retry("p", 1, LATER, 0.0) for _ in range(int(MAX_RETRY_BUDGET))
        ]
        assert all(allowed)
        assert not policy.try_retry("p", 1, LATER, 0.0)

    def test_each_pool_has_its_own_budget(self):
        policy = BudgetedRetries()
        attempts_at_dead_pool(policy, 100)
        assert policy.try_retry("q", 1, LATER, 0.0)

    def test_a_request_has_three_attempts_at_most(self):
        assert not BudgetedRetries().try_retry("p", 3, LATER, 0.0)

    def test_no_retry_after_the_deadline(self):
        assert not BudgetedRetries().try_retry("p", 1, LATER, 100.0)
        assert not FixedRetries().try_retry("p", 1, LATER, 100.0)
