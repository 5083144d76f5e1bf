"""Records of roll-outs, stored at the platform and spread to all hosts."""

import enum

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, ModelName, RolloutName, VersionId


class RolloutState(enum.Enum):
    """Where a roll-out stands."""

    RUNNING = "running"
    PAUSED = "paused"
    DONE = "done"
    WITHDRAWN = "withdrawn"


@attrs.frozen
class PermitGrant:
    """Answers of the unproved version that one host may start."""

    host: HostName
    # Answers granted since the roll-out began; only grows.
    granted: int
    # Answers that the host reported as started; never above what it started.
    used: int
    expires: Deadline


@attrs.frozen
class Comparison:
    """Running sums of one measured difference and its test's evidence."""

    observations: int = 0
    # Natural logarithm of the evidence that the new version is worse.
    log_worse: float = 0.0
    # Natural logarithm of the evidence that it is not worse beyond the margin.
    log_sound: float = 0.0
    mean_new: float = 0.0
    mean_old: float = 0.0
    observations_old: int = 0


@attrs.frozen
class Evidence:
    """What was learnt of the new version against the one that it replaces."""

    ratings: Comparison = Comparison()
    errors: Comparison = Comparison()
    latency: Comparison = Comparison()
    # Answers of the new version whose rating did not come in time.
    unrated_expired: int = 0


@attrs.frozen
class RolloutRow:
    """One roll-out, with all that another driver needs to go on from here."""

    name: RolloutName
    model: ModelName
    from_version: VersionId
    to_version: VersionId
    state: RolloutState = RolloutState.RUNNING
    # Index into the declared steps.
    step: int = 0
    # Share of new sessions that get the new version, from 0 to 1.
    share: float = 0.0
    evidence: Evidence = Evidence()
    # Evidence count at the start of the step, for the least gain of a step.
    ratings_at_step: int = 0
    step_ends: Deadline | None = None
    grants: tuple[PermitGrant, ...] = ()
    # Why it was paused or withdrawn, for operators.
    reason: str = ""
    # Fencing number of the driver's lease that wrote the row.
    fencing: int = 0

    @property
    def ended(self) -> bool:
        """Tell whether the roll-out came to its end."""
        return self.state in (RolloutState.DONE, RolloutState.WITHDRAWN)


RolloutRows = dict[RolloutName, RolloutRow]


def withdrawn_by_rollouts(rows: RolloutRows) -> frozenset[VersionId]:
    """Return the versions that the roll-outs' own tests withdrew."""
    withdrawn = (r for r in rows.values() if r.state is RolloutState.WITHDRAWN)
    return frozenset(row.to_version for row in withdrawn)
