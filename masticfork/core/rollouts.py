"""Records of rollouts, stored at the platform and distributed to all hosts."""

import enum

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, ModelName, RolloutName, VersionId
from masticfork.core.manifest import WorkClass


class RolloutState(enum.Enum):
    """State of a rollout."""

    RUNNING = "running"
    PAUSED = "paused"
    DONE = "done"
    WITHDRAWN = "withdrawn"


class Measure(enum.Enum):
    """Measure by which a new version is compared with the one it replaces."""

    RATINGS = "ratings"
    # Share of successful answers.
    ERRORS = "errors"
    # Share of answers whose first token arrived within the limit.
    LATENCY = "latency"


@attrs.frozen
class Wealth:
    """Wealth of a sequential test by betting, see `systems.sequential_tests`."""

    steps: int = 0
    # Logarithm of the wealth of each stake.
    logs: tuple[float, ...] = ()


@attrs.frozen
class Mean:
    """A mean whose weight is bounded, so that it tracks slow changes."""

    weight: float = 0.0
    value: float = 0.0


@attrs.frozen
class ClassMean:
    """The replaced version's mean for one work class."""

    work_class: WorkClass
    mean: Mean


@attrs.frozen
class Comparison:
    """The evidence on one measure."""

    measure: Measure
    # Wealth against the hypothesis that the new version is as good as the old one.
    worse: Wealth = Wealth()
    # Wealth against the hypothesis that it is worse by the harm margin.
    sound: Wealth = Wealth()
    new: Mean = Mean()
    # For errors and latency, which are compared over all work classes together.
    old: Mean = Mean()
    # For ratings, which are compared by work class.
    old_by_class: tuple[ClassMean, ...] = ()


@attrs.frozen
class VersionCounts:
    """Counts of one version's answers on one host; they never decrease."""

    answered: int = 0
    failed: int = 0
    # Answers whose first token arrived after the limit.
    slow: int = 0


@attrs.frozen
class HostUsage:
    """One host's usage report for a rollout; counts start at the host's start."""

    host: HostName
    rollout: RolloutName
    # Time of the report, in seconds since the Unix epoch.
    at: float
    # Time of the first report; distinguishes runs of a host with the same name.
    began: float = 0.0
    # New sessions of the model, on the old or the new version.
    sessions: int = 0
    # Answers started on the new version.
    started: int = 0
    new: VersionCounts = VersionCounts()
    old: VersionCounts = VersionCounts()


@attrs.frozen
class PermitGrant:
    """Permits of one host to start answers on the new version, and its last report."""

    # The last report that was applied.
    seen: HostUsage
    # Answers that the host may have started, counted like `seen.started`.
    granted: int = 0
    # After this deadline the host starts no answers under this grant.
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
    """Number of answers started up to a time, and the deadline for their ratings."""

    started: int
    rated_by: Deadline
    # Sequence number of the last rating received at that time.
    ratings_after: int


@attrs.frozen
class RolloutRow:
    """State of one rollout, sufficient for another driver to continue it."""

    name: RolloutName
    model: ModelName
    from_version: VersionId
    to_version: VersionId
    state: RolloutState = RolloutState.RUNNING
    # Index into the declared steps.
    step: int = 0
    # Share of new sessions that get the new version, from 0 to 1.
    share: float = 0.0
    # Whether an answer of the new version needs a permit; the driver then enforces
    # the share by the number of permits that it grants.
    capped: bool = True
    comparisons: tuple[Comparison, ...] = tuple(Comparison(m) for m in Measure)
    # Sequence number of the last rating that the evidence includes.
    ratings_after: int = 0
    # Answers of the new version: started, rated, and written off as never rated.
    started: int = 0
    rated: int = 0
    forgiven: int = 0
    # New sessions of the model; then the counts when the current step began.
    sessions: int = 0
    sessions_at_step: int = 0
    started_at_step: int = 0
    rated_at_step: int = 0
    marks: tuple[ReviewMark, ...] = ()
    grants: tuple[PermitGrant, ...] = ()
    # Start of the current step, in seconds since the Unix epoch.
    step_since: float = 0.0
    # A driver that takes over after this deadline restarts from the first step.
    continue_by: Deadline | None = None
    # Why the rollout was paused or withdrawn, for operators.
    reason: str = ""
    # Fencing token of the lease under which a driver wrote the row.
    fencing: int = 0

    @property
    def ended(self) -> bool:
        """Return whether the rollout is done or withdrawn."""
        return self.state in (RolloutState.DONE, RolloutState.WITHDRAWN)

    @property
    def entry_share(self) -> float:
        """Return the share of new sessions that may use the new version.

        It is 1 while permits are required, since the driver then limits the share.
        """
        return 1.0 if self.capped else self.share

    @property
    def unrated(self) -> int:
        """Return the number of answers that may still be rated."""
        return max(0, self.started - self.rated - self.forgiven)

    def comparison(self, measure: Measure) -> Comparison:
        """Return the evidence on one measure."""
        return next(c for c in self.comparisons if c.measure is measure)

    def grant_of(self, host: HostName) -> PermitGrant | None:
        """Return the host's grant, or None."""
        return next((g for g in self.grants if g.host == host), None)


RolloutRows = dict[RolloutName, RolloutRow]


def withdrawn_by_rollouts(rows: RolloutRows) -> frozenset[VersionId]:
    """Return the versions whose rollouts (not the manifest) withdrew them."""
    withdrawn = (r for r in rows.values() if r.state is RolloutState.WITHDRAWN)
    return frozenset(row.to_version for row in withdrawn)
