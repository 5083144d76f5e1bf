"""Forget claims past their retention."""

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.ledger.claim_records import CLAIM_PREFIX, parse_claim
from masticfork.store.client import ObjectStore, PlatformError
from masticfork.store.settle import delete_settled

# Claims read by one step; a claim may hold close to a megabyte.
SWEEP_PAGE_ITEMS = 20


@attrs.frozen
class SweepStep:
    """What one step of a sweep did."""

    deleted: int
    # Key after which the next step starts; empty at the end of the claims.
    after: str


def sweep_claims(
    store: ObjectStore, now: float, after: str, deadline: Deadline
) -> Result[SweepStep, PlatformError]:
    """Delete the expired claims of one page; run it under a lease."""
    listed = store.list(CLAIM_PREFIX, deadline, after, SWEEP_PAGE_ITEMS)
    if isinstance(listed, Err):
        return listed
    page = listed.ok_value
    deleted = 0
    for item in page.items:
        claim = parse_claim(item).ok()
        if claim is None or not claim.record.expires_at.expired(now):
            continue
        # A claim that changed since the page was read is left to the next sweep.
        if delete_settled(store, item.key, item.version, deadline).is_ok():
            deleted += 1
    return Ok(SweepStep(deleted, page.items[-1].key if page.more else ""))
