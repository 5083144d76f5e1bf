"""Leases on control duties: tasks that only one host performs at a time."""

import logbook
from result import Err

from masticfork.core.ids import HostName, digest
from masticfork.core.tables import Tables
from masticfork.ledger.lease_records import Held, Lease
from masticfork.ledger.leases import LeaseManager
from masticfork.systems.membership import live_hosts
from masticfork.systems.rollouts import DriverLease

# Number of hosts that try to acquire a duty's lease; the rest make no platform calls
# for it.
MAX_CANDIDATES = 2

_log = logbook.Logger("duties")


class DutyLeases:
    """Acquires a duty's lease only on the hosts that rendezvous hashing ranks first.

    Hosts may briefly disagree on the ranking; the lease alone decides which one holds
    the duty.
    """

    def __init__(self, manager: LeaseManager, tables: Tables) -> None:
        self._manager = manager
        self._tables = tables
        self._held: dict[str, Lease] = {}

    def acquire_or_renew(self, duty: str) -> DriverLease | None:
        """Return the lease if this host holds it or can acquire it, else None."""
        if self._manager.held(duty) is None and not self._is_candidate(duty):
            return None
        outcome = self._manager.acquire_or_renew(duty)
        if isinstance(outcome, Err):
            _log.warning(
                "acquiring or renewing a lease failed",
                duty=duty,
                error=outcome.err_value.message,
            )
            lease = self._manager.held(duty)
        else:
            held = outcome.ok_value
            lease = held.lease if isinstance(held, Held) else None
        if lease is None:
            self._held.pop(duty, None)
            return None
        self._held[duty] = lease
        return DriverLease(lease.fencing, lease.until)

    def release_all(self) -> None:
        """Release all leases, so that other hosts need not wait until they expire."""
        for duty, lease in list(self._held.items()):
            released = self._manager.release(lease)
            if isinstance(released, Err):
                message = released.err_value.message
                _log.warning("releasing a lease failed", duty=duty, error=message)
        self._held.clear()

    def _is_candidate(self, duty: str) -> bool:
        me = self._tables.me.host
        hosts = [me, *(row.host for row in live_hosts(self._tables))]
        ranked = sorted(hosts, key=lambda host: _rank(duty, host))
        return me in ranked[:MAX_CANDIDATES]


def _rank(duty: str, host: HostName) -> str:
    return digest("duty", duty, host)
