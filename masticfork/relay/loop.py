"""An event loop over sockets, timers and calls from other threads."""

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

# Longest time in seconds that the loop sleeps without any event.
MAX_SLEEP = 1.0


def now() -> float:
    """Return seconds on a clock that also counts while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Handler(Protocol):
    """Acts on events of one socket."""

    def on_events(self, events: int) -> None:
        """Act on readiness, a mask of `selectors` events.

        A handler whose socket was closed earlier in the same round is called once more.
        """


@attrs.define(eq=False)
class Timer:
    """A call at a point in time, unless it is cancelled before."""

    at: float
    call: Callable[[], None] | None

    def cancel(self) -> None:
        """Drop the call."""
        self.call = None


class Loop:
    """Runs handlers and timers on one thread."""

    def __init__(self) -> None:
        # Called with an error that a handler or a call did not expect. One request's
        # fault must not end the process, which carries many others.
        self.on_error: Callable[[Exception], None] | None = None
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._count = 0
        self._posted: deque[Callable[[], None]] = deque()
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._running = True
        self.now = now()

    @property
    def running(self) -> bool:
        """Tell whether the loop was not stopped yet; safe from any thread."""
        return self._running

    def register(self, sock: socket.socket, events: int, handler: Handler) -> None:
        """Watch a socket."""
        self._selector.register(sock, events, handler)

    def modify(self, sock: socket.socket, events: int, handler: Handler) -> None:
        """Watch a socket for other events."""
        self._selector.modify(sock, events, handler)

    def unregister(self, sock: socket.socket) -> None:
        """Watch a socket no longer."""
        self._selector.unregister(sock)

    def call_at(self, at: float, call: Callable[[], None]) -> Timer:
        """Call at a point of the loop's clock."""
        timer = Timer(at, call)
        self._count += 1
        heapq.heappush(self._timers, (at, self._count, timer))
        return timer

    def call_after(self, seconds: float, call: Callable[[], None]) -> Timer:
        """Call after some seconds."""
        return self.call_at(self.now + seconds, call)

    def post(self, call: Callable[[], None]) -> None:
        """Call on the loop's thread; safe from any thread."""
        self._posted.append(call)
        try:
            os.write(self._wake_write, b"\0")
        except BlockingIOError:
            return  # The pipe is full, so the loop wakes anyway.

    def stop(self) -> None:
        """End `run` after the events at hand."""
        self._running = False

    def run(self) -> None:
        """Run until stopped."""
        while self._running:
            self._run_once()

    def _run_once(self) -> None:
        ready = self._selector.select(self._sleep())
        self.now = now()
        for key, events in ready:
            handler = key.data
            if handler is None:
                os.read(self._wake_read, 4096)
            else:
                self._guard(partial(handler.on_events, events))
        while self._posted:
            self._guard(self._posted.popleft())
        self._run_timers()

    def _run_timers(self) -> None:
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            if timer.call is not None:
                self._guard(timer.call)

    def _guard(self, call: Callable[[], None]) -> None:
        """Call, and report an error instead of ending the loop."""
        try:
            call()
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)

    def _sleep(self) -> float:
        if self._posted:
            return 0.0
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return MAX_SLEEP
        return min(MAX_SLEEP, max(0.0, self._timers[0][0] - now()))
