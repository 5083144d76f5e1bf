"""Keep new work from backend servers that are dead or leaving, by own evidence.

The platform's list lags. A server that cannot be connected to, or that refuses one
call after another, gets no new work at once, whatever the list says. No floor
guards a pool here: a call that cannot be connected or is refused does not run, so
sending it brings nothing, also when it is this host that is cut off.
"""

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Place, Severity
from masticfork.core.ids import ServerName
from masticfork.core.tables import ServerRow, Tables
from masticfork.systems.outcomes import CallEnd, CallEnds, Outcome

# A single failed connection may be a lost packet; a single refusal a full queue.
UNREACHABLE_IN_ROW = 2
REFUSED_IN_ROW = 3
# The server is tried again after a time that doubles, or on a load report.
FIRST_HOLD_SECONDS = 1.0
LONGEST_UNREACHABLE_SECONDS = 30.0
LONGEST_REFUSED_SECONDS = 5.0


@attrs.frozen
class _Streak:
    """Calls that ended the same way, one after the other."""

    outcome: Outcome
    length: int
    last_at: float
    holds: int = 0


class Drains:
    """Holds work off servers whose last calls did not run."""

    def __init__(self, ends: CallEnds) -> None:
        self._ends = ends
        self._streaks: dict[ServerName, _Streak] = {}

    def run(self, tables: Tables, now: float) -> Findings:
        """Take in the ends of calls and hold off or readmit servers."""
        self._streaks = {
            name: streak
            for name, streak in self._streaks.items()
            if name in tables.servers
        }
        findings: list[Finding] = []
        for end in self._ends.take():
            row = tables.servers.get(end.server)
            if row is not None and self._extends(end):
                findings += self._hold(tables, row, self._streaks[end.server], now)
        for name, streak in list(self._streaks.items()):
            self._readmit(tables, tables.servers[name], streak, now)
        return tuple(findings)

    def _extends(self, end: CallEnd) -> bool:
        """Count a call's end; tell whether the server should be held off for it."""
        if end.outcome in (Outcome.SUCCESS, Outcome.FAILED):
            self._streaks.pop(end.server, None)
            return False
        last = self._streaks.get(end.server)
        same = last is not None and last.outcome is end.outcome
        if last is None or not same:
            last = _Streak(end.outcome, 0, end.at)
        streak = attrs.evolve(last, length=last.length + 1, last_at=end.at)
        self._streaks[end.server] = streak
        unreachable = end.outcome is Outcome.UNREACHABLE
        return streak.length >= (UNREACHABLE_IN_ROW if unreachable else REFUSED_IN_ROW)

    def _hold(
        self, tables: Tables, row: ServerRow, streak: _Streak, now: float
    ) -> Findings:
        if row.ejected_until is not None and not row.ejected_until.expired(now):
            return ()
        name = row.server.name
        seconds = FIRST_HOLD_SECONDS * 2.0 ** min(streak.holds, 10)
        unreachable = streak.outcome is Outcome.UNREACHABLE
        longest = (
            LONGEST_UNREACHABLE_SECONDS if unreachable else LONGEST_REFUSED_SECONDS
        )
        until = Deadline.after(now, min(seconds, longest))
        self._streaks[name] = attrs.evolve(streak, holds=streak.holds + 1)
        tables.servers[name] = attrs.evolve(row, ejected_until=until)
        if streak.holds:
            return ()
        code = f"server_{streak.outcome.value}"
        place = Place("servers", name)
        message = f"{streak.length} calls in a row were {streak.outcome.value}"
        return (Finding(code, place, message, Severity.WARNING),)

    def _readmit(
        self, tables: Tables, row: ServerRow, streak: _Streak, now: float
    ) -> None:
        """End the hold where the server has reported its load since."""
        held = streak.length >= UNREACHABLE_IN_ROW
        unreachable = streak.outcome is Outcome.UNREACHABLE
        if held and unreachable and row.reported_at > streak.last_at:
            name = row.server.name
            tables.servers[name] = attrs.evolve(row, ejected_until=Deadline(now))
            del self._streaks[name]
