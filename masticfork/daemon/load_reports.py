"""Read what engines report of their load and of their prefix caches."""

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

ROUND_SECONDS = 1.0
CALL_SECONDS = 0.5
# Engines that one host asks, so that its cost does not grow with the fleet.
MAX_ENGINES = 16


@attrs.frozen
class LoadReport:
    """What one engine told of its load."""

    server: ServerName
    running: int
    queued: int
    # When the answer came, in seconds since the Unix epoch.
    at: float


class LoadReports:
    """Asks in the background and writes the table in the tick."""

    def __init__(
        self,
        engines: EngineClient,
        prefixes: PrefixTable,
        background: Executor,
        now: Callable[[], float],
    ) -> None:
        self._engines = engines
        self._prefixes = prefixes
        # The last cache event seen of each engine.
        self._seen: dict[ServerName, int] = {}
        self._background = background
        self._now = now
        self._next_round = Deadline(0.0)
        self._lock = threading.Lock()
        self._asked: set[ServerName] = set()
        self._reports: collections.deque[LoadReport] = collections.deque(maxlen=1000)

    def run(self, tables: Tables, now: float) -> Findings:
        """Take in reports, and ask again when it is time."""
        while self._reports:
            _apply(tables, self._reports.popleft())
        if self._next_round.expired(now):
            self._next_round = Deadline.after(now, ROUND_SECONDS)
            for server in _to_ask(tables):
                self._ask(server)
        return ()

    def _ask(self, server: BackendServer) -> None:
        with self._lock:
            # An engine that does not answer is not asked twice at once.
            if server.name in self._asked:
                return
            self._asked.add(server.name)
        self._background.submit(self._read, server)

    def _read(self, server: BackendServer) -> None:
        try:
            deadline = Deadline.after(self._now(), CALL_SECONDS)
            read = self._engines.load(server, deadline)
            self._read_cache(server, deadline)
        finally:
            with self._lock:
                self._asked.discard(server.name)
        if isinstance(read, Err):
            return
        running, queued = read.ok_value.get("running"), read.ok_value.get("queued")
        if isinstance(running, int) and isinstance(queued, int):
            report = LoadReport(server.name, running, queued, self._now())
            self._reports.append(report)

    def _read_cache(self, server: BackendServer, deadline: Deadline) -> None:
        after = self._seen.get(server.name, 0)
        read = self._engines.cache_events(server, after, deadline)
        if isinstance(read, Err):
            return
        events = read.ok_value
        self._seen[server.name] = events.following
        self._prefixes.stored(server.name, events.stored)
        self._prefixes.removed(server.name, events.removed)


def _apply(tables: Tables, report: LoadReport) -> None:
    row = tables.servers.get(report.server)
    if row is not None:
        tables.servers[report.server] = attrs.evolve(
            row,
            reported_running=report.running,
            reported_queued=report.queued,
            reported_at=report.at,
        )


def _to_ask(tables: Tables) -> list[BackendServer]:
    configuration = tables.configuration
    if configuration is None:
        return []
    engines = [s for pool in configuration.manifest.pools for s in pool.servers]
    if len(engines) <= MAX_ENGINES:
        return engines
    me = tables.me.host
    return sorted(engines, key=lambda server: _rank(me, server))[:MAX_ENGINES]


def _rank(host: HostName, server: BackendServer) -> str:
    return digest("load", host, server.name)
