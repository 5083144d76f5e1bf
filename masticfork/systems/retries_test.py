"""Tests of the retry budget."""

from masticfork.core.deadlines import Deadline
from masticfork.systems.retries import MAX_SAVED, BudgetedRetries, FixedRetries

LATER = Deadline(100.0)


def attempts_at_dead_pool(policy, requests):
    """Return the attempts of requests that all fail."""
    total = 0
    for _ in range(requests):
        policy.first("p")
        attempts = 1
        while policy.again("p", attempts, LATER, 0.0):
            attempts += 1
        total += attempts
    return total


class TestBudgetedRetries:
    def test_a_dead_pool_gets_few_more_attempts_than_requests(self):
        assert attempts_at_dead_pool(BudgetedRetries(), 1000) <= 1100
        assert attempts_at_dead_pool(FixedRetries(), 1000) == 3000

    def test_the_requests_of_one_dead_server_are_tried_again(self):
        policy = BudgetedRetries()
        allowed = [policy.again("p", 1, LATER, 0.0) for _ in range(int(MAX_SAVED))]
        assert all(allowed)
        assert not policy.again("p", 1, LATER, 0.0)

    def test_pools_have_budgets_of_their_own(self):
        policy = BudgetedRetries()
        attempts_at_dead_pool(policy, 100)
        assert policy.again("q", 1, LATER, 0.0)

    def test_a_request_has_three_attempts_at_most(self):
        assert not BudgetedRetries().again("p", 3, LATER, 0.0)

    def test_nothing_is_tried_past_the_deadline(self):
        assert not BudgetedRetries().again("p", 1, LATER, 100.0)
        assert not FixedRetries().again("p", 1, LATER, 100.0)
