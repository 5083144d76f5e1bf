"""Single-threaded event loop for sockets, timers and calls from other threads."""

import heapq
import os
import selectors
import socket
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

import attrs

# Interval of a host's periodic tasks.
TICK_SECONDS = 0.25
# Upper bound on one wait for socket events.
MAX_SELECT_SECONDS = 1.0


def now() -> float:
    """Return CLOCK_BOOTTIME in seconds, which also advances during suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Handler(Protocol):
    """Handles the readiness events of one socket."""

    def on_events(self, events: int) -> None:
        """Handle readiness, given as a mask of `selectors` events.

        May be called once after the socket was closed, if that happened earlier in the
        same iteration of the loop.
        """


@attrs.define(eq=False)
class Timer:
    """A scheduled call; `call` is None once it is cancelled."""

    at: float
    call: Callable[[], None] | None

    def cancel(self) -> None:
        """Cancel the call."""
        self.call = None


class Loop:
    """Runs socket handlers, timers and posted calls on one thread.

    `now` is the time in seconds of CLOCK_BOOTTIME at which the current iteration began,
    `previous_now` that of the iteration before.
    """

    def __init__(self) -> None:
        # Called with any exception that a handler or call raises, since a fault in one
        # request must not end the process, which serves many others. If None, the
        # exception propagates out of `run`.
        self.on_error: Callable[[Exception], None] | None = None
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_sequence = 0
        self._posted_calls: deque[Callable[[], None]] = deque()
        self._wakeup_read_fd, self._wakeup_write_fd = os.pipe()
        os.set_blocking(self._wakeup_read_fd, False)
        os.set_blocking(self._wakeup_write_fd, False)
        self._selector.register(self._wakeup_read_fd, selectors.EVENT_READ, None)
        self._running = True
        self.now = self.previous_now = now()

    @property
    def running(self) -> bool:
        """Return whether `stop` has not been called; thread-safe."""
        return self._running

    def register(self, sock: socket.socket, events: int, handler: Handler) -> None:
        """Call the handler when the socket is ready for any of the events."""
        self._selector.register(sock, events, handler)

    def modify(self, sock: socket.socket, events: int, handler: Handler) -> None:
        """Change the events and handler of a registered socket."""
        self._selector.modify(sock, events, handler)

    def unregister(self, sock: socket.socket) -> None:
        """Stop watching a socket."""
        self._selector.unregister(sock)

    def call_at(self, at: float, call: Callable[[], None]) -> Timer:
        """Schedule a call for a time of the loop's clock."""
        timer = Timer(at, call)
        self._timer_sequence += 1
        heapq.heappush(self._timers, (at, self._timer_sequence, timer))
        return timer

    def call_after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Schedule a call for a number of seconds from `now`."""
        return self.call_at(self.now + seconds, call)

    def post(self, call: Callable[[], None]) -> None:
        """Run a call on the loop's thread; thread-safe."""
        self._posted_calls.append(call)
        try:
            os.write(self._wakeup_write_fd, b"\0")
        except BlockingIOError:
            return  # The pipe is full, so the loop wakes up anyway.

    def stop(self) -> None:
        """Make `run` return at the end of the current iteration."""
        self._running = False

    def run(self) -> None:
        """Run until `stop` is called."""
        while self._running:
            self._run_once()

    def _run_once(self) -> None:
        ready = self._selector.select(self._select_timeout())
        self.previous_now, self.now = self.now, now()
        for key, events in ready:
            handler = key.data
            if handler is None:
                os.read(self._wakeup_read_fd, 4096)
            else:
                self._call_guarded(partial(handler.on_events, events))
        while self._posted_calls:
            self._call_guarded(self._posted_calls.popleft())
        self._run_timers()

    def _run_timers(self) -> None:
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            if timer.call is not None:
                self._call_guarded(timer.call)

    def _call_guarded(self, call: Callable[[], None]) -> None:
        """Run a call and pass any exception to `on_error`, if set."""
        try:
            call()
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)

    def _select_timeout(self) -> float:
        if self._posted_calls:
            return 0.0
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return MAX_SELECT_SECONDS
        return min(MAX_SELECT_SECONDS, max(0.0, self._timers[0][0] - now()))
