"""Reads HTTP responses within a deadline and a size limit, however they arrive.

`http.client` applies its timeout to each read of the socket, so a server that keeps
sending keeps it reading.
"""

import functools
import http.client
import io
import socket
from collections.abc import Callable
from typing import Any

from masticfork.core.deadlines import Deadline

# A response that is larger, with its head and framing, is treated as one without end.
MAX_RESPONSE_BYTES = 64 << 20


class ResponseTooLargeError(http.client.HTTPException):
    """The response is larger than the call admits."""


class _BoundedReader(io.RawIOBase):
    def __init__(
        self,
        sock: socket.socket,
        raw: io.RawIOBase,
        deadline: Deadline,
        now: Callable[[], float],
        max_bytes: int,
    ) -> None:
        self._sock = sock
        self._raw = raw
        self._deadline = deadline
        self._now = now
        self._max_bytes = max_bytes
        self._received_bytes = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        remaining = self._deadline.remaining(self._now())
        if remaining == 0:
            raise TimeoutError("deadline expired")
        self._sock.settimeout(remaining)
        count: int | None = self._raw.readinto(buffer)
        self._received_bytes += count or 0
        if self._received_bytes > self._max_bytes:
            raise ResponseTooLargeError(f"response exceeds {self._max_bytes} bytes")
        return count

    def close(self) -> None:
        self._raw.close()
        super().close()


class _BoundedResponse(http.client.HTTPResponse):
    def __init__(
        self,
        deadline: Deadline,
        now: Callable[[], float],
        max_bytes: int,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        raw = self.fp.detach()
        self.fp = io.BufferedReader(_BoundedReader(sock, raw, deadline, now, max_bytes))


def bound_response(
    connection: http.client.HTTPConnection,
    deadline: Deadline,
    now: Callable[[], float],
    max_bytes: int = MAX_RESPONSE_BYTES,
) -> None:
    """Bound the next response that is read from a connection, head and framing too."""
    connection.response_class = functools.partial(  # type: ignore[assignment]
        _BoundedResponse, deadline, now, max_bytes
    )
