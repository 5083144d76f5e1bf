"""A listener that answers each GET with a short page: readiness and metrics."""

import selectors
import socket
from collections.abc import Callable

import httptools

from masticfork.core.backend_servers import Address
from masticfork.relay.channel import CALLER_UNACKNOWLEDGED_MS, Channel, listen
from masticfork.relay.loop import Loop

BACKLOG = 64
# Time in seconds after which a connection is closed that sends nothing.
IDLE_TIMEOUT = 10.0

# Returns status and body for a path.
Page = Callable[[bytes], tuple[int, bytes]]


class PageListener:
    """Accepts connections and answers their requests."""

    def __init__(self, loop: Loop, address: Address, page: Page) -> None:
        self._loop = loop
        self._page = page
        self._sock = listen(address, BACKLOG)
        loop.register(self._sock, selectors.EVENT_READ, self)

    def on_events(self, events: int) -> None:
        """Accept what waits."""
        while True:
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                # No descriptor is free; the next event tries again.
                return
            _PageConnection(self._loop, sock, self._page)


class _PageConnection:
    def __init__(self, loop: Loop, sock: socket.socket, page: Page) -> None:
        self._page = page
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._channel = Channel(loop, sock, CALLER_UNACKNOWLEDGED_MS, connecting=False)
        self._channel.owner = self
        self._timer = loop.call_after(IDLE_TIMEOUT, self._channel.close)

    def on_connected(self) -> None:
        """Ignore it: accepted connections are connected."""

    def on_drained(self) -> None:
        """Ignore it: pages are short."""

    def on_closed(self, error: OSError | None) -> None:
        """Drop the timer."""
        self._timer.cancel()

    def on_data(self, data: bytes) -> None:
        """Read requests."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._channel.close()

    def on_url(self, url: bytes) -> None:
        """Take a part of the path."""
        self._path += url

    def on_message_complete(self) -> None:
        """Answer a request."""
        path, self._path = self._path, b""
        status, body = self._page(path)
        head = b"HTTP/1.1 %d %b\r\ncontent-length: %d\r\n\r\n"
        reason = b"OK" if status == 200 else b"Unavailable"
        self._channel.write(head % (status, reason, len(body)) + body)
