"""Reasons for dropping messages and connections, with counters and logging."""

import collections
import enum
import threading
from collections.abc import Callable

import attrs
import logbook

# At most one line per reason in this interval; each line has the total count.
LOG_INTERVAL_SECONDS = 1.0

_log = logbook.Logger("masticfork.peers")


class DropReason(enum.Enum):
    """Why a message or a connection was dropped."""

    MALFORMED = "malformed"
    OVERSIZE = "oversize"
    UNKNOWN_KIND = "unknown_kind"
    WRONG_PROTOCOL = "wrong_protocol"
    UNKNOWN_KEY = "unknown_key"
    BAD_SIGNATURE = "bad_signature"
    WRONG_SENDER = "wrong_sender"
    REPLAYED = "replayed"
    HANDSHAKE_TIMEOUT = "handshake_timeout"
    SILENT = "silent"
    WRITE_TIMEOUT = "write_timeout"
    CLOSED = "closed"
    OWN_ADDRESS = "own_address"
    DUPLICATE = "duplicate"
    TOO_MANY = "too_many_connections"
    QUEUE_FULL = "queue_full"
    UNAWAITED_REPLY = "unawaited_reply"
    UNHANDLED = "unhandled"
    HANDLER_FAILED = "handler_failed"


@attrs.frozen
class LinkCounts:
    """Messages and bytes by kind, and drops by reason, since the link started."""

    sent_messages: dict[str, int]
    sent_bytes: dict[str, int]
    received_messages: dict[str, int]
    received_bytes: dict[str, int]
    dropped: dict[DropReason, int]


class Counters:
    """Counts messages by kind and drops by reason; thread-safe."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._lock = threading.Lock()
        self._sent: collections.Counter[str] = collections.Counter()
        self._sent_bytes: collections.Counter[str] = collections.Counter()
        self._received: collections.Counter[str] = collections.Counter()
        self._received_bytes: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[DropReason] = collections.Counter()
        self._next_log: dict[DropReason, float] = {}

    @property
    def counts(self) -> LinkCounts:
        """Return a copy of all counts."""
        with self._lock:
            return LinkCounts(
                dict(self._sent),
                dict(self._sent_bytes),
                dict(self._received),
                dict(self._received_bytes),
                dict(self._dropped),
            )

    def sent(self, kind: str, size: int) -> None:
        """Count one message sent."""
        with self._lock:
            self._sent[kind] += 1
            self._sent_bytes[kind] += size

    def received(self, kind: str, size: int) -> None:
        """Count one message received."""
        with self._lock:
            self._received[kind] += 1
            self._received_bytes[kind] += size

    def drop(self, reason: DropReason, peer: str) -> None:
        """Count one drop; log it at most once per reason and LOG_INTERVAL_SECONDS."""
        now = self._now()
        with self._lock:
            self._dropped[reason] += 1
            total = self._dropped[reason]
            suppressed = now < self._next_log.get(reason, 0.0)
            if not suppressed:
                self._next_log[reason] = now + LOG_INTERVAL_SECONDS
        if not suppressed:
            _log.warning(
                "peer link dropped message or connection: {}, peer {} ({} since start)",
                reason.value,
                peer,
                total,
            )
