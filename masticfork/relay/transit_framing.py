"""HTTP messages in which one host passes the bytes of a server's connection to another.

The request names the server, and its body is what the calling host sends. The response
begins once the server is connected, before any of it is sent, and its body is what the
server sends. It ends with a trailer if the server has reset the connection.
"""

import enum
from typing import Protocol

import httptools

PATH_PREFIX = b"/server-connections/"
_RESET_TRAILER = b"server-reset"
_OPEN_REQUEST = (
    b"POST %b%b HTTP/1.1\r\nhost: peer\r\ntransfer-encoding: chunked\r\n\r\n"
)
OPENED_RESPONSE = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"
END_BY_RESET = b"0\r\n%b: 1\r\n\r\n" % _RESET_TRAILER


class Refusal(enum.Enum):
    """Why a host opens no connection to a server for another one."""

    # The host stops, has too many such connections, does not know the server, or may
    # reach none itself.
    DECLINED = 503
    # The server cannot be reached, though others can.
    UNREACHABLE = 502


def refusal_response(refusal: Refusal) -> bytes:
    """Return the response to a host for which no connection is opened."""
    return b"HTTP/1.1 %d %b\r\ncontent-length: 0\r\nconnection: close\r\n\r\n" % (
        refusal.value,
        refusal.name.encode(),
    )


def open_request(server_id: str) -> bytes:
    """Return the head of the request for a connection to a server."""
    return _OPEN_REQUEST % (PATH_PREFIX, server_id.encode())


def chunk(data: bytes) -> bytes:
    """Return data as a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class OpenedSink(Protocol):
    """Receives what a response tells of the connection to the server."""

    def on_opened(self) -> None:
        """Handle the establishment of the connection."""

    def on_refused(self, refusal: Refusal) -> None:
        """Handle a refusal to establish it."""

    def on_server_data(self, data: bytes) -> None:
        """Handle data of the server."""

    def on_server_closed(self, reset: bool) -> None:
        """Handle the end of the connection, by the server."""


class TransitResponseParser:
    """Parses the response of the host that holds the connection to the server."""

    def __init__(self, sink: OpenedSink) -> None:
        self._sink = sink
        self._parser = httptools.HttpResponseParser(self)
        self._opened = False
        self._reset = False

    def feed(self, data: bytes) -> None:
        """Parse received data; raise httptools.HttpParserError if it is malformed."""
        self._parser.feed_data(data)

    # Callbacks of httptools.HttpResponseParser.

    def on_headers_complete(self) -> None:
        """Report whether the connection is established."""
        status = self._parser.get_status_code()
        self._opened = status == 200
        if self._opened:
            self._sink.on_opened()
        else:
            unreachable = status == Refusal.UNREACHABLE.value
            self._sink.on_refused(
                Refusal.UNREACHABLE if unreachable else Refusal.DECLINED
            )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Look for the trailer, which follows the body."""
        if self._opened and name.lower() == _RESET_TRAILER:
            self._reset = True

    def on_body(self, data: bytes) -> None:
        """Pass on data of the server."""
        if self._opened:
            self._sink.on_server_data(data)

    def on_message_complete(self) -> None:
        """Report the end of the server's connection."""
        if self._opened:
            self._sink.on_server_closed(self._reset)
