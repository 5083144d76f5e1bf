"""A crowd of connections of one client program that sends requests and stays."""

import contextlib
import selectors
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from masticfork.core.backend_servers import Address

# Bytes that a connection sends at a time, so that all of them get on together.
PIECE_BYTES = 64 << 10
# Time without progress on any connection after which the crowd has sent what is taken.
STILL_SECONDS = 3.0
READ_BYTES = 65536


@attrs.define(eq=False)
class _Member:
    sock: socket.socket
    sent: int = 0


class Crowd:
    """Connections that each send the same bytes and then stay open."""

    def __init__(self, address: Address, connections: int, data: bytes) -> None:
        self._address = address
        self._connections = connections
        self._data = memoryview(data)
        self._selector = selectors.DefaultSelector()
        self._members: set[_Member] = set()
        self._ended = threading.Event()
        self._open_missing()

    def _open_missing(self) -> None:
        for _ in range(self._connections - len(self._members)):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.connect((self._address.host, self._address.port))
            member = _Member(sock)
            self._members.add(member)
            events = selectors.EVENT_READ | selectors.EVENT_WRITE
            self._selector.register(sock, events, member)

    def last(self) -> None:
        """Send, and open a connection for each that is closed, until `end`."""
        while not self._ended.is_set():
            self._open_missing()
            for key, events in self._selector.select(0.02):
                self._advance(key.data, events)

    def end(self) -> None:
        """Make `last` return."""
        self._ended.set()

    def send_all(self) -> None:
        """Send until all is sent, or nothing more is taken; read what comes back."""
        progressed_at = time.monotonic()
        while time.monotonic() - progressed_at < STILL_SECONDS:
            if all(member.sent == len(self._data) for member in self._members):
                return
            for key, events in self._selector.select(0.1):
                if self._advance(key.data, events):
                    progressed_at = time.monotonic()

    def close(self) -> None:
        """Close all connections."""
        for member in list(self._members):
            self._remove(member)
        self._selector.close()

    def _advance(self, member: _Member, events: int) -> bool:
        """Send a piece, or read; return whether anything was sent or has ended."""
        try:
            ended = events & selectors.EVENT_READ and not member.sock.recv(READ_BYTES)
            if ended:
                self._remove(member)
                return True
            if not events & selectors.EVENT_WRITE:
                return False
            piece = self._data[member.sent : member.sent + PIECE_BYTES]
            member.sent += member.sock.send(piece)
        except BlockingIOError:
            return False
        except OSError:
            self._remove(member)
            return True
        wanted = selectors.EVENT_READ
        if member.sent < len(self._data):
            wanted |= selectors.EVENT_WRITE
        self._selector.modify(member.sock, wanted, member)
        return True

    def _remove(self, member: _Member) -> None:
        self._members.discard(member)
        self._selector.unregister(member.sock)
        member.sock.close()


@contextmanager
def crowd(
    address: Address, connections: int, data: bytes, *, lasting: bool = False
) -> Iterator[None]:
    """Run a crowd that has sent what is taken, and stays until the context exits.

    A `lasting` one goes on sending meanwhile, on new connections as well.
    """
    gathered = Crowd(address, connections, data)
    thread = threading.Thread(target=gathered.last, daemon=True)
    try:
        if lasting:
            thread.start()
        else:
            gathered.send_all()
        yield
    finally:
        gathered.end()
        if lasting:
            thread.join()
        gathered.close()
