"""Learned quality of each answer path, by team and work class."""

import attrs

from masticfork.core.ids import TeamName, VersionId
from masticfork.core.manifest import WorkClass


@attrs.frozen
class QualityKey:
    """A group of requests that share quality estimates and plans."""

    team: TeamName
    work_class: WorkClass


@attrs.frozen
class AnswerPath:
    """The versions and the signal that led to an answer."""

    version: VersionId
    # Quality signal of the answer, or of the first answer after an escalation.
    signal: int
    # After an escalation, the version whose answer was insufficient.
    first: VersionId | None = None


@attrs.frozen
class ServedAnswer:
    """A served answer that may be rated later."""

    key: QualityKey
    path: AnswerPath
    # Seconds since the Unix epoch.
    at: float


@attrs.frozen
class Moments:
    """Weighted mean and variance of scores.

    The weight is bounded, so that old scores decay.
    """

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0


@attrs.frozen
class PathRatings:
    """Ratings of one answer path, over a long and a recent window."""

    long: Moments = Moments()
    recent: Moments = Moments()


@attrs.frozen
class PlannedStep:
    """A version to try, and the signals for which its answer is accepted."""

    version: VersionId
    accepted: frozenset[int]


Steps = tuple[PlannedStep, ...]


@attrs.frozen
class PlanMix:
    """A random mix of two plans and, for exploration, a third."""

    main: Steps
    other: Steps
    # Share of requests that get `other`.
    other_share: float = 0.0
    # A plan that may be cheaper, and the share of requests that explore it.
    explored: Steps = ()
    explored_share: float = 0.0


@attrs.frozen
class QualityRow:
    """Estimates learned for one key, and the plan mix computed from them."""

    key: QualityKey
    ratings: dict[AnswerPath, PathRatings] = attrs.field(factory=dict)
    # Decaying counts of each signal in a version's first answers.
    signals: dict[VersionId, tuple[float, ...]] = attrs.field(factory=dict)
    # Recent ratings of all answers, whatever their path.
    realised: Moments = Moments()
    # Time in seconds that complete answers of a version took.
    seconds: dict[VersionId, Moments] = attrs.field(factory=dict)
    # Time at which the first answer was served after the last rating arrived.
    unrated_since: float | None = None
    mix: PlanMix | None = None
    # The candidate versions for which the mix was computed.
    mix_for: tuple[VersionId, ...] = ()
    # Time at which the mix was computed.
    mix_at: float = 0.0
