"""Show the leases at the platform to administrators."""

from collections.abc import Callable

from result import Err

from masticfork.admin.views import LeaseView
from masticfork.core.deadlines import Deadline
from masticfork.ledger.lease_records import LEASE_PREFIX, parse_lease
from masticfork.store.client import ObjectStore, StoredObject

READ_SECONDS = 2.0


def lease_views(store: ObjectStore, now: Callable[[], float]) -> tuple[LeaseView, ...]:
    """Return the leases, none where the platform does not answer."""
    listed = store.list(LEASE_PREFIX, Deadline.after(now(), READ_SECONDS))
    if isinstance(listed, Err):
        return ()
    views = (_view(stored) for stored in listed.ok_value.items)
    return tuple(view for view in views if view is not None)


def _view(stored: StoredObject) -> LeaseView | None:
    parsed = parse_lease(stored)
    if isinstance(parsed, Err):
        return None
    record = parsed.ok_value
    duty = stored.key.removeprefix(LEASE_PREFIX)
    return LeaseView(duty, record.host, stored.version, record.until.at)
