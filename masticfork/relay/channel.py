"""Non-blocking TCP connections on the event loop, with a send buffer each."""

import contextlib
import errno
import selectors
import socket
from collections.abc import Callable
from typing import Protocol

from masticfork.core.backend_servers import Address
from masticfork.relay.loop import Loop

RECV_BUFFER_BYTES = 65536
# TCP keep-alive. On Linux a TCP_USER_TIMEOUT takes the place of the probe count: a peer
# that disappears without a reset is detected at the first probe after that time, a
# server after three seconds and a caller after eight.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBE_COUNT = 2
# TCP_USER_TIMEOUT of connections to servers: time for which sent data may stay
# unacknowledged.
SERVER_USER_TIMEOUT_MS = 2500
# The same for connections from callers, which may read slowly.
CALLER_USER_TIMEOUT_MS = 8000


class ChannelOwner(Protocol):
    """Receives the events of a connection."""

    def on_connected(self) -> None:
        """Handle the establishment of the connection."""

    def on_data(self, data: bytes) -> None:
        """Handle received data."""

    def on_drained(self) -> None:
        """Handle the send buffer becoming empty."""

    def on_closed(self, error: OSError | None) -> None:
        """Handle the end of the connection; `error` is None if the peer closed it."""


class Channel:
    """One connection, which reports its events to its owner until `close` is called.

    `user_timeout_ms` is the TCP_USER_TIMEOUT; `connecting` says that the connection is
    still being established.
    """

    def __init__(
        self, loop: Loop, sock: socket.socket, user_timeout_ms: int, connecting: bool
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._connecting = connecting
        self._registered = True
        self._send_buffer = bytearray()
        self._progressed_at = loop.now
        self._closed = False
        self._reading = True
        self._closing_when_sent = False
        # The error with which sending has failed; the socket reports it only once.
        self._send_error: OSError | None = None
        self.owner: ChannelOwner | None = None
        _set_socket_options(sock, user_timeout_ms)
        loop.register(sock, self._event_mask, self)

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._closed

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes in the send buffer."""
        return len(self._send_buffer)

    @property
    def progressed_at(self) -> float:
        """Return the loop time at which the peer last took buffered data."""
        return self._progressed_at

    @property
    def _event_mask(self) -> int:
        events = selectors.EVENT_READ if self._reading else 0
        if self._connecting or self._send_buffer:
            events |= selectors.EVENT_WRITE
        return events

    def write(self, data: bytes) -> None:
        """Send data, and buffer what the socket does not take at once.

        An error of the socket is reported by `on_closed` in a later iteration.
        """
        if self._closed or self._closing_when_sent:
            return
        if not self._send_buffer and not self._connecting:
            try:
                data = data[self._sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError as error:
                self._schedule_close(error)
                return
        if data:
            if not self._send_buffer:
                self._progressed_at = self._loop.now
            self._send_buffer += data
            self._update_registration()

    def pause(self) -> None:
        """Stop reading."""
        self._set_reading(False)

    def resume(self) -> None:
        """Resume reading."""
        self._set_reading(True)

    def has_no_pending_input(self) -> bool:
        """Return whether neither data nor the end of the stream can be read."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close_when_sent(self, on_closed: Callable[[], None]) -> None:
        """Close once the send buffer is empty, or the connection is lost; then call.

        The owner gets no further events.
        """
        if self._send_buffer:
            self._closing_when_sent = True
            self.owner = _ClosingOwner(on_closed)
        else:
            self.close()
            on_closed()

    def close(self) -> None:
        """Close at once, discarding unsent data, without calling the owner."""
        if not self._closed:
            self._closed = True
            self.owner = None
            if self._registered:
                self._loop.unregister(self._sock)
            self._sock.close()

    def abort(self) -> None:
        """Close with a reset, so that the peer does not see a clean end."""
        if not self._closed:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
            self.close()

    def on_events(self, events: int) -> None:
        """Send buffered data and receive as far as the socket is ready."""
        if self._closed:
            return
        if events & selectors.EVENT_WRITE and not self._on_writable():
            return
        if events & selectors.EVENT_READ and not self._closed:
            self._on_readable()

    def _on_writable(self) -> bool:
        if self._connecting:
            error = self._pending_error("connect")
            if error is not None:
                self._close_and_notify(error)
                return False
            self._connecting = False
            if self.owner is not None:
                self.owner.on_connected()
        if self._send_buffer and not self._closed:
            try:
                del self._send_buffer[: self._sock.send(self._send_buffer)]
                self._progressed_at = self._loop.now
            except BlockingIOError:
                return True
            except OSError as error:
                self._close_and_notify(error)
                return False
            if not self._send_buffer and self.owner is not None:
                self.owner.on_drained()
        if self._closing_when_sent and not self._send_buffer:
            self.close()
        elif not self._closed:
            self._update_registration()
        return not self._closed

    def _on_readable(self) -> None:
        try:
            data = self._sock.recv(RECV_BUFFER_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._close_and_notify(error)
            return
        if not data:
            self._close_and_notify(self._error_at_end())
        elif self.owner is not None:
            self.owner.on_data(data)

    def _error_at_end(self) -> OSError | None:
        """Return why the end of what was received is not a clean one, if it is not."""
        if self._send_error is not None:
            return self._send_error
        error = self._pending_error("closed")
        if error is None and self._send_buffer:
            error = closed_while_sending()
        return error

    def _pending_error(self, unnamed: str) -> OSError | None:
        """Take the socket's pending error; `unnamed` is its text if it has no name."""
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return OSError(code, errno.errorcode.get(code, unnamed)) if code else None

    def _schedule_close(self, error: OSError) -> None:
        """Close and notify the owner after the caller of `write` has returned."""
        self._send_error = error
        self._loop.call_after(0.0, lambda: self._close_and_notify(error))

    def _close_and_notify(self, error: OSError | None) -> None:
        owner = self.owner
        self.close()
        if owner is not None:
            owner.on_closed(error)

    def _set_reading(self, reading: bool) -> None:
        if self._reading != reading and not self._closed:
            self._reading = reading
            self._update_registration()

    def _update_registration(self) -> None:
        events = self._event_mask
        if events and self._registered:
            self._loop.modify(self._sock, events, self)
        elif events:
            self._loop.register(self._sock, events, self)
        elif self._registered:
            self._loop.unregister(self._sock)
        self._registered = events != 0


class _ClosingOwner:
    """Reports the end of a connection that only sends what is left."""

    def __init__(self, on_closed: Callable[[], None]) -> None:
        self._on_closed = on_closed

    def on_connected(self) -> None:
        """Do nothing: the connection has been used."""

    def on_data(self, data: bytes) -> None:
        """Do nothing: nothing more is read."""

    def on_drained(self) -> None:
        """Report the end: the channel closes now."""
        self._on_closed()

    def on_closed(self, error: OSError | None) -> None:
        """Report the end: the rest cannot be sent."""
        self._on_closed()


def closed_while_sending() -> OSError:
    """Return the error of a connection whose peer has not received all data."""
    return OSError(errno.EPIPE, "closed before all data was sent")


def connect(loop: Loop, address: Address) -> Channel:
    """Start to connect to a server; raise OSError if that fails at once."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        sock.connect((address.host, address.port))
    except BlockingIOError:
        pass
    except OSError:
        sock.close()
        raise
    return Channel(loop, sock, SERVER_USER_TIMEOUT_MS, connecting=True)


def listen(address: Address, backlog: int) -> socket.socket:
    """Return a non-blocking listening socket; raise OSError if it cannot be bound."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


def _set_socket_options(sock: socket.socket, user_timeout_ms: int) -> None:
    """Disable Nagle's algorithm and enable detection of unreachable peers."""
    sock.setblocking(False)
    tcp = socket.IPPROTO_TCP
    options = (
        (tcp, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
        (tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
