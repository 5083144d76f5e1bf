"""Minimal HTTP listener for short pages: readiness, metrics, store copies."""

import selectors
import socket
from collections.abc import Callable

import httptools

from masticfork.core.backend_servers import Address
from masticfork.relay.channel import CALLER_USER_TIMEOUT_MS, Channel, listen
from masticfork.relay.loop import Loop

LISTEN_BACKLOG = 64
# Connections are closed this long after they were accepted.
MAX_CONNECTION_SECONDS = 10.0
# A connection with a larger request is closed.
MAX_REQUEST_BYTES = 16 << 10

# The oldest connection is closed for a new one beyond this number: a request takes some
# milliseconds, even where all hosts of a large fleet copy the store at once.
MAX_CONNECTIONS = 128

# Returns the status code and body for a request path.
PageHandler = Callable[[bytes], tuple[int, bytes]]


class PageListener:
    """Accepts connections and answers each request with the result of a handler."""

    def __init__(self, loop: Loop, address: Address, handler: PageHandler) -> None:
        self._loop = loop
        self._handler = handler
        # Open connections, the oldest first.
        self._connections: dict[_PageConnection, None] = {}
        self._listener = listen(address, LISTEN_BACKLOG)
        loop.register(self._listener, selectors.EVENT_READ, self)

    def on_events(self, events: int) -> None:
        """Accept all pending connections."""
        while True:
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                # Out of file descriptors; the next event tries again.
                return
            if len(self._connections) >= MAX_CONNECTIONS:
                next(iter(self._connections)).close()
            connection = _PageConnection(self._loop, sock, self._handler, self._forget)
            self._connections[connection] = None

    def _forget(self, connection: "_PageConnection") -> None:
        self._connections.pop(connection, None)


class _PageConnection:
    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        handler: PageHandler,
        on_closed: Callable[["_PageConnection"], None],
    ) -> None:
        self._handler = handler
        self._on_closed = on_closed
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        # Bytes received since the last complete request.
        self._request_bytes = 0
        self._channel = Channel(loop, sock, CALLER_USER_TIMEOUT_MS, connecting=False)
        self._channel.owner = self
        self._close_timer = loop.call_after(MAX_CONNECTION_SECONDS, self.close)

    def close(self) -> None:
        """Close the connection."""
        self._close_timer.cancel()
        self._channel.close()
        self._on_closed(self)

    def on_connected(self) -> None:
        """Do nothing: accepted connections are already connected."""

    def on_drained(self) -> None:
        """Do nothing: pages are short, so no writer waits for buffer space."""

    def on_closed(self, error: OSError | None) -> None:
        """Cancel the timer."""
        self._close_timer.cancel()
        self._on_closed(self)

    def on_data(self, data: bytes) -> None:
        """Parse requests; close the connection after invalid or too much data."""
        self._request_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
        if self._request_bytes > MAX_REQUEST_BYTES:
            self.close()

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request path."""
        self._path += url

    def on_message_complete(self) -> None:
        """Write the response to a complete request.

        Close a connection that sends further requests before it has read a response.
        """
        self._request_bytes = 0
        if self._channel.unsent_bytes:
            self.close()
        if self._channel.closed:
            return
        path, self._path = self._path, b""
        status, body = self._handler(path)
        head = b"HTTP/1.1 %d %b\r\ncontent-length: %d\r\n\r\n"
        reason = b"OK" if status == 200 else b"Unavailable"
        self._channel.write(head % (status, reason, len(body)) + body)
