"""Bills that survive the host that makes them.

Bills collect in an open batch. A bill is safe when its batch is written at the
platform, or when a peer in another availability zone holds it until then.
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
from masticfork.core.findings import Finding, Findings, Place, Severity
from masticfork.core.ids import HostName
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.ledger.bill_records import (
    Bill,
    BillBatch,
    bill_bytes,
    new_batch_key,
)
from masticfork.ledger.bill_store import write_batch
from masticfork.store.client import ErrorKind, ObjectStore

# Greatest size of a batch's bills; the object stays under the platform's limit.
MAX_BATCH_BYTES = 900_000

# Bills not yet written at which new work is refused.
MAX_UNWRITTEN_BILLS = 20_000

# Time in seconds for one write of a batch.
WRITE_SECONDS = 5.0

# Time in seconds before a failed write is tried again.
RETRY_SECONDS = 1.0


class BillKeeper(Protocol):
    """Holds bills at a peer in another availability zone."""

    def keep(self, batch_key: str, bills: tuple[Bill, ...]) -> "Future[None]":
        """Add bills to a held batch; the future fails if no peer holds them."""

    def forget(self, batch_key: str) -> None:
        """Let the peers forget a batch that is written."""


@attrs.frozen(eq=False)
class _Entry:
    bill: Bill
    safe: "Future[None]"


@attrs.define(eq=False)
class _Batch:
    key: str
    entries: list[_Entry] = attrs.field(factory=list)
    size: int = 0
    # Keys under which peers may hold these bills besides the batch's own.
    earlier_keys: tuple[str, ...] = ()


class BillWriter:
    """Writes the bills of one host; safe to share between threads."""

    def __init__(
        self,
        store: ObjectStore,
        host: HostName,
        now: Callable[[], float],
        write_interval_seconds: float = 0.0,
        keeper: BillKeeper | None = None,
        max_unwritten: int = MAX_UNWRITTEN_BILLS,
    ) -> None:
        self._store = store
        self._host = host
        self._now = now
        self._write_interval_seconds = write_interval_seconds
        self._keeper = keeper
        self._max_unwritten = max_unwritten
        self._changed = threading.Condition()
        self._open = _Batch(new_batch_key(host, now()))
        # Batches that a write was tried for, or that are full; they do not change.
        self._sealed: deque[_Batch] = deque()
        self._unwritten = 0
        self._next_write = Deadline(0.0)
        self._unkept: list[tuple[str, _Entry]] = []
        # The batch of which bills are on their way to a peer.
        self._keeping: str | None = None
        self._forget_again: tuple[str, ...] = ()
        self._stopping = False
        self._write_lock = threading.Lock()

    @property
    def unwritten(self) -> int:
        """Return the number of bills that the platform has not taken yet."""
        with self._changed:
            return self._unwritten

    def refusal(self) -> Refusal | None:
        """Return the refusal of new work while too many bills wait."""
        if self.unwritten < self._max_unwritten:
            return None
        later = Deadline.after(self._now(), RETRY_SECONDS)
        message = "too many bills wait to be written"
        return Refusal(Reason.BILL_NOT_KEPT, message, RunState.NOT_RUN, later)

    def submit(self, bill: Bill) -> "Future[None]":
        """Take a bill; the future is done when the bill survives this host."""
        entry = _Entry(bill, Future())
        size = bill_bytes(bill)
        with self._changed:
            if self._open.entries and self._open.size + size > MAX_BATCH_BYTES:
                self._seal()
            self._open.entries.append(entry)
            self._open.size += size
            self._unwritten += 1
            if self._keeper is not None:
                self._unkept.append((self._open.key, entry))
            self._changed.notify_all()
        self._keep_more()
        return entry.safe

    def step(self) -> Findings:
        """Write one batch if it is time for a write."""
        with self._write_lock:
            return self._step()

    def run(self) -> None:
        """Write batches until `stop`; meant for a thread of its own."""
        while True:
            with self._changed:
                if self._stopping:
                    return
                self._changed.wait(self._seconds_to_next())
            self.step()

    def stop(self) -> None:
        """Let `run` return."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def flush(self, deadline: Deadline) -> int:
        """Write all bills now; return how many a failed write or the deadline left."""
        while self.unwritten and not deadline.expired(self._now()):
            with self._changed:
                self._next_write = Deadline(0.0)
            if self.step():
                break
        return self.unwritten

    def _step(self) -> Findings:
        batch = self._take()
        if batch is None:
            return ()
        whole = BillBatch(batch.key, tuple(entry.bill for entry in batch.entries))
        deadline = Deadline.after(self._now(), WRITE_SECONDS)
        written = write_batch(self._store, whole, deadline)
        if isinstance(written, Err):
            error = written.err_value
            if error.kind is ErrorKind.TOO_LARGE and len(batch.entries) > 1:
                self._split(batch)
                return ()
            self._delay()
            place = Place("bills", batch.key)
            message = f"a batch is not written: {error.message}"
            return (Finding("bills_pending", place, message, Severity.WARNING),)
        self._done(batch, set(written.ok_value))
        return ()

    def _seconds_to_next(self) -> float | None:
        """Return how long to wait for the next write; none until a bill comes."""
        if not self._unwritten:
            return None
        return self._next_write.remaining(self._now())

    def _seal(self) -> None:
        self._sealed.append(self._open)
        self._open = _Batch(new_batch_key(self._host, self._now()))

    def _take(self) -> _Batch | None:
        """Return the oldest batch if it is time to write it; it stays in the queue."""
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

    def _delay(self) -> None:
        with self._changed:
            later = max(RETRY_SECONDS, self._write_interval_seconds)
            self._next_write = Deadline.after(self._now(), later)

    def _split(self, batch: _Batch) -> None:
        """Replace a batch that the platform finds too large by two halves."""
        middle = len(batch.entries) // 2
        with self._changed:
            self._sealed.remove(batch)
            for entries in (batch.entries[middle:], batch.entries[:middle]):
                self._sealed.appendleft(self._renamed(batch, entries))

    def _renamed(self, batch: _Batch, entries: list[_Entry]) -> _Batch:
        """Return a new batch of some of the bills of another."""
        key = new_batch_key(self._host, self._now())
        return _Batch(key, entries, earlier_keys=(batch.key, *batch.earlier_keys))

    def _done(self, batch: _Batch, left_out: set[Bill]) -> None:
        """Complete a written batch; bills left out of it go into a new one."""
        rest = [entry for entry in batch.entries if entry.bill in left_out]
        keys = () if rest else (batch.key, *batch.earlier_keys)
        with self._changed:
            self._sealed.remove(batch)
            self._unwritten -= len(batch.entries) - len(rest)
            if rest:
                self._sealed.appendleft(self._renamed(batch, rest))
            self._unkept = [pair for pair in self._unkept if pair[0] not in keys]
            if self._keeping in keys:
                # The peer may get the bills after it was told to forget them.
                self._forget_again = keys
        self._forget(keys)
        for entry in batch.entries:
            if entry.bill not in left_out:
                _complete(entry)

    def _forget(self, keys: tuple[str, ...]) -> None:
        if self._keeper is not None:
            for key in keys:
                self._keeper.forget(key)

    def _keep_more(self) -> None:
        """Send the bills that no peer holds, one group at a time."""
        with self._changed:
            if self._keeper is None or self._keeping or not self._unkept:
                return
            key = self._unkept[0][0]
            self._keeping = key
            group = [entry for batch, entry in self._unkept if batch == key]
            self._unkept = [pair for pair in self._unkept if pair[0] != key]
        kept = self._keeper.keep(key, tuple(entry.bill for entry in group))
        kept.add_done_callback(lambda future: self._kept(group, future))

    def _kept(self, group: list[_Entry], future: "Future[None]") -> None:
        with self._changed:
            self._keeping = None
            late, self._forget_again = self._forget_again, ()
        self._forget(late)
        # Bills that no peer holds wait for their batch to be written.
        if not future.cancelled() and future.exception() is None:
            for entry in group:
                _complete(entry)
        self._keep_more()


def _complete(entry: _Entry) -> None:
    # A peer's answer and the write of the batch may both make a bill safe.
    with contextlib.suppress(InvalidStateError):
        entry.safe.set_result(None)
