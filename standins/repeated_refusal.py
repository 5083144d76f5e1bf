"""Script of a faulty server that repeats a refusal on connections that are kept."""

import threading
from collections.abc import Iterator

from standins.scripted_server import ReceivedRequest, events, response


class RepeatedRefusal:
    """Runs each request; on a kept connection, an earlier refusal precedes its answer.

    The refusal has no attempt ID.
    """

    def __init__(self, status: int) -> None:
        self._refusal = (
            b"HTTP/1.1 %d Refused\r\nX-Masticfork-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n" % status
        )
        # Each connection is served by a thread of its own.
        self._connection = threading.local()

    def __call__(self, request: ReceivedRequest) -> Iterator[bytes]:
        """Yield the response to a request."""
        if getattr(self._connection, "kept", False):
            yield self._refusal
        self._connection.kept = True
        if request.target.startswith("/streaming/"):
            yield from events(request, 3, confidence=90)
        else:
            yield response(request, request.attempt_id.encode())
