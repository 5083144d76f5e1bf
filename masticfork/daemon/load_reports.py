"""Poll engines for their load and for changes of their prefix caches."""

import collections
import threading
from collections.abc import Callable
from concurrent.futures import Executor

import attrs
from result import Err

from masticfork.backends.engine import EngineClient
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.core.ids import HostName, ServerName, digest
from masticfork.core.manifest import BackendServer
from masticfork.core.tables import Tables
from masticfork.systems.prefixes import PrefixTable

POLL_INTERVAL_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 0.5
# Maximum number of engines that one host polls, to bound its cost in a large fleet.
MAX_POLLED_ENGINES = 16


@attrs.frozen
class LoadReport:
    """The load of one engine, as the engine reports it."""

    server: ServerName
    running: int
    queued: int
    # Time of the response, in seconds since the Unix epoch.
    at: float


class LoadReportPoller:
    """Polls engines on background threads; updates the tables in the tick."""

    def __init__(
        self,
        engines: EngineClient,
        prefixes: PrefixTable,
        background: Executor,
        now: Callable[[], float],
    ) -> None:
        self._engines = engines
        self._prefixes = prefixes
        # Number of the last cache event read from each engine.
        self._last_cache_events: dict[ServerName, int] = {}
        self._background = background
        self._now = now
        self._next_poll = Deadline(0.0)
        self._lock = threading.Lock()
        self._polls_in_progress: set[ServerName] = set()
        self._reports: collections.deque[LoadReport] = collections.deque(maxlen=1000)

    def run(self, tables: Tables, now: float) -> Findings:
        """Apply received reports, and poll the engines when the interval is over."""
        while self._reports:
            _apply_report(tables, self._reports.popleft())
        if self._next_poll.expired(now):
            self._next_poll = Deadline.after(now, POLL_INTERVAL_SECONDS)
            for server in _engines_to_poll(tables):
                self._start_poll(server)
        return ()

    def _start_poll(self, server: BackendServer) -> None:
        with self._lock:
            # At most one poll per engine at a time, also if it does not respond.
            if server.name in self._polls_in_progress:
                return
            self._polls_in_progress.add(server.name)
        self._background.submit(self._poll, server)

    def _poll(self, server: BackendServer) -> None:
        try:
            deadline = Deadline.after(self._now(), CALL_TIMEOUT_SECONDS)
            load = self._engines.load(server, deadline)
            self._read_cache_events(server, deadline)
        finally:
            with self._lock:
                self._polls_in_progress.discard(server.name)
        if isinstance(load, Err):
            return
        running, queued = load.ok_value.get("running"), load.ok_value.get("queued")
        if isinstance(running, int) and isinstance(queued, int):
            report = LoadReport(server.name, running, queued, self._now())
            self._reports.append(report)

    def _read_cache_events(self, server: BackendServer, deadline: Deadline) -> None:
        after = self._last_cache_events.get(server.name, 0)
        response = self._engines.cache_events(server, after, deadline)
        if isinstance(response, Err):
            return
        events = response.ok_value
        self._last_cache_events[server.name] = events.next_event_number
        self._prefixes.stored(server.name, events.stored)
        self._prefixes.removed(server.name, events.removed)


def _apply_report(tables: Tables, report: LoadReport) -> None:
    row = tables.servers.get(report.server)
    if row is not None:
        tables.servers[report.server] = attrs.evolve(
            row,
            reported_running=report.running,
            reported_queued=report.queued,
            reported_at=report.at,
        )


def _engines_to_poll(tables: Tables) -> list[BackendServer]:
    configuration = tables.configuration
    if configuration is None:
        return []
    engines = [s for pool in configuration.manifest.pools for s in pool.servers]
    if len(engines) <= MAX_POLLED_ENGINES:
        return engines
    me = tables.me.host
    return sorted(engines, key=lambda server: _rank(me, server))[:MAX_POLLED_ENGINES]


def _rank(host: HostName, server: BackendServer) -> str:
    return digest("load", host, server.name)
