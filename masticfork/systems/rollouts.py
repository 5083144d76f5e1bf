"""Drive rollouts: the host that holds a rollout's lease proposes its next row."""

from collections.abc import Iterable

import attrs
from result import Err, Ok, Result

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Severity, SourceLocation
from masticfork.core.ids import HostName, RolloutName, VersionId
from masticfork.core.manifest import Rollout
from masticfork.core.ratings import Rating
from masticfork.core.rollouts import HostUsage, RolloutRow, RolloutState, Wealth
from masticfork.core.tables import Tables
from masticfork.systems.rollout_evidence import (
    add_host_usages,
    add_ratings,
    write_off_overdue_answers,
)
from masticfork.systems.rollout_permits import grant_permits, reclaim_expired_permits
from masticfork.systems.rollout_policies import Decision, RolloutPolicy, Verdict

# After a longer gap without a driver the evidence is out of date, so the rollout
# starts again from its first step.
MAX_DRIVER_GAP_SECONDS = 900.0


@attrs.frozen
class DriverLease:
    """This host's lease of `rollout/NAME` at the platform."""

    fencing: int
    expires: Deadline


@attrs.define
class RolloutInbox:
    """Input received by the driver; ratings are kept until a stored row holds them."""

    leases: dict[RolloutName, DriverLease] = attrs.field(factory=dict)
    usages: dict[tuple[RolloutName, HostName], HostUsage] = attrs.field(factory=dict)
    ratings: list[Rating] = attrs.field(factory=list)

    def usages_of(self, rollout: RolloutName) -> tuple[HostUsage, ...]:
        """Return the latest report of each host on the rollout."""
        return tuple(u for (name, _), u in self.usages.items() if name == rollout)


@attrs.define
class RolloutSystem:
    """Propose the next row of each rollout that this host drives.

    A proposal takes effect only when the platform has stored it. The caller stores it
    with a compare-and-set against the row in the tables, and then updates the tables.
    A proposal that was not stored is computed again from the stored row.
    """

    policy: RolloutPolicy
    inbox: RolloutInbox = attrs.field(factory=RolloutInbox)
    proposals: dict[RolloutName, RolloutRow] = attrs.field(factory=dict)

    def run(self, tables: Tables, now: float) -> Findings:
        """Replace the proposals; return findings on changes and replaced drivers."""
        self.proposals = {}
        configuration = tables.configuration
        if configuration is None:
            return ()
        findings: list[Finding] = []
        for declared in configuration.manifest.rollouts:
            lease = self.inbox.leases.get(declared.name)
            if lease is None or lease.expires.expired(now):
                continue
            stored = tables.rollouts.get(declared.name)
            takeover = take_over(stored, declared, lease.fencing, now)
            if isinstance(takeover, Err):
                findings.append(takeover.err_value)
                continue
            row, found = self._next_row(takeover.ok_value, declared, configuration, now)
            findings.extend(found)
            if row != stored:
                self.proposals[declared.name] = row
        self._drop_stored_ratings(tables)
        return tuple(findings)

    def _next_row(
        self,
        row: RolloutRow,
        declared: Rollout,
        configuration: Configuration,
        now: float,
    ) -> tuple[RolloutRow, Findings]:
        if row.to_version in configuration.withdrawn and not row.ended:
            decision = Decision(Verdict.WITHDRAW, "withdrawn in the manifest")
            changed = _apply(row, declared, decision, now)
            return changed, _change_findings(row, changed)
        usages = self.inbox.usages_of(declared.name)
        return drive(row, declared, self.inbox.ratings, usages, self.policy, now)

    def _drop_stored_ratings(self, tables: Tables) -> None:
        stored_up_to = [
            row.ratings_after
            for name, row in tables.rollouts.items()
            if name in self.inbox.leases and not row.ended
        ]
        oldest = min(stored_up_to, default=0)
        self.inbox.ratings = [r for r in self.inbox.ratings if r.seq > oldest]


def new_row(declared: Rollout, fencing: int, now: float) -> RolloutRow:
    """Return the initial row of a rollout."""
    return RolloutRow(
        declared.name,
        declared.model,
        declared.from_version,
        declared.to_version,
        share=declared.steps[0],
        step_since=now,
        continue_by=Deadline.after(now, MAX_DRIVER_GAP_SECONDS),
        fencing=fencing,
    )


