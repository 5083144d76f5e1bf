"""Which entry hosts run: heartbeat deadlines, suspicion, and what others tell.

A host's own heartbeats count most, then what peers tell of it, then the platform's
lagging list. Suspicion and incarnation numbers follow SWIM (Das, Gupta and
Motivala, 2002): of two statements the one with the greater incarnation counts, and
of one incarnation the worse state, except against heartbeats heard in time.
Nothing that must be agreed is built on these rows.
"""

from collections.abc import Iterable

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Place, Severity
from masticfork.core.hosts import HostReport, HostState, ListedHost
from masticfork.core.ids import HostName
from masticfork.core.tables import HostRow, Tables


@attrs.frozen
class MembershipSettings:
    """How long silence is borne before a host is suspect, dead and forgotten."""

    suspect_seconds: float = 2.5
    dead_seconds: float = 4.0
    # For hosts that are heard of only through others, whose reports come rarely.
    relayed_suspect_seconds: float = 900.0
    relayed_dead_seconds: float = 1800.0
    forget_seconds: float = 1200.0


def _finding(code: str, host: HostName, message: str, severity: Severity) -> Finding:
    return Finding(code, Place("hosts", host), message, severity)


class Membership:
    """Keeps the rows of other entry hosts."""

    def __init__(self, settings: MembershipSettings | None = None) -> None:
        self._settings = settings or MembershipSettings()

    def run(self, tables: Tables, now: float) -> Findings:
        """Advance the states of hosts whose deadlines have passed."""
        findings = []
        for host, row in list(tables.hosts.items()):
            if row.state is HostState.ALIVE and now < row.suspect_at.at:
                continue
            forget_at = row.dead_at.at + self._settings.forget_seconds
            if now >= forget_at:
                del tables.hosts[host]
                continue
            state = _state_by_deadline(row, now)
            if state is not row.state:
                tables.hosts[host] = attrs.evolve(row, state=state)
                findings.append(_changed(host, state))
        return tuple(findings)

    def heard(self, tables: Tables, report: HostReport, now: float) -> Findings:
        """Take in a host's own heartbeat."""
        if report.host == tables.me.host:
            return ()
        old = tables.hosts.get(report.host)
        if old is not None and report.incarnation < old.incarnation:
            return ()
        if old is None and not report.address:
            return ()
        row = _completed(self._row(report, now, direct=True), old)
        tables.hosts[report.host] = _merged(old, row)
        if old is None or old.state is not HostState.ALIVE:
            return (_changed(report.host, HostState.ALIVE),)
        return ()

    def told(self, tables: Tables, report: HostReport, now: float) -> Findings:
        """Take in what a peer tells of a host."""
        if report.host == tables.me.host:
            return _refute(tables, report)
        if report.state is HostState.UNKNOWN:
            return ()
        old = tables.hosts.get(report.host)
        if old is None:
            return self._introduced(tables, report)
        if report.incarnation < old.incarnation:
            return ()
        row = _completed(self._row(report, report.heard_at, direct=False), old)
        if report.incarnation > old.incarnation:
            tables.hosts[report.host] = row
        else:
            tables.hosts[report.host] = self._weighed(old, row, now)
        state = tables.hosts[report.host].state
        return () if state is old.state else (_changed(report.host, state),)

    def listed(
        self, tables: Tables, hosts: Iterable[ListedHost], now: float
    ) -> Findings:
        """Take in the platform's whole list of entry hosts."""
        named = {host.host: host for host in hosts if host.host != tables.me.host}
        for name, row in list(tables.hosts.items()):
            if row.state is HostState.UNKNOWN and name not in named:
                del tables.hosts[name]
        for name, host in named.items():
            old = tables.hosts.get(name)
            if old is None or old.state is HostState.UNKNOWN:
                tables.hosts[name] = self._listed_row(host, now)
            elif old.state is HostState.ALIVE and not old.direct:
                tables.hosts[name] = attrs.evolve(
                    old,
                    suspect_at=self._relayed_suspect(now),
                    dead_at=self._relayed_dead(now),
                )
        return ()

    def parted(self, tables: Tables, host: HostName, now: float) -> Findings:
        """Take in that a host closes its link but goes on running."""
        row = tables.hosts.get(host)
        if row is not None:
            tables.hosts[host] = attrs.evolve(
                row,
                direct=False,
                suspect_at=self._relayed_suspect(now),
                dead_at=self._relayed_dead(now),
            )
        return ()

    def _relayed_suspect(self, heard_at: float) -> Deadline:
        return Deadline.after(heard_at, self._settings.relayed_suspect_seconds)

    def _relayed_dead(self, heard_at: float) -> Deadline:
        return Deadline.after(heard_at, self._settings.relayed_dead_seconds)

    def _row(self, report: HostReport, heard_at: float, *, direct: bool) -> HostRow:
        timing = self._settings
        return HostRow(
            host=report.host,
            zone=report.zone,
            address=report.address,
            heard_at=heard_at,
            suspect_at=Deadline.after(heard_at, timing.suspect_seconds)
            if direct
            else self._relayed_suspect(heard_at),
            dead_at=Deadline.after(heard_at, timing.dead_seconds)
            if direct
            else self._relayed_dead(heard_at),
            leaving=report.leaving,
            configuration_number=report.configuration_number,
            region=report.region,
            incarnation=report.incarnation,
            state=report.state,
            direct=direct,
        )

    def _weighed(self, old: HostRow, told: HostRow, now: float) -> HostRow:
        """Weigh what is told of a host against what is known of its incarnation.

        A host that was heard at h and is declared dead was silent until h plus
        `dead_seconds`; only evidence from after that contradicts the death. The
        same holds for suspicion.
        """
        kept = attrs.evolve(
            old,
            leaving=old.leaving or told.leaving,
            configuration_number=max(
                old.configuration_number, told.configuration_number
            ),
        )
        worst = max(old.state, told.state)
        silence = self._silence(worst)
        if told.state is HostState.ALIVE:
            if worst is HostState.ALIVE and old.direct:
                return kept
            later = told.heard_at > old.heard_at + silence
            return _merged(old, told) if later else kept
        heard = old.direct and not old.suspect_at.expired(now)
        later = old.heard_at > told.heard_at + silence
        if old.state is HostState.ALIVE and (heard or later):
            return attrs.evolve(kept, disputes=old.disputes + 1)
        return attrs.evolve(kept, state=worst)

    def _silence(self, state: HostState) -> float:
        """Return for how long a host in that state was not heard, at least."""
        if state is HostState.DEAD:
            return self._settings.dead_seconds
        if state is HostState.SUSPECT:
            return self._settings.suspect_seconds
        return 0.0

    def _introduced(self, tables: Tables, report: HostReport) -> Findings:
        """Add a host unless it is gone or cannot be reached by the report."""
        if report.state is HostState.DEAD or not report.address:
            return ()
        tables.hosts[report.host] = self._row(report, report.heard_at, direct=False)
        return (_changed(report.host, report.state),)

    def _listed_row(self, host: ListedHost, now: float) -> HostRow:
        return HostRow(
            host=host.host,
            zone=host.zone,
            address=host.address,
            heard_at=0.0,
            suspect_at=self._relayed_suspect(now),
            dead_at=self._relayed_dead(now),
            leaving=host.leaving,
            state=HostState.UNKNOWN,
        )


