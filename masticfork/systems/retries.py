"""Decide whether a failed attempt may be followed by another one."""

import threading
from typing import Protocol

from masticfork.core.deadlines import Deadline

MAX_ATTEMPTS = 3
# Retries that each first attempt adds to its pool's budget. With what may be saved,
# a dead pool gets at most 1.1 attempts for each of 1,000 requests.
BUDGET_SHARE = 0.08
# Retries that a pool may save up: a server that dies fails its requests at once.
MAX_SAVED = 20.0


class RetryPolicy(Protocol):
    """Bounds the attempts of one request and of all requests of a pool."""

    def first(self, pool: str) -> None:
        """Count the first attempt of a request."""

    def again(self, pool: str, attempts: int, deadline: Deadline, now: float) -> bool:
        """Tell whether a request may have another attempt; count it if so.

        Asked only where the request may be repeated, or has surely not run.
        """


class BudgetedRetries:
    """Lets retries be a small share of the first attempts; safe for threads."""

    def __init__(self, share: float = BUDGET_SHARE, saved: float = MAX_SAVED) -> None:
        self._share = share
        self._most = saved
        self._lock = threading.Lock()
        self._saved: dict[str, float] = {}

    def first(self, pool: str) -> None:
        """Count the first attempt of a request."""
        with self._lock:
            saved = self._saved.get(pool, self._most)
            self._saved[pool] = min(self._most, saved + self._share)

    def again(self, pool: str, attempts: int, deadline: Deadline, now: float) -> bool:
        """Tell whether a request may have another attempt; count it if so."""
        if attempts >= MAX_ATTEMPTS or deadline.expired(now):
            return False
        with self._lock:
            saved = self._saved.get(pool, self._most)
            if saved < 1.0:
                return False
            self._saved[pool] = saved - 1.0
            return True


class FixedRetries:
    """Allows a fixed number of attempts whatever else fails; the baseline."""

    def first(self, pool: str) -> None:
        """Count nothing."""

    def again(self, pool: str, attempts: int, deadline: Deadline, now: float) -> bool:
        """Tell whether a request may have another attempt."""
        return attempts < MAX_ATTEMPTS and not deadline.expired(now)
