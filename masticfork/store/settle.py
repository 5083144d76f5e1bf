"""Conditional writes whose lost answers are settled.

Reading back alone does not settle a lost write, since it may still arrive after the
read. Repeating the same conditional write does: once one of the copies is answered,
the condition no longer holds for the others.
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

# Times that one write is sent before its outcome is given up as unknown.
MAX_WRITE_ATTEMPTS = 4


@attrs.frozen
class Written:
    """The write took effect."""

    stored: StoredObject


@attrs.frozen
class Beaten:
    """Another write came first; `current` is what stands now, none if deleted."""

    current: StoredObject | None


Settled = Written | Beaten
_Write = Callable[[], Result[StoredObject, PlatformError]]


def create_settled(
    store: ObjectStore, key: str, value: JsonObject, deadline: Deadline
) -> Result[Settled, PlatformError]:
    """Create an object; UNKNOWN only if the platform stays silent.

    `value` must be recognisable as this writer's, for example by an attempt id.
    """
    return _settle(
        store, key, value, deadline, lambda: store.create(key, value, deadline)
    )


def update_settled(
    store: ObjectStore, key: str, value: JsonObject, version: int, deadline: Deadline
) -> Result[Settled, PlatformError]:
    """Update an object; UNKNOWN only if the platform stays silent.

    `value` must be recognisable as this writer's, for example by an attempt id.
    """
    return _settle(
        store, key, value, deadline, lambda: store.update(key, value, version, deadline)
    )


def delete_settled(
    store: ObjectStore, key: str, version: int, deadline: Deadline
) -> Result[None, PlatformError]:
    """Delete an object; one that is already gone counts as deleted."""
    outcome: Result[None, PlatformError] = Ok(None)
    for _ in range(MAX_WRITE_ATTEMPTS):
        outcome = store.delete(key, version, deadline)
        if isinstance(outcome, Ok) or outcome.err_value.kind is ErrorKind.NOT_FOUND:
            return Ok(None)
        if outcome.err_value.kind is not ErrorKind.UNKNOWN:
            return outcome
    return outcome


def _settle(
    store: ObjectStore, key: str, value: JsonObject, deadline: Deadline, write: _Write
) -> Result[Settled, PlatformError]:
    doubt: PlatformError | None = None
    for _ in range(MAX_WRITE_ATTEMPTS):
        outcome = write()
        if isinstance(outcome, Ok):
            return Ok(Written(outcome.ok_value))
        error = outcome.err_value
        if error.kind is ErrorKind.CONFLICT:
            return _read_back(store, key, value, deadline, doubt or error)
        if error.kind is ErrorKind.NOT_FOUND:
            return Ok(Beaten(None))
        if error.kind is not ErrorKind.UNKNOWN:
            # An earlier copy of the write may still have taken effect.
            return Err(doubt or error)
        doubt = error
    assert doubt is not None
    return Err(doubt)


def _read_back(
    store: ObjectStore,
    key: str,
    value: JsonObject,
    deadline: Deadline,
    error: PlatformError,
) -> Result[Settled, PlatformError]:
    """Tell whose write the object holds; `error` is the answer if it stays unread."""
    found = store.get(key, deadline)
    if isinstance(found, Ok):
        current = found.ok_value
        return Ok(Written(current) if current.value == value else Beaten(current))
    if found.err_value.kind is ErrorKind.NOT_FOUND:
        return Ok(Beaten(None))
    return Err(error)
