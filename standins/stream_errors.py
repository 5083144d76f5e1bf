"""Servers that break a stream off, and errors with which the next ones answer."""

import time
from collections.abc import Iterator

from standins.scripted_server import (
    CloseConnectionError,
    ReceivedRequest,
    ResetConnectionError,
    Script,
    chunk,
    event,
    events,
    overloaded_response,
    response,
    stream_head,
    unframed_head,
)

EVENT_COUNT = 5
# Events that the first server sends whole.
FIRST_EVENTS = 2
WHOLE_EVENTS = [event(number) for number in range(1, EVENT_COUNT + 1)]
ERROR_TEXT = b"Internal error: no room\n\n"
ERROR_STATUS = "500 Internal Server Error"
LATE_SECONDS = 0.25


def is_beginning_of_the_stream(body: bytes) -> bool:
    """Return whether a body consists of the first events, all of them whole."""
    return any(
        body == b"".join(WHOLE_EVENTS[:count]) for count in range(EVENT_COUNT + 1)
    )


class BreakingServers:
    """Breaks each first run off; then come so many errors, and after them the rest."""

    def __init__(self, error: Script, errors: int, partial_event: bytes) -> None:
        self._error = error
        self._errors_left = errors
        # What is sent of the event after the first ones.
        self._partial_event = partial_event

    def __call__(self, request: ReceivedRequest) -> Iterator[bytes]:
        """Yield the response to a request."""
        if "last-event-id" not in request.headers:
            yield stream_head(request)
            for whole in WHOLE_EVENTS[:FIRST_EVENTS]:
                yield chunk(whole)
            if self._partial_event:
                yield chunk(self._partial_event)
            time.sleep(0.05)
            raise ResetConnectionError
        if self._errors_left:
            self._errors_left -= 1
            yield from self._error(request)
        else:
            yield from events(request, EVENT_COUNT)


def _error(status: str, body: bytes = ERROR_TEXT) -> Script:
    return lambda request: iter([response(request, body, status)])


def _head(request: ReceivedRequest, status: str, signed: bool) -> bytes:
    stamp = "X-Masticfork-Server-Stamp: s1\r\n" if signed else ""
    return (
        f"HTTP/1.1 {status}\r\nX-Masticfork-Attempt-Id: {request.attempt_id}\r\n{stamp}"
    ).encode()


def _no_content(request: ReceivedRequest) -> Iterator[bytes]:
    yield _head(request, "204 No Content", signed=True) + b"\r\n"


def _unsigned_success(request: ReceivedRequest) -> Iterator[bytes]:
    yield _head(request, "200 OK", signed=False) + b"Content-Length: 0\r\n\r\n"


def _in_pieces(request: ReceivedRequest) -> Iterator[bytes]:
    data = response(request, ERROR_TEXT, ERROR_STATUS)
    for position in range(0, len(data), 7):
        yield data[position : position + 7]
        time.sleep(0.002)


def _late(request: ReceivedRequest) -> Iterator[bytes]:
    time.sleep(LATE_SECONDS)
    yield response(request, ERROR_TEXT, ERROR_STATUS)


def _unframed(request: ReceivedRequest) -> Iterator[bytes]:
    yield unframed_head(request, ERROR_STATUS)
    yield ERROR_TEXT
    raise CloseConnectionError


def _unframed_success_without_events(request: ReceivedRequest) -> Iterator[bytes]:
    yield unframed_head(request)
    raise CloseConnectionError


def _foreign_error(request: ReceivedRequest) -> Iterator[bytes]:
    yield b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"


def _foreign_refusal(request: ReceivedRequest) -> Iterator[bytes]:
    yield b"HTTP/1.1 503 Full\r\nX-Masticfork-Attempt-Id: other\r\n"
    yield b"X-Masticfork-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def _refused(request: ReceivedRequest) -> Iterator[bytes]:
    yield overloaded_response()


def _plain_bytes(request: ReceivedRequest) -> Iterator[bytes]:
    yield ERROR_TEXT
    raise CloseConnectionError


def _stream_of(data: bytes) -> Script:
    return lambda request: iter([stream_head(request) + chunk(data) + b"0\r\n\r\n"])


def _head_as_events(request: ReceivedRequest) -> Iterator[bytes]:
    yield from _stream_of(response(request, ERROR_TEXT, ERROR_STATUS))(request)


def _head_behind_an_event(request: ReceivedRequest) -> Iterator[bytes]:
    following = event(int(request.headers["last-event-id"]) + 1)
    head = response(request, ERROR_TEXT, ERROR_STATUS)
    yield from _stream_of(following + head)(request)


# Scripts of the responses, by what a caller must not find in its stream.
STREAM_ERRORS: dict[str, Script] = {
    "500": _error(ERROR_STATUS),
    "502": _error("502 Bad Gateway"),
    "503": _error("503 Service Unavailable"),
    "504": _error("504 Gateway Timeout"),
    "404": _error("404 Not Found"),
    "302": _error("302 Found"),
    "204": _no_content,
    "206": _error("206 Partial Content", b""),
    "large": _error(ERROR_STATUS, ERROR_TEXT * 20_000),
    "refused": _refused,
    "in pieces": _in_pieces,
    "late": _late,
    "unframed": _unframed,
    "unframed success without events": _unframed_success_without_events,
    "unsigned success": _unsigned_success,
    "error to another request": _foreign_error,
    "refusal of another request": _foreign_refusal,
    "plain bytes": _plain_bytes,
    "text as events": _stream_of(ERROR_TEXT),
    "error event": _stream_of(b"event: error\ndata: no room\n\n"),
    "head as events": _head_as_events,
    "head behind an event": _head_behind_an_event,
}
