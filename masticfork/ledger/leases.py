"""Leases on control duties, stored with conditional writes at the platform.

A holder's lease runs from before the write that acquired or renewed it. Other processes
wait until the lease has ended and the maximum clock difference has passed. So at most
one process considers itself the holder, however long a write or a process is delayed.
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
from masticfork.store.confirmed_writes import (
    WriteOutcome,
    Written,
    create_confirmed,
    update_confirmed,
)

DEFAULT_LEASE_SECONDS = 3.0

# Fraction of the lease duration after which `acquire_or_renew` renews it.
RENEW_AFTER_FRACTION = 1 / 3

# Attempts at a write that conflicts with other writes before it is given up.
MAX_CONFLICT_ATTEMPTS = 4


class LeaseManager:
    """Acquires and renews the leases of one process; thread-safe.

    Each instance is a separate holder, even on the same host.
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
        # Calls for one duty are serialised; a slow call does not block other duties.
        self._duty_locks: dict[str, threading.RLock] = {}
        self._held: dict[str, Lease] = {}

    def acquire(self, duty: str) -> Result[LeaseOutcome, PlatformError]:
        """Start a new term of the duty unless another process may still hold it."""
        with self._duty_lock(duty):
            self._held.pop(duty, None)
            read_deadline = Deadline.after(self._now(), self._lease_seconds)
            stored = self._store.get(lease_key(duty), read_deadline)
            if isinstance(stored, Err):
                if stored.err_value.kind is not ErrorKind.NOT_FOUND:
                    return stored
                return self._acquire_if_free(duty, None)
            return self._acquire_if_free(duty, stored.ok_value)

    def renew(self, lease: Lease) -> Result[LeaseOutcome, PlatformError]:
        """Extend the term; if it has ended, start a new one as `acquire` does.

        After an error the lease is unchanged.
        """
        with self._duty_lock(lease.duty):
            current = self._held.get(lease.duty)
            if current is None or current.until.expired(self._now()):
                return self.acquire(lease.duty)
            written = self._write(lease.duty, current.version, self._lease_end())
            if isinstance(written, Err):
                return written
            outcome = written.ok_value
            if isinstance(outcome, Lease):
                renewed = attrs.evolve(outcome, fencing=current.fencing)
                self._held[lease.duty] = renewed
                return Ok(Held(renewed))
            del self._held[lease.duty]
            return Ok(self._held_elsewhere(outcome))

    def acquire_or_renew(self, duty: str) -> Result[LeaseOutcome, PlatformError]:
        """Acquire the duty, or renew its lease when due; call it on each tick."""
        lease = self.held(duty)
        if lease is None:
            return self.acquire(duty)
        remaining_seconds = lease.until.remaining(self._now())
        if remaining_seconds > self._lease_seconds * (1 - RENEW_AFTER_FRACTION):
            return Ok(Held(lease))
        return self.renew(lease)

    def release(self, lease: Lease) -> Result[None, PlatformError]:
        """End the lease early, so that another process need not wait for its end."""
        with self._duty_lock(lease.duty):
            current = self._held.pop(lease.duty, None)
            if current is None:
                return Ok(None)
            written = self._write(lease.duty, current.version, Deadline(0.0))
            return written.map(lambda _: None)

    def held(self, duty: str) -> Lease | None:
        """Return this process's unexpired lease of the duty, if it has one."""
        # Takes no lock, so that it never waits for a call to the platform.
        lease = self._held.get(duty)
        expired = lease is None or lease.until.expired(self._now())
        return None if expired else lease

    def valid_for(self, lease: Lease, duration_seconds: float) -> bool:
        """Return whether the lease is valid for longer than the given time from now.

        Call it right before an operation whose receiver does not check fencing tokens,
        with an upper bound of the operation's duration.
        """
        current = self.held(lease.duty)
        if current is None or current.fencing != lease.fencing:
            return False
        return current.until.remaining(self._now()) > duration_seconds

    def _duty_lock(self, duty: str) -> threading.RLock:
        with self._lock:
            return self._duty_locks.setdefault(duty, threading.RLock())

    def _acquire_if_free(
        self, duty: str, stored: StoredObject | None
    ) -> Result[LeaseOutcome, PlatformError]:
        record = None if stored is None else parse_lease(stored).ok()
        if stored is not None and record is not None and not self._is_free(record):
            return Ok(HeldElsewhere(record.host, record.until))
        # A malformed record counts as free: it has no holder that could act on it.
        version = 0 if stored is None else stored.version
        written = self._write(duty, version, self._lease_end())
        if isinstance(written, Err):
            return written
        outcome = written.ok_value
        if isinstance(outcome, Lease):
            self._held[duty] = outcome
            return Ok(Held(outcome))
        return Ok(self._held_elsewhere(outcome))

    def _is_free(self, record: LeaseRecord) -> bool:
        """Return whether no other process can still consider the lease valid."""
        if record.instance == self._instance:
            return True
        margin = self._clock_difference_seconds
        return Deadline.after(record.until.at, margin).expired(self._now())

    def _lease_end(self) -> Deadline:
        return Deadline.after(self._now(), self._lease_seconds)

    def _write(
        self, duty: str, version: int, until: Deadline
    ) -> Result[Lease | LeaseRecord | None, PlatformError]:
        """Write this process's lease record; return it as a lease.

        If another write came first, return the other process's record, or none if
        the object was deleted or is malformed.
        """
        write_by = Deadline.after(self._now(), self._lease_seconds)
        for _ in range(MAX_CONFLICT_ATTEMPTS):
            sequence = next(self._sequence)
            record = LeaseRecord(self._host, self._instance, sequence, until)
            write_result = self._write_record(duty, version, record, write_by)
            if isinstance(write_result, Err):
                return write_result
            if isinstance(write_result.ok_value, Written):
                stored = write_result.ok_value.stored
                return Ok(Lease(duty, stored.version, stored.version, until))
            current = write_result.ok_value.current
            existing = None if current is None else parse_lease(current).ok()
            if current is None or existing is None:
                return Ok(None)
            if existing.instance != self._instance:
                return Ok(existing)
            # An earlier write of this process took effect but its response was lost.
            version = current.version
        return Err(
            PlatformError(ErrorKind.UNKNOWN, f"lease {duty}: too many conflicts")
        )

    def _write_record(
        self, duty: str, version: int, record: LeaseRecord, deadline: Deadline
    ) -> Result[WriteOutcome, PlatformError]:
        key, value = lease_key(duty), lease_value(record)
        if version == 0:
            return create_confirmed(self._store, key, value, deadline)
        return update_confirmed(self._store, key, value, version, deadline)

    def _held_elsewhere(self, record: LeaseRecord | None) -> HeldElsewhere:
        if record is None:
            return HeldElsewhere(None, Deadline(0.0))
        return HeldElsewhere(record.host, record.until)
