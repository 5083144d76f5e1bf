"""A token bucket whose rate may change, with `now` handed in."""

from masticfork.core.deadlines import Deadline

UNLIMITED = float("inf")


class TokenBucket:
    """Amount that may be used at a rate, with bursts up to a capacity.

    A use may be corrected later, so the level may fall below zero; nothing more is
    taken before it is made good.
    """

    def __init__(self, burst_seconds: float, least_burst: float) -> None:
        self._burst_seconds = burst_seconds
        self._least_burst = least_burst
        self._rate = UNLIMITED
        self._level = 0.0
        self._at: float | None = None

    def set_rate(self, rate: float, now: float) -> None:
        """Fill at this rate, in amounts a second, from now on."""
        self._fill(now)
        self._rate = rate
        self._level = min(self._level, self._capacity)

    def ready_at(self, amount: float, now: float) -> Deadline:
        """Return when the amount can be taken; `now` where that is possible."""
        self._fill(now)
        # An amount beyond the capacity waits for a full bucket and leaves a debt.
        missing = min(amount, self._capacity) - self._level
        if self._rate == UNLIMITED or missing <= 0.0:
            return Deadline(now)
        if self._rate <= 0.0:
            return Deadline(UNLIMITED)
        return Deadline(now + missing / self._rate)

    def take(self, amount: float, now: float) -> None:
        """Use the amount, or give some back where it is negative."""
        self._fill(now)
        if self._rate != UNLIMITED:
            self._level = min(self._capacity, self._level - amount)

    @property
    def _capacity(self) -> float:
        if self._rate == UNLIMITED:
            return UNLIMITED
        return max(self._rate * self._burst_seconds, self._least_burst)

    def _fill(self, now: float) -> None:
        if self._at is not None and self._rate != UNLIMITED:
            gained = max(0.0, now - self._at) * self._rate
            self._level = min(self._capacity, self._level + gained)
        elif self._rate == UNLIMITED:
            self._level = UNLIMITED
        self._at = now if self._at is None else max(self._at, now)
