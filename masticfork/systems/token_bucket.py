"""A token bucket with a variable rate; callers pass the time as `now`."""

from masticfork.core.deadlines import Deadline

UNLIMITED = float("inf")


class TokenBucket:
    """Token bucket that refills at a rate, up to a burst capacity.

    Later corrections may take the level below zero. `ready_at` then returns a time
    by which the debt has been refilled.
    """

    def __init__(self, burst_seconds: float, min_burst: float) -> None:
        self._burst_seconds = burst_seconds
        self._min_burst = min_burst
        self._rate = UNLIMITED
        self._level = 0.0
        self._updated_at: float | None = None

    def set_rate(self, rate: float, now: float) -> None:
        """Set the refill rate per second from `now` on; infinite means no limit."""
        self._refill(now)
        self._rate = rate
        self._level = min(self._level, self._capacity)

    def ready_at(self, amount: float, now: float) -> Deadline:
        """Return when the amount can be taken: `now` if the bucket holds enough."""
        self._refill(now)
        # An amount above the capacity needs a full bucket and takes it below zero.
        missing = min(amount, self._capacity) - self._level
        if self._rate == UNLIMITED or missing <= 0.0:
            return Deadline(now)
        if self._rate <= 0.0:
            return Deadline(UNLIMITED)
        return Deadline(now + missing / self._rate)

    def take(self, amount: float, now: float) -> None:
        """Take the amount, if need be below zero; a negative amount is put back."""
        self._refill(now)
        if self._rate != UNLIMITED:
            self._level = min(self._capacity, self._level - amount)

    @property
    def _capacity(self) -> float:
        if self._rate == UNLIMITED:
            return UNLIMITED
        return max(self._rate * self._burst_seconds, self._min_burst)

    def _refill(self, now: float) -> None:
        if self._updated_at is not None and self._rate != UNLIMITED:
            refilled = max(0.0, now - self._updated_at) * self._rate
            self._level = min(self._capacity, self._level + refilled)
        elif self._rate == UNLIMITED:
            self._level = UNLIMITED
        self._updated_at = (
            now if self._updated_at is None else max(self._updated_at, now)
        )
