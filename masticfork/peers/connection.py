"""One authenticated connection to a peer, with a bounded send queue."""

import collections
import contextlib
import socket
import threading
from collections.abc import Callable

from result import Err

from masticfork.peers.authentication import Session
from masticfork.peers.codec import DecodeError, decode_message
from masticfork.peers.drops import Counters, DropReason
from masticfork.peers.frames import FRAME_OVERHEAD_BYTES, frame, receive_frame
from masticfork.peers.messages import KINDS, MAX_MESSAGE_BYTES, Envelope, Hello, Message

MAX_QUEUED_MESSAGES = 512
MAX_QUEUED_BYTES = 4 * MAX_MESSAGE_BYTES

Receive = Callable[["Connection", Envelope, Message], None]


class Connection:
    """Sends queued messages on one thread and receives on another."""

    def __init__(
        self,
        sock: socket.socket,
        session: Session,
        peer: Hello,
        counters: Counters,
        *,
        dialled: bool,
        address: str,
    ) -> None:
        self._sock = sock
        self._session = session
        self._peer = peer
        self._counters = counters
        self._dialled = dialled
        self._address = address
        self._queue: collections.deque[tuple[str, bytes, int]] = collections.deque()
        self._queued_bytes = 0
        self._closed = False
        self._draining = False
        # The reading and the writing thread; the last to finish closes the socket.
        self._open_threads = 2
        self._changed = threading.Condition()

    @property
    def peer(self) -> Hello:
        """Return the peer's hello."""
        return self._peer

    @property
    def dialled(self) -> bool:
        """Return whether this side opened the connection."""
        return self._dialled

    @property
    def address(self) -> str:
        """Return the address dialled, or the source address of an accepted one."""
        return self._address

    def enqueue(self, kind: str, content: bytes, incarnation: int) -> bool:
        """Queue a message without waiting; return false if it was dropped."""
        with self._changed:
            if self._closed or self._draining:
                return False
            full = len(self._queue) >= MAX_QUEUED_MESSAGES
            full = full or self._queued_bytes + len(content) > MAX_QUEUED_BYTES
            if not full:
                self._queue.append((kind, content, incarnation))
                self._queued_bytes += len(content)
                self._changed.notify()
        if full:
            self._counters.drop(DropReason.QUEUE_FULL, self._peer.sender)
        return not full

    def write(self) -> None:
        """Send queued messages until the connection closes."""
        while True:
            with self._changed:
                while not (self._queue or self._closed or self._draining):
                    self._changed.wait()
                if self._closed or not self._queue:
                    break
                kind, content, incarnation = self._queue.popleft()
                self._queued_bytes -= len(content)
            raw = frame(self._session.seal(content, incarnation))
            try:
                self._sock.sendall(raw)
            except TimeoutError:
                self._counters.drop(DropReason.WRITE_TIMEOUT, self._peer.sender)
                break
            except OSError:
                break
            self._counters.sent(kind, len(raw))
        self._release_socket()

    def read(self, receive: Receive) -> None:
        """Pass each valid message to `receive` until the connection closes."""
        while True:
            raw = receive_frame(self._sock, MAX_MESSAGE_BYTES)
            if isinstance(raw, Err):
                self._count_drop(raw.err_value)
                break
            envelope = self._session.open(raw.ok_value)
            if isinstance(envelope, Err):
                self._count_drop(envelope.err_value)
                break
            message = decode_message(envelope.ok_value.content)
            if isinstance(message, Err):
                if message.err_value is DecodeError.UNKNOWN_KIND:
                    self._count_drop(DropReason.UNKNOWN_KIND)
                    continue
                self._count_drop(DropReason.MALFORMED)
                break
            size = len(raw.ok_value) + FRAME_OVERHEAD_BYTES
            self._counters.received(KINDS[type(message.ok_value.body)], size)
            receive(self, envelope.ok_value, message.ok_value)
        self._release_socket()

    def drain(self) -> None:
        """Send the queued messages, then close."""
        with self._changed:
            self._draining = True
            self._changed.notify()

    def close(self) -> None:
        """Close at once and discard the queued messages."""
        with self._changed:
            if self._closed:
                return
            self._closed = True
            self._queue.clear()
            self._changed.notify()
        # The peer may have closed first.
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def _release_socket(self) -> None:
        self.close()
        with self._changed:
            self._open_threads -= 1
            last = self._open_threads == 0
        if last:
            self._sock.close()

    def _count_drop(self, reason: DropReason) -> None:
        if self._closed and reason in (DropReason.CLOSED, DropReason.SILENT):
            return
        if reason is not DropReason.CLOSED:
            self._counters.drop(reason, self._peer.sender)
