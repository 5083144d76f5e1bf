"""A rate limit, as the stand-ins keep it."""

import threading
import time


class Limit:
    """A token bucket that starts full."""

    def __init__(self, per_second: float, capacity: float) -> None:
        self._per_second = per_second
        self._capacity = capacity
        self._tokens = capacity
        self._at = time.monotonic()
        self._lock = threading.Lock()

    def take(self) -> float:
        """Use one call's allowance; return 0, or the seconds until there is one."""
        with self._lock:
            now = time.monotonic()
            grown = self._tokens + (now - self._at) * self._per_second
            self._tokens, self._at = min(self._capacity, grown), now
            if self._tokens >= 1:
                self._tokens -= 1
                return 0.0
            return (1 - self._tokens) / self._per_second
