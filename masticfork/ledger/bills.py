"""Durable writing of the bills of one host.

Bills are collected in an open batch. A bill is durable once its batch is written to
the platform's object store, or once a peer in another availability zone holds a copy.
"""

import contextlib
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from typing import Protocol

import attrs
from result import Err

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Severity, SourceLocation
from masticfork.core.ids import HostName
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.ledger.bill_records import (
    Bill,
    BillBatch,
    bill_size_bytes,
    new_batch_key,
)
from masticfork.ledger.bill_store import write_batch
from masticfork.store.client import ErrorKind, ObjectStore

# Maximum total size of a batch's bills; keeps the object under the platform's limit.
MAX_BATCH_BYTES = 900_000

# Number of unwritten bills from which new requests are refused.
MAX_UNWRITTEN_BILLS = 20_000

# Timeout for writing one batch.
WRITE_TIMEOUT_SECONDS = 5.0

# Minimum delay before a failed write is retried.
RETRY_DELAY_SECONDS = 1.0


class BillReplicator(Protocol):
    """Replicates bills to a peer in another availability zone."""

    def replicate(self, batch_key: str, bills: tuple[Bill, ...]) -> "Future[None]":
        """Send bills to a peer that holds them; the future fails if none does."""

    def drop_replicas(self, batch_key: str) -> None:
        """Tell the peers to drop their copies of a batch that has been written."""


@attrs.frozen(eq=False)
class _QueuedBill:
    bill: Bill
    durable: "Future[None]"


@attrs.define(eq=False)
class _Batch:
    key: str
    entries: list[_QueuedBill] = attrs.field(factory=list)
    size: int = 0
    # Earlier batch keys under which peers may still hold these bills.
    earlier_keys: tuple[str, ...] = ()


