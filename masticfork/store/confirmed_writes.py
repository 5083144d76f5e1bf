"""Conditional writes that find out their outcome when a response is lost.

Reading the object back is not enough after a lost response, since the write may still
arrive after the read. Repeating the same conditional write is enough: once the platform
has answered one of the copies, the condition no longer holds for the others.
"""

from collections.abc import Callable

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

# Times that a write is sent before its outcome is reported as unknown.
MAX_WRITE_ATTEMPTS = 4


@attrs.frozen
class Written:
    """The write took effect."""

    stored: StoredObject


@attrs.frozen
class LostToConcurrentWrite:
    """Another write came first; `current` is the object now, None if it is deleted."""

    current: StoredObject | None


WriteOutcome = Written | LostToConcurrentWrite
_Write = Callable[[], Result[StoredObject, PlatformError]]


def create_confirmed(
    store: ObjectStore, key: str, value: JsonObject, deadline: Deadline
) -> Result[WriteOutcome, PlatformError]:
    """Create an object; fail with UNKNOWN only if the outcome cannot be found out.

    `value` must differ from what other writers write, for example by an attempt id,
    since it is compared with the stored value to tell whose write succeeded.
    """
    return _retry_until_known(
        store, key, value, deadline, lambda: store.create(key, value, deadline)
    )


def update_confirmed(
    store: ObjectStore, key: str, value: JsonObject, version: int, deadline: Deadline
) -> Result[WriteOutcome, PlatformError]:
    """Update an object; fail with UNKNOWN only if the outcome cannot be found out.

    `value` must differ from what other writers write, for example by an attempt id,
    since it is compared with the stored value to tell whose write succeeded.
    """
    return _retry_until_known(
        store, key, value, deadline, lambda: store.update(key, value, version, deadline)
    )


def delete_confirmed(
    store: ObjectStore, key: str, version: int, deadline: Deadline
) -> Result[None, PlatformError]:
    """Delete an object; one that does not exist counts as deleted."""
    outcome: Result[None, PlatformError] = Ok(None)
    for _ in range(MAX_WRITE_ATTEMPTS):
        outcome = store.delete(key, version, deadline)
        if isinstance(outcome, Ok) or outcome.err_value.kind is ErrorKind.NOT_FOUND:
            return Ok(None)
        if outcome.err_value.kind is not ErrorKind.UNKNOWN:
            return outcome
    return outcome


def _retry_until_known(
    store: ObjectStore, key: str, value: JsonObject, deadline: Deadline, write: _Write
) -> Result[WriteOutcome, PlatformError]:
    unknown_error: PlatformError | None = None
    for _ in range(MAX_WRITE_ATTEMPTS):
        outcome = write()
        if isinstance(outcome, Ok):
            return Ok(Written(outcome.ok_value))
        error = outcome.err_value
        if error.kind is ErrorKind.CONFLICT:
            return _read_back(store, key, value, deadline, unknown_error or error)
        if error.kind is ErrorKind.NOT_FOUND:
            return Ok(LostToConcurrentWrite(None))
        if error.kind is not ErrorKind.UNKNOWN:
            # An earlier copy of the write may still take effect, so the outcome stays
            # unknown.
            return Err(unknown_error or error)
        unknown_error = error
    assert unknown_error is not None
    return Err(unknown_error)


def _read_back(
    store: ObjectStore,
    key: str,
    value: JsonObject,
    deadline: Deadline,
    error: PlatformError,
) -> Result[WriteOutcome, PlatformError]:
    """Read the object to find out whose write succeeded.

    Return `error` if the object cannot be read.
    """
    found = store.get(key, deadline)
    if isinstance(found, Ok):
        current = found.ok_value
        return Ok(
            Written(current)
            if current.value == value
            else LostToConcurrentWrite(current)
        )
    if found.err_value.kind is ErrorKind.NOT_FOUND:
        return Ok(LostToConcurrentWrite(None))
    return Err(error)
