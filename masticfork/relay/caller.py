"""Connections of callers: parses requests and writes the responses in order."""

import http
from collections import deque
from typing import Protocol

import attrs
import httptools

from masticfork.core.forwarding import (
    CallerHead,
    CallerRequest,
    Header,
    ResponseHead,
    may_have_body,
)
from masticfork.core.framing import FramingMeter
from masticfork.core.routes import CallerLimits
from masticfork.relay.channel import Channel
from masticfork.relay.loop import Loop, Timer
from masticfork.systems.request_memory import HANDLED_BODY_COPIES, request_memory

# Reading pauses while more pipelined requests than this wait on one connection.
MAX_QUEUED_REQUESTS = 2
# Reading from the server pauses while more of the response than this is unsent.
MAX_UNSENT_RESPONSE_BYTES = 256 << 10
# Time for which the rest of a rejected request is read, so that the caller receives the
# response instead of a reset.
LINGER_SECONDS = 1.0
# Retry-After of requests that are refused since all requests take too much memory:
# those before them end within about this time, in seconds.
MEMORY_RETRY_AFTER_SECONDS = 1.0
# What the request line has beside its target, which the limit for headers leaves out.
REQUEST_LINE_BYTES = 64
# What a header line has at least beside its name and value: a colon and the line's end.
LINE_BYTES = 3

# The only final status with which no Content-Length may be sent.
_NO_CONTENT_STATUS = 204


class CallerExchange(Protocol):
    """Handles one request until its final response."""

    @property
    def team(self) -> str | None:
        """Return the team of the request, None if it has none."""

    def on_caller_too_slow(self) -> None:
        """Cancel the exchange of a caller that was cut off for reading too slowly."""

    def on_caller_disconnected(self) -> None:
        """Cancel the exchange after the caller has disconnected."""

    def on_caller_writable(self) -> None:
        """Resume writing after the send buffer to the caller has become empty."""


class CallerHost(Protocol):
    """Interface of the entry host that a caller's connection uses."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits of the configuration in force."""

    @property
    def stopping(self) -> bool:
        """Return whether the host is stopping: connections close after a response."""

    def decode_head(self, headers: list[Header]) -> CallerHead:
        """Decode the headers of a request."""

    def begin_exchange(
        self, caller: "CallerConnection", request: CallerRequest
    ) -> CallerExchange:
        """Start to handle a request."""

    def error_headers(
        self, attempt_id: bytes, retry_after: float | None = None
    ) -> list[Header]:
        """Return the headers of an error response of this host.

        `retry_after` is in seconds.
        """

    def account(self, caller: "CallerConnection", size: int) -> None:
        """Note the bytes that the requests of a connection take."""

    def remove_connection(self, caller: "CallerConnection") -> None:
        """Remove a closed connection."""


@attrs.define
class _PartialRequest:
    """A request that has not been received completely."""

    arrived_at: float
    target: bytes = b""
    headers: list[Header] = attrs.field(factory=list)
    header_bytes: int = 0
    # Bytes received until the head is complete.
    head_bytes: int = 0
    framing: FramingMeter = attrs.field(factory=FramingMeter)
    body: bytearray = attrs.field(factory=bytearray)
    keep_alive: bool = True
    # Callers of HTTP/1.0 do not know chunked bodies.
    accepts_chunks: bool = True
    head_complete: bool = False

    @property
    def size(self) -> int:
        """Return the bytes that the request takes."""
        return request_memory(len(self.headers), self.header_bytes, len(self.body))


@attrs.frozen
class _QueuedRequest:
    """A complete request that has not been handled yet."""

    request: CallerRequest
    keep_alive: bool
    accepts_chunks: bool
    # Bytes that it takes while it waits.
    size: int

    @property
    def handled_size(self) -> int:
        """Return the bytes that it takes while it is handled."""
        return self.size + (HANDLED_BODY_COPIES - 1) * len(self.request.body)


