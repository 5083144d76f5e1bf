"""Write batches of bills to the platform's object store and read them back."""

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
from masticfork.store.confirmed_writes import Written, create_confirmed

# Batches read per call; each may be close to 1 MB.
BATCHES_PER_PAGE = 10

# Timeout for reading one page of batches.
PAGE_TIMEOUT_SECONDS = 10.0


def write_batch(
    store: ObjectStore, batch: BillBatch, deadline: Deadline
) -> Result[tuple[Bill, ...], PlatformError]:
    """Create the batch's object; return the bills that an existing object lacks.

    The host that made the batch and the peers that hold copies of it use the same
    key, so a second write changes nothing. Fails with UNAVAILABLE if the object was
    deleted in the meantime.
    """
    write_result = create_confirmed(store, batch.key, batch_value(batch), deadline)
    if isinstance(write_result, Err):
        return write_result
    outcome = write_result.ok_value
    if isinstance(outcome, Written):
        return Ok(())
    if outcome.current is None:
        message = f"{batch.key} was deleted while being written"
        return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
    stored_bills = parse_batch(outcome.current).map(lambda current: set(current.bills))
    written = stored_bills.unwrap_or(set())
    return Ok(tuple(bill for bill in batch.bills if bill not in written))


def read_batches(
    store: ObjectStore, now: Callable[[], float], prefix: str = BILL_PREFIX
) -> Result[tuple[BillBatch, ...], PlatformError]:
    """Read all batches under a key prefix; a malformed batch is an error."""
    batches: list[BillBatch] = []
    after = ""
    while True:
        deadline = Deadline.after(now(), PAGE_TIMEOUT_SECONDS)
        page = store.list(prefix, deadline, after, BATCHES_PER_PAGE)
        if isinstance(page, Err):
            return page
        for item in page.ok_value.items:
            parsed = parse_batch(item)
            if isinstance(parsed, Err):
                message = f"{item.key}: {parsed.err_value}"
                return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
            batches.append(parsed.ok_value)
        if not page.ok_value.more:
            return Ok(tuple(batches))
        after = page.ok_value.items[-1].key
