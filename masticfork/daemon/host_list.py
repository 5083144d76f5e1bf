"""Poll the platform's list of live and leaving hosts and servers."""

from collections.abc import Callable, Iterable

import logbook
from result import Err

from masticfork.core.hosts import ListedHost
from masticfork.core.ids import HostName, ServerName, ZoneName
from masticfork.core.tables import Tables
from masticfork.daemon.loops import Loop
from masticfork.store.host_list import ListedAddress, read_host_list

POLL_INTERVAL_SECONDS = 1.0
ENTRY_HOST_KIND = "entry"

_log = logbook.Logger("hosts")


class HostListPoller:
    """Polls the list; reports entry hosts to a callback and servers to the tables."""

    def __init__(
        self,
        address: str,
        tables: Tables,
        on_listed: Callable[[Iterable[ListedHost]], None],
    ) -> None:
        self._address = address
        self._tables = tables
        self._on_listed = on_listed
        self.loop = Loop("hosts", POLL_INTERVAL_SECONDS, self._step)

    def _step(self) -> None:
        read = read_host_list(self._address)
        if isinstance(read, Err):
            # Keep the last known list: an outage must not mark hosts live or leaving.
            _log.debug("reading the host list failed", error=read.err_value.message)
            return
        self._apply(read.ok_value)

    def _apply(self, rows: tuple[ListedAddress, ...]) -> None:
        self._on_listed(
            ListedHost(HostName(r.name), ZoneName(r.zone), r.address, r.leaving)
            for r in rows
            if r.kind == ENTRY_HOST_KIND
        )
        leaving = (r.name for r in rows if r.kind != ENTRY_HOST_KIND and r.leaving)
        self._tables.listed_leaving = frozenset(map(ServerName, leaving))
