"""Adds up the calls that other hosts have at each server."""

import attrs

from masticfork.core.digests import LoadShare
from masticfork.relay.session_versions import short_key
from masticfork.relay.tables import Tables


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

    def count(self, server: int, share: LoadShare, sign: int) -> None:
        """Add one host's calls at a server, or take them back."""
        total = self._sums.setdefault(server, _Sum())
        total.running += sign * share.running
        total.busy += sign * share.busy
        total.pending_work += sign * share.pending_work
        if total.running <= 0 and total.pending_work <= 0.0:
            del self._sums[server]

    def apply(self) -> None:
        """Copy the sums to the servers."""
        for row in self._tables.rows:
            total = self._sums.get(short_key(row.server.id))
            row.load.running_elsewhere = 0 if total is None else total.running
            row.load.busy_elsewhere = 0.0 if total is None else total.busy
            row.load.pending_elsewhere = 0.0 if total is None else total.pending_work
