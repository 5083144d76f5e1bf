"""Stand-in for the event loop, whose time a test moves."""

from collections.abc import Callable

from masticfork.relay.loop import Timer


class FakeLoop:
    """Calls at once what is posted, and timers as the test lets time pass."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._timers: list[Timer] = []

    def call_at(self, at: float, call: Callable[[], None]) -> Timer:
        """Call at a point of the loop's clock."""
        timer = Timer(at, call)
        self._timers.append(timer)
        return timer

    def call_after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Call after some seconds."""
        return self.call_at(self.now + seconds, call)

    def post(self, call: Callable[[], None]) -> None:
        """Call at once."""
        call()

    def pass_time(self, seconds: float) -> None:
        """Move the clock on, and call what is due."""
        self.now += seconds
        due = [timer for timer in self._timers if timer.at <= self.now]
        self._timers = [timer for timer in self._timers if timer.at > self.now]
        for timer in due:
            if timer.call is not None:
                timer.call()
