"""Writes that a holder past its term cannot make.

A conditional write alone does not stop an old holder that wakes and reads anew, so
each object written under a duty carries the fencing number of its last writer.
"""

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.store.client import (
    ErrorKind,
    JsonObject,
    ObjectStore,
    PlatformError,
    StoredObject,
)
from masticfork.store.settle import Written, create_settled, update_settled

FENCING_FIELD = "fencing"
VALUE_FIELD = "value"


@attrs.frozen
class Stale:
    """A later holder has written; `current` is what stands."""

    current: StoredObject


@attrs.frozen
class Raced:
    """Another write of the same or an earlier term came between; read again."""


FencedOutcome = Written | Stale | Raced


def put_fenced(
    store: ObjectStore,
    key: str,
    value: JsonObject,
    fencing: int,
    deadline: Deadline,
) -> Result[FencedOutcome, PlatformError]:
    """Write a value under a fencing number, unless a greater one stands."""
    found = store.get(key, deadline)
    fenced = {FENCING_FIELD: fencing, VALUE_FIELD: value}
    if isinstance(found, Err):
        if found.err_value.kind is not ErrorKind.NOT_FOUND:
            return found
        settled = create_settled(store, key, fenced, deadline)
    else:
        current = found.ok_value
        if fencing_of(current) > fencing:
            return Ok(Stale(current))
        settled = update_settled(store, key, fenced, current.version, deadline)
    if isinstance(settled, Err):
        return settled
    outcome = settled.ok_value
    if isinstance(outcome, Written):
        return Ok(outcome)
    if outcome.current is not None and fencing_of(outcome.current) > fencing:
        return Ok(Stale(outcome.current))
    return Ok(Raced())


def fencing_of(stored: StoredObject) -> int:
    """Return the fencing number of the last writer, 0 where there is none."""
    fencing = stored.value.get(FENCING_FIELD)
    return fencing if isinstance(fencing, int) else 0


def fenced_value(stored: StoredObject) -> JsonObject:
    """Return the value that was written under a fencing number."""
    value = stored.value.get(VALUE_FIELD)
    return value if isinstance(value, dict) else {}
