"""Back off from backend servers that are unreachable or refuse calls.

The platform's server list lags behind, so this host also relies on the outcomes of
its own calls: after consecutive connection failures or refusals a server gets no new
work, whatever the list says. Unlike outlier ejection, back-off may exclude a whole
pool: a call that cannot connect or is refused never runs, so sending it gains nothing,
even if the cause is that this host is partitioned from the network.
"""

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Severity, SourceLocation
from masticfork.core.ids import ServerName
from masticfork.core.tables import ServerRow, Tables
from masticfork.systems.outcomes import CallResult, CallResults, Outcome

# One failed connection may be a lost packet, and one refusal may be a full queue.
UNREACHABLE_THRESHOLD = 2
REFUSED_THRESHOLD = 3
# The back-off doubles each time. An unreachable server is also retried as soon as it
# reports its load.
INITIAL_BACKOFF_SECONDS = 1.0
MAX_UNREACHABLE_BACKOFF_SECONDS = 30.0
MAX_REFUSED_BACKOFF_SECONDS = 5.0


@attrs.frozen
class _FailureStreak:
    """Consecutive calls to one server that failed with the same outcome."""

    outcome: Outcome
    length: int
    last_at: float
    backoffs: int = 0


class CallFailureBackoff:
    """Exclude servers whose latest calls were unreachable or refused."""

    def __init__(self, ends: CallResults) -> None:
        self._ends = ends
        self._streaks: dict[ServerName, _FailureStreak] = {}

    def run(self, tables: Tables, now: float) -> Findings:
        """Process finished calls, then start or end back-offs."""
        self._streaks = {
            name: streak
            for name, streak in self._streaks.items()
            if name in tables.servers
        }
        findings: list[Finding] = []
        for end in self._ends.take_all():
            row = tables.servers.get(end.server)
            if row is not None and self._record_outcome(end):
                findings += self._back_off(tables, row, self._streaks[end.server], now)
        for name, streak in list(self._streaks.items()):
            self._readmit(tables, tables.servers[name], streak, now)
        return tuple(findings)

    def _record_outcome(self, end: CallResult) -> bool:
        """Record a finished call and return whether its server needs a back-off."""
        if end.outcome in (Outcome.SUCCESS, Outcome.FAILED):
            self._streaks.pop(end.server, None)
            return False
        previous = self._streaks.get(end.server)
        same_outcome = previous is not None and previous.outcome is end.outcome
        if previous is None or not same_outcome:
            previous = _FailureStreak(end.outcome, 0, end.at)
        streak = attrs.evolve(previous, length=previous.length + 1, last_at=end.at)
        self._streaks[end.server] = streak
        unreachable = end.outcome is Outcome.UNREACHABLE
        return streak.length >= (
            UNREACHABLE_THRESHOLD if unreachable else REFUSED_THRESHOLD
        )

    def _back_off(
        self, tables: Tables, row: ServerRow, streak: _FailureStreak, now: float
    ) -> Findings:
        if row.ejected_until is not None and not row.ejected_until.expired(now):
            return ()
        name = row.server.name
        seconds = INITIAL_BACKOFF_SECONDS * 2.0 ** min(streak.backoffs, 10)
        unreachable = streak.outcome is Outcome.UNREACHABLE
        max_seconds = (
            MAX_UNREACHABLE_BACKOFF_SECONDS
            if unreachable
            else MAX_REFUSED_BACKOFF_SECONDS
        )
        until = Deadline.after(now, min(seconds, max_seconds))
        self._streaks[name] = attrs.evolve(streak, backoffs=streak.backoffs + 1)
        tables.servers[name] = attrs.evolve(row, ejected_until=until)
        if streak.backoffs:
            return ()
        code = f"server_{streak.outcome.value}"
        place = SourceLocation("servers", name)
        message = f"the last {streak.length} calls were {streak.outcome.value}"
        return (Finding(code, place, message, Severity.WARNING),)

    def _readmit(
        self, tables: Tables, row: ServerRow, streak: _FailureStreak, now: float
    ) -> None:
        """End an unreachable server's back-off if it has reported its load since."""
        threshold_reached = streak.length >= UNREACHABLE_THRESHOLD
        unreachable = streak.outcome is Outcome.UNREACHABLE
        if threshold_reached and unreachable and row.reported_at > streak.last_at:
            name = row.server.name
            tables.servers[name] = attrs.evolve(row, ejected_until=Deadline(now))
            del self._streaks[name]
