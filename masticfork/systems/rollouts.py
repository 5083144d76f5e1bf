"""Drive roll-outs: the holder of a roll-out's lease proposes its next row."""

from collections.abc import Iterable

import attrs
from result import Err, Ok, Result

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Place, Severity
from masticfork.core.ids import HostName, RolloutName, VersionId
from masticfork.core.manifest import Rollout
from masticfork.core.ratings import Rating
from masticfork.core.rollouts import HostUsage, RolloutRow, RolloutState, Wealth
from masticfork.core.tables import Tables
from masticfork.systems.rollout_evidence import forgive, take_ratings, take_usages
from masticfork.systems.rollout_permits import grant, take_back
from masticfork.systems.rollout_policies import Judgement, RolloutPolicy, Verdict

# A driver that went on after a longer gap would trust evidence from other times.
CONTINUE_SECONDS = 900.0


@attrs.frozen
class DriverLease:
    """This host's lease of `rollout/NAME` at the platform."""

    fencing: int
    expires: Deadline


@attrs.define
class RolloutInbox:
    """What the driver has heard; ratings stay until a stored row holds them."""

    leases: dict[RolloutName, DriverLease] = attrs.field(factory=dict)
    usages: dict[tuple[RolloutName, HostName], HostUsage] = attrs.field(factory=dict)
    ratings: list[Rating] = attrs.field(factory=list)

    def usages_of(self, rollout: RolloutName) -> tuple[HostUsage, ...]:
        """Return the latest report of each host on a roll-out."""
        return tuple(u for (name, _), u in self.usages.items() if name == rollout)


@attrs.define
class RolloutSystem:
    """Propose the next row of each roll-out that this host drives.

    A proposal takes effect only when the platform has stored it: the caller writes
    it on the condition that the stored row is the one in the tables, and then puts
    it there. A proposal that was not stored is made again from the stored row.
    """

    policy: RolloutPolicy
    inbox: RolloutInbox = attrs.field(factory=RolloutInbox)
    proposals: dict[RolloutName, RolloutRow] = attrs.field(factory=dict)

    def run(self, tables: Tables, now: float) -> Findings:
        """Renew the proposals."""
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
            taken = take_over(stored, declared, lease.fencing, now)
            if isinstance(taken, Err):
                findings.append(taken.err_value)
                continue
            row, found = self._drive(taken.ok_value, declared, configuration, now)
            findings.extend(found)
            if row != stored:
                self.proposals[declared.name] = row
        self._forget_stored(tables)
        return tuple(findings)

    def _drive(
        self,
        row: RolloutRow,
        declared: Rollout,
        configuration: Configuration,
        now: float,
    ) -> tuple[RolloutRow, Findings]:
        if row.to_version in configuration.withdrawn and not row.ended:
            judgement = Judgement(Verdict.WITHDRAW, "withdrawn in the manifest")
            changed = _apply(row, declared, judgement, now)
            return changed, _report(row, changed)
        usages = self.inbox.usages_of(declared.name)
        return drive(row, declared, self.inbox.ratings, usages, self.policy, now)

    def _forget_stored(self, tables: Tables) -> None:
        held = [
            row.ratings_after
            for name, row in tables.rollouts.items()
            if name in self.inbox.leases and not row.ended
        ]
        oldest = min(held, default=0)
        self.inbox.ratings = [r for r in self.inbox.ratings if r.seq > oldest]


def new_row(declared: Rollout, fencing: int, now: float) -> RolloutRow:
    """Return the row with which a roll-out starts."""
    return RolloutRow(
        declared.name,
        declared.model,
        declared.from_version,
        declared.to_version,
        share=declared.steps[0],
        step_since=now,
        continue_by=Deadline.after(now, CONTINUE_SECONDS),
        fencing=fencing,
    )


