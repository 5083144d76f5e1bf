"""List the leases stored at the platform for the administration API."""

from collections.abc import Callable

from result import Err

from masticfork.admin.views import LeaseView
from masticfork.core.deadlines import Deadline
from masticfork.ledger.lease_records import LEASE_PREFIX, parse_lease
from masticfork.store.client import ObjectStore, StoredObject

READ_TIMEOUT_SECONDS = 2.0


def lease_views(store: ObjectStore, now: Callable[[], float]) -> tuple[LeaseView, ...]:
    """Return the leases, or none if the platform does not answer."""
    listed = store.list(LEASE_PREFIX, Deadline.after(now(), READ_TIMEOUT_SECONDS))
    if isinstance(listed, Err):
        return ()
    views = (_lease_view(stored) for stored in listed.ok_value.items)
    return tuple(view for view in views if view is not None)


def _lease_view(stored: StoredObject) -> LeaseView | None:
    parsed = parse_lease(stored)
    if isinstance(parsed, Err):
        return None
    record = parsed.ok_value
    duty = stored.key.removeprefix(LEASE_PREFIX)
    return LeaseView(duty, record.host, stored.version, record.until.at)
