"""Reads one HTTP answer from a server, and nothing beyond it."""

from collections.abc import Callable
from typing import Protocol

import httptools

from masticfork.core.forwarding import AnswerHead, Header

# Heads of answers beyond this many bytes are taken as broken.
MAX_HEAD_BYTES = 65536
_NO_BODY = (204, 304)


class AnswerSink(Protocol):
    """Takes the parts of one answer in their order."""

    def on_head(self, head: AnswerHead) -> None:
        """Take the status and headers."""

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""

    def on_end(self) -> None:
        """Take the end of a whole answer."""


class UnreadableAnswerError(Exception):
    """The bytes are no HTTP answer, or more than one."""


HeadDecoder = Callable[[int, bytes, list[Header]], AnswerHead]


class AnswerReader:
    """Parses an answer and hands its parts to a sink."""

    def __init__(self, decode: HeadDecoder, sink: AnswerSink, to_head: bool) -> None:
        self._decode = decode
        self._sink = sink
        # Answers to HEAD have no body, whatever their length says.
        self._to_head = to_head
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._reason = b""
        self._head: AnswerHead | None = None
        self._until_close = False
        self._done = False
        self._extra = False

    @property
    def head(self) -> AnswerHead | None:
        """Return the head, once it is read."""
        return self._head

    @property
    def done(self) -> bool:
        """Tell whether the answer was read whole."""
        return self._done

    @property
    def reusable(self) -> bool:
        """Tell whether the connection may carry another request."""
        head = self._head
        return self._done and not self._extra and head is not None and not head.closes

    def feed(self, data: bytes) -> None:
        """Read bytes; raise UnreadableAnswerError if they are no answer."""
        if self._done:
            self._extra = True
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._done:
                raise UnreadableAnswerError(str(error)) from error
            self._extra = True
        if self._head is None and self._head_bytes > MAX_HEAD_BYTES:
            raise UnreadableAnswerError("the head is too large")

    def feed_end(self) -> bool:
        """Take a clean end of the connection; tell whether the answer is whole."""
        if self._until_close and not self._done:
            self._finish()
        return self._done

    # The parser calls the methods below.

    def on_message_begin(self) -> None:
        """Start an answer; a second one does not belong to this request."""
        if self._done:
            self._extra = True

    def on_status(self, status: bytes) -> None:
        """Take the reason of the status line."""
        if not self._done:
            self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if not self._done:
            self._head_bytes += len(name) + len(value)
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decode the head, unless it is an interim one."""
        if self._done:
            return
        status = self._parser.get_status_code()
        headers, self._headers = self._headers, []
        reason, self._reason = self._reason, b""
        if status < 200:
            return
        head = self._decode(status, reason, headers)
        self._head = head
        framed = head.chunked or head.content_length is not None
        bodiless = self._to_head or status in _NO_BODY
        self._until_close = not framed and not bodiless
        self._sink.on_head(head)
        if bodiless:
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        if not self._done:
            self._sink.on_body(data)

    def on_message_complete(self) -> None:
        """End the answer; an interim one has none."""
        if self._head is not None and not self._done:
            self._finish()

    def _finish(self) -> None:
        self._done = True
        self._sink.on_end()
