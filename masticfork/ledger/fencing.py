"""Writes protected by fencing tokens against former lease holders.

A conditional write alone does not stop a former holder that resumes after a pause and
reads the object again. So each object written under a lease carries the fencing token
of its last writer, and a write with a smaller token is rejected.
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
from masticfork.store.confirmed_writes import (
    Written,
    create_confirmed,
    update_confirmed,
)

FENCING_FIELD = "fencing"
VALUE_FIELD = "value"


@attrs.frozen
class Stale:
    """A holder with a greater token has written; `current` is the object now."""

    current: StoredObject


@attrs.frozen
class Conflicted:
    """A concurrent write with no greater token came first; read again and retry."""


FencedOutcome = Written | Stale | Conflicted


def put_fenced(
    store: ObjectStore,
    key: str,
    value: JsonObject,
    fencing: int,
    deadline: Deadline,
) -> Result[FencedOutcome, PlatformError]:
    """Write a value with a fencing token, unless the object has a greater one."""
    read_result = store.get(key, deadline)
    fenced = {FENCING_FIELD: fencing, VALUE_FIELD: value}
    if isinstance(read_result, Err):
        if read_result.err_value.kind is not ErrorKind.NOT_FOUND:
            return read_result
        write_result = create_confirmed(store, key, fenced, deadline)
    else:
        current = read_result.ok_value
        if fencing_of(current) > fencing:
            return Ok(Stale(current))
        write_result = update_confirmed(store, key, fenced, current.version, deadline)
    if isinstance(write_result, Err):
        return write_result
    outcome = write_result.ok_value
    if isinstance(outcome, Written):
        return Ok(outcome)
    if outcome.current is not None and fencing_of(outcome.current) > fencing:
        return Ok(Stale(outcome.current))
    return Ok(Conflicted())


def fencing_of(stored: StoredObject) -> int:
    """Return the fencing token of the object's last writer, 0 if it has none."""
    fencing = stored.value.get(FENCING_FIELD)
    return fencing if isinstance(fencing, int) else 0


def fenced_value(stored: StoredObject) -> JsonObject:
    """Return the value written by `put_fenced`; empty if it is not an object."""
    value = stored.value.get(VALUE_FIELD)
    return value if isinstance(value, dict) else {}
