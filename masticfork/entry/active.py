"""Track the requests in progress on a host, so that shutdown can wait for them."""

import threading
from collections.abc import Iterable, Iterator


class ActiveRequests:
    """Thread-safe count of requests from arrival to the end of the response body."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Return the number of requests in progress."""
        return self._count

    def increment(self) -> None:
        """Record the start of a request."""
        with self._changed:
            self._count += 1

    def decrement(self) -> None:
        """Record the end of a request."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def wait_idle(self, seconds: float) -> bool:
        """Wait until no request is in progress; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, seconds)


class CountedBody:
    """Response body that ends its request when the WSGI server closes it."""

    def __init__(self, body: Iterable[bytes], active: ActiveRequests) -> None:
        self._body = body
        self._active = active
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """End the request; further calls have no effect."""
        if self._closed:
            return
        self._closed = True
        self._active.decrement()
