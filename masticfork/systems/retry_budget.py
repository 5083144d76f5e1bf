"""Bound the retries of calls to each service within a sliding window."""

from collections import deque
from typing import Protocol

import attrs

# Width of the buckets in which calls are counted.
BUCKET_SECONDS = 0.25
# Fraction of the bound that is used. The rest covers the difference between the
# windows of the hosts, which count independently.
USED_FRACTION = 0.85


class RetryBudget(Protocol):
    """Decides whether a request may be sent once more."""

    def count_request(self, service: str, now: float) -> None:
        """Count the first call of a request."""

    def try_retry(self, service: str, now: float, reserve: float) -> bool:
        """Return whether a request may be sent once more; if so, count the retry.

        `reserve` is the fraction of the bound that is kept for more urgent retries.
        """


@attrs.define
class _WindowCount:
    """Number of calls in a sliding window, counted in buckets."""

    buckets: deque[tuple[int, int]] = attrs.field(factory=deque)
    total: int = 0

    def add(self, now: float) -> None:
        """Count one call."""
        bucket = int(now / BUCKET_SECONDS)
        if self.buckets and self.buckets[-1][0] == bucket:
            self.buckets[-1] = (bucket, self.buckets[-1][1] + 1)
        else:
            self.buckets.append((bucket, 1))
        self.total += 1

    def within(self, now: float, window: float) -> int:
        """Drop older buckets; return the calls in the `window` seconds before `now`."""
        oldest = int((now - window) / BUCKET_SECONDS)
        while self.buckets and self.buckets[0][0] < oldest:
            self.total -= self.buckets.popleft()[1]
        return self.total


class WindowedRetryBudget:
    """Limits retries to a share of the first calls plus this host's part of a slack.

    The slack is a number of retries per window, divided evenly over the hosts. The
    window is in seconds.
    """

    def __init__(self, share: float, slack: float, window: float) -> None:
        self._share = share
        self._slack = slack
        self._window = window
        # Number of hosts that share the slack.
        self.hosts = 1
        self._firsts: dict[str, _WindowCount] = {}
        self._retries: dict[str, _WindowCount] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count the first call of a request."""
        self._firsts.setdefault(service, _WindowCount()).add(now)

    def try_retry(self, service: str, now: float, reserve: float) -> bool:
        """Return whether a request may be sent once more; if so, count the retry."""
        firsts = self._firsts.setdefault(service, _WindowCount()).within(
            now, self._window
        )
        retries = self._retries.setdefault(service, _WindowCount())
        bound = self._share * firsts + self._slack / max(1, self.hosts)
        if retries.within(now, self._window) + 1 > bound * USED_FRACTION * (
            1.0 - reserve
        ):
            return False
        retries.add(now)
        return True


class UnlimitedRetryBudget:
    """Baseline that allows every retry."""

    def count_request(self, service: str, now: float) -> None:
        """Count nothing."""

    def try_retry(self, service: str, now: float, reserve: float) -> bool:
        """Return True."""
        return True
