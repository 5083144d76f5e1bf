"""Decide whether a failed attempt may be retried."""

import threading
from typing import Protocol

from masticfork.core.deadlines import Deadline

# Maximum attempts per request, including the first.
MAX_ATTEMPTS = 3
# Retries that each first attempt adds to its pool's budget. Together with a full
# budget, 1,000 requests to a dead pool cause at most 1.1 attempts per request.
RETRIES_PER_FIRST_ATTEMPT = 0.08
# Initial and maximum budget of a pool, in retries: when a server dies, all of its
# requests fail at once.
MAX_RETRY_BUDGET = 20.0


class RetryPolicy(Protocol):
    """Bounds the attempts per request and the retries per pool."""

    def count_request(self, pool: str) -> None:
        """Count the first attempt of a request."""

    def try_retry(
        self, pool: str, attempts: int, deadline: Deadline, now: float
    ) -> bool:
        """Return whether a request may be retried; if so, charge it to the budget.

        Call only for a request that is retryable or certainly has not run.
        """


class BudgetedRetries:
    """Thread-safe policy that limits retries to a small share of first attempts."""

    def __init__(
        self,
        share: float = RETRIES_PER_FIRST_ATTEMPT,
        max_budget: float = MAX_RETRY_BUDGET,
    ) -> None:
        self._share = share
        self._max_budget = max_budget
        self._lock = threading.Lock()
        self._budgets: dict[str, float] = {}

    def count_request(self, pool: str) -> None:
        """Count the first attempt of a request."""
        with self._lock:
            budget = self._budgets.get(pool, self._max_budget)
            self._budgets[pool] = min(self._max_budget, budget + self._share)

    def try_retry(
        self, pool: str, attempts: int, deadline: Deadline, now: float
    ) -> bool:
        """Return whether a request may be retried; if so, charge it to the budget."""
        if attempts >= MAX_ATTEMPTS or deadline.expired(now):
            return False
        with self._lock:
            budget = self._budgets.get(pool, self._max_budget)
            if budget < 1.0:
                return False
            self._budgets[pool] = budget - 1.0
            return True


class FixedRetries:
    """Baseline that allows a fixed number of attempts per request, without a budget."""

    def count_request(self, pool: str) -> None:
        """Count nothing."""

    def try_retry(
        self, pool: str, attempts: int, deadline: Deadline, now: float
    ) -> bool:
        """Return whether a request may be retried."""
        return attempts < MAX_ATTEMPTS and not deadline.expired(now)
