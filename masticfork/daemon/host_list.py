"""Follow the platform's list of live and leaving hosts."""

import threading
from collections.abc import Callable, Iterable

import logbook
from result import Err

from masticfork.core.hosts import ListedHost
from masticfork.core.ids import HostName, ServerName, ZoneName
from masticfork.core.tables import Tables
from masticfork.platform.host_list import ListedAddress, read_host_list

POLL_SECONDS = 1.0
ENTRY_KIND = "entry"

_log = logbook.Logger("hosts")


class HostListPoller:
    """Reads the list on a thread of its own and hands it to membership and tables."""

    def __init__(
        self,
        address: str,
        tables: Tables,
        listed: Callable[[Iterable[ListedHost]], None],
    ) -> None:
        self._address = address
        self._tables = tables
        self._listed = listed
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="hosts", daemon=True)

    def start(self) -> None:
        """Poll in the background."""
        self._thread.start()

    def stop(self) -> None:
        """End after the poll under way."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(POLL_SECONDS):
            read = read_host_list(self._address)
            if isinstance(read, Err):
                # What was last known stays: an outage makes no host live or leaving.
                _log.debug("host list not read", error=read.err_value.message)
                continue
            self._take(read.ok_value)

    def _take(self, rows: tuple[ListedAddress, ...]) -> None:
        self._listed(
            ListedHost(HostName(r.name), ZoneName(r.zone), r.address, r.leaving)
            for r in rows
            if r.kind == ENTRY_KIND
        )
        leaving = (r.name for r in rows if r.kind != ENTRY_KIND and r.leaving)
        self._tables.listed_leaving = frozenset(map(ServerName, leaving))
