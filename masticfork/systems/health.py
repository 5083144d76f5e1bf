"""Outlier ejection of failing servers, and slow start of readmitted ones.

A server is ejected after consecutive failures, or when its failure rate is far above
that of the rest of its pool. At most half of a pool is ejected: if most of it fails,
the cause is the version, the load or this host, and sending all work to the remaining
servers would overload them too. The ejection time doubles with each ejection until the
server has completed a slow start, similar to Envoy's outlier detection.
"""

import collections

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Severity, SourceLocation
from masticfork.core.ids import ServerName
from masticfork.core.manifest import BackendServer
from masticfork.core.tables import ServerRow, Tables
from masticfork.systems.outcomes import CallResult, CallResults, Outcome

MAX_EJECTED_SHARE = 0.5
MIN_RAMP_WEIGHT = 0.1


@attrs.frozen
class HealthSettings:
    """Ejection thresholds, ejection times and the length of the slow start."""

    consecutive_failures: int = 5
    window_seconds: float = 10.0
    min_window_calls: int = 10
    # Both must hold: the minimum failure rate, and this multiple of the mean failure
    # rate of the other servers of the pool.
    min_failure_rate: float = 0.5
    pool_failure_multiple: float = 2.0
    initial_ejection_seconds: float = 5.0
    max_ejection_seconds: float = 120.0
    ramp_seconds: float = 30.0


@attrs.define
class _History:
    """Outcomes of a server's recent calls, and its number of ejections."""

    # Time and whether the call failed, oldest first.
    ends: collections.deque[tuple[float, bool]] = attrs.field(factory=collections.deque)
    consecutive_failures: int = 0
    ejections: int = 0

    def failure_rate(self) -> float:
        """Return the share of failed calls in the window, 0 if there are no calls."""
        if not self.ends:
            return 0.0
        return sum(failed for _, failed in self.ends) / len(self.ends)


class OutlierEjection:
    """Eject failing servers and readmit them with a slow start."""

    def __init__(
        self, ends: CallResults, settings: HealthSettings | None = None
    ) -> None:
        self._ends = ends
        self._settings = settings or HealthSettings()
        self._histories: dict[ServerName, _History] = {}

    def run(self, tables: Tables, now: float) -> Findings:
        """Process finished calls, then readmit and eject servers."""
        for end in self._ends.take_all():
            if end.server in tables.servers:
                self._record_outcome(end)
        for name in [name for name in self._histories if name not in tables.servers]:
            del self._histories[name]
        for history in self._histories.values():
            oldest = now - self._settings.window_seconds
            while history.ends and history.ends[0][0] <= oldest:
                history.ends.popleft()
        self._readmit(tables, now)
        findings = [
            finding
            for servers in _server_groups(tables)
            for finding in self._eject_outliers(tables, servers, now)
        ]
        self._publish_failure_counts(tables)
        return tuple(findings)

    def _record_outcome(self, end: CallResult) -> None:
        history = self._histories.setdefault(end.server, _History())
        if end.outcome is Outcome.SUCCESS:
            history.consecutive_failures = 0
            history.ends.append((end.at, False))
        elif end.outcome is Outcome.FAILED:
            history.consecutive_failures += 1
            history.ends.append((end.at, True))

    def _readmit(self, tables: Tables, now: float) -> None:
        """Start the slow start of servers whose ejection expired; end expired ones."""
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

    def _eject_outliers(
        self, tables: Tables, servers: tuple[BackendServer, ...], now: float
    ) -> list[Finding]:
        rows = [tables.servers[s.name] for s in servers if s.name in tables.servers]
        allowance = int(len(rows) * MAX_EJECTED_SHARE)
        allowance -= sum(row.ejected_until is not None for row in rows)
        candidates = [
            row for row in rows if row.ejected_until is None and not row.leaving
        ]
        by_failure_rate = sorted(candidates, key=self._failure_rate, reverse=True)
        outliers = [row for row in by_failure_rate if self._is_outlier(row, rows)]
        return [self._eject(tables, row, now) for row in outliers[: max(0, allowance)]]

    def _is_outlier(self, row: ServerRow, rows: list[ServerRow]) -> bool:
        history = self._histories.get(row.server.name)
        if history is None:
            return False
        settings = self._settings
        if history.consecutive_failures >= settings.consecutive_failures:
            return True
        if len(history.ends) < settings.min_window_calls:
            return False
        other_rates = [self._failure_rate(other) for other in rows if other is not row]
        mean_other_rate = sum(other_rates) / len(other_rates) if other_rates else 1.0
        rate = history.failure_rate()
        return (
            rate >= settings.min_failure_rate
            and rate >= settings.pool_failure_multiple * mean_other_rate
        )

    def _eject(self, tables: Tables, row: ServerRow, now: float) -> Finding:
        name = row.server.name
        history = self._histories[name]
        rate = history.failure_rate()
        settings = self._settings
        seconds = min(
            settings.max_ejection_seconds,
            settings.initial_ejection_seconds * 2.0**history.ejections,
        )
        history.ejections += 1
        history.consecutive_failures = 0
        history.ends.clear()
        tables.servers[name] = attrs.evolve(
            row, ejected_until=Deadline.after(now, seconds), ramp_until=None
        )
        message = f"ejected for {seconds:g} s: {rate:.0%} of calls failed"
        place = SourceLocation("servers", name)
        return Finding("server_ejected", place, message, Severity.WARNING)

    def _failure_rate(self, row: ServerRow) -> float:
        history = self._histories.get(row.server.name)
        return 0.0 if history is None else history.failure_rate()

    def _publish_failure_counts(self, tables: Tables) -> None:
        for name, history in self._histories.items():
            row = tables.servers[name]
            if row.consecutive_failures != history.consecutive_failures:
                tables.servers[name] = attrs.evolve(
                    row, consecutive_failures=history.consecutive_failures
                )


def ramp_weight(row: ServerRow, now: float, settings: HealthSettings) -> float:
    """Return a server's slow-start weight, from MIN_RAMP_WEIGHT to 1.

    The weight grows linearly over `settings.ramp_seconds`.
    """
    if row.ramp_until is None:
        return 1.0
    progress = 1.0 - row.ramp_until.remaining(now) / settings.ramp_seconds
    return max(MIN_RAMP_WEIGHT, min(1.0, progress))


def _server_groups(tables: Tables) -> list[tuple[BackendServer, ...]]:
    """Return the servers of each pool and each service."""
    configuration = tables.configuration
    if configuration is None:
        return []
    pools = [pool.servers for pool in configuration.manifest.pools]
    services = [service.servers for service in configuration.manifest.services]
    return [*pools, *services]
