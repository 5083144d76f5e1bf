"""Store the rows of rollouts at the platform."""

from collections.abc import Callable

import logbook
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import RolloutName
from masticfork.core.rollouts import RolloutRow
from masticfork.daemon.shared_objects import parse_rollout, rollout_key, rollout_value
from masticfork.peers.object_relay import ObjectRelay
from masticfork.store.client import (
    ErrorKind,
    ObjectStore,
    PlatformError,
    StoredObject,
)
from masticfork.store.confirmed_writes import (
    Written,
    create_confirmed,
    update_confirmed,
)

CALL_TIMEOUT_SECONDS = 2.0

_log = logbook.Logger("rollouts")


class RolloutStore:
    """Writes a row only if the stored row is unchanged since it was read."""

    def __init__(
        self, store: ObjectStore, relay: ObjectRelay, now: Callable[[], float]
    ) -> None:
        self._store = store
        self._relay = relay
        self._now = now

    def put(self, row: RolloutRow) -> bool:
        """Write a row; return False on a concurrent write or a platform error.

        The row that is stored afterwards, if known, is relayed to all hosts.
        """
        key, value = rollout_key(row.name), rollout_value(row)
        deadline = Deadline.after(self._now(), CALL_TIMEOUT_SECONDS)
        known = self._relay.get(key)
        if known is None:
            write_result = create_confirmed(self._store, key, value, deadline)
        else:
            write_result = update_confirmed(
                self._store, key, value, known.version, deadline
            )
        if isinstance(write_result, Err):
            _log.warning(
                "storing a rollout failed", error=write_result.err_value.message
            )
            return False
        outcome = write_result.ok_value
        if isinstance(outcome, Written):
            self._relay.apply_newer([outcome.stored])
            return True
        if outcome.current is not None:
            self._relay.apply_newer([outcome.current])
        return False

    def read(self, name: RolloutName) -> Result[RolloutRow | None, PlatformError]:
        """Return the currently stored row, or None if there is none."""
        deadline = Deadline.after(self._now(), CALL_TIMEOUT_SECONDS)
        read_result = self._store.get(rollout_key(name), deadline)
        if isinstance(read_result, Err):
            not_found = read_result.err_value.kind is ErrorKind.NOT_FOUND
            return Ok(None) if not_found else read_result
        self._relay.apply_newer([read_result.ok_value])
        return _parse_row(read_result.ok_value)


def _parse_row(stored: StoredObject) -> Result[RolloutRow | None, PlatformError]:
    row = parse_rollout(stored)
    if row is None:
        message = f"stored rollout {stored.key} is malformed"
        return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
    return Ok(row)
