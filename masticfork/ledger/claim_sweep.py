"""Delete claims whose retention period has ended."""

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.ledger.claim_records import CLAIM_PREFIX, parse_claim
from masticfork.store.client import ObjectStore, PlatformError
from masticfork.store.confirmed_writes import delete_confirmed

# Claims read per step; each may be close to 1 MB.
SWEEP_PAGE_ITEMS = 20


@attrs.frozen
class SweepStep:
    """The result of one step of a sweep."""

    deleted: int
    # Key after which the next step starts; empty after the last claim.
    after: str


def sweep_claims(
    store: ObjectStore, now: float, after: str, deadline: Deadline
) -> Result[SweepStep, PlatformError]:
    """Delete the expired claims of the page that follows the key `after`.

    Meant to run on one host at a time, under a lease.
    """
    listing = store.list(CLAIM_PREFIX, deadline, after, SWEEP_PAGE_ITEMS)
    if isinstance(listing, Err):
        return listing
    page = listing.ok_value
    deleted = 0
    for item in page.items:
        claim = parse_claim(item).ok()
        if claim is None or not claim.record.expires_at.expired(now):
            continue
        # A claim that changed since the page was read is left for the next sweep.
        if delete_confirmed(store, item.key, item.version, deadline).is_ok():
            deleted += 1
    return Ok(SweepStep(deleted, page.items[-1].key if page.more else ""))
