"""Incremental parser for a single HTTP response from a server."""

from collections.abc import Callable
from typing import Protocol

import httptools

from masticfork.core.forwarding import Header, ResponseHead

# A response with more bytes of header names and values is treated as malformed.
MAX_RESPONSE_HEAD_BYTES = 65536
_BODILESS_STATUSES = (204, 304)


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
        # A response to HEAD has no body, whatever its Content-Length.
        self._is_head_request = is_head_request
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._head_bytes = 0
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
        """Parse received data; raise MalformedResponseError if it is invalid."""
        if self._done:
            self._has_extra_bytes = True
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._done:
                raise MalformedResponseError(str(error)) from error
            self._has_extra_bytes = True
        if self._head is None and self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
            raise MalformedResponseError("response head is larger than 64 KiB")

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
        """Collect one header."""
        if not self._done:
            self._head_bytes += len(name) + len(value)
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decode the head, unless it is that of an interim (1xx) response."""
        if self._done:
            return
        status = self._parser.get_status_code()
        headers, self._headers = self._headers, []
        status_reason, self._status_reason = self._status_reason, b""
        if status < 200:
            return
        head = self._decode(status, status_reason, headers)
        self._head = head
        has_framing = head.chunked or head.content_length is not None
        has_no_body = self._is_head_request or status in _BODILESS_STATUSES
        self._ends_at_close = not has_framing and not has_no_body
        self._sink.on_head(head)
        if has_no_body:
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the sink."""
        if not self._done:
            self._sink.on_body(data)

    def on_message_complete(self) -> None:
        """End the response, unless it is an interim (1xx) one."""
        if self._head is not None and not self._done:
            self._finish()

    def _finish(self) -> None:
        self._done = True
        self._sink.on_end()
