"""Write and read batches of bills at the platform."""

from collections.abc import Callable

from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.ledger.bill_records import (
    BILL_PREFIX,
    Bill,
    BillBatch,
    batch_value,
    parse_batch,
)
from masticfork.store.client import ErrorKind, ObjectStore, PlatformError
from masticfork.store.settle import Written, create_settled

# Batches read by one call; each may hold close to a megabyte.
PAGE_BATCHES = 10

# Time in seconds for one page of batches.
PAGE_SECONDS = 10.0


def write_batch(
    store: ObjectStore, batch: BillBatch, deadline: Deadline
) -> Result[tuple[Bill, ...], PlatformError]:
    """Write a batch once; return its bills that an earlier writer left out.

    The batch's host and the peers that hold its bills use the same key, so that a
    second write changes nothing.
    """
    settled = create_settled(store, batch.key, batch_value(batch), deadline)
    if isinstance(settled, Err):
        return settled
    outcome = settled.ok_value
    if isinstance(outcome, Written):
        return Ok(())
    if outcome.current is None:
        message = f"{batch.key} was deleted while it was written"
        return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
    standing = parse_batch(outcome.current).map(lambda found: set(found.bills))
    written = standing.unwrap_or(set())
    return Ok(tuple(bill for bill in batch.bills if bill not in written))


def read_batches(
    store: ObjectStore, now: Callable[[], float], prefix: str = BILL_PREFIX
) -> Result[tuple[BillBatch, ...], PlatformError]:
    """Read all batches under a prefix; a malformed one is an error."""
    batches: list[BillBatch] = []
    after = ""
    while True:
        deadline = Deadline.after(now(), PAGE_SECONDS)
        listed = store.list(prefix, deadline, after, PAGE_BATCHES)
        if isinstance(listed, Err):
            return listed
        for item in listed.ok_value.items:
            parsed = parse_batch(item)
            if isinstance(parsed, Err):
                message = f"{item.key}: {parsed.err_value}"
                return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
            batches.append(parsed.ok_value)
        if not listed.ok_value.more:
            return Ok(tuple(batches))
        after = listed.ok_value.items[-1].key
