"""Decide when a slow call is hedged by a second attempt.

Source: J. Dean and L. Barroso, "The Tail at Scale", CACM 56(2), 2013.
"""

import threading
from collections import deque
from typing import Protocol

import attrs

# Number of most recent latencies of which the percentile is taken.
LATENCY_WINDOW_CALLS = 200
# No hedges before this number of latencies has been observed.
MIN_LATENCIES = 20
PERCENTILE = 0.95
# Hedges that each call adds to the budget of its kind, and the maximum of the budget.
HEDGES_PER_CALL = 0.05
MAX_HEDGE_BUDGET = 5.0


class HedgePolicy(Protocol):
    """Decides when calls of one kind are hedged, and bounds how often."""

    def delay_seconds(self, kind: str) -> float | None:
        """Count a call; return the delay before its hedge, or None for no hedge."""

    def try_take(self, kind: str) -> bool:
        """Return whether a hedge may be sent now; if so, charge it to the budget."""

    def observe(self, kind: str, seconds: float) -> None:
        """Record the latency of an answered call."""


@attrs.define
class _KindState:
    latencies: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=LATENCY_WINDOW_CALLS)
    )
    budget: float = 0.0


class PercentileHedges:
    """Thread-safe policy that hedges after the observed 95th percentile."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._kinds: dict[str, _KindState] = {}

    def delay_seconds(self, kind: str) -> float | None:
        """Count a call; return the delay before its hedge, or None for no hedge."""
        with self._lock:
            state = self._kinds.setdefault(kind, _KindState())
            state.budget = min(MAX_HEDGE_BUDGET, state.budget + HEDGES_PER_CALL)
            if len(state.latencies) < MIN_LATENCIES:
                return None
            return sorted(state.latencies)[int(PERCENTILE * len(state.latencies))]

    def try_take(self, kind: str) -> bool:
        """Return whether a hedge may be sent now; if so, charge it to the budget."""
        with self._lock:
            state = self._kinds.setdefault(kind, _KindState())
            if state.budget < 1.0:
                return False
            state.budget -= 1.0
            return True

    def observe(self, kind: str, seconds: float) -> None:
        """Record the latency of an answered call."""
        with self._lock:
            self._kinds.setdefault(kind, _KindState()).latencies.append(seconds)


class NoHedges:
    """Baseline that never hedges."""

    def delay_seconds(self, kind: str) -> float | None:
        """Return None."""
        return None

    def try_take(self, kind: str) -> bool:
        """Return False."""
        return False

    def observe(self, kind: str, seconds: float) -> None:
        """Record nothing."""
