"""Apply objects that all hosts share through the platform to the tables."""

import cattrs
import logbook
from cattrs.preconf.json import make_converter

from masticfork.admin.drains import DRAIN_PREFIX, parse_drain
from masticfork.core.ids import RolloutName
from masticfork.core.rollouts import RolloutRow
from masticfork.core.tables import Drain, Tables
from masticfork.store.client import JsonObject, StoredObject
from masticfork.systems.rollout_usage import RolloutUsage

ROLLOUT_PREFIX = "shared/rollouts/"

_CONVERTER = make_converter()
_log = logbook.Logger("shared")


def rollout_key(name: RolloutName) -> str:
    """Return the object key of a rollout's row."""
    return f"{ROLLOUT_PREFIX}{name}"


def rollout_value(row: RolloutRow) -> JsonObject:
    """Return a rollout's row as a JSON object to store."""
    value: JsonObject = _CONVERTER.unstructure(row)
    return value


def parse_rollout(stored: StoredObject) -> RolloutRow | None:
    """Return the rollout row of a stored object, or None if it is malformed."""
    try:
        return _CONVERTER.structure(stored.value, RolloutRow)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError):
        return None


class SharedObjectApplier:
    """Applies the latest version of each shared object to the tables."""

    def __init__(self, tables: Tables, usage: RolloutUsage) -> None:
        self._tables = tables
        self._usage = usage

    def __call__(self, stored: StoredObject) -> None:
        """Apply one object to its table; log and skip a malformed one."""
        if stored.key.startswith(ROLLOUT_PREFIX):
            self._apply_rollout(stored)
        elif stored.key.startswith(DRAIN_PREFIX):
            self._apply_drain(stored)

    def _apply_rollout(self, stored: StoredObject) -> None:
        row = parse_rollout(stored)
        if row is None:
            _log.error("malformed rollout row", key=stored.key)
            return
        self._tables.rollouts[row.name] = row
        self._usage.drop_if_ended(row)

    def _apply_drain(self, stored: StoredObject) -> None:
        view = parse_drain(stored)
        if view is None:
            _log.error("malformed drain", key=stored.key)
            return
        drain = Drain(view.kind, view.name)
        if view.active:
            self._tables.drains |= {drain}
        else:
            self._tables.drains -= {drain}
