"""The response stream of one generation."""

import json
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future

import attrs
import httptools
from result import Err, Ok, Result

from masticfork.backends.connections import Connection
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.deadlines import Deadline
from masticfork.core.framing import MAX_RESPONSE_HEAD_BYTES, FramingMeter
from masticfork.core.http_status import is_interim, is_status
from masticfork.core.ids import AttemptId

# Longest time without data before a stream counts as stalled.
STALL_SECONDS = 10.0
# How long after a timeout the waiting threads still wait for the reader thread to
# report it.
READER_MARGIN_SECONDS = 2.0
MAX_ERROR_BYTES = 1 << 16
# A stream with a larger event fails.
MAX_EVENT_BYTES = 1 << 20
_OK = 200
_FRAME_END = b"\n\n"
_DONE_EVENT = b"data: [DONE]"
_ID_FIELD = b"id: "


@attrs.frozen
class ServerSentEvent:
    """One server-sent event as the engine sent it, without the final blank line."""

    raw: bytes
    # Number of tokens generated up to this event; 0 in events without a token.
    offset: int


# Called with each frame, mostly on the reader thread; a returned failure ends the
# stream.
FrameSink = Callable[[ServerSentEvent], CallFailure | None]


class EngineStream:
    """Parses the response as it arrives and passes its frames to a sink.

    The methods of `Readable` and the callbacks of the parser run on the reader thread,
    the others on the thread that handles the request.
    """

    def __init__(
        self,
        connection: Connection,
        attempt: AttemptId,
        deadline: Deadline,
        now: Callable[[], float],
        release: Callable[[Connection, bool], None],
    ) -> None:
        self._connection = connection
        self._attempt = attempt
        self._attempt_checked = False
        self._socket: socket.socket = connection.http.sock
        self._socket.setblocking(False)
        self._deadline = deadline
        self._now = now
        self._release = release
        self._parser = httptools.HttpResponseParser(self)
        # A plain number, since it is updated with every token.
        self._stalls_at = now() + STALL_SECONDS
        self._buffer = bytearray()
        self._head_bytes = 0
        self._framing = FramingMeter()
        self._status_future: Future[int] = Future()
        self._end_future: Future[CallFailure | None] = Future()
        self._failure: CallFailure | None = None
        self._lock = threading.Lock()
        self._undelivered: list[ServerSentEvent] = []
        self._sink: FrameSink | None = None
        self._is_interim = False
        self._streaming = False
        self._response_complete = False
        self._keep_alive = False
        self._done_seen = False
        self._closed = False
        self._released = False

    @property
    def socket(self) -> socket.socket:
        """Return the connection's socket."""
        return self._socket

    def wait_for_status(self) -> Result[int, CallFailure]:
        """Wait for the response head and return its status code."""
        remaining = self._deadline.remaining(self._now())
        seconds = min(STALL_SECONDS, remaining) + READER_MARGIN_SECONDS
        try:
            return Ok(self._status_future.result(seconds))
        except TimeoutError:
            return Err(
                CallFailure(Stage.SENT, FailureKind.TIMEOUT, "no response in time")
            )
        except StreamFailedError as error:
            return Err(error.failure)

    def wait_for_error_body(self) -> bytes:
        """Wait for the body of an error response, close the stream, return the body.

        At most MAX_ERROR_BYTES are returned.
        """
        self._wait_for_end()
        body = bytes(self._buffer)
        self.close()
        return body

    def forward_frames(self, sink: FrameSink) -> CallFailure | None:
        """Pass all frames to the sink; return None after a complete stream."""
        with self._lock:
            for frame in self._undelivered:
                failure = sink(frame)
                if failure is not None:
                    return failure
            self._undelivered = []
            self._sink = sink
        return self._wait_for_end()

    def close(self) -> None:
        """Release the connection if the response is complete, else close it."""
        if self._closed:
            return
        self._closed = True
        ended = self._response_complete and self._end_future.done()
        if ended and self._keep_alive and self._failure is None:
            self._release_once(True)
            return
        # The shutdown wakes the reader thread, which then unregisters the stream.
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            self._response_complete = False
        if self._end_future.done():
            self._release_once(False)

    def feed(self, data: bytes) -> bool:
        """Parse bytes from the connection; none mean that it was closed."""
        if self._closed:
            self._failure = _failure(
                FailureKind.CONNECTION, "the router closed the stream"
            )
            return False
        if not data:
            self._on_connection_closed()
            return False
        self._stalls_at = self._now() + STALL_SECONDS
        if self._status_future.done():
            self._framing.received_bytes += len(data)
        else:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._response_complete:
                # Bytes after the response make the connection unfit for reuse.
                self._keep_alive = False
            else:
                self._failure = _failure(FailureKind.MALFORMED_ANSWER, repr(error))
        if self._failure is None and not self._response_complete:
            self._failure = self._check_sizes()
        return self._failure is None and not self._response_complete

    def check_timeouts(self, now: float) -> bool:
        """Fail the stream if it has stalled or its deadline has passed."""
        if self._closed:
            self._failure = _failure(
                FailureKind.CONNECTION, "the router closed the stream"
            )
            return False
        if self._deadline.expired(now) or now >= self._stalls_at:
            self._failure = _failure(
                FailureKind.TIMEOUT, "stream stalled or deadline passed"
            )
            return False
        return True

    def fail(self, failure: CallFailure) -> None:
        """Record the failure and wake the waiting threads."""
        self._failure = failure
        self.finish()

    def finish(self) -> None:
        """Wake the waiting threads; fail a stream that ended without `[DONE]`."""
        if self._failure is None and not self._done_seen and self._streaming:
            self._failure = _failure(
                FailureKind.CONNECTION, "stream ended without [DONE]"
            )
        if not self._status_future.done():
            failure = self._failure or _failure(
                FailureKind.CONNECTION, "stream ended before its status"
            )
            sent = attrs.evolve(failure, stage=Stage.SENT)
            self._status_future.set_exception(StreamFailedError(sent))
        if not self._end_future.done():
            self._end_future.set_result(self._failure)
        if self._closed:
            self._release_once(False)

    def on_message_begin(self) -> None:
        """Stop at a second response; called by the parser."""
        if self._response_complete:
            raise SecondResponseError

    def on_headers_complete(self) -> None:
        """Publish the status code of the final response; called by the parser."""
        status = self._parser.get_status_code()
        if not is_status(status):
            raise InvalidStatusError(status)
        self._is_interim = is_interim(status)
        if self._is_interim:
            return
        self._streaming = status == _OK
        self._status_future.set_result(status)

    def on_body(self, data: bytes) -> None:
        """Split a piece of the body into frames; called by the parser."""
        self._framing.content_bytes += len(data)
        buffer = self._buffer
        if not self._streaming:
            buffer += data
            del buffer[MAX_ERROR_BYTES:]
            return
        # The data before it holds no end of a frame, except for a first line end.
        search_start = max(0, len(buffer) - 1)
        buffer += data
        frame_start = 0
        while (frame_end := buffer.find(_FRAME_END, search_start)) >= 0:
            raw = bytes(buffer[frame_start:frame_end])
            frame_start = search_start = frame_end + len(_FRAME_END)
            if raw == _DONE_EVENT:
                self._done_seen = True
            elif self._failure is None:
                self._failure = self._check_attempt(raw)
                self._failure = self._failure or self._deliver(
                    ServerSentEvent(raw, _parse_offset(raw))
                )
        del buffer[:frame_start]

    def on_message_complete(self) -> None:
        """Record the end of the final response; called by the parser."""
        if self._is_interim:
            return
        self._response_complete = True
        # Asked for here, since the parser afterwards expects another response.
        self._keep_alive = self._parser.should_keep_alive()

    def _check_attempt(self, raw: bytes) -> CallFailure | None:
        """Return a failure if the response is to another attempt.

        The first frame tells for the others.
        """
        if not self._attempt_checked:
            named = _parse_attempt(raw)
            if named != self._attempt:
                message = f"response to attempt {named!r}"
                return _failure(FailureKind.MALFORMED_ANSWER, message)
            self._attempt_checked = True
        return None

    def _check_sizes(self) -> CallFailure | None:
        """Return the failure of a response with a part that is too large, or None."""
        message = ""
        if not self._status_future.done():
            if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
                message = "head is larger than 64 KiB"
        elif self._framing.exceeded:
            message = "framing is larger than its limit"
        elif len(self._buffer) > MAX_EVENT_BYTES:
            message = "event is larger than 1 MiB"
        return _failure(FailureKind.MALFORMED_ANSWER, message) if message else None

    def _deliver(self, frame: ServerSentEvent) -> CallFailure | None:
        if self._sink is not None:
            return self._sink(frame)
        with self._lock:
            if self._sink is None:
                self._undelivered.append(frame)
                return None
        return self._sink(frame)

    def _release_once(self, reusable: bool) -> None:
        """Release the connection unless the other thread has just done so."""
        with self._lock:
            if self._released:
                return
            self._released = True
        self._release(self._connection, reusable)

    def _on_connection_closed(self) -> None:
        # A response without a length ends when the connection is closed.
        self._response_complete = self._response_complete or (
            self._streaming and self._done_seen
        )
        if not self._response_complete:
            self._failure = _failure(FailureKind.CONNECTION, "connection closed early")

    def _wait_for_end(self) -> CallFailure | None:
        seconds = self._deadline.remaining(self._now()) + READER_MARGIN_SECONDS
        try:
            return self._end_future.result(seconds)
        except TimeoutError:
            return _failure(FailureKind.TIMEOUT, "stream did not end in time")


class StreamFailedError(Exception):
    """Carries the failure of a stream to the thread that waits for its status."""

    def __init__(self, failure: CallFailure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class InvalidStatusError(Exception):
    """The status of a response is not one of HTTP."""


class SecondResponseError(Exception):
    """Stops the parser, since what follows the response belongs to no request."""


def _failure(kind: FailureKind, message: str) -> CallFailure:
    return CallFailure(Stage.ANSWERING, kind, message)


def event_data(raw: bytes) -> bytes:
    """Return the bytes after `data: ` in a server-sent event."""
    return raw.partition(b"data: ")[2]


def _parse_attempt(raw: bytes) -> object:
    """Return the attempt that a frame names, None if it names none."""
    try:
        chunk = json.loads(event_data(raw))
    except ValueError:
        return None
    return chunk.get("id") if isinstance(chunk, dict) else None


def _parse_offset(raw: bytes) -> int:
    if not raw.startswith(_ID_FIELD):
        return 0
    return int(raw[len(_ID_FIELD) : raw.index(b"\n")])
