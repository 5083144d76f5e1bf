"""Membership of entry hosts, from heartbeats, gossip and the platform's host list.

Heartbeats received directly from a host take precedence over gossip from peers, and
gossip over the platform's list, which lags behind. Suspicion and incarnation numbers
follow SWIM (Das, Gupta and Motivala, 2002): the report with the greater incarnation
wins; within one incarnation the worse state wins, unless a heartbeat received in time
contradicts it. Membership is only eventually consistent, so nothing that needs
agreement between hosts may depend on it.
"""

from collections.abc import Iterable

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Severity, SourceLocation
from masticfork.core.hosts import HostReport, HostState, ListedHost
from masticfork.core.ids import HostName
from masticfork.core.tables import HostRow, Tables


@attrs.frozen
class MembershipSettings:
    """Seconds of silence until a host is suspected, declared dead and removed."""

    suspect_seconds: float = 2.5
    dead_seconds: float = 4.0
    # For hosts known only through gossip or the platform's list, both of which are
    # updated rarely.
    indirect_suspect_seconds: float = 900.0
    indirect_dead_seconds: float = 1800.0
    # Counted from the time at which the host was due to be declared dead.
    forget_seconds: float = 1200.0


def _finding(code: str, host: HostName, message: str, severity: Severity) -> Finding:
    return Finding(code, SourceLocation("hosts", host), message, severity)


class Membership:
    """Maintain the membership table of the other entry hosts."""

    def __init__(self, settings: MembershipSettings | None = None) -> None:
        self._settings = settings or MembershipSettings()

    def run(self, tables: Tables, now: float) -> Findings:
        """Suspect, declare dead or remove hosts whose deadlines have passed."""
        findings = []
        for host, row in list(tables.hosts.items()):
            if row.state is HostState.ALIVE and now < row.suspect_at.at:
                continue
            forget_at = row.dead_at.at + self._settings.forget_seconds
            if now >= forget_at:
                del tables.hosts[host]
                continue
            state = _state_by_deadline(row, now)
            heard_at = self._death_evidence(row, now)
            if state is not row.state or heard_at != row.heard_at:
                tables.hosts[host] = attrs.evolve(row, state=state, heard_at=heard_at)
            if state is not row.state:
                findings.append(_state_finding(host, state))
        return tuple(findings)

    def _death_evidence(self, row: HostRow, now: float) -> float:
        """Return the time of the last heartbeat on which the state of a row is based.

        A peer's report of a death may be based on an earlier heartbeat than the last
        one that this host received; once this host's own deadline has passed too, the
        later heartbeat is the better evidence.
        """
        if not row.direct or not row.dead_at.expired(now):
            return row.heard_at
        return max(row.heard_at, row.dead_at.at - self._settings.dead_seconds)

    def record_heartbeat(
        self, tables: Tables, report: HostReport, now: float
    ) -> Findings:
        """Record a heartbeat received directly from a host."""
        if report.host == tables.me.host:
            return ()
        old = tables.hosts.get(report.host)
        if old is not None and report.incarnation < old.incarnation:
            return ()
        if old is None and not report.address:
            return ()
        row = _with_known_location(self._row_from_report(report, now, direct=True), old)
        tables.hosts[report.host] = _merge_monotonic(old, row)
        if old is None or old.state is not HostState.ALIVE:
            return (_state_finding(report.host, HostState.ALIVE),)
        return ()

    def record_peer_report(
        self, tables: Tables, report: HostReport, now: float
    ) -> Findings:
        """Record a peer's report about a host, refuting false ones about this host."""
        if report.host == tables.me.host:
            return _refute(tables, report)
        if report.state is HostState.UNKNOWN:
            return ()
        old = tables.hosts.get(report.host)
        if old is None:
            return self._add_reported_host(tables, report)
        if report.incarnation < old.incarnation:
            return ()
        row = _with_known_location(
            self._row_from_report(report, report.heard_at, direct=False), old
        )
        if report.incarnation > old.incarnation:
            tables.hosts[report.host] = row
        else:
            tables.hosts[report.host] = self._merge_same_incarnation(old, row, now)
        state = tables.hosts[report.host].state
        return () if state is old.state else (_state_finding(report.host, state),)

    def record_host_list(
        self, tables: Tables, hosts: Iterable[ListedHost], now: float
    ) -> Findings:
        """Record the platform's complete list of entry hosts."""
        by_name = {host.host: host for host in hosts if host.host != tables.me.host}
        for name, row in list(tables.hosts.items()):
            if row.state is HostState.UNKNOWN and name not in by_name:
                del tables.hosts[name]
        for name, host in by_name.items():
            old = tables.hosts.get(name)
            if old is None or old.state is HostState.UNKNOWN:
                tables.hosts[name] = self._listed_row(host, now)
            elif old.state is HostState.ALIVE and not old.direct:
                tables.hosts[name] = attrs.evolve(
                    old,
                    suspect_at=self._indirect_suspect_deadline(now),
                    dead_at=self._indirect_dead_deadline(now),
                )
        return ()

    def record_link_closed(
        self, tables: Tables, host: HostName, now: float
    ) -> Findings:
        """Record that a host closed its link but is still running.

        Without the link no heartbeats arrive, so the longer deadlines apply.
        """
        row = tables.hosts.get(host)
        if row is not None:
            tables.hosts[host] = attrs.evolve(
                row,
                direct=False,
                suspect_at=self._indirect_suspect_deadline(now),
                dead_at=self._indirect_dead_deadline(now),
            )
        return ()

    def _indirect_suspect_deadline(self, heard_at: float) -> Deadline:
        return Deadline.after(heard_at, self._settings.indirect_suspect_seconds)

    def _indirect_dead_deadline(self, heard_at: float) -> Deadline:
        return Deadline.after(heard_at, self._settings.indirect_dead_seconds)

    def _row_from_report(
        self, report: HostReport, heard_at: float, *, direct: bool
    ) -> HostRow:
        settings = self._settings
        return HostRow(
            host=report.host,
            zone=report.zone,
            address=report.address,
            heard_at=heard_at,
            suspect_at=Deadline.after(heard_at, settings.suspect_seconds)
            if direct
            else self._indirect_suspect_deadline(heard_at),
            dead_at=Deadline.after(heard_at, settings.dead_seconds)
            if direct
            else self._indirect_dead_deadline(heard_at),
            leaving=report.leaving,
            configuration_number=report.configuration_number,
            region=report.region,
            incarnation=report.incarnation,
            state=report.state,
            direct=direct,
        )

    def _merge_same_incarnation(
        self, old: HostRow, reported: HostRow, now: float
    ) -> HostRow:
        """Merge a peer's report into a row of the same incarnation.

        A host last heard at time t that was declared dead sent nothing until t plus
        `dead_seconds`, so only a heartbeat after that contradicts the death. The same
        holds for suspicion with `suspect_seconds`.
        """
        with_old_state = attrs.evolve(
            old,
            leaving=old.leaving or reported.leaving,
            configuration_number=max(
                old.configuration_number, reported.configuration_number
            ),
        )
        worse_state = max(old.state, reported.state)
        silence = self._minimum_silence(worse_state)
        if reported.state is HostState.ALIVE:
            if worse_state is HostState.ALIVE and old.direct:
                return with_old_state
            newer_evidence = reported.heard_at > old.heard_at + silence
            return _merge_monotonic(old, reported) if newer_evidence else with_old_state
        heartbeat_in_time = old.direct and not old.suspect_at.expired(now)
        newer_evidence = old.heard_at > reported.heard_at + silence
        if old.state is HostState.ALIVE and (heartbeat_in_time or newer_evidence):
            return attrs.evolve(with_old_state, disputes=old.disputes + 1)
        # The evidence of the reported state replaces that of the milder one. Otherwise
        # the death would be passed on as if the host had been heard just before it, and
        # would override each new heartbeat that hosts further away hear of.
        heard_at = old.heard_at
        if reported.state > old.state:
            heard_at = reported.heard_at
        elif reported.state is old.state:
            heard_at = max(old.heard_at, reported.heard_at)
        return attrs.evolve(with_old_state, state=worse_state, heard_at=heard_at)

    def _minimum_silence(self, state: HostState) -> float:
        """Return the minimum seconds without a heartbeat that the state implies."""
        if state is HostState.DEAD:
            return self._settings.dead_seconds
        if state is HostState.SUSPECT:
            return self._settings.suspect_seconds
        return 0.0

    def _add_reported_host(self, tables: Tables, report: HostReport) -> Findings:
        """Add a host first reported by a peer, unless it is dead or has no address."""
        if report.state is HostState.DEAD or not report.address:
            return ()
        tables.hosts[report.host] = self._row_from_report(
            report, report.heard_at, direct=False
        )
        return (_state_finding(report.host, report.state),)

    def _listed_row(self, host: ListedHost, now: float) -> HostRow:
        return HostRow(
            host=host.host,
            zone=host.zone,
            address=host.address,
            heard_at=0.0,
            suspect_at=self._indirect_suspect_deadline(now),
            dead_at=self._indirect_dead_deadline(now),
            leaving=host.leaving,
            state=HostState.UNKNOWN,
        )


