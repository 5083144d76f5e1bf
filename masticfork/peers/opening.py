"""The opening of connections: listening, dialling, and the time they may take."""

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
from masticfork.peers.dialling import DialPlan
from masticfork.peers.drops import Counters, DropReason
from masticfork.peers.handshake import Opened, open_session
from masticfork.peers.records import LinkSettings

MAX_HANDSHAKES = 32
_BACKLOG = 64


class Establish(Protocol):
    """Takes over an authenticated socket."""

    def __call__(
        self, sock: socket.socket, opened: Opened, address: str, *, dialled: bool
    ) -> None:
        """Start serving the connection or close it."""


class Opener:
    """Opens connections both ways and hands over those that are authenticated."""

    def __init__(
        self,
        settings: LinkSettings,
        keys: KeyRing,
        counters: Counters,
        now: Callable[[], float],
        rng: random.Random,
        establish: Establish,
    ) -> None:
        self._settings = settings
        self._keys = keys
        self._counters = counters
        self._now = now
        self._establish = establish
        self._incarnation = settings.incarnation
        self._lock = threading.Lock()
        self._plan = DialPlan(rng)
        self._pending: dict[socket.socket, Deadline] = {}
        # Who answered at an address when it was dialled last.
        self._answered: dict[str, HostName] = {}
        self._listener: socket.socket | None = None
        self._stopping = False

    @property
    def incarnation(self) -> int:
        """Return the incarnation number that hellos and messages carry."""
        return self._incarnation

    def raise_incarnation(self, number: int) -> None:
        """Carry a greater incarnation number from now on."""
        self._incarnation = max(self._incarnation, number)

    def listen(self) -> Result[None, OSError]:
        """Bind the host's address."""
        host, _, port = self._settings.address.rpartition(":")
        try:
            self._listener = socket.create_server((host, int(port)), backlog=_BACKLOG)
        except OSError as error:
            return Err(error)
        return Ok(None)

    def stop(self) -> None:
        """Stop listening and break off handshakes."""
        with self._lock:
            self._stopping = True
            pending = tuple(self._pending)
        for sock in (*pending, self._listener):
            if sock is not None:
                shut(sock)

    def accept(self) -> tuple[socket.socket, str] | None:
        """Wait for a connection; none where it was refused or listening ended."""
        if self._listener is None:
            return None
        try:
            sock, (host, port, *_) = self._listener.accept()
        except OSError:
            return None
        with self._lock:
            busy = len(self._pending) >= MAX_HANDSHAKES
        if busy:
            self._counters.drop(DropReason.TOO_MANY, f"{host}:{port}")
            sock.close()
            return None
        return sock, f"{host}:{port}"

    def due(
        self, wanted: Iterable[str], linked: frozenset[HostName], now: float
    ) -> tuple[str, ...]:
        """Return the addresses to dial now, each of them to be given to `dial`."""
        known = linked | {self._settings.host}
        with self._lock:
            return self._plan.due(
                (a for a in wanted if self._answered.get(a) not in known), now
            )

    def dial(self, address: str) -> None:
        """Connect and authenticate."""
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
            report = self._plan.succeeded if opened else self._plan.failed
            report(address, self._now())

    def open(self, sock: socket.socket, address: str, *, dialled: bool) -> bool:
        """Authenticate a connection and hand it over; tell whether that was done."""
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
                self._answered[address] = opened.ok_value.peer.sender
        reason = self._refusal(opened, deadline)
        if reason is not None:
            self._counters.drop(reason, address)
            sock.close()
            return False
        self._establish(sock, opened.unwrap(), address, dialled=dialled)
        return True

    def expire(self, now: float) -> None:
        """Break off the handshakes that take too long."""
        with self._lock:
            late = [sock for sock, until in self._pending.items() if until.expired(now)]
        for sock in late:
            shut(sock)

    def _refusal(
        self, opened: Result[Opened, DropReason], deadline: Deadline
    ) -> DropReason | None:
        if isinstance(opened, Err):
            cut = opened.err_value in (DropReason.CLOSED, DropReason.SILENT)
            if cut and deadline.expired(self._now()):
                return DropReason.HANDSHAKE_TIMEOUT
            return opened.err_value
        if opened.ok_value.peer.sender == self._settings.host:
            return DropReason.OWN_ADDRESS
        return DropReason.CLOSED if self._stopping else None


def shut(sock: socket.socket) -> None:
    """Wake the thread that waits on the socket; that thread closes it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
