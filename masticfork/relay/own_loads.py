"""Loads of this host's calls at each server, as reported to the other hosts."""

from collections.abc import Callable

from masticfork.core.digests import HostLoad
from masticfork.core.ids import short_key
from masticfork.relay.exchange import CallRecord
from masticfork.relay.tables import ServerRow, Tables


class OwnLoads:
    """Updates the loads of server rows as calls begin, are answered and end."""

    def __init__(self, tables: Tables, on_change: Callable[[], None]) -> None:
        self._tables = tables
        # Called after each change of a load.
        self._on_change = on_change
        self._changed: dict[str, ServerRow] = {}

    def begin(self, record: CallRecord) -> None:
        """Add a call that is sent to the load of its server."""
        load = record.row.load
        load.running += 1
        load.weighted_running += record.work.token_cost
        load.pending_work += record.pending_prompt_work
        self._mark_changed(record.row)

    def read(self, record: CallRecord) -> None:
        """Subtract the prompt of a call, as its response has begun."""
        if record.pending_prompt_work:
            record.row.load.pending_work -= record.pending_prompt_work
            record.pending_prompt_work = 0.0
            self._mark_changed(record.row)

    def end(self, record: CallRecord) -> None:
        """Subtract a call that has ended."""
        self.read(record)
        load = record.row.load
        load.running -= 1
        load.weighted_running -= record.work.token_cost
        self._mark_changed(record.row)

    def take_all(self) -> dict[int, HostLoad]:
        """Return the loads of all servers with running calls and clear the changes."""
        self._changed.clear()
        rows = (row for row in self._tables.rows if row.load.running)
        return {short_key(row.server.id): _share(row) for row in rows}

    def take_changed(self) -> dict[int, HostLoad]:
        """Return the loads that changed since either `take` method was last called."""
        changed, self._changed = self._changed, {}
        return {short_key(name): _share(row) for name, row in changed.items()}

    def _mark_changed(self, row: ServerRow) -> None:
        self._changed[row.server.id] = row
        self._on_change()


def _share(row: ServerRow) -> HostLoad:
    load = row.load
    return HostLoad(load.running, load.weighted_running, load.pending_work)
