"""Connections of callers: reads requests and writes their answers in order."""

import http
from collections import deque
from typing import Protocol

import attrs
import httptools

from masticfork.core.forwarding import AnswerHead, CallerHead, CallerRequest, Header
from masticfork.core.routes import CallerLimits
from masticfork.relay.channel import Channel
from masticfork.relay.loop import Loop, Timer

# Whole requests of one connection that may wait for the one before them.
MAX_QUEUED_REQUESTS = 2
# Unsent bytes of an answer beyond which the server's answer is not read on.
MAX_UNSENT_BYTES = 256 << 10
# Time in seconds that the rest of a rejected request is read, so that the caller sees
# the answer instead of a reset.
LINGER = 1.0


class CallerExchange(Protocol):
    """Carries one request to its final answer."""

    def on_caller_gone(self) -> None:
        """Stop all work: nobody waits for the answer."""

    def on_caller_reads(self) -> None:
        """Send on: the caller has taken what was written."""


class CallerHost(Protocol):
    """What a caller's connection needs of the entry host."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    @property
    def stopping(self) -> bool:
        """Tell whether the host closes connections after their answers."""

    def decode_head(self, headers: list[Header]) -> CallerHead:
        """Return what the headers of a request say."""

    def begin(
        self, caller: "CallerConnection", request: CallerRequest
    ) -> CallerExchange:
        """Start to carry a request."""

    def refusal_headers(self, attempt_id: bytes) -> list[Header]:
        """Return the headers of an answer of our own."""

    def forget(self, caller: "CallerConnection") -> None:
        """Drop a connection that is closed."""


@attrs.define
class _Incoming:
    """A request that is being read."""

    arrived_at: float
    target: bytes = b""
    headers: list[Header] = attrs.field(factory=list)
    header_bytes: int = 0
    body: list[bytes] = attrs.field(factory=list)
    body_bytes: int = 0
    keep_alive: bool = True
    head_read: bool = False


class CallerConnection:
    """One connection of a caller."""

    def __init__(self, loop: Loop, channel: Channel, host: CallerHost) -> None:
        self._loop = loop
        self._channel = channel
        self._host = host
        self._parser = httptools.HttpRequestParser(self)
        self._incoming: _Incoming | None = None
        self._queue: deque[tuple[CallerRequest, bool]] = deque()
        self._exchange: CallerExchange | None = None
        self._chunked = False
        self._close_after = False
        self._refused = False
        self._idle_since = loop.now
        self._idle_limit = host.limits.idle_timeout
        self._timer: Timer | None = None
        channel.owner = self
        self._arm_timer()

    @property
    def busy(self) -> bool:
        """Tell whether a request of this connection is not answered yet."""
        return self._exchange is not None or bool(self._queue)

    @property
    def congested(self) -> bool:
        """Tell whether the caller reads more slowly than the answer comes."""
        return self._channel.unsent > MAX_UNSENT_BYTES

    # The channel calls these.

    def on_connected(self) -> None:
        """Ignore it: accepted connections are connected."""

    def on_data(self, data: bytes) -> None:
        """Read requests."""
        if self._refused:
            return
        if self._incoming is None and not self.busy:
            self._begin_incoming()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._reject(http.HTTPStatus.BAD_REQUEST)
        else:
            self._check_header_bytes(len(data))
        self._serve_next()

    def on_drained(self) -> None:
        """Let the exchange send on."""
        if self._exchange is not None:
            self._exchange.on_caller_reads()

    def on_closed(self, error: OSError | None) -> None:
        """Stop the work for a caller that is gone."""
        self._end_timer()
        exchange, self._exchange = self._exchange, None
        self._queue.clear()
        if exchange is not None:
            exchange.on_caller_gone()
        self._host.forget(self)

    # The parser calls these.

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._incoming is None:
            self._begin_incoming()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        incoming = self._incoming
        if incoming is not None:
            incoming.target += url
            incoming.header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        incoming = self._incoming
        if incoming is not None:
            incoming.headers.append((name.lower(), value))
            incoming.header_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """Check the head and wait for the body."""
        incoming = self._incoming
        if incoming is None or self._refused:
            return
        incoming.head_read = True
        incoming.keep_alive = self._parser.should_keep_alive()
        limits = self._host.limits
        if incoming.header_bytes > limits.max_header_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        fields = dict(incoming.headers)
        length = fields.get(b"content-length", b"0")
        if length.isdigit() and int(length) > limits.max_body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif b"100-continue" in fields.get(b"expect", b"").lower():
            self._channel.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        incoming = self._incoming
        if incoming is None or self._refused:
            return
        incoming.body_bytes += len(data)
        if incoming.body_bytes > self._host.limits.max_body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            incoming.body.append(data)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        incoming, self._incoming = self._incoming, None
        if incoming is None or self._refused:
            return
        host = dict(incoming.headers).get(b"host", b"").decode("latin-1").lower()
        request = CallerRequest(
            method=self._parser.get_method(),
            target=incoming.target,
            host=host.partition(":")[0],
            head=self._host.decode_head(incoming.headers),
            body=b"".join(incoming.body),
            arrived_at=incoming.arrived_at,
        )
        self._queue.append((request, incoming.keep_alive))
        if len(self._queue) > MAX_QUEUED_REQUESTS:
            self._channel.pause()

    # The exchange calls these.

    def start_answer(self, head: AnswerHead, length: int | None) -> None:
        """Write the head of an answer; without a length its body is chunked."""
        self._chunked = length is None
        framing = (
            (b"transfer-encoding", b"chunked")
            if length is None
            else (b"content-length", b"%d" % length)
        )
        self._write_head(head.status, head.reason, [*head.forwarded, framing])

    def write_body(self, data: bytes) -> None:
        """Write a part of the body."""
        if self._chunked:
            self._channel.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._channel.write(data)

    def end_answer(self) -> None:
        """End an answer and serve what waits."""
        if self._chunked:
            self._channel.write(b"0\r\n\r\n")
        self._chunked = False
        self._exchange = None
        if self._close_after:
            self._finish()
            return
        self._idle_since = self._loop.now
        self._idle_limit = self._host.limits.idle_timeout
        self._arm_timer()
        self._channel.resume()
        self._loop.call_after(0.0, self._serve_next)

    def abort_answer(self) -> None:
        """Break an answer off so that it cannot look whole."""
        self._exchange = None
        self._queue.clear()
        self._end_timer()
        self._channel.abort()
        self._host.forget(self)

    def refuse(self, status: http.HTTPStatus, headers: list[Header]) -> None:
        """Answer the current request with a status of our own."""
        self._chunked = False
        self._write_empty(status, headers)
        self.end_answer()

    def close_idle(self) -> None:
        """Close the connection if no request is being read or answered."""
        if not self.busy and self._incoming is None:
            self._finish()

    def _write_head(self, status: int, reason: bytes, headers: list[Header]) -> None:
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
        lines += (b"%b: %b\r\n" % header for header in headers)
        if self._host.stopping:
            self._close_after = True
        if self._close_after:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        self._channel.write(b"".join(lines))

    def _write_empty(self, status: http.HTTPStatus, headers: list[Header]) -> None:
        """Write a whole answer of our own, which has no body."""
        length = (b"content-length", b"0")
        self._write_head(status.value, status.phrase.encode(), [*headers, length])

    def _serve_next(self) -> None:
        if self._exchange is not None or not self._queue or self._channel.closed:
            return
        request, keep_alive = self._queue.popleft()
        self._end_timer()
        self._close_after = not keep_alive or self._refused
        # An exchange may end before `begin` returns.
        placeholder = NoExchange()
        self._exchange = placeholder
        exchange = self._host.begin(self, request)
        if self._exchange is placeholder:
            self._exchange = exchange

    def _reject(self, status: http.HTTPStatus) -> None:
        """Answer what cannot be read as a request, and close."""
        if self._refused:
            return
        self._refused = True
        self._incoming = None
        if self.busy:
            # The answers before it go first; the connection closes after them.
            self._queue.clear()
            self._close_after = True
            return
        self._close_after = True
        self._write_empty(status, self._host.refusal_headers(b""))
        self._end_timer()
        self._timer = self._loop.call_after(LINGER, self._finish)

    def _begin_incoming(self) -> None:
        self._incoming = _Incoming(self._loop.now)
        self._arm_timer()

    def _check_header_bytes(self, size: int) -> None:
        """Reject a head that grows beyond its limit before it is whole."""
        incoming = self._incoming
        if incoming is not None and not incoming.headers and not incoming.target:
            incoming.header_bytes += size
            if incoming.header_bytes > self._host.limits.max_header_bytes:
                self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _arm_timer(self) -> None:
        self._end_timer()
        self._timer = self._loop.call_at(self._deadline(), self._on_timer)

    def _deadline(self) -> float:
        incoming = self._incoming
        if incoming is not None:
            limits = self._host.limits
            slow = limits.idle_timeout if incoming.head_read else limits.header_timeout
            return incoming.arrived_at + slow
        # A limit that was lowered meanwhile does not hold for this pause: the caller
        # may still go by the one that was in force when it began.
        limit = max(self._idle_limit, self._host.limits.idle_timeout)
        return self._idle_since + limit

    def _on_timer(self) -> None:
        if self.busy:
            return
        if self._deadline() > self._loop.now:
            self._arm_timer()
        elif self._incoming is not None:
            self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
        else:
            self._finish()

    def _end_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _finish(self) -> None:
        self._end_timer()
        self._channel.owner = None
        self._channel.finish()
        self._host.forget(self)


class NoExchange:
    """Stands for an exchange that is not made yet, or was refused before it began."""

    def on_caller_gone(self) -> None:
        """Ignore it: there is no work to stop."""

    def on_caller_reads(self) -> None:
        """Ignore it: nothing more is written."""
