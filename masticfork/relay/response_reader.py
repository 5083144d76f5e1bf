"""Incremental parser for a single HTTP response from a server."""

from collections.abc import Callable
from typing import Protocol

import httptools

from masticfork.core.forwarding import Header, ResponseHead, may_have_body
from masticfork.core.framing import (
    MAX_RESPONSE_HEAD_BYTES,
    MAX_RESPONSE_HEADER_LINES,
    FramingMeter,
)
from masticfork.core.http_status import is_interim, is_status


class ResponseSink(Protocol):
    """Receives the parts of one response in order."""

    def on_head(self, head: ResponseHead) -> None:
        """Receive the status and headers."""

    def on_body(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_end(self) -> None:
        """Receive the end of a complete response."""


class MalformedResponseError(Exception):
    """The data is not a valid HTTP response, or its head is too large."""


# Decodes status code, reason phrase and headers into a response head.
HeadDecoder = Callable[[int, bytes, list[Header]], ResponseHead]


class ResponseReader:
    """Parses one response and passes its parts to a sink.

    Bytes after its end are ignored and make the connection unfit for reuse.
    """

    def __init__(
        self, decode: HeadDecoder, sink: ResponseSink, is_head_request: bool
    ) -> None:
        self._decode = decode
        self._sink = sink
        self._is_head_request = is_head_request
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        # Of all heads of the response, interim ones included.
        self._header_lines = 0
        # Bytes received up to the end of the read that completed the head.
        self._head_bytes = 0
        self._framing = FramingMeter()
        # Parts of the body in the data that is being parsed.
        self._body_parts: list[bytes] = []
        self._status_reason = b""
        self._head: ResponseHead | None = None
        self._ends_at_close = False
        self._done = False
        self._has_extra_bytes = False

    @property
    def head(self) -> ResponseHead | None:
        """Return the response head, None until it has been received."""
        return self._head

    @property
    def done(self) -> bool:
        """Return whether the complete response has been received."""
        return self._done

    @property
    def ends_at_close(self) -> bool:
        """Return whether the body has no framing and ends with the connection."""
        return self._ends_at_close

    @property
    def has_extra_bytes(self) -> bool:
        """Return whether data followed the complete response."""
        return self._has_extra_bytes

    @property
    def reusable(self) -> bool:
        """Return whether the connection may be used for another request."""
        head = self._head
        return (
            self._done
            and not self._has_extra_bytes
            and head is not None
            and not head.closes
        )

    def feed(self, data: bytes) -> None:
        """Parse received data; raise MalformedResponseError if it is invalid.

        The sink gets all parts of the body in the data at once, so that small chunks
        cost no call each.
        """
        if self._done:
            self._has_extra_bytes = True
            return
        try:
            self._parse(data)
        finally:
            self._flush_body()
        self._check_sizes()

    def _parse(self, data: bytes) -> None:
        if self._head is None:
            self._head_bytes += len(data)
        else:
            self._framing.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            if not self._done:
                raise MalformedResponseError("it switches protocols") from error
            self._has_extra_bytes = True
        except httptools.HttpParserError as error:
            if not self._done:
                raise MalformedResponseError(repr(error)) from error
            self._has_extra_bytes = True

    def feed_end(self) -> bool:
        """Process the end of the connection; return whether the response is complete.

        A body without Content-Length or chunked encoding ends with the connection.
        """
        if self._ends_at_close and not self._done:
            self._finish()
        return self._done

    # Callbacks of httptools.HttpResponseParser.

    def on_message_begin(self) -> None:
        """Record a second response, which does not belong to this request."""
        if self._done:
            self._has_extra_bytes = True

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase of the status line."""
        if not self._done:
            self._status_reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are dropped."""
        if self._head is not None:
            return
        self._header_lines += 1
        if self._header_lines > MAX_RESPONSE_HEADER_LINES:
            self._headers.clear()
            raise MalformedResponseError("head has more than 1000 lines")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decode the head, unless it is that of an interim (1xx) response."""
        if self._done:
            return
        status = self._parser.get_status_code()
        headers, self._headers = self._headers, []
        status_reason, self._status_reason = self._status_reason, b""
        if not is_status(status):
            raise MalformedResponseError(f"{status} is no status")
        if is_interim(status):
            return
        head = self._decode(status, status_reason, headers)
        self._head = head
        has_framing = head.chunked or head.content_length is not None
        has_body = may_have_body(status, self._is_head_request)
        self._ends_at_close = has_body and not has_framing
        self._sink.on_head(head)
        if not has_body:
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body, unless the response is complete."""
        if self._done:
            self._has_extra_bytes = True
        else:
            self._framing.content_bytes += len(data)
            self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """End the response, unless it is an interim (1xx) one."""
        if self._head is not None and not self._done:
            self._finish()

    def _check_sizes(self) -> None:
        """Raise MalformedResponseError if too much is not content of the body."""
        if self._head is None:
            if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
                raise MalformedResponseError("head is larger than 64 KiB")
        elif not self._done and self._framing.exceeded:
            raise MalformedResponseError("framing is larger than its limit")

    def _flush_body(self) -> None:
        """Pass the collected parts of the body to the sink."""
        if self._body_parts:
            parts, self._body_parts = self._body_parts, []
            self._sink.on_body(b"".join(parts))

    def _finish(self) -> None:
        self._done = True
        self._flush_body()
        self._sink.on_end()
