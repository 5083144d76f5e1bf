"""Keep the rows of roll-outs at the platform."""

from collections.abc import Callable

import logbook
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import RolloutName
from masticfork.core.rollouts import RolloutRow
from masticfork.daemon.shared import parse_rollout, rollout_key, rollout_value
from masticfork.peers.object_relay import ObjectRelay
from masticfork.store.client import (
    ErrorKind,
    ObjectStore,
    PlatformError,
    StoredObject,
)
from masticfork.store.settle import Written, create_settled, update_settled

WRITE_SECONDS = 2.0

_log = logbook.Logger("rollouts")


class RolloutStore:
    """Writes a row on the condition that the row it came from still stands."""

    def __init__(
        self, store: ObjectStore, relay: ObjectRelay, now: Callable[[], float]
    ) -> None:
        self._store = store
        self._relay = relay
        self._now = now

    def put(self, row: RolloutRow) -> bool:
        """Write a row; false where another came first or the platform failed.

        What stands afterwards, as far as it is known, is passed on to all hosts.
        """
        key, value = rollout_key(row.name), rollout_value(row)
        deadline = Deadline.after(self._now(), WRITE_SECONDS)
        known = self._relay.get(key)
        if known is None:
            settled = create_settled(self._store, key, value, deadline)
        else:
            settled = update_settled(self._store, key, value, known.version, deadline)
        if isinstance(settled, Err):
            _log.warning("roll-out is not stored", error=settled.err_value.message)
            return False
        outcome = settled.ok_value
        if isinstance(outcome, Written):
            self._relay.offer([outcome.stored])
            return True
        if outcome.current is not None:
            self._relay.offer([outcome.current])
        return False

    def read(self, name: RolloutName) -> Result[RolloutRow | None, PlatformError]:
        """Return the row as the platform has it now, none where there is none."""
        deadline = Deadline.after(self._now(), WRITE_SECONDS)
        found = self._store.get(rollout_key(name), deadline)
        if isinstance(found, Err):
            missing = found.err_value.kind is ErrorKind.NOT_FOUND
            return Ok(None) if missing else found
        self._relay.offer([found.ok_value])
        return _parsed(found.ok_value)


def _parsed(stored: StoredObject) -> Result[RolloutRow | None, PlatformError]:
    row = parse_rollout(stored)
    if row is None:
        message = f"{stored.key} is malformed"
        return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
    return Ok(row)
