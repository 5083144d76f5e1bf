"""Opening of connections: listening, dialling and the time limit of handshakes."""

import contextlib
import random
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Protocol

from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName
from masticfork.peers.authentication import KeyRing
from masticfork.peers.dialling import DialSchedule
from masticfork.peers.drops import Counters, DropReason
from masticfork.peers.handshake import OpenedSession, open_session
from masticfork.peers.records import LinkSettings

MAX_HANDSHAKES = 32
_BACKLOG = 64


class EstablishConnection(Protocol):
    """Callback that takes over an authenticated socket."""

    def __call__(
        self,
        sock: socket.socket,
        opened: OpenedSession,
        address: str,
        *,
        dialled: bool,
    ) -> None:
        """Start serving the connection, or close it."""


class Opener:
    """Opens connections in both directions and hands over the authenticated ones."""

    def __init__(
        self,
        settings: LinkSettings,
        keys: KeyRing,
        counters: Counters,
        now: Callable[[], float],
        rng: random.Random,
        establish: EstablishConnection,
    ) -> None:
        self._settings = settings
        self._keys = keys
        self._counters = counters
        self._now = now
        self._establish = establish
        self._incarnation = settings.incarnation
        self._lock = threading.Lock()
        self._dial_schedule = DialSchedule(rng)
        self._pending: dict[socket.socket, Deadline] = {}
        # Host that was authenticated when an address was last dialled.
        self._host_by_address: dict[str, HostName] = {}
        self._listener: socket.socket | None = None
        self._stopping = False

    @property
    def incarnation(self) -> int:
        """Return the incarnation number that hellos and messages carry."""
        return self._incarnation

    def raise_incarnation(self, number: int) -> None:
        """Raise the incarnation number; a lesser one is ignored."""
        self._incarnation = max(self._incarnation, number)

    def listen(self) -> Result[None, OSError]:
        """Listen on the host's address."""
        host, _, port = self._settings.address.rpartition(":")
        try:
            self._listener = socket.create_server((host, int(port)), backlog=_BACKLOG)
        except OSError as error:
            return Err(error)
        return Ok(None)

    def stop(self) -> None:
        """Stop listening and abort pending handshakes."""
        with self._lock:
            self._stopping = True
            pending = tuple(self._pending)
        for sock in (*pending, self._listener):
            if sock is not None:
                shut_down(sock)

    def accept(self) -> tuple[socket.socket, str] | None:
        """Wait for a connection; return None if it was refused or listening ended."""
        if self._listener is None:
            return None
        try:
            sock, (host, port, *_) = self._listener.accept()
        except OSError:
            return None
        with self._lock:
            at_limit = len(self._pending) >= MAX_HANDSHAKES
        if at_limit:
            self._counters.drop(DropReason.TOO_MANY, f"{host}:{port}")
            sock.close()
            return None
        return sock, f"{host}:{port}"

    def due(
        self, wanted: Iterable[str], linked: frozenset[HostName], now: float
    ) -> tuple[str, ...]:
        """Return the addresses to dial now; the caller has to pass each to `dial`."""
        known = linked | {self._settings.host}
        with self._lock:
            return self._dial_schedule.due(
                (a for a in wanted if self._host_by_address.get(a) not in known), now
            )

    def dial(self, address: str) -> None:
        """Connect to an address, authenticate and record the outcome."""
        host, _, port = address.rpartition(":")
        try:
            sock = socket.create_connection(
                (host, int(port)), self._settings.handshake_seconds
            )
        except (OSError, ValueError):
            opened = False
        else:
            opened = self.open(sock, address, dialled=True)
        with self._lock:
            record_outcome = (
                self._dial_schedule.succeeded if opened else self._dial_schedule.failed
            )
            record_outcome(address, self._now())

    def open(self, sock: socket.socket, address: str, *, dialled: bool) -> bool:
        """Authenticate a connection and hand it over; return whether that succeeded."""
        deadline = Deadline.after(self._now(), self._settings.handshake_seconds)
        with self._lock:
            self._pending[sock] = deadline
        sock.settimeout(self._settings.handshake_seconds)
        opened = open_session(
            sock,
            self._settings.host,
            self._incarnation,
            self._keys,
            dialled=dialled,
        )
        with self._lock:
            del self._pending[sock]
            if dialled and isinstance(opened, Ok):
                self._host_by_address[address] = opened.ok_value.peer.sender
        reason = self._drop_reason(opened, deadline)
        if reason is not None:
            self._counters.drop(reason, address)
            sock.close()
            return False
        self._establish(sock, opened.unwrap(), address, dialled=dialled)
        return True

    def expire(self, now: float) -> None:
        """Abort the handshakes whose deadline has passed."""
        with self._lock:
            overdue = [
                sock for sock, until in self._pending.items() if until.expired(now)
            ]
        for sock in overdue:
            shut_down(sock)

    def _drop_reason(
        self, opened: Result[OpenedSession, DropReason], deadline: Deadline
    ) -> DropReason | None:
        if isinstance(opened, Err):
            disconnected = opened.err_value in (DropReason.CLOSED, DropReason.SILENT)
            if disconnected and deadline.expired(self._now()):
                return DropReason.HANDSHAKE_TIMEOUT
            return opened.err_value
        if opened.ok_value.peer.sender == self._settings.host:
            return DropReason.OWN_ADDRESS
        return DropReason.CLOSED if self._stopping else None


def shut_down(sock: socket.socket) -> None:
    """Wake the thread that waits on the socket; that thread closes it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
