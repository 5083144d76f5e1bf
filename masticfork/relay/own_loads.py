"""Counts this host's calls at each server, and tells the other hosts of them."""

from collections.abc import Callable

from masticfork.core.digests import LoadShare
from masticfork.relay.exchange import CallRecord
from masticfork.relay.session_versions import short_key
from masticfork.relay.tables import ServerRow, Tables


class OwnLoads:
    """Keeps the loads of the servers' rows as calls begin, are read and end."""

    def __init__(self, tables: Tables, on_change: Callable[[], None]) -> None:
        self._tables = tables
        # Called with each change.
        self._on_change = on_change
        self._changed: dict[str, ServerRow] = {}

    def begin(self, record: CallRecord) -> None:
        """Count a call that is sent."""
        load = record.row.load
        load.running += 1
        load.busy += record.work.pace
        load.pending_work += record.unread
        self._note(record.row)

    def read(self, record: CallRecord) -> None:
        """Count the prompt of a call as read: its answer has begun."""
        if record.unread:
            record.row.load.pending_work -= record.unread
            record.unread = 0.0
            self._note(record.row)

    def end(self, record: CallRecord) -> None:
        """Count a call as ended."""
        self.read(record)
        load = record.row.load
        load.running -= 1
        load.busy -= record.work.pace
        self._note(record.row)

    def take_all(self) -> dict[int, LoadShare]:
        """Return the load of each server that has calls; they count as told."""
        self._changed.clear()
        rows = (row for row in self._tables.rows if row.load.running)
        return {short_key(row.server.id): _share(row) for row in rows}

    def take_changed(self) -> dict[int, LoadShare]:
        """Return the loads that changed since they were told last."""
        changed, self._changed = self._changed, {}
        return {short_key(name): _share(row) for name, row in changed.items()}

    def _note(self, row: ServerRow) -> None:
        self._changed[row.server.id] = row
        self._on_change()


def _share(row: ServerRow) -> LoadShare:
    load = row.load
    return LoadShare(load.running, load.busy, load.pending_work)
