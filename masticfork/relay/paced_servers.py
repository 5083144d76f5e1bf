"""Paces requests to servers that have just started or recovered."""

from collections.abc import Callable, Iterable

from masticfork.core.digests import PaceReport
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.tables import ServerRow, Tables
from masticfork.systems.server_pace import ColdLimits

# Time after its start in which a host sends nothing to paced servers: until it has
# heard the others, it would take the part of several hosts.
JOIN_SECONDS = 2.0
# Fraction of the route's target latency within which an answer begins in time: after it
# the call can still be repeated within the target.
TIMELY_TARGET_SHARE = 0.5
# Multiple of the delay that the loads explain, within which an answer is in time too: a
# server that is as late as all others is not slow.
TIMELY_EXPECTED_FACTOR = 2.0


class PacedServers:
    """Begins, adapts and ends the paces of the servers in the tables."""

    def __init__(
        self,
        loop: Loop,
        tables: Tables,
        metrics: RelayMetrics,
        log: Callable[..., None],
    ) -> None:
        self._loop = loop
        self._tables = tables
        self._metrics = metrics
        self._log = log
        self._joins_at = loop.now + JOIN_SECONDS
        self._own_host = ""
        self._hosts = frozenset({""})
        # By the key of the incarnation.
        self._rows: dict[int, ServerRow] = {}

    def on_server_read(self, row: ServerRow, started: bool) -> None:
        """Pace a server whose entry tells that it is cold, or that has `started`."""
        cold_seconds = row.server.cold_remaining
        if started or cold_seconds > 0.0:
            self._begin(row, cold_seconds, "started" if started else "cold")

    def on_zone_taken_back(self, zone: str) -> None:
        """Pace the servers of a zone, which may have become cold meanwhile."""
        for row in self._tables.rows:
            if row.server.zone == zone:
                self._begin(row, self._limits(row).seconds, "zone taken back")

    def on_unreachable(self, row: ServerRow) -> None:
        """Pace a server that accepts no connections, for when it is back."""
        self._begin(row, 0.0, "unreachable")

    def record_answer(self, row: ServerRow, timely: bool, sent_at: float) -> None:
        """Adapt the pace of a server to an answer, or to a failure."""
        pace = row.notice.pace
        if pace.paced:
            pace.record_answer(timely, sent_at, self._loop.now)
            if not timely:
                self._log(
                    "server pace lowered",
                    server=row.server.id,
                    window=pace.window,
                )

    def run(self, own_host: str, hosts: frozenset[str]) -> None:
        """Divide the paces among the known hosts, and end those that are over."""
        self._own_host, self._hosts = own_host, hosts
        now = self._loop.now
        for key, row in list(self._rows.items()):
            if row.notice.pace.run(now):
                del self._rows[key]
                self._log("server pace ended", server=row.server.id)
            else:
                self._divide(row)
        self._metrics.paced_servers.set(len(self._rows))

    @property
    def reports(self) -> tuple[PaceReport, ...]:
        """Return the paced servers whose answers were late."""
        now = self._loop.now
        reports = (row.notice.pace.report(key, now) for key, row in self._rows.items())
        return tuple(report for report in reports if report is not None)

    def apply(self, reports: Iterable[PaceReport]) -> None:
        """Apply that answers of paced servers to another host were late."""
        for report in reports:
            row = self._rows.get(report.key)
            if row is not None:
                row.notice.pace.apply(report, self._loop.now)

    def _begin(self, row: ServerRow, cold_seconds: float, why: str) -> None:
        limits, pace = self._limits(row), row.notice.pace
        now = self._loop.now
        if not pace.begin(limits, row.server.slots, cold_seconds, now):
            return
        self._rows[row.notice.key] = row
        self._divide(row)
        self._metrics.paces.labels(why).inc()
        self._log(
            "server paced",
            server=row.server.id,
            why=why,
            cold=round(max(0.0, pace.cold_until - now), 3),
            hosts=len(self._hosts),
        )

    def _divide(self, row: ServerRow) -> None:
        now, pace = self._loop.now, row.notice.pace
        if now < self._joins_at:
            pace.exclude()
        else:
            pace.divide(row.notice.key, self._own_host, self._hosts, now)

    def _limits(self, row: ServerRow) -> ColdLimits:
        table = self._tables.routes
        service = None if table is None else table.services.get(row.server.service)
        if service is None:
            return ColdLimits()
        return ColdLimits(service.cold_rate, service.cold_seconds)
