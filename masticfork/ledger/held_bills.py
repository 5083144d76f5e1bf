"""Copies of unwritten bills that this host holds for hosts in other zones."""

import threading
from collections.abc import Callable

from result import Err

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Severity, SourceLocation
from masticfork.core.ids import HostName
from masticfork.ledger.bill_records import Bill, BillBatch, new_batch_key
from masticfork.ledger.bill_store import write_batch
from masticfork.store.client import ObjectStore

# Maximum number of bills held for all other hosts together.
MAX_HELD_BILLS = 50_000

# Timeout for writing one batch.
WRITE_TIMEOUT_SECONDS = 5.0


class HeldBills:
    """Batches held in memory for other hosts; thread-safe."""

    def __init__(
        self,
        store: ObjectStore,
        now: Callable[[], float],
        max_held: int = MAX_HELD_BILLS,
    ) -> None:
        self._store = store
        self._now = now
        self._max_held = max_held
        self._lock = threading.Lock()
        self._held: dict[HostName, dict[str, tuple[Bill, ...]]] = {}
        self._count = 0

    @property
    def count(self) -> int:
        """Return the number of bills held."""
        with self._lock:
            return self._count

    def add(self, host: HostName, batch_key: str, bills: tuple[Bill, ...]) -> bool:
        """Add bills to a host's batch; return false if that would exceed the limit."""
        with self._lock:
            batches = self._held.setdefault(host, {})
            held = batches.get(batch_key, ())
            added = tuple(bill for bill in bills if bill not in set(held))
            if self._count + len(added) > self._max_held:
                return False
            batches[batch_key] = (*held, *added)
            self._count += len(added)
            return True

    def drop(self, host: HostName, batch_key: str) -> None:
        """Drop a batch that its host has written to the platform."""
        with self._lock:
            self._count -= len(self._held.get(host, {}).pop(batch_key, ()))

    def recover(self, host: HostName) -> Findings:
        """Write the bills held for a host that has failed or left.

        If the host is in fact alive, nothing is lost: its own writes use the same batch
        keys. A batch that could not be written stays held for the next
        call, and a warning is returned.
        """
        for key, bills in self._batches_of(host):
            deadline = Deadline.after(self._now(), WRITE_TIMEOUT_SECONDS)
            written = write_batch(self._store, BillBatch(key, bills), deadline)
            if isinstance(written, Err):
                place = SourceLocation("bills", key)
                message = f"writing a held batch failed: {written.err_value.message}"
                severity = Severity.WARNING
                return (Finding("held_bills_pending", place, message, severity),)
            not_stored = written.ok_value
            self._remove_written(host, key, bills, not_stored)
            if not_stored:
                return self.recover(host)
        return ()

    def recover_all(self) -> Findings:
        """Write the bills held for all hosts; called before this host stops."""
        with self._lock:
            hosts = tuple(self._held)
        return tuple(finding for host in hosts for finding in self.recover(host))

    def _batches_of(self, host: HostName) -> tuple[tuple[str, tuple[Bill, ...]], ...]:
        with self._lock:
            return tuple(self._held.get(host, {}).items())

    def _remove_written(
        self,
        host: HostName,
        key: str,
        bills: tuple[Bill, ...],
        not_stored: tuple[Bill, ...],
    ) -> None:
        """Remove the bills of a write; those not stored are kept under a new key.

        A live host may have added bills to the batch during the write; they stay.
        """
        with self._lock:
            batches = self._held.get(host, {})
            written = set(bills)
            held = batches.pop(key, ())
            added_since = tuple(bill for bill in held if bill not in written)
            if added_since:
                batches[key] = added_since
            if not_stored and held:
                batches[new_batch_key(host, self._now())] = not_stored
            remaining = len(added_since) + (len(not_stored) if held else 0)
            self._count += remaining - len(held)