class BillWriter:
    """Writes the bills of one host; thread-safe."""

    def __init__(
        self,
        store: ObjectStore,
        host: HostName,
        now: Callable[[], float],
        write_interval_seconds: float = 0.0,
        replicator: BillReplicator | None = None,
        max_unwritten: int = MAX_UNWRITTEN_BILLS,
    ) -> None:
        self._store = store
        self._host = host
        self._now = now
        self._write_interval_seconds = write_interval_seconds
        self._replicator = replicator
        self._max_unwritten = max_unwritten
        self._changed = threading.Condition()
        self._open = _Batch(new_batch_key(host, now()))
        # Batches that are full or whose write was attempted; these no longer change.
        self._sealed: deque[_Batch] = deque()
        self._unwritten = 0
        self._next_write = Deadline(0.0)
        # Bills not yet sent to a peer, each with the key of its batch.
        self._unreplicated: list[tuple[str, _QueuedBill]] = []
        # Key of the batch whose bills are being sent to a peer.
        self._replicating_key: str | None = None
        # Keys to forget again after the peer's reply; see `_complete_batch`.
        self._forget_after_reply: tuple[str, ...] = ()
        self._stopping = False
        self._write_lock = threading.Lock()

    @property
    def unwritten(self) -> int:
        """Return the number of bills not yet written to the platform."""
        with self._changed:
            return self._unwritten

    def refusal(self) -> Refusal | None:
        """Return a refusal for new requests while too many bills are unwritten."""
        if self.unwritten < self._max_unwritten:
            return None
        retry_at = Deadline.after(self._now(), RETRY_DELAY_SECONDS)
        message = "too many bills are waiting to be written"
        return Refusal(Reason.BILL_NOT_KEPT, message, RunState.NOT_RUN, retry_at)

    def submit(self, bill: Bill) -> "Future[None]":
        """Queue a bill; the future completes once it is durable (see the module)."""
        entry = _QueuedBill(bill, Future())
        size = bill_size_bytes(bill)
        with self._changed:
            if self._open.entries and self._open.size + size > MAX_BATCH_BYTES:
                self._seal()
            self._open.entries.append(entry)
            self._open.size += size
            self._unwritten += 1
            if self._replicator is not None:
                self._unreplicated.append((self._open.key, entry))
            self._changed.notify_all()
        self._replicate_next()
        return entry.durable

    def step(self) -> Findings:
        """Write one batch if a write is due; return a warning if the write failed."""
        with self._write_lock:
            return self._write_next_batch()

    def run(self) -> None:
        """Write batches until `stop` is called; run this in a dedicated thread."""
        while True:
            with self._changed:
                if self._stopping:
                    return
                self._changed.wait(self._seconds_to_next_write())
            self.step()

    def stop(self) -> None:
        """Make `run` return; unwritten bills stay queued."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def flush(self, deadline: Deadline) -> int:
        """Write the queued bills, ignoring the write interval.

        Stops at the deadline or after a failed write. Returns the number of bills
        still unwritten.
        """
        while self.unwritten and not deadline.expired(self._now()):
            with self._changed:
                self._next_write = Deadline(0.0)
            if self.step():
                break
        return self.unwritten

    def _write_next_batch(self) -> Findings:
        batch = self._next_batch()
        if batch is None:
            return ()
        bill_batch = BillBatch(batch.key, tuple(entry.bill for entry in batch.entries))
        deadline = Deadline.after(self._now(), WRITE_TIMEOUT_SECONDS)
        written = write_batch(self._store, bill_batch, deadline)
        if isinstance(written, Err):
            error = written.err_value
            if error.kind is ErrorKind.TOO_LARGE and len(batch.entries) > 1:
                self._split(batch)
                return ()
            self._schedule_retry()
            place = SourceLocation("bills", batch.key)
            message = f"writing a batch of bills failed: {error.message}"
            return (Finding("bills_pending", place, message, Severity.WARNING),)
        self._complete_batch(batch, set(written.ok_value))
        return ()

    def _seconds_to_next_write(self) -> float | None:
        """Return the seconds to wait for the next write; none if no bill is queued."""
        if not self._unwritten:
            return None
        return self._next_write.remaining(self._now())

    def _seal(self) -> None:
        self._sealed.append(self._open)
        self._open = _Batch(new_batch_key(self._host, self._now()))

    def _next_batch(self) -> _Batch | None:
        """Return the oldest batch if a write is due, without removing it."""
        with self._changed:
            now = self._now()
            if not self._next_write.expired(now):
                return None
            if not self._sealed and self._open.entries:
                self._seal()
            if not self._sealed:
                return None
            self._next_write = Deadline.after(now, self._write_interval_seconds)
            return self._sealed[0]

    def _schedule_retry(self) -> None:
        with self._changed:
            delay = max(RETRY_DELAY_SECONDS, self._write_interval_seconds)
            self._next_write = Deadline.after(self._now(), delay)

    def _split(self, batch: _Batch) -> None:
        """Replace a batch that the platform rejected as too large by two halves."""
        middle = len(batch.entries) // 2
        with self._changed:
            self._sealed.remove(batch)
            for entries in (batch.entries[middle:], batch.entries[:middle]):
                self._sealed.appendleft(self._rebatch(batch, entries))

    def _rebatch(self, batch: _Batch, entries: list[_QueuedBill]) -> _Batch:
        """Return a batch with a new key for some of the bills of another."""
        key = new_batch_key(self._host, self._now())
        return _Batch(key, entries, earlier_keys=(batch.key, *batch.earlier_keys))

    def _complete_batch(self, batch: _Batch, missing_bills: set[Bill]) -> None:
        """Remove a written batch; bills that the object lacks go into a new one."""
        remaining_entries = [
            entry for entry in batch.entries if entry.bill in missing_bills
        ]
        keys = () if remaining_entries else (batch.key, *batch.earlier_keys)
        with self._changed:
            self._sealed.remove(batch)
            self._unwritten -= len(batch.entries) - len(remaining_entries)
            if remaining_entries:
                self._sealed.appendleft(self._rebatch(batch, remaining_entries))
            self._unreplicated = [
                pair for pair in self._unreplicated if pair[0] not in keys
            ]
            if self._replicating_key in keys:
                # The peer may receive the bills after the message to drop them; that
                # message is repeated once the peer has replied.
                self._forget_after_reply = keys
        self._forget_batches(keys)
        for entry in batch.entries:
            if entry.bill not in missing_bills:
                _mark_durable(entry)

    def _forget_batches(self, keys: tuple[str, ...]) -> None:
        if self._replicator is not None:
            for key in keys:
                self._replicator.drop_replicas(key)

    def _replicate_next(self) -> None:
        """Send unreplicated bills of one batch to a peer; one message at a time."""
        with self._changed:
            if (
                self._replicator is None
                or self._replicating_key
                or not self._unreplicated
            ):
                return
            key = self._unreplicated[0][0]
            self._replicating_key = key
            group = [entry for batch, entry in self._unreplicated if batch == key]
            self._unreplicated = [pair for pair in self._unreplicated if pair[0] != key]
        replicated = self._replicator.replicate(
            key, tuple(entry.bill for entry in group)
        )
        replicated.add_done_callback(lambda future: self._on_replicated(group, future))

    def _on_replicated(self, group: list[_QueuedBill], future: "Future[None]") -> None:
        with self._changed:
            self._replicating_key = None
            late_keys, self._forget_after_reply = self._forget_after_reply, ()
        self._forget_batches(late_keys)
        # If no peer holds the bills, they become durable when their batch is written.
        if not future.cancelled() and future.exception() is None:
            for entry in group:
                _mark_durable(entry)
        self._replicate_next()


def _mark_durable(entry: _QueuedBill) -> None:
    # Both a peer's reply and the write of the batch may complete the future.
    with contextlib.suppress(InvalidStateError):
        entry.durable.set_result(None)
