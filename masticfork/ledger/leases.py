"""Leases on control duties, by conditional updates at the platform.

A holder counts its lease from before the write that made it; others wait for its end
and for the greatest difference between clocks. So no two holders believe at once,
however long a write or a process is delayed.
"""

import itertools
import threading
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, random_id
from masticfork.ledger.clocks import MAX_CLOCK_DIFFERENCE_SECONDS
from masticfork.ledger.lease_records import (
    Held,
    HeldElsewhere,
    Lease,
    LeaseOutcome,
    LeaseRecord,
    lease_key,
    lease_value,
    parse_lease,
)
from masticfork.store.client import (
    ErrorKind,
    ObjectStore,
    PlatformError,
    StoredObject,
)
from masticfork.store.settle import (
    Settled,
    Written,
    create_settled,
    update_settled,
)

DEFAULT_LEASE_SECONDS = 3.0

# Share of a lease after which `hold` renews it.
RENEW_AFTER_SHARE = 1 / 3

# Rounds of meeting other writers' changes before a write is given up.
MAX_ROUNDS = 4


class LeaseKeeper:
    """The leases of one process; safe to share between threads.

    Each keeper is a holder of its own, also on the same host.
    """

    def __init__(
        self,
        store: ObjectStore,
        host: HostName,
        now: Callable[[], float],
        lease_seconds: float = DEFAULT_LEASE_SECONDS,
        clock_difference_seconds: float = MAX_CLOCK_DIFFERENCE_SECONDS,
    ) -> None:
        self._store = store
        self._host = host
        self._now = now
        self._lease_seconds = lease_seconds
        self._clock_difference_seconds = clock_difference_seconds
        self._instance = random_id("holder")
        self._sequence = itertools.count(1)
        self._lock = threading.Lock()
        # Calls of one duty follow each other; a slow one holds up no other duty.
        self._duty_locks: dict[str, threading.RLock] = {}
        self._held: dict[str, Lease] = {}

    def acquire(self, duty: str) -> Result[LeaseOutcome, PlatformError]:
        """Start a term of the duty if no other process may still hold it."""
        with self._duty_lock(duty):
            self._held.pop(duty, None)
            read_by = Deadline.after(self._now(), self._lease_seconds)
            found = self._store.get(lease_key(duty), read_by)
            if isinstance(found, Err):
                if found.err_value.kind is not ErrorKind.NOT_FOUND:
                    return found
                return self._take(duty, None)
            return self._take(duty, found.ok_value)

    def renew(self, lease: Lease) -> Result[LeaseOutcome, PlatformError]:
        """Extend the term; one that ended is started anew, as by `acquire`.

        After an error the lease stands as it was.
        """
        with self._duty_lock(lease.duty):
            current = self._held.get(lease.duty)
            if current is None or current.until.expired(self._now()):
                return self.acquire(lease.duty)
            written = self._write(lease.duty, current.version, self._until())
            if isinstance(written, Err):
                return written
            outcome = written.ok_value
            if isinstance(outcome, Lease):
                renewed = attrs.evolve(outcome, fencing=current.fencing)
                self._held[lease.duty] = renewed
                return Ok(Held(renewed))
            del self._held[lease.duty]
            return Ok(self._elsewhere(outcome))

    def hold(self, duty: str) -> Result[LeaseOutcome, PlatformError]:
        """Acquire the duty, or renew it when it is time; call it each tick."""
        lease = self.held(duty)
        if lease is None:
            return self.acquire(duty)
        left = lease.until.remaining(self._now())
        if left > self._lease_seconds * (1 - RENEW_AFTER_SHARE):
            return Ok(Held(lease))
        return self.renew(lease)

    def release(self, lease: Lease) -> Result[None, PlatformError]:
        """Give the duty back, so that another need not wait for the end."""
        with self._duty_lock(lease.duty):
            current = self._held.pop(lease.duty, None)
            if current is None:
                return Ok(None)
            written = self._write(lease.duty, current.version, Deadline(0.0))
            return written.map(lambda _: None)

    def held(self, duty: str) -> Lease | None:
        """Return the lease of the duty while it has not ended."""
        # Waits for no call to the platform, so that a guard is always prompt.
        lease = self._held.get(duty)
        expired = lease is None or lease.until.expired(self._now())
        return None if expired else lease

    def guard(self, lease: Lease, margin_seconds: float) -> bool:
        """Tell whether an act that takes at most the margin ends within the term.

        Ask right before an act that nobody checks the fencing number of.
        """
        current = self.held(lease.duty)
        if current is None or current.fencing != lease.fencing:
            return False
        return current.until.remaining(self._now()) > margin_seconds

    def _duty_lock(self, duty: str) -> threading.RLock:
        with self._lock:
            return self._duty_locks.setdefault(duty, threading.RLock())

    def _take(
        self, duty: str, found: StoredObject | None
    ) -> Result[LeaseOutcome, PlatformError]:
        record = None if found is None else parse_lease(found).ok()
        if found is not None and record is not None and not self._free(record):
            return Ok(HeldElsewhere(record.host, record.until))
        # A malformed lease has no holder that could act on it.
        version = 0 if found is None else found.version
        written = self._write(duty, version, self._until())
        if isinstance(written, Err):
            return written
        outcome = written.ok_value
        if isinstance(outcome, Lease):
            self._held[duty] = outcome
            return Ok(Held(outcome))
        return Ok(self._elsewhere(outcome))

    def _free(self, record: LeaseRecord) -> bool:
        """Tell whether nobody else can believe that the lease holds."""
        if record.instance == self._instance:
            return True
        margin = self._clock_difference_seconds
        return Deadline.after(record.until.at, margin).expired(self._now())

    def _until(self) -> Deadline:
        return Deadline.after(self._now(), self._lease_seconds)

    def _write(
        self, duty: str, version: int, until: Deadline
    ) -> Result[Lease | LeaseRecord | None, PlatformError]:
        """Write the lease as this process's; return another's record if it lost."""
        write_by = Deadline.after(self._now(), self._lease_seconds)
        for _ in range(MAX_ROUNDS):
            sequence = next(self._sequence)
            record = LeaseRecord(self._host, self._instance, sequence, until)
            settled = self._put(duty, version, record, write_by)
            if isinstance(settled, Err):
                return settled
            if isinstance(settled.ok_value, Written):
                stored = settled.ok_value.stored
                return Ok(Lease(duty, stored.version, stored.version, until))
            current = settled.ok_value.current
            standing = None if current is None else parse_lease(current).ok()
            if current is None or standing is None:
                return Ok(None)
            if standing.instance != self._instance:
                return Ok(standing)
            # An earlier write of this process had a lost answer.
            version = current.version
        return Err(PlatformError(ErrorKind.UNKNOWN, f"lease {duty} is contended"))

    def _put(
        self, duty: str, version: int, record: LeaseRecord, deadline: Deadline
    ) -> Result[Settled, PlatformError]:
        key, value = lease_key(duty), lease_value(record)
        if version == 0:
            return create_settled(self._store, key, value, deadline)
        return update_settled(self._store, key, value, version, deadline)

    def _elsewhere(self, record: LeaseRecord | None) -> HeldElsewhere:
        if record is None:
            return HeldElsewhere(None, Deadline(0.0))
        return HeldElsewhere(record.host, record.until)
