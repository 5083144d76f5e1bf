"""Bills that this host holds for hosts in other availability zones."""

import threading
from collections.abc import Callable

from result import Err

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Place, Severity
from masticfork.core.ids import HostName
from masticfork.ledger.bill_records import Bill, BillBatch, new_batch_key
from masticfork.ledger.bill_store import write_batch
from masticfork.store.client import ObjectStore

# Bills held for all other hosts together; beyond it, none is taken.
MAX_HELD_BILLS = 50_000

# Time in seconds for one write of a batch.
WRITE_SECONDS = 5.0


class HeldBills:
    """Batches by host; safe to share between threads."""

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

    def keep(self, host: HostName, batch_key: str, bills: tuple[Bill, ...]) -> bool:
        """Add bills to a host's batch; tell whether they are held."""
        with self._lock:
            batches = self._held.setdefault(host, {})
            held = batches.get(batch_key, ())
            new = tuple(bill for bill in bills if bill not in set(held))
            if self._count + len(new) > self._max_held:
                return False
            batches[batch_key] = (*held, *new)
            self._count += len(new)
            return True

    def forget(self, host: HostName, batch_key: str) -> None:
        """Drop a batch that its host has written."""
        with self._lock:
            self._count -= len(self._held.get(host, {}).pop(batch_key, ()))

    def recover(self, host: HostName) -> Findings:
        """Write what is held for a host that is dead or left.

        A host wrongly taken for dead loses nothing: its own write uses the same keys.
        What the platform does not take stays held for the next call.
        """
        for key, bills in self._batches(host):
            deadline = Deadline.after(self._now(), WRITE_SECONDS)
            written = write_batch(self._store, BillBatch(key, bills), deadline)
            if isinstance(written, Err):
                place = Place("bills", key)
                message = f"a held batch is not written: {written.err_value.message}"
                severity = Severity.WARNING
                return (Finding("held_bills_pending", place, message, severity),)
            rest = written.ok_value
            self._written(host, key, bills, rest)
            if rest:
                return self.recover(host)
        return ()

    def recover_all(self) -> Findings:
        """Write what is held for any host, before this one stops."""
        with self._lock:
            hosts = tuple(self._held)
        return tuple(finding for host in hosts for finding in self.recover(host))

    def _batches(self, host: HostName) -> tuple[tuple[str, tuple[Bill, ...]], ...]:
        with self._lock:
            return tuple(self._held.get(host, {}).items())

    def _written(
        self,
        host: HostName,
        key: str,
        bills: tuple[Bill, ...],
        rest: tuple[Bill, ...],
    ) -> None:
        """Drop the bills of a write; keep the rest under a key of their own.

        A host that lives may have added bills to the batch in the meantime.
        """
        with self._lock:
            batches = self._held.get(host, {})
            written = set(bills)
            held = batches.pop(key, ())
            later = tuple(bill for bill in held if bill not in written)
            if later:
                batches[key] = later
            if rest and held:
                batches[new_batch_key(host, self._now())] = rest
            left = len(later) + (len(rest) if held else 0)
            self._count += left - len(held)
