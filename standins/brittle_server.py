"""Stand-in for a server that falls over if it has to refuse too many requests."""

import threading
import time
from collections.abc import Iterator

import attrs

from standins.scripted_server import ReceivedRequest, response


@attrs.define(eq=False)
class BrittleScript:
    """The script of a server with some slots and no queue; it announces N refusals."""

    slots: int
    tolerated: int
    work_seconds: float = 0.2
    answered: int = 0
    # Times of the refusals, in seconds of the monotonic clock.
    refusals: list[float] = attrs.field(factory=list)
    _running: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def __call__(self, request: ReceivedRequest) -> Iterator[bytes]:
        """Answer a request, or refuse it if all slots are taken."""
        brittle = {"Server-Brittle": str(self.tolerated)}
        if not self._take_slot():
            extra = {"X-Masticfork-Not-Executed": "1", **brittle}
            yield response(request, b"", "503 Service Unavailable", extra=extra)
            return
        try:
            time.sleep(self.work_seconds)
        finally:
            with self._lock:
                self._running -= 1
                self.answered += 1
        yield response(request, b"whole", extra=brittle)

    def _take_slot(self) -> bool:
        with self._lock:
            if self._running < self.slots:
                self._running += 1
                return True
            self.refusals.append(time.monotonic())
            return False

    def falls(self, since: float, window: float = 1.0) -> int:
        """Return how often more than N requests were refused within a second."""
        known, count, until = [at for at in self.refusals if at > since], 0, 0.0
        for at in known:
            refused = sum(at <= other < at + window for other in known)
            if at >= until and refused > self.tolerated:
                count, until = count + 1, at + window
        return count