def take_over(
    stored: RolloutRow | None, declared: Rollout, fencing: int, now: float
) -> Result[RolloutRow, Finding]:
    """Return the row from which this driver goes on, exactly as it was stored.

    After too long a gap the roll-out starts again from its first step; the evidence
    of harm stays, so that the bound on false alarms does.
    """
    if stored is None:
        return Ok(new_row(declared, fencing, now))
    if stored.fencing > fencing:
        message = f"a driver with fencing number {stored.fencing} has taken over"
        return Err(_finding("rollout_driver_replaced", stored, message))
    row = attrs.evolve(stored, fencing=fencing)
    late = row.continue_by is not None and row.continue_by.expired(now)
    if row.state is RolloutState.RUNNING and late:
        row = _first_step(row, declared, now)
    return Ok(row)


def drive(
    row: RolloutRow,
    declared: Rollout,
    ratings: Iterable[Rating],
    usages: Iterable[HostUsage],
    policy: RolloutPolicy,
    now: float,
) -> tuple[RolloutRow, Findings]:
    """Take in what was heard, judge, and grant permits."""
    if row.ended:
        return row, ()
    heard = take_usages(row, usages, policy.margins)
    heard = take_ratings(heard, ratings, policy.margins)
    heard = forgive(heard, policy.rating_patience_seconds, now)
    judged = _apply(heard, declared, policy.judge(heard, declared, now), now)
    changed = take_back(judged)
    cap = policy.unrated_cap(changed, declared)
    changed = attrs.evolve(
        changed,
        capped=cap is not None,
        continue_by=_continue_by(row, now),
    )
    if cap is not None:
        changed = grant(changed, cap, now)
    return changed, _report(row, changed)


def _apply(
    row: RolloutRow, declared: Rollout, judgement: Judgement, now: float
) -> RolloutRow:
    if judgement.verdict is Verdict.WITHDRAW:
        state = RolloutState.WITHDRAWN
        return attrs.evolve(row, state=state, share=0.0, reason=judgement.reason)
    # An operator's pause holds against all but a withdrawal.
    if row.state is not RolloutState.RUNNING:
        return row
    if judgement.verdict is Verdict.PAUSE:
        return attrs.evolve(row, state=RolloutState.PAUSED, reason=judgement.reason)
    if judgement.verdict is Verdict.FINISH:
        return attrs.evolve(row, state=RolloutState.DONE, share=1.0)
    if judgement.verdict is Verdict.ADVANCE:
        return _at_step(row, declared, row.step + 1, now)
    return row


def _at_step(row: RolloutRow, declared: Rollout, step: int, now: float) -> RolloutRow:
    # Each step has to show soundness anew; the evidence of harm is kept.
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


def _first_step(row: RolloutRow, declared: Rollout, now: float) -> RolloutRow:
    return _at_step(attrs.evolve(row, capped=True), declared, 0, now)


def _continue_by(row: RolloutRow, now: float) -> Deadline:
    # Renewed by halves, so that a row without news is not written each tick.
    current = row.continue_by
    if current is not None and current.remaining(now) > CONTINUE_SECONDS / 2:
        return current
    return Deadline.after(now, CONTINUE_SECONDS)


def _report(before: RolloutRow, after: RolloutRow) -> Findings:
    if before.state is not after.state:
        severity = Severity.INFO
        if after.state in (RolloutState.WITHDRAWN, RolloutState.PAUSED):
            severity = Severity.WARNING
        message = f"{_moved(after.to_version)} is {after.state.value} {after.reason}"
        code = f"rollout_{after.state.value}"
        return (_finding(code, after, message.rstrip(), severity),)
    if before.step != after.step:
        message = f"{_moved(after.to_version)} is at share {after.share}"
        return (_finding("rollout_step", after, message, Severity.INFO),)
    return ()


def _moved(version: VersionId) -> str:
    return f"roll-out of {version}"


def _finding(
    code: str, row: RolloutRow, message: str, severity: Severity = Severity.WARNING
) -> Finding:
    return Finding(code, Place("rollouts", row.name), message, severity)
