"""Count the requests that a host has not finished."""

import threading
from collections.abc import Iterable, Iterator


class ActiveRequests:
    """Requests from their arrival to the end of their body, safe for threads."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Return the requests under way."""
        return self._count

    def enter(self) -> None:
        """Count a request that has arrived."""
        with self._changed:
            self._count += 1

    def leave(self) -> None:
        """Count a request that has ended."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def wait_none(self, seconds: float) -> bool:
        """Wait until no request is under way; tell whether that came in time."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, seconds)


class CountedBody:
    """A body whose request ends when the server closes it."""

    def __init__(self, parts: Iterable[bytes], active: ActiveRequests) -> None:
        self._parts = parts
        self._active = active
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """End the request, once."""
        if self._closed:
            return
        self._closed = True
        self._active.leave()