def live_hosts(tables: Tables) -> tuple[HostRow, ...]:
    """Return the other hosts that are alive and not leaving, sorted by name."""
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


def _with_known_location(new: HostRow, old: HostRow | None) -> HostRow:
    """Fill in the zone, region and address that short reports omit."""
    if new.address or old is None:
        return new
    return attrs.evolve(new, zone=old.zone, region=old.region, address=old.address)


def _merge_monotonic(old: HostRow | None, new: HostRow) -> HostRow:
    """Keep `leaving` and the configuration number from decreasing in an incarnation."""
    if old is None or old.incarnation != new.incarnation:
        return new
    return attrs.evolve(
        new,
        leaving=new.leaving or old.leaving,
        configuration_number=max(new.configuration_number, old.configuration_number),
    )


def _refute(tables: Tables, report: HostReport) -> Findings:
    """Raise this host's incarnation when a peer's report about it is wrong."""
    me = tables.me
    reported_failed = report.state in (HostState.SUSPECT, HostState.DEAD)
    wrong = reported_failed or (report.leaving and not me.stopping)
    if report.incarnation < me.incarnation:
        return ()
    if report.incarnation == me.incarnation and not wrong:
        return ()
    tables.me = attrs.evolve(me, incarnation=report.incarnation + 1)
    message = f"refuted a report that this host is {report.state.name.lower()}"
    return (_finding("host_refuted", me.host, message, Severity.INFO),)


def _state_finding(host: HostName, state: HostState) -> Finding:
    name = state.name.lower()
    alive = state is HostState.ALIVE
    severity = Severity.INFO if alive else Severity.WARNING
    return _finding(f"host_{name}", host, f"host is {name}", severity)
