"""Decide when a second attempt races a slow first one.

Source: J. Dean and L. Barroso, "The Tail at Scale", CACM 56(2), 2013.
"""

import threading
from collections import deque
from typing import Protocol

import attrs

# Latencies that the percentile is taken of, the last ones.
WINDOW = 200
LEAST_OBSERVED = 20
PERCENTILE = 0.95
# Hedges that each call adds to the budget of its kind, and the most saved up.
BUDGET_SHARE = 0.05
MAX_SAVED = 5.0


class HedgePolicy(Protocol):
    """Tells when to hedge calls of one kind and how often that is allowed."""

    def delay_seconds(self, kind: str) -> float | None:
        """Count a call; return after how long to hedge it, or none for never."""

    def take(self, kind: str) -> bool:
        """Tell whether a hedge may be sent now; count it if so."""

    def observe(self, kind: str, seconds: float) -> None:
        """Take in how long a call took that was answered."""


@attrs.define
class _Kind:
    latencies: deque[float] = attrs.field(factory=lambda: deque(maxlen=WINDOW))
    saved: float = 0.0


class PercentileHedges:
    """Hedges after the observed 95th percentile; safe for threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._kinds: dict[str, _Kind] = {}

    def delay_seconds(self, kind: str) -> float | None:
        """Count a call; return after how long to hedge it, or none for never."""
        with self._lock:
            row = self._kinds.setdefault(kind, _Kind())
            row.saved = min(MAX_SAVED, row.saved + BUDGET_SHARE)
            if len(row.latencies) < LEAST_OBSERVED:
                return None
            return sorted(row.latencies)[int(PERCENTILE * len(row.latencies))]

    def take(self, kind: str) -> bool:
        """Tell whether a hedge may be sent now; count it if so."""
        with self._lock:
            row = self._kinds.setdefault(kind, _Kind())
            if row.saved < 1.0:
                return False
            row.saved -= 1.0
            return True

    def observe(self, kind: str, seconds: float) -> None:
        """Take in how long a call took that was answered."""
        with self._lock:
            self._kinds.setdefault(kind, _Kind()).latencies.append(seconds)


class NoHedges:
    """Never hedges; the baseline."""

    def delay_seconds(self, kind: str) -> float | None:
        """Return none."""
        return None

    def take(self, kind: str) -> bool:
        """Allow no hedge."""
        return False

    def observe(self, kind: str, seconds: float) -> None:
        """Take in nothing."""
