"""The peer link: authenticated connections between entry hosts.

One thread accepts, one does maintenance (dials, expires requests and handshakes),
and each connection has a reading and a writing thread. Sending never waits for a
peer: messages are queued, and a message for a full queue is dropped.
"""

import random
import socket
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import logbook
from result import Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName
from masticfork.peers.authentication import KeyRing, PeerKey
from masticfork.peers.codec import encode_message
from masticfork.peers.connection import Connection
from masticfork.peers.drops import Counters, DropReason, LinkCounts
from masticfork.peers.handshake import OpenedSession
from masticfork.peers.messages import KINDS, Body, Declined, Envelope, Goodbye, Message
from masticfork.peers.opening import MAX_HANDSHAKES, Opener
from masticfork.peers.records import Handlers, LinkSettings, Sender
from masticfork.peers.registry import ConnectionRegistry
from masticfork.peers.requests import PendingRequests, Reply, RequestError
from masticfork.peers.selection import PeerAddress, choose_peers

MAX_CONNECTIONS = 64
MAINTENANCE_INTERVAL_SECONDS = 0.1
# With fewer links than this, all seeds are dialled, even those of live hosts.
MIN_LINKS = 2
STOP_TIMEOUT_SECONDS = 1.0

_log = logbook.Logger("masticfork.peers")


