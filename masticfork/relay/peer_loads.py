"""Totals of the calls that other hosts have in progress at each server."""

import attrs

from masticfork.core.digests import HostLoad
from masticfork.core.ids import short_key
from masticfork.relay.tables import ServerRow, Tables


@attrs.define
class _Total:
    running: int = 0
    weighted_running: float = 0.0
    pending_work: float = 0.0


class PeerLoads:
    """Maintains the totals and copies them to the rows of the servers."""

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self._totals: dict[int, _Total] = {}

    def count(self, server: int, share: HostLoad, sign: int) -> None:
        """Add (sign 1) or subtract (sign -1) one host's calls at a server.

        Servers are identified by the `short_key` of their identifiers.
        """
        total = self._totals.get(server)
        if total is None:
            total = self._totals[server] = _Total()
        total.running += sign * share.running
        total.weighted_running += sign * share.weighted_running
        total.pending_work += sign * share.pending_work
        row = self._tables.row_by_key(server)
        if row is not None:
            _copy_to_row(total, row)
        if total.running <= 0 and total.pending_work <= 0.0:
            del self._totals[server]

    def refresh(self) -> None:
        """Copy all totals, also to the rows of servers that were added since."""
        for row in self._tables.rows:
            total = self._totals.get(short_key(row.server.id), _Total())
            _copy_to_row(total, row)


def _copy_to_row(total: _Total, row: ServerRow) -> None:
    """Copy a total; subtraction can leave rounding errors slightly below zero."""
    load = row.load
    load.running_elsewhere = total.running if total.running > 0 else 0
    load.weighted_running_elsewhere = (
        total.weighted_running if total.weighted_running > 0.0 else 0.0
    )
    load.pending_elsewhere = total.pending_work if total.pending_work > 0.0 else 0.0
