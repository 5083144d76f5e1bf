"""The slowest recent response of each route."""

import attrs

# Responses are remembered for one to two windows of this length.
WINDOW_SECONDS = 30.0
# Fewer responses say too little of how long the next one may take.
MIN_RESPONSES = 5


@attrs.define
class _Window:
    """The responses of one route in the current and in the previous window."""

    # Loop time at which the current window ends.
    ends_at: float
    count: int = 0
    slowest: float = 0.0
    previous_count: int = 0
    previous_slowest: float = 0.0

    def advance(self, now: float) -> None:
        """Begin a new window if the current one is over."""
        if now < self.ends_at:
            return
        follows = now < self.ends_at + WINDOW_SECONDS
        self.previous_count = self.count if follows else 0
        self.previous_slowest = self.slowest if follows else 0.0
        self.count, self.slowest = 0, 0.0
        self.ends_at = now + WINDOW_SECONDS


class ResponseTimes:
    """Records how long the responses of each route take, in seconds."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record a response that has ended now."""
        window = self._windows.setdefault(route, _Window(now + WINDOW_SECONDS))
        window.advance(now)
        window.count += 1
        window.slowest = max(window.slowest, seconds)

    def slowest(self, route: str, now: float) -> float | None:
        """Return the seconds of the slowest one, None if too few are remembered."""
        window = self._windows.get(route)
        if window is None:
            return None
        window.advance(now)
        if window.count + window.previous_count < MIN_RESPONSES:
            return None
        return max(window.slowest, window.previous_slowest)

    def sweep(self, now: float) -> None:
        """Forget routes without recent responses."""
        self._windows = {
            route: window
            for route, window in self._windows.items()
            if now < window.ends_at + WINDOW_SECONDS
        }