class PeerLink:
    """Connects this host to its selected peers and exchanges messages with them."""

    def __init__(
        self,
        settings: LinkSettings,
        handlers: Handlers,
        now: Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._handlers = handlers
        self._now = now
        self._keys = KeyRing(settings.keys)
        self._counters = Counters(now)
        self._registry = ConnectionRegistry(settings.host)
        self._requests = PendingRequests()
        self._opener = Opener(
            settings,
            self._keys,
            self._counters,
            now,
            rng or random.Random(settings.host),
            self._establish,
        )
        self._selected: tuple[PeerAddress, ...] = ()
        self._live_hosts: frozenset[HostName] = frozenset()
        self._live_addresses: frozenset[str] = frozenset()
        self._next_prune = Deadline.after(now(), settings.prune_seconds)
        self._stopping = threading.Event()
        # Two threads per connection and handshake slot, one to accept, one to maintain.
        threads = 2 * (MAX_CONNECTIONS + MAX_HANDSHAKES) + 2
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="peer")

    @property
    def counts(self) -> LinkCounts:
        """Return the numbers of messages sent, received and dropped since the start."""
        return self._counters.counts

    @property
    def linked(self) -> frozenset[HostName]:
        """Return the connected hosts."""
        return self._registry.hosts

    @property
    def incarnation(self) -> int:
        """Return the incarnation number that messages carry."""
        return self._opener.incarnation

    def raise_incarnation(self, number: int) -> None:
        """Raise the incarnation number that messages carry; a lesser one is ignored."""
        self._opener.raise_incarnation(number)

    def replace_keys(self, keys: tuple[PeerKey, ...]) -> None:
        """Replace the keys; a peer that signs with a removed one is disconnected."""
        self._keys.replace(keys)

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Set the live hosts, from which the link selects the peers to dial."""
        live = tuple(peers)
        self._selected = choose_peers(self._settings.host, self._settings.zone, live)
        self._live_hosts = frozenset(peer.host for peer in live)
        self._live_addresses = frozenset(peer.address for peer in live)

    def start(self) -> Result[None, OSError]:
        """Start to listen and dial; return the error if the address cannot be bound."""
        listening = self._opener.listen()
        if isinstance(listening, Ok):
            self._spawn(self._accept)
            self._spawn(self._maintain)
        return listening

    def stop(self) -> None:
        """Send queued messages for up to STOP_TIMEOUT_SECONDS, then close all links."""
        self._stopping.set()
        self._opener.stop()
        for connection in self._registry.connections:
            connection.drain()
        self._registry.wait_empty(STOP_TIMEOUT_SECONDS)
        for connection in self._registry.connections:
            connection.close()
        self._pool.shutdown(wait=True)
        self._requests.expire(float("inf"))

    def broadcast(self, body: Body) -> int:
        """Queue a message to every connected host; return the number of hosts."""
        content = encode_message(Message(body))
        return sum(
            self._enqueue(connection, body, content)
            for connection in self._registry.connections
        )

    def send(self, host: HostName, body: Body) -> bool:
        """Queue a message; return false if there is no link or its queue is full."""
        return self._send(host, Message(body))

    def request(self, host: HostName, body: Body, deadline: Deadline) -> Future[Reply]:
        """Queue a request; its future completes by shortly after the deadline."""
        correlation, reply = self._requests.open(host, deadline)
        if not self._send(host, Message(body, correlation)):
            self._requests.fail(correlation, RequestError.NOT_SENT)
        return reply

    def _send(self, host: HostName, message: Message) -> bool:
        connection = self._registry.get(host)
        if connection is None:
            return False
        return self._enqueue(connection, message.body, encode_message(message))

    def _enqueue(self, connection: Connection, body: Body, content: bytes) -> bool:
        return connection.enqueue(KINDS[type(body)], content, self.incarnation)

    def _spawn(self, task: Callable[..., Any], *arguments: Any, **options: Any) -> None:
        def run() -> None:
            try:
                task(*arguments, **options)
            except Exception:
                _log.exception("unhandled exception in peer link thread")

        try:
            self._pool.submit(run)
        except RuntimeError:
            _log.debug("peer link is stopped; task not started")

    def _accept(self) -> None:
        while not self._stopping.is_set():
            accepted = self._opener.accept()
            if accepted is None:
                continue
            sock, address = accepted
            if len(self._registry.connections) >= MAX_CONNECTIONS:
                self._counters.drop(DropReason.TOO_MANY, address)
                sock.close()
                continue
            self._spawn(self._opener.open, sock, address, dialled=False)

    def _establish(
        self,
        sock: socket.socket,
        opened: OpenedSession,
        address: str,
        *,
        dialled: bool,
    ) -> None:
        sock.settimeout(self._settings.silence_seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(
            sock,
            opened.session,
            opened.peer,
            self._counters,
            dialled=dialled,
            address=address,
        )
        registered, replaced = self._registry.add(connection)
        if not registered:
            self._counters.drop(DropReason.DUPLICATE, opened.peer.sender)
            sock.close()
            return
        if replaced is not None:
            replaced.close()
        self._spawn(self._serve, connection)
        self._spawn(connection.write)

    def _serve(self, connection: Connection) -> None:
        sender = Sender(connection.peer.sender, connection.peer.incarnation)
        if self._stopping.is_set():
            connection.close()
        try:
            self._handlers.linked(sender)
            connection.read(self._receive)
        finally:
            connection.close()
            if self._registry.remove(connection):
                self._requests.fail_host(sender.host)
                self._handlers.unlinked(sender)

    def _receive(
        self, connection: Connection, envelope: Envelope, message: Message
    ) -> None:
        sender = Sender(envelope.sender, envelope.incarnation)
        if isinstance(message.body, Goodbye):
            self._handlers.pruned(sender)
            connection.close()
            return
        if message.is_reply:
            if not self._requests.complete(
                sender.host, message.correlation, message.body
            ):
                self._counters.drop(DropReason.UNAWAITED_REPLY, sender.host)
            return
        reply = self._handle(sender, message.body)
        if message.correlation and reply is not None:
            content = encode_message(Message(reply, message.correlation, True))
            self._enqueue(connection, reply, content)

    def _handle(self, sender: Sender, body: Body) -> Body | None:
        handler = self._handlers.bodies.get(type(body))
        if handler is None:
            self._counters.drop(DropReason.UNHANDLED, sender.host)
            return Declined(DropReason.UNHANDLED.value)
        try:
            return handler(sender, body)
        except Exception:
            _log.exception("exception in handler of {} message", KINDS[type(body)])
            self._counters.drop(DropReason.HANDLER_FAILED, sender.host)
            return Declined(DropReason.HANDLER_FAILED.value)

    def _maintain(self) -> None:
        while not self._stopping.wait(MAINTENANCE_INTERVAL_SECONDS):
            now = self._now()
            self._requests.expire(now)
            self._opener.expire(now)
            for address in self._opener.due(
                self._addresses_to_dial(), self.linked, now
            ):
                self._spawn(self._opener.dial, address)
            if self._next_prune.expired(now):
                wait = self._settings.prune_seconds
                self._next_prune = Deadline.after(now, wait)
                if len(self.linked) > MIN_LINKS:
                    self._prune()

    def _addresses_to_dial(self) -> set[str]:
        """Return the addresses to dial unless they are linked already.

        Seeds that are not the address of a live host are included, so that a
        partitioned fleet reconnects.
        """
        linked = self.linked
        wanted = {peer.address for peer in self._selected if peer.host not in linked}
        too_few = len(linked) < MIN_LINKS
        live = self._live_addresses
        wanted |= {seed for seed in self._settings.seeds if too_few or seed not in live}
        return wanted - {self._settings.address}

    def _prune(self) -> None:
        """Close one link that this host dialled to a live host it did not select.

        The peer dials again if it selected this host. Without pruning, the seeds
        would keep a link to every host that joined through them.
        """
        unselected = self._live_hosts - {peer.host for peer in self._selected}
        for connection in self._registry.connections:
            peer = connection.peer
            if connection.dialled and peer.sender in unselected:
                self._enqueue(connection, Goodbye(), encode_message(Message(Goodbye())))
                connection.drain()
                self._handlers.pruned(Sender(peer.sender, peer.incarnation))
                return