class CallerConnection:
    """One connection of a caller, which handles one request at a time."""

    def __init__(self, loop: Loop, channel: Channel, host: CallerHost) -> None:
        self._loop = loop
        self._channel = channel
        self._host = host
        self._parser = httptools.HttpRequestParser(self)
        self._partial_request: _PartialRequest | None = None
        self._queued_requests: deque[_QueuedRequest] = deque()
        self._exchange: CallerExchange | None = None
        # Whether the request being handled asks for a head only.
        self._is_head_request = False
        self._accepts_chunks = True
        self._response_chunked = False
        self._close_after_response = False
        self._rejected = False
        # Bytes that the request being handled takes, and all requests as last noted.
        self._handled_size = 0
        self._noted_size = 0
        self._progressed_at = loop.now
        self._has_answered = False
        self._team = ""
        self._idle_since = loop.now
        self._idle_timeout = host.limits.idle_timeout
        self._read_timer: Timer | None = None
        channel.owner = self
        self._restart_timer()

    @property
    def busy(self) -> bool:
        """Return whether a request is queued or being handled."""
        return self._exchange is not None or bool(self._queued_requests)

    @property
    def is_receiving(self) -> bool:
        """Return whether a request has not been received completely."""
        return self._partial_request is not None

    @property
    def is_between_requests(self) -> bool:
        """Return whether a request was answered, and no other one has begun."""
        return self._has_answered and not self.is_receiving and not self._rejected

    @property
    def progressed_at(self) -> float:
        """Return the loop time at which the caller last sent anything."""
        return self._progressed_at

    @property
    def congested(self) -> bool:
        """Return whether too much of the response is still unsent."""
        return self._channel.unsent_bytes > MAX_UNSENT_RESPONSE_BYTES

    @property
    def team(self) -> str:
        """Return the team of the latest request, empty if it has none."""
        return self._team

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the caller has not taken yet."""
        return self._channel.unsent_bytes

    @property
    def stalled_since(self) -> float:
        """Return the loop time at which the caller last took any of them."""
        return self._channel.progressed_at

    def cut_off(self) -> None:
        """Reset the connection of a caller that reads too slowly."""
        exchange = self._exchange
        self.abort_response()
        if exchange is not None:
            exchange.on_caller_too_slow()

    def refuse_incomplete(self) -> None:
        """Refuse the request that has not been received completely; it has not run."""
        self._reject_input(
            http.HTTPStatus.SERVICE_UNAVAILABLE, MEMORY_RETRY_AFTER_SECONDS
        )

    def give_up_place(self) -> None:
        """Close the connection, on which no request is handled, for another caller."""
        if self.is_receiving:
            headers = self._host.error_headers(b"")
            self._close_after_response = True
            self._write_empty_response(http.HTTPStatus.REQUEST_TIMEOUT, headers)
        self._close_when_sent()

    # Callbacks of the channel.

    def on_connected(self) -> None:
        """Do nothing: accepted connections are already connected."""

    def on_data(self, data: bytes) -> None:
        """Parse requests and start to handle the next one."""
        if self._rejected:
            return
        self._progressed_at = self._loop.now
        if self._partial_request is None and not self.busy:
            self._begin_partial_request()
        previous = self._partial_request
        if previous is not None and previous.head_complete:
            previous.framing.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject_input(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._reject_input(http.HTTPStatus.BAD_REQUEST)
        else:
            if previous is not None and previous is self._partial_request:
                self._check_framing(previous, len(data))
        self._account()
        self._begin_next_exchange()

    def on_drained(self) -> None:
        """Let the exchange resume writing, or continue with the next request."""
        if self._exchange is not None:
            self._exchange.on_caller_writable()
        self._begin_next_exchange()

    def on_closed(self, error: OSError | None) -> None:
        """Cancel the exchange of a caller that has disconnected."""
        self._cancel_timer()
        exchange, self._exchange = self._exchange, None
        self._forget_requests()
        if exchange is not None:
            exchange.on_caller_disconnected()
        self._host.remove_connection(self)

    # Callbacks of httptools.HttpRequestParser.

    def on_message_begin(self) -> None:
        """Start a request unless its first bytes have already done so."""
        if self._partial_request is None:
            self._begin_partial_request()

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target."""
        partial_request = self._partial_request
        if partial_request is not None:
            partial_request.target += url
            partial_request.header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers, which follow the body, are discarded."""
        partial_request = self._partial_request
        if partial_request is not None and not partial_request.head_complete:
            partial_request.headers.append((name.lower(), value))
            partial_request.header_bytes += len(name) + len(value) + LINE_BYTES

    def on_headers_complete(self) -> None:
        """Check the header and body sizes, and answer `Expect: 100-continue`."""
        partial_request = self._partial_request
        if partial_request is None or self._rejected:
            return
        partial_request.head_complete = True
        partial_request.keep_alive = self._parser.should_keep_alive()
        partial_request.accepts_chunks = self._parser.get_http_version() != "1.0"
        limits = self._host.limits
        if partial_request.header_bytes > limits.max_header_bytes:
            self._reject_input(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        header_values = dict(partial_request.headers)
        length = header_values.get(b"content-length", b"0")
        if length.isdigit() and int(length) > limits.max_body_bytes:
            self._reject_input(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif b"100-continue" in header_values.get(b"expect", b"").lower():
            self._channel.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body and check its size."""
        partial_request = self._partial_request
        if partial_request is None or self._rejected:
            return
        partial_request.framing.content_bytes += len(data)
        if partial_request.framing.content_bytes > self._host.limits.max_body_bytes:
            self._reject_input(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            partial_request.body += data

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        partial_request, self._partial_request = self._partial_request, None
        if partial_request is None or self._rejected:
            return
        host = dict(partial_request.headers).get(b"host", b"").decode("latin-1").lower()
        request = CallerRequest(
            method=self._parser.get_method(),
            target=partial_request.target,
            host=host.partition(":")[0],
            head=self._host.decode_head(partial_request.headers),
            body=bytes(partial_request.body),
            arrived_at=partial_request.arrived_at,
        )
        self._queued_requests.append(
            _QueuedRequest(
                request,
                partial_request.keep_alive,
                partial_request.accepts_chunks,
                partial_request.size,
            )
        )
        if len(self._queued_requests) > MAX_QUEUED_REQUESTS:
            self._channel.pause()

    # Called by the exchange.

    def start_response(self, head: ResponseHead, length: int | None) -> None:
        """Write the head of a response.

        Without a length its body is chunked, or ends with the connection if the caller
        does not know chunks.
        """
        has_body = may_have_body(head.status, self._is_head_request)
        if not has_body:
            # The server states the length of the body that it leaves out.
            length = head.content_length if head.status != _NO_CONTENT_STATUS else None
        self._response_chunked = has_body and length is None and self._accepts_chunks
        headers = list(head.forwarded)
        if length is not None:
            headers.append((b"content-length", b"%d" % length))
        elif self._response_chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif has_body:
            self._close_after_response = True
        self._write_response_head(head.status, head.reason, headers)

    def write_body(self, data: bytes) -> None:
        """Write a part of the body."""
        if self._response_chunked:
            self._channel.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._channel.write(data)

    def end_response(self) -> None:
        """End the response and continue with the next queued request."""
        if self._response_chunked:
            self._channel.write(b"0\r\n\r\n")
        self._response_chunked = False
        self._end_handling()
        if self._close_after_response:
            self._close_when_sent()
            return
        self._idle_since = self._loop.now
        self._idle_timeout = self._host.limits.idle_timeout
        self._restart_timer()
        self._loop.call_after(0.0, self._begin_next_exchange)

    def abort_response(self) -> None:
        """Reset the connection, so that the response cannot appear complete."""
        self._exchange = None
        self._forget_requests()
        self._cancel_timer()
        self._channel.abort()
        self._host.remove_connection(self)

    def send_error(self, status: http.HTTPStatus, headers: list[Header]) -> None:
        """Answer the current request with an error response that has no body."""
        self._response_chunked = False
        self._write_empty_response(status, headers)
        self.end_response()

    def close_idle(self) -> None:
        """Close the connection unless a request is being read or handled."""
        if not self.busy and self._partial_request is None:
            self._close_when_sent()

    def _write_response_head(
        self, status: int, reason: bytes, headers: list[Header]
    ) -> None:
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
        lines += (b"%b: %b\r\n" % header for header in headers)
        if self._host.stopping:
            self._close_after_response = True
        if self._close_after_response:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        self._channel.write(b"".join(lines))

    def _write_empty_response(
        self, status: http.HTTPStatus, headers: list[Header]
    ) -> None:
        """Write a complete response without a body."""
        length = (b"content-length", b"0")
        self._write_response_head(
            status.value, status.phrase.encode(), [*headers, length]
        )

    def _begin_next_exchange(self) -> None:
        # Responses that the caller does not read must not gather in the send buffer.
        if (
            self._exchange is not None
            or not self._queued_requests
            or self._channel.closed
            or self.congested
        ):
            return
        queued = self._queued_requests.popleft()
        if len(self._queued_requests) <= MAX_QUEUED_REQUESTS:
            self._channel.resume()
        request = queued.request
        self._cancel_timer()
        self._is_head_request = request.is_head_request
        self._accepts_chunks = queued.accepts_chunks
        self._close_after_response = not queued.keep_alive or self._rejected
        self._handled_size = queued.handled_size
        self._account()
        # An exchange may end before `begin_exchange` returns.
        placeholder = NoExchange()
        self._exchange = placeholder
        exchange = self._host.begin_exchange(self, request)
        if self._exchange is placeholder:
            self._exchange = exchange
        self._team = exchange.team or ""

    def _account(self) -> None:
        """Note what the requests of this connection take, if that has changed."""
        partial_request = self._partial_request
        size = self._handled_size + sum(queued.size for queued in self._queued_requests)
        if partial_request is not None:
            size += partial_request.size
        if size != self._noted_size:
            self._noted_size = size
            self._host.account(self, size)

    def _end_handling(self) -> None:
        self._has_answered = True
        self._progressed_at = self._loop.now
        self._exchange = None
        self._handled_size = 0
        self._account()

    def _forget_requests(self) -> None:
        self._partial_request = None
        self._queued_requests.clear()
        self._handled_size = 0
        self._account()

    def _reject_input(
        self, status: http.HTTPStatus, retry_after: float | None = None
    ) -> None:
        """Answer invalid or oversized input with an error, and close the connection.

        `retry_after` is in seconds.
        """
        if self._rejected:
            return
        self._rejected = True
        self._partial_request = None
        self._account()
        if self.busy:
            # The request in progress, or the first one queued, is answered first; then
            # the connection closes.
            self._close_after_response = True
            return
        self._close_after_response = True
        headers = self._host.error_headers(b"", retry_after)
        self._write_empty_response(status, headers)
        self._cancel_timer()
        self._read_timer = self._loop.call_after(LINGER_SECONDS, self._close_when_sent)

    def _begin_partial_request(self) -> None:
        self._partial_request = _PartialRequest(self._loop.now)
        self._restart_timer()

    def _check_framing(self, partial_request: _PartialRequest, size: int) -> None:
        """Reject a request of which too much is neither complete nor content."""
        if partial_request.head_complete:
            if partial_request.framing.exceeded:
                self._reject_input(http.HTTPStatus.BAD_REQUEST)
            return
        partial_request.head_bytes += size
        max_bytes = self._host.limits.max_header_bytes + REQUEST_LINE_BYTES
        if partial_request.head_bytes > max_bytes:
            self._reject_input(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _restart_timer(self) -> None:
        self._cancel_timer()
        self._read_timer = self._loop.call_at(
            self._read_deadline(), self._on_read_timeout
        )

    def _read_deadline(self) -> float:
        partial_request = self._partial_request
        if partial_request is not None:
            limits = self._host.limits
            read_timeout = (
                limits.idle_timeout
                if partial_request.head_complete
                else limits.header_timeout
            )
            return partial_request.arrived_at + read_timeout
        # A timeout that was lowered in the meantime does not apply to the current idle
        # period: the caller may rely on the one in force when the period began.
        idle_timeout = max(self._idle_timeout, self._host.limits.idle_timeout)
        return self._idle_since + idle_timeout

    def _on_read_timeout(self) -> None:
        if self.busy:
            return
        if self._read_deadline() > self._loop.now:
            self._restart_timer()
        elif self._partial_request is not None:
            self._reject_input(http.HTTPStatus.REQUEST_TIMEOUT)
        else:
            self._close_when_sent()

    def _cancel_timer(self) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None

    def _close_when_sent(self) -> None:
        self._cancel_timer()
        self._forget_requests()
        self._channel.close_when_sent(lambda: self._host.remove_connection(self))


class NoExchange:
    """Placeholder for an exchange that is not created yet or was refused."""

    team: str | None = None

    def on_caller_too_slow(self) -> None:
        """Do nothing: there is nothing to cancel."""

    def on_caller_disconnected(self) -> None:
        """Do nothing: there is nothing to cancel."""

    def on_caller_writable(self) -> None:
        """Do nothing: nothing more is written."""
