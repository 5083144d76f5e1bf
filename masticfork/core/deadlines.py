"""Absolute deadlines of requests, leases and grants."""

import attrs


@attrs.frozen(order=True)
class Deadline:
    """A point in time, in seconds since the Unix epoch."""

    at: float

    @classmethod
    def after(cls, now: float, seconds: float) -> "Deadline":
        """Return the deadline that is `seconds` after `now`."""
        return cls(now + seconds)

    def expired(self, now: float) -> bool:
        """Return whether `now` is at or past the deadline."""
        return now >= self.at

    def remaining(self, now: float) -> float:
        """Return the seconds left, 0 once the deadline has expired."""
        return max(0.0, self.at - now)

    def earliest(self, other: "Deadline") -> "Deadline":
        """Return the earlier of two deadlines."""
        return min(self, other)
