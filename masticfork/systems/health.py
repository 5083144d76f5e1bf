"""Outlier ejection with a floor, and slow start of servers that come back.

A server is ejected after failures in a row, or when it fails far more often than
the rest of its pool. At most half of a pool is ejected: when most of it fails the
cause is the version, the load or this host, and sending all work to the few that
are left would take them down too. Times grow with each ejection in a row, as in
Envoy's outlier detection.
"""

import collections

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Place, Severity
from masticfork.core.ids import ServerName
from masticfork.core.manifest import BackendServer
from masticfork.core.tables import ServerRow, Tables
from masticfork.systems.outcomes import CallEnd, CallEnds, Outcome

LARGEST_EJECTED_SHARE = 0.5
LEAST_RAMP_WEIGHT = 0.1


@attrs.frozen
class HealthSettings:
    """When a server is ejected, for how long, and how it comes back."""

    failures_in_row: int = 5
    window_seconds: float = 10.0
    window_calls: int = 10
    # Ejected where at least this share fails, and twice the share of the others.
    failed_share: float = 0.5
    times_others: float = 2.0
    first_ejection_seconds: float = 5.0
    longest_ejection_seconds: float = 120.0
    ramp_seconds: float = 30.0


@attrs.define
class _History:
    """What is known of a server's last calls."""

    ends: collections.deque[tuple[float, bool]] = attrs.field(factory=collections.deque)
    failures_in_row: int = 0
    ejections: int = 0

    def failed_share(self) -> float:
        """Return the share of calls in the window that failed."""
        if not self.ends:
            return 0.0
        return sum(failed for _, failed in self.ends) / len(self.ends)


class Health:
    """Ejects servers that fail and lets them back in slowly."""

    def __init__(self, ends: CallEnds, settings: HealthSettings | None = None) -> None:
        self._ends = ends
        self._settings = settings or HealthSettings()
        self._histories: dict[ServerName, _History] = {}

    def run(self, tables: Tables, now: float) -> Findings:
        """Take in the ends of calls, then eject and readmit servers."""
        for end in self._ends.take():
            if end.server in tables.servers:
                self._count(end)
        for name in [name for name in self._histories if name not in tables.servers]:
            del self._histories[name]
        for history in self._histories.values():
            oldest = now - self._settings.window_seconds
            while history.ends and history.ends[0][0] <= oldest:
                history.ends.popleft()
        self._readmit(tables, now)
        findings = [
            finding
            for servers in _groups(tables)
            for finding in self._judge(tables, servers, now)
        ]
        self._show(tables)
        return tuple(findings)

    def _count(self, end: CallEnd) -> None:
        history = self._histories.setdefault(end.server, _History())
        if end.outcome is Outcome.SUCCESS:
            history.failures_in_row = 0
            history.ends.append((end.at, False))
        elif end.outcome is Outcome.FAILED:
            history.failures_in_row += 1
            history.ends.append((end.at, True))

    def _readmit(self, tables: Tables, now: float) -> None:
        """Start the ramp of servers whose ejection has ended, and end old ramps."""
        for name, row in list(tables.servers.items()):
            if row.ejected_until is not None and row.ejected_until.expired(now):
                ramp = Deadline.after(now, self._settings.ramp_seconds)
                row = attrs.evolve(row, ejected_until=None, ramp_until=ramp)
                tables.servers[name] = row
            elif row.ramp_until is not None and row.ramp_until.expired(now):
                tables.servers[name] = attrs.evolve(row, ramp_until=None)
                history = self._histories.get(name)
                if history is not None:
                    history.ejections = 0

    def _judge(
        self, tables: Tables, servers: tuple[BackendServer, ...], now: float
    ) -> list[Finding]:
        rows = [tables.servers[s.name] for s in servers if s.name in tables.servers]
        room = int(len(rows) * LARGEST_EJECTED_SHARE)
        room -= sum(row.ejected_until is not None for row in rows)
        fit = [row for row in rows if row.ejected_until is None and not row.leaving]
        worst = sorted(fit, key=self._failed_share, reverse=True)
        outliers = [row for row in worst if self._is_outlier(row, rows)]
        return [self._eject(tables, row, now) for row in outliers[: max(0, room)]]

    def _is_outlier(self, row: ServerRow, rows: list[ServerRow]) -> bool:
        history = self._histories.get(row.server.name)
        if history is None:
            return False
        settings = self._settings
        if history.failures_in_row >= settings.failures_in_row:
            return True
        if len(history.ends) < settings.window_calls:
            return False
        shares = [self._failed_share(other) for other in rows if other is not row]
        others = sum(shares) / len(shares) if shares else 1.0
        share = history.failed_share()
        return (
            share >= settings.failed_share and share >= settings.times_others * others
        )

    def _eject(self, tables: Tables, row: ServerRow, now: float) -> Finding:
        name = row.server.name
        history = self._histories[name]
        share = history.failed_share()
        settings = self._settings
        seconds = min(
            settings.longest_ejection_seconds,
            settings.first_ejection_seconds * 2.0**history.ejections,
        )
        history.ejections += 1
        history.failures_in_row = 0
        history.ends.clear()
        tables.servers[name] = attrs.evolve(
            row, ejected_until=Deadline.after(now, seconds), ramp_until=None
        )
        message = f"ejected for {seconds:g} s: {share:.0%} of calls failed"
        place = Place("servers", name)
        return Finding("server_ejected", place, message, Severity.WARNING)

    def _failed_share(self, row: ServerRow) -> float:
        history = self._histories.get(row.server.name)
        return 0.0 if history is None else history.failed_share()

    def _show(self, tables: Tables) -> None:
        for name, history in self._histories.items():
            row = tables.servers[name]
            if row.failures_in_row != history.failures_in_row:
                tables.servers[name] = attrs.evolve(
                    row, failures_in_row=history.failures_in_row
                )


def ramp_weight(row: ServerRow, now: float, settings: HealthSettings) -> float:
    """Return the part of its share that a server gets, from LEAST_RAMP_WEIGHT to 1."""
    if row.ramp_until is None:
        return 1.0
    done = 1.0 - row.ramp_until.remaining(now) / settings.ramp_seconds
    return max(LEAST_RAMP_WEIGHT, min(1.0, done))


def _groups(tables: Tables) -> list[tuple[BackendServer, ...]]:
    """Return the servers that stand in for each other."""
    configuration = tables.configuration
    if configuration is None:
        return []
    pools = [pool.servers for pool in configuration.manifest.pools]
    services = [service.servers for service in configuration.manifest.services]
    return [*pools, *services]