def take_over(
    stored: RolloutRow | None, declared: Rollout, fencing: int, now: float
) -> Result[RolloutRow, Finding]:
    """Return the stored row under this driver's fencing token, or a new row.

    If the previous driver's `continue_by` has passed, a running rollout restarts
    from its first step. The evidence of harm is kept, so that the bound on false
    alarms still holds. The error is a finding that a newer driver has taken over.
    """
    if stored is None:
        return Ok(new_row(declared, fencing, now))
    if stored.fencing > fencing:
        message = f"a driver with fencing token {stored.fencing} has taken over"
        return Err(_finding("rollout_driver_replaced", stored, message))
    row = attrs.evolve(stored, fencing=fencing)
    late = row.continue_by is not None and row.continue_by.expired(now)
    if row.state is RolloutState.RUNNING and late:
        row = _restart(row, declared, now)
    return Ok(row)


def drive(
    row: RolloutRow,
    declared: Rollout,
    ratings: Iterable[Rating],
    usages: Iterable[HostUsage],
    policy: RolloutPolicy,
    now: float,
) -> tuple[RolloutRow, Findings]:
    """Return the row after adding new input, deciding, and granting permits."""
    if row.ended:
        return row, ()
    updated = add_host_usages(row, usages, policy.margins)
    updated = add_ratings(updated, ratings, policy.margins)
    updated = write_off_overdue_answers(updated, policy.rating_timeout_seconds, now)
    decided = _apply(updated, declared, policy.decide(updated, declared, now), now)
    changed = reclaim_expired_permits(decided)
    cap = policy.unrated_cap(changed, declared)
    changed = attrs.evolve(
        changed,
        capped=cap is not None,
        continue_by=_continue_by(row, now),
    )
    if cap is not None:
        changed = grant_permits(changed, cap, now)
    return changed, _change_findings(row, changed)


def _apply(
    row: RolloutRow, declared: Rollout, decision: Decision, now: float
) -> RolloutRow:
    if decision.verdict is Verdict.WITHDRAW:
        state = RolloutState.WITHDRAWN
        return attrs.evolve(row, state=state, share=0.0, reason=decision.reason)
    # While the rollout is paused, only a withdrawal changes its state.
    if row.state is not RolloutState.RUNNING:
        return row
    if decision.verdict is Verdict.PAUSE:
        return attrs.evolve(row, state=RolloutState.PAUSED, reason=decision.reason)
    if decision.verdict is Verdict.FINISH:
        return attrs.evolve(row, state=RolloutState.DONE, share=1.0)
    if decision.verdict is Verdict.ADVANCE:
        return _enter_step(row, declared, row.step + 1, now)
    return row


def _enter_step(
    row: RolloutRow, declared: Rollout, step: int, now: float
) -> RolloutRow:
    # Each step gathers its own evidence of soundness; the evidence of harm is kept.
    comparisons = tuple(attrs.evolve(c, sound=Wealth()) for c in row.comparisons)
    return attrs.evolve(
        row,
        comparisons=comparisons,
        step=step,
        share=declared.steps[step],
        step_since=now,
        sessions_at_step=row.sessions,
        started_at_step=row.started,
        rated_at_step=row.rated,
    )


def _restart(row: RolloutRow, declared: Rollout, now: float) -> RolloutRow:
    return _enter_step(attrs.evolve(row, capped=True), declared, 0, now)


def _continue_by(row: RolloutRow, now: float) -> Deadline:
    # Renew only in the second half of the period, so that a row without other changes
    # is not written on every tick.
    current = row.continue_by
    if current is not None and current.remaining(now) > MAX_DRIVER_GAP_SECONDS / 2:
        return current
    return Deadline.after(now, MAX_DRIVER_GAP_SECONDS)


def _change_findings(before: RolloutRow, after: RolloutRow) -> Findings:
    if before.state is not after.state:
        severity = Severity.INFO
        if after.state in (RolloutState.WITHDRAWN, RolloutState.PAUSED):
            severity = Severity.WARNING
        message = f"{_label(after.to_version)} is {after.state.value} {after.reason}"
        code = f"rollout_{after.state.value}"
        return (_finding(code, after, message.rstrip(), severity),)
    if before.step != after.step:
        message = f"{_label(after.to_version)} is at share {after.share}"
        return (_finding("rollout_step", after, message, Severity.INFO),)
    return ()


def _label(version: VersionId) -> str:
    return f"rollout of {version}"


def _finding(
    code: str, row: RolloutRow, message: str, severity: Severity = Severity.WARNING
) -> Finding:
    return Finding(code, SourceLocation("rollouts", row.name), message, severity)
