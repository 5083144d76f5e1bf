"""Read shared platform objects into the tables."""

import cattrs
import logbook
from cattrs.preconf.json import make_converter

from masticfork.admin.drains import DRAIN_PREFIX, drain_of
from masticfork.core.ids import RolloutName
from masticfork.core.rollouts import RolloutRow
from masticfork.core.tables import Drain, Tables
from masticfork.store.client import JsonObject, StoredObject
from masticfork.systems.rollout_usage import RolloutUsage

ROLLOUT_PREFIX = "shared/rollouts/"

_CONVERTER = make_converter()
_log = logbook.Logger("shared")


def rollout_key(name: RolloutName) -> str:
    """Return the key of a roll-out's row."""
    return f"{ROLLOUT_PREFIX}{name}"


def rollout_value(row: RolloutRow) -> JsonObject:
    """Return a roll-out's row as the value of its object."""
    value: JsonObject = _CONVERTER.unstructure(row)
    return value


def parse_rollout(stored: StoredObject) -> RolloutRow | None:
    """Read a roll-out's row; none where the object is malformed."""
    try:
        return _CONVERTER.structure(stored.value, RolloutRow)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError):
        return None


class SharedTables:
    """Applies the newest version of each shared object."""

    def __init__(self, tables: Tables, usage: RolloutUsage) -> None:
        self._tables = tables
        self._usage = usage

    def __call__(self, stored: StoredObject) -> None:
        """Put one object into its table; a malformed one is logged and left out."""
        if stored.key.startswith(ROLLOUT_PREFIX):
            self._apply_rollout(stored)
        elif stored.key.startswith(DRAIN_PREFIX):
            self._apply_drain(stored)

    def _apply_rollout(self, stored: StoredObject) -> None:
        row = parse_rollout(stored)
        if row is None:
            _log.error("roll-out row is malformed", key=stored.key)
            return
        self._tables.rollouts[row.name] = row
        self._usage.observe(row)

    def _apply_drain(self, stored: StoredObject) -> None:
        view = drain_of(stored)
        if view is None:
            _log.error("drain is malformed", key=stored.key)
            return
        drain = Drain(view.kind, view.name)
        if view.active:
            self._tables.drains |= {drain}
        else:
            self._tables.drains -= {drain}
