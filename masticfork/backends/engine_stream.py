"""One running answer of an engine."""

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

# Longest silence inside a running stream.
STALL_SECONDS = 10.0
# Beyond it, the threads that wait for the pump give up on the pump itself.
PUMP_MARGIN_SECONDS = 2.0
MAX_ERROR_BYTES = 1 << 16
_OK = 200
_FRAME_END = b"\n\n"
_DONE = b"data: [DONE]"
_ID = b"id: "


@attrs.frozen
class Frame:
    """One server-sent event as the engine wrote it, without the blank line."""

    raw: bytes
    # Tokens generated up to here; zero in frames that carry no token.
    offset: int


# Takes a frame on the pump's thread; a failure ends the stream.
FrameSink = Callable[[Frame], CallFailure | None]


class EngineStream:
    """Parses an answer as it comes and hands its frames to a sink."""

    def __init__(
        self,
        connection: Connection,
        deadline: Deadline,
        now: Callable[[], float],
        release: Callable[[Connection, bool], None],
    ) -> None:
        self._connection = connection
        self._socket: socket.socket = connection.http.sock
        self._socket.setblocking(False)
        self._deadline = deadline
        self._now = now
        self._release = release
        self._parser = httptools.HttpResponseParser(self)
        # Kept as a plain number, since it is renewed with every token.
        self._stall_at = now() + STALL_SECONDS
        self._buffer = b""
        self._status: Future[int] = Future()
        self._end: Future[CallFailure | None] = Future()
        self._failure: CallFailure | None = None
        self._lock = threading.Lock()
        self._waiting: list[Frame] = []
        self._sink: FrameSink | None = None
        self._streaming = False
        self._complete = False
        self._keeps_alive = False
        self._done_seen = False
        self._closed = False

    @property
    def socket(self) -> socket.socket:
        """Return the connection's socket."""
        return self._socket

    def status(self) -> Result[int, CallFailure]:
        """Wait for the status of the answer."""
        remaining = self._deadline.remaining(self._now())
        seconds = min(STALL_SECONDS, remaining) + PUMP_MARGIN_SECONDS
        try:
            return Ok(self._status.result(seconds))
        except TimeoutError:
            return Err(CallFailure(Stage.SENT, FailureKind.TIMEOUT, "no answer"))
        except StreamFailedError as error:
            return Err(error.failure)

    def error_body(self) -> bytes:
        """Wait for the body of an answer that is no stream, and close."""
        self._wait_end()
        body = self._buffer
        self.close()
        return body

    def relay(self, sink: FrameSink) -> CallFailure | None:
        """Hand all frames to the sink until the end; None where it is whole."""
        with self._lock:
            for frame in self._waiting:
                failure = sink(frame)
                if failure is not None:
                    return failure
            self._waiting = []
            self._sink = sink
        return self._wait_end()

    def close(self) -> None:
        """Give the connection back if the answer was read to its end, else close."""
        if self._closed:
            return
        self._closed = True
        reusable = self._complete and self._end.done()
        if reusable and self._keeps_alive:
            self._release(self._connection, True)
            return
        # The pump sees the end of the connection and drops the stream itself.
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            self._complete = False
        if self._end.done():
            self._release(self._connection, False)

    def feed(self, data: bytes) -> bool:
        """Take in bytes from the connection."""
        if self._closed:
            self._failure = _failure(FailureKind.CONNECTION, "closed")
            return False
        if not data:
            self._at_end_of_connection()
            return False
        self._stall_at = self._now() + STALL_SECONDS
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._failure = _failure(FailureKind.MALFORMED_ANSWER, repr(error))
        return self._failure is None and not self._complete

    def sweep(self, now: float) -> bool:
        """Fail where the stream stalls or its deadline has passed."""
        if self._closed:
            self._failure = _failure(FailureKind.CONNECTION, "closed")
            return False
        if self._deadline.expired(now) or now >= self._stall_at:
            self._failure = _failure(FailureKind.TIMEOUT, "stall")
            return False
        return True

    def fail(self, failure: CallFailure) -> None:
        """End with a failure."""
        self._failure = failure
        self.finish()

    def finish(self) -> None:
        """Tell the waiting threads of the end."""
        if self._failure is None and not self._done_seen and self._streaming:
            self._failure = _failure(FailureKind.CONNECTION, "cut")
        if not self._status.done():
            failure = self._failure or _failure(FailureKind.CONNECTION, "cut")
            sent = attrs.evolve(failure, stage=Stage.SENT)
            self._status.set_exception(StreamFailedError(sent))
        if not self._end.done():
            self._end.set_result(self._failure)
        if self._closed:
            self._release(self._connection, False)

    def on_headers_complete(self) -> None:
        """Take the status from the parser."""
        status = self._parser.get_status_code()
        self._streaming = status == _OK
        self._status.set_result(status)

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body from the parser."""
        if not self._streaming:
            self._buffer = (self._buffer + data)[:MAX_ERROR_BYTES]
            return
        *frames, self._buffer = (self._buffer + data).split(_FRAME_END)
        for raw in frames:
            if raw == _DONE:
                self._done_seen = True
            elif self._failure is None:
                self._failure = self._hand_out(Frame(raw, _offset_of(raw)))

    def on_message_complete(self) -> None:
        """Note the end of the answer from the parser."""
        self._complete = True
        # Only here does the parser tell it: afterwards it awaits another answer.
        self._keeps_alive = self._parser.should_keep_alive()

    def _hand_out(self, frame: Frame) -> CallFailure | None:
        if self._sink is not None:
            return self._sink(frame)
        with self._lock:
            if self._sink is None:
                self._waiting.append(frame)
                return None
        return self._sink(frame)

    def _at_end_of_connection(self) -> None:
        # An answer without a length ends with its connection.
        self._complete = self._complete or (self._streaming and self._done_seen)
        if not self._complete:
            self._failure = _failure(FailureKind.CONNECTION, "cut")

    def _wait_end(self) -> CallFailure | None:
        seconds = self._deadline.remaining(self._now()) + PUMP_MARGIN_SECONDS
        try:
            return self._end.result(seconds)
        except TimeoutError:
            return _failure(FailureKind.TIMEOUT, "deadline")


class StreamFailedError(Exception):
    """Carries the failure of a stream to the thread that waits for its status."""

    def __init__(self, failure: CallFailure) -> None:
        super().__init__(failure.message)
        self.failure = failure


def _failure(kind: FailureKind, message: str) -> CallFailure:
    return CallFailure(Stage.ANSWERING, kind, message)


def _offset_of(raw: bytes) -> int:
    if not raw.startswith(_ID):
        return 0
    return int(raw[len(_ID) : raw.index(b"\n")])
