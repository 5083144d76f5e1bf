"""Records of roll-outs, stored at the platform and spread to all hosts."""

import enum

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, ModelName, RolloutName, VersionId
from masticfork.core.manifest import WorkClass


class RolloutState(enum.Enum):
    """Where a roll-out stands."""

    RUNNING = "running"
    PAUSED = "paused"
    DONE = "done"
    WITHDRAWN = "withdrawn"


class Measure(enum.Enum):
    """What is compared between the new version and the one it replaces."""

    RATINGS = "ratings"
    # Share of answers that did not fail.
    ERRORS = "errors"
    # Share of answers whose first token came within the limit.
    LATENCY = "latency"


@attrs.frozen
class Wealth:
    """A sequential test's wealth, one value for each stake."""

    steps: int = 0
    logs: tuple[float, ...] = ()


@attrs.frozen
class Mean:
    """A mean whose weight is bounded, so that it follows slow changes."""

    weight: float = 0.0
    value: float = 0.0


@attrs.frozen
class ClassMean:
    """The replaced version's mean for one class of work."""

    work_class: WorkClass
    mean: Mean


@attrs.frozen
class Comparison:
    """The evidence of one measure."""

    measure: Measure
    # Wealth against "the new version is as good as the old one".
    worse: Wealth = Wealth()
    # Wealth against "the new version is worse by the harm margin".
    sound: Wealth = Wealth()
    new: Mean = Mean()
    # Errors and latency are compared over all classes at once.
    old: Mean = Mean()
    old_by_class: tuple[ClassMean, ...] = ()


@attrs.frozen
class VersionCounts:
    """Counts of one version's answers on one host; each only grows."""

    answered: int = 0
    failed: int = 0
    # Answers whose first token came after the limit.
    slow: int = 0


@attrs.frozen
class HostUsage:
    """What one host reports of a roll-out; counts since the host started."""

    host: HostName
    rollout: RolloutName
    # Seconds since the Unix epoch.
    at: float
    # When the host made its first report; tells it from one before under its name.
    began: float = 0.0
    # New sessions of the model, with the old or the new version.
    sessions: int = 0
    # Answers of the new version that were started.
    started: int = 0
    new: VersionCounts = VersionCounts()
    old: VersionCounts = VersionCounts()


@attrs.frozen
class PermitGrant:
    """What one host may start of the new version, and what it reported."""

    # The last report that the row holds.
    seen: HostUsage
    # Answers that the host may have started, counted like its report.
    granted: int = 0
    # The host starts nothing on this grant after the deadline.
    expires: Deadline | None = None

    @property
    def host(self) -> HostName:
        """Return the host that holds the grant."""
        return self.seen.host

    @property
    def unused(self) -> int:
        """Return the permits that the host has not reported as used."""
        return max(0, self.granted - self.seen.started)


@attrs.frozen
class ReviewMark:
    """How many answers had started at a time, and until when they may be rated."""

    started: int
    rated_by: Deadline
    # Sequence number of the last rating that had come.
    ratings_after: int


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
    # Whether an answer of the new version needs a permit; the driver then keeps
    # to the share by the permits that it grants.
    capped: bool = True
    comparisons: tuple[Comparison, ...] = tuple(Comparison(m) for m in Measure)
    # Sequence number of the last rating that the evidence holds.
    ratings_after: int = 0
    # Answers of the new version: started, rated, and given up as never rated.
    started: int = 0
    rated: int = 0
    forgiven: int = 0
    # New sessions of the model, and how things stood when the step began.
    sessions: int = 0
    sessions_at_step: int = 0
    started_at_step: int = 0
    rated_at_step: int = 0
    marks: tuple[ReviewMark, ...] = ()
    grants: tuple[PermitGrant, ...] = ()
    # When the step began, in seconds since the Unix epoch.
    step_since: float = 0.0
    # A driver that finds this passed starts again from the first step.
    continue_by: Deadline | None = None
    # Why it was paused or withdrawn, for operators.
    reason: str = ""
    # Fencing number of the driver's lease that wrote the row.
    fencing: int = 0

    @property
    def ended(self) -> bool:
        """Tell whether the roll-out came to its end."""
        return self.state in (RolloutState.DONE, RolloutState.WITHDRAWN)

    @property
    def entry_share(self) -> float:
        """Return the share of new sessions that may enter, a permit apart."""
        return 1.0 if self.capped else self.share

    @property
    def unrated(self) -> int:
        """Return the answers that may still await their rating."""
        return max(0, self.started - self.rated - self.forgiven)

    def comparison(self, measure: Measure) -> Comparison:
        """Return the evidence of one measure."""
        return next(c for c in self.comparisons if c.measure is measure)

    def grant_of(self, host: HostName) -> PermitGrant | None:
        """Return the host's grant, or none."""
        return next((g for g in self.grants if g.host == host), None)


RolloutRows = dict[RolloutName, RolloutRow]


def withdrawn_by_rollouts(rows: RolloutRows) -> frozenset[VersionId]:
    """Return the versions that the roll-outs' own tests withdrew."""
    withdrawn = (r for r in rows.values() if r.state is RolloutState.WITHDRAWN)
    return frozenset(row.to_version for row in withdrawn)
