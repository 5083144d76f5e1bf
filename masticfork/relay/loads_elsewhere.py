"""Adds up the calls that other hosts have at each server."""

import attrs

from masticfork.core.digests import LoadShare
from masticfork.relay.session_versions import short_key
from masticfork.relay.tables import ServerRow, Tables


@attrs.define
class _Sum:
    running: int = 0
    busy: float = 0.0
    pending_work: float = 0.0


class LoadsElsewhere:
    """Keeps the sums, and copies them to the rows of the servers."""

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self._sums: dict[int, _Sum] = {}
        self._rows: dict[int, ServerRow] = {}

    def count(self, server: int, share: LoadShare, sign: int) -> None:
        """Add one host's calls at a server, or take them back."""
        total = self._sums.setdefault(server, _Sum())
        total.running += sign * share.running
        total.busy += sign * share.busy
        total.pending_work += sign * share.pending_work
        row = self._rows.get(server)
        if row is not None:
            _copy(total, row)
        if total.running <= 0 and total.pending_work <= 0.0:
            del self._sums[server]

    def refresh(self) -> None:
        """Take in servers that are new."""
        self._rows = {short_key(row.server.id): row for row in self._tables.rows}
        for server, row in self._rows.items():
            _copy(self._sums.get(server, _Sum()), row)


def _copy(total: _Sum, row: ServerRow) -> None:
    """Copy a sum; taking back what was added leaves rounding errors around zero."""
    row.load.running_elsewhere = max(0, total.running)
    row.load.busy_elsewhere = max(0.0, total.busy)
    row.load.pending_elsewhere = max(0.0, total.pending_work)
