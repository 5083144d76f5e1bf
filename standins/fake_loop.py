"""A fake event loop whose clock is advanced by the test."""

from collections.abc import Callable

from masticfork.relay.loop import Timer


class FakeLoop:
    """Runs posted callbacks immediately, and timers as the clock is advanced."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = self.previous_now = now
        self._timers: list[Timer] = []

    def call_at(self, at: float, call: Callable[[], None]) -> Timer:
        """Schedule a callback for a time of the loop's clock, in seconds."""
        timer = Timer(at, call)
        self._timers.append(timer)
        return timer

    def call_after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Schedule a callback after a delay."""
        return self.call_at(self.now + seconds, call)

    def post(self, call: Callable[[], None]) -> None:
        """Run a callback immediately."""
        call()

    def advance(self, seconds: float) -> None:
        """Advance the clock and run the timers that are due."""
        self.previous_now, self.now = self.now, self.now + seconds
        due = [timer for timer in self._timers if timer.at <= self.now]
        self._timers = [timer for timer in self._timers if timer.at > self.now]
        for timer in due:
            if timer.call is not None:
                timer.call()


class SynchronousExecutor:
    """An executor that runs each call synchronously."""

    def submit(self, call: Callable[[], None]) -> None:
        """Run a call."""
        call()
