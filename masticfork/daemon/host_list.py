"""Follow the platform's list of live and leaving hosts."""

from collections.abc import Callable, Iterable

import logbook
from result import Err

from masticfork.core.hosts import ListedHost
from masticfork.core.ids import HostName, ServerName, ZoneName
from masticfork.core.tables import Tables
from masticfork.daemon.loops import Loop
from masticfork.store.host_list import ListedAddress, read_host_list

POLL_SECONDS = 1.0
ENTRY_KIND = "entry"

_log = logbook.Logger("hosts")


class HostListPoller:
    """Reads the list and hands it to membership and tables."""

    def __init__(
        self,
        address: str,
        tables: Tables,
        listed: Callable[[Iterable[ListedHost]], None],
    ) -> None:
        self._address = address
        self._tables = tables
        self._listed = listed
        self.loop = Loop("hosts", POLL_SECONDS, self._step)

    def _step(self) -> None:
        read = read_host_list(self._address)
        if isinstance(read, Err):
            # What was last known stays: an outage makes no host live or leaving.
            _log.debug("host list not read", error=read.err_value.message)
            return
        self._take(read.ok_value)

    def _take(self, rows: tuple[ListedAddress, ...]) -> None:
        self._listed(
            ListedHost(HostName(r.name), ZoneName(r.zone), r.address, r.leaving)
            for r in rows
            if r.kind == ENTRY_KIND
        )
        leaving = (r.name for r in rows if r.kind != ENTRY_KIND and r.leaving)
        self._tables.listed_leaving = frozenset(map(ServerName, leaving))
