"""A TCP connection on the loop, with a buffer of what is still to be sent."""

import contextlib
import errno
import selectors
import socket
from typing import Protocol

from masticfork.core.backend_servers import Address
from masticfork.relay.loop import Loop

READ_BYTES = 65536
# Idle time before the first keep-alive probe, pause between probes, in seconds, and
# probes: a peer that is gone without a reset is noticed after about three seconds.
KEEPALIVE_IDLE = 1
KEEPALIVE_PAUSE = 1
KEEPALIVE_PROBES = 2
# Time in milliseconds that bytes sent to a server may stay without acknowledgement.
SERVER_UNACKNOWLEDGED_MS = 2500
# The same towards callers, who may read slowly.
CALLER_UNACKNOWLEDGED_MS = 8000


class ChannelOwner(Protocol):
    """Acts on what a connection brings."""

    def on_connected(self) -> None:
        """Act on an established connection."""

    def on_data(self, data: bytes) -> None:
        """Act on received bytes."""

    def on_drained(self) -> None:
        """Act on the end of the bytes that waited to be sent."""

    def on_closed(self, error: OSError | None) -> None:
        """Act on the end of the connection; `error` unless the peer closed it."""


class Channel:
    """One connection; after `close` its owner hears no more of it."""

    def __init__(
        self, loop: Loop, sock: socket.socket, unacknowledged_ms: int, connecting: bool
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._connecting = connecting
        self._registered = True
        self._out = bytearray()
        self._closed = False
        self._reading = True
        self._finishing = False
        self.owner: ChannelOwner | None = None
        _tune(sock, unacknowledged_ms)
        loop.register(sock, self._events, self)

    @property
    def closed(self) -> bool:
        """Tell whether the connection is closed."""
        return self._closed

    @property
    def unsent(self) -> int:
        """Return the bytes that wait to be sent."""
        return len(self._out)

    @property
    def _events(self) -> int:
        events = selectors.EVENT_READ if self._reading else 0
        if self._connecting or self._out:
            events |= selectors.EVENT_WRITE
        return events

    def write(self, data: bytes) -> None:
        """Send bytes, or keep them until they can be sent."""
        if self._closed or self._finishing:
            return
        if not self._out and not self._connecting:
            try:
                data = data[self._sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError as error:
                self._end_soon(error)
                return
        if data:
            self._out += data
            self._update()

    def pause(self) -> None:
        """Stop reading."""
        self._set_reading(False)

    def resume(self) -> None:
        """Read on."""
        self._set_reading(True)

    def is_quiet(self) -> bool:
        """Tell whether no byte and no end waits to be read."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def finish(self) -> None:
        """Close once all bytes are sent."""
        if self._out:
            self._finishing = True
        else:
            self.close()

    def close(self) -> None:
        """Close at once."""
        if not self._closed:
            self._closed = True
            self.owner = None
            if self._registered:
                self._loop.unregister(self._sock)
            self._sock.close()

    def abort(self) -> None:
        """Close so that the peer sees a reset, never a clean end."""
        if not self._closed:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
            self.close()

    def on_events(self, events: int) -> None:
        """Send and receive what is possible."""
        if self._closed:
            return
        if events & selectors.EVENT_WRITE and not self._on_writable():
            return
        if events & selectors.EVENT_READ and not self._closed:
            self._on_readable()

    def _on_writable(self) -> bool:
        if self._connecting:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._end(OSError(code, errno.errorcode.get(code, "connect")))
                return False
            self._connecting = False
            if self.owner is not None:
                self.owner.on_connected()
        if self._out and not self._closed:
            try:
                del self._out[: self._sock.send(self._out)]
            except BlockingIOError:
                return True
            except OSError as error:
                self._end(error)
                return False
            if not self._out and self.owner is not None:
                self.owner.on_drained()
        if self._finishing and not self._out:
            self.close()
        elif not self._closed:
            self._update()
        return not self._closed

    def _on_readable(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(error)
            return
        if not data:
            self._end(None)
        elif self.owner is not None:
            self.owner.on_data(data)

    def _end_soon(self, error: OSError) -> None:
        """End the connection after the caller of `write` has returned."""
        self._loop.call_after(0.0, lambda: self._end(error))

    def _end(self, error: OSError | None) -> None:
        owner = self.owner
        self.close()
        if owner is not None:
            owner.on_closed(error)

    def _set_reading(self, reading: bool) -> None:
        if self._reading != reading and not self._closed:
            self._reading = reading
            self._update()

    def _update(self) -> None:
        events = self._events
        if events and self._registered:
            self._loop.modify(self._sock, events, self)
        elif events:
            self._loop.register(self._sock, events, self)
        elif self._registered:
            self._loop.unregister(self._sock)
        self._registered = events != 0


def connect(loop: Loop, address: Address) -> Channel:
    """Return a connection that is being established; raise OSError if it cannot."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        sock.connect((address.host, address.port))
    except BlockingIOError:
        pass
    except OSError:
        sock.close()
        raise
    return Channel(loop, sock, SERVER_UNACKNOWLEDGED_MS, connecting=True)


def listen(address: Address, backlog: int) -> socket.socket:
    """Return a listening socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


def _tune(sock: socket.socket, unacknowledged_ms: int) -> None:
    """Send at once, and notice a peer that is gone without a reset."""
    sock.setblocking(False)
    tcp = socket.IPPROTO_TCP
    options = (
        (tcp, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (tcp, socket.TCP_KEEPINTVL, KEEPALIVE_PAUSE),
        (tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, unacknowledged_ms),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
