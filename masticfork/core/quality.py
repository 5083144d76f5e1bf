"""What ratings taught of each way to answer, for one team and class of work."""

import attrs

from masticfork.core.ids import TeamName, VersionId
from masticfork.core.manifest import WorkClass


@attrs.frozen
class QualityKey:
    """Requests that are planned alike."""

    team: TeamName
    work_class: WorkClass


@attrs.frozen
class AnswerPath:
    """How an answer came about."""

    version: VersionId
    # The signal of the answer, or after an escalation that of the first answer.
    signal: int
    # The version whose answer was insufficient, after an escalation.
    first: VersionId | None = None


@attrs.frozen
class Served:
    """An answer that may be rated later."""

    key: QualityKey
    path: AnswerPath
    # Seconds since the Unix epoch.
    at: float


@attrs.frozen
class Moments:
    """Weighted moments of scores; the weight is bounded, so old ones fade."""

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0


@attrs.frozen
class PathRatings:
    """The ratings of one path: over a long time, and the recent ones."""

    long: Moments = Moments()
    recent: Moments = Moments()


@attrs.frozen
class PlannedStep:
    """A version to try, and the signals with which its answer suffices."""

    version: VersionId
    accepted: frozenset[int]


Steps = tuple[PlannedStep, ...]


@attrs.frozen
class PlanMix:
    """Two plans, and the share of requests that get the second."""

    main: Steps
    other: Steps
    other_share: float = 0.0
    # A plan that may be cheaper, and the share of requests that try it out.
    explored: Steps = ()
    explored_share: float = 0.0


@attrs.frozen
class QualityRow:
    """What was learnt for one key, and the plans that follow from it."""

    key: QualityKey
    ratings: dict[AnswerPath, PathRatings] = attrs.field(factory=dict)
    # How often a version's first answer showed each signal; old ones fade.
    signals: dict[VersionId, tuple[float, ...]] = attrs.field(factory=dict)
    # The newest ratings of all answers, whatever their path.
    realised: Moments = Moments()
    # Seconds that whole answers of a version took.
    seconds: dict[VersionId, Moments] = attrs.field(factory=dict)
    # When the first answer was served after the last rating came.
    unrated_since: float | None = None
    mix: PlanMix | None = None
    # The candidates for which the mix was made.
    mix_for: tuple[VersionId, ...] = ()
    mix_at: float = 0.0