def live_hosts(tables: Tables) -> tuple[HostRow, ...]:
    """Return the other hosts that are alive and not leaving, by name."""
    rows = (tables.hosts[host] for host in sorted(tables.hosts))
    return tuple(r for r in rows if r.state is HostState.ALIVE and not r.leaving)


def _state_by_deadline(row: HostRow, now: float) -> HostState:
    if row.state in (HostState.DEAD, HostState.UNKNOWN):
        return row.state
    if row.dead_at.expired(now):
        return HostState.DEAD
    if row.suspect_at.expired(now):
        return HostState.SUSPECT
    return row.state


def _completed(new: HostRow, old: HostRow | None) -> HostRow:
    """Fill in what short reports leave out."""
    if new.address or old is None:
        return new
    return attrs.evolve(new, zone=old.zone, region=old.region, address=old.address)


def _merged(old: HostRow | None, new: HostRow) -> HostRow:
    """Keep what never goes back within one incarnation."""
    if old is None or old.incarnation != new.incarnation:
        return new
    return attrs.evolve(
        new,
        leaving=new.leaving or old.leaving,
        configuration_number=max(new.configuration_number, old.configuration_number),
    )


def _refute(tables: Tables, report: HostReport) -> Findings:
    """Take a greater incarnation where others tell wrong things of this host."""
    me = tables.me
    gone = report.state in (HostState.SUSPECT, HostState.DEAD)
    wrong = gone or (report.leaving and not me.stopping)
    if report.incarnation < me.incarnation:
        return ()
    if report.incarnation == me.incarnation and not wrong:
        return ()
    tables.me = attrs.evolve(me, incarnation=report.incarnation + 1)
    message = f"refutes being {report.state.name.lower()}"
    return (_finding("host_refuted", me.host, message, Severity.INFO),)


def _changed(host: HostName, state: HostState) -> Finding:
    name = state.name.lower()
    alive = state is HostState.ALIVE
    severity = Severity.INFO if alive else Severity.WARNING
    return _finding(f"host_{name}", host, f"host is {name}", severity)
