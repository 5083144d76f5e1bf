"""Rate limiting for the stand-ins."""

import threading
import time


class RateLimiter:
    """A token bucket that starts full; thread-safe."""

    def __init__(self, per_second: float, capacity: float) -> None:
        self._per_second = per_second
        self._capacity = capacity
        self._tokens = capacity
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()

    def acquire(self) -> float:
        """Take one token and return 0, or return the seconds until one is available."""
        with self._lock:
            now = time.monotonic()
            refilled = self._tokens + (now - self._refilled_at) * self._per_second
            self._tokens, self._refilled_at = min(self._capacity, refilled), now
            if self._tokens >= 1:
                self._tokens -= 1
                return 0.0
            return (1 - self._tokens) / self._per_second
