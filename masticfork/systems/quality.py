"""Learn the quality of each way to answer from late, missing and noisy ratings."""

import math

import attrs

from masticfork.core.ids import VersionId
from masticfork.core.quality import (
    AnswerPath,
    Moments,
    PathRatings,
    QualityRow,
    Served,
)

# Signals of an answer, from 0 (poor) to the last (good).
SIGNALS = 4
LONG_WEIGHT = 1000.0
RESTART_WEIGHT = 30.0
SIGNALS_WEIGHT = 400.0
REALISED_WEIGHT = 300.0
LEAST_REALISED = 100.0
# A mean whose old values fade by 1/w varies as one of 2w values.
FADED_WORTH = 2.0
RECENT_WEIGHT = 150.0
# Recent ratings lower by so many standard errors, and a step for the skew of few bad
# ones, replace the long mean.
DRIFT_STANDARD_ERRORS = 3.0
DRIFT_LEAST_FALL = 0.015
SECONDS_WEIGHT = 200.0
PRIOR_WEIGHT = 2.0
# A few equal scores say little of the spread.
LEAST_VARIANCE = 0.02
PRIOR_VARIANCE = 0.1
# Without ratings for longer than the patience, evidence halves with each half-life.
RATING_PATIENCE_SECONDS = 240.0
EVIDENCE_HALF_LIFE_SECONDS = 120.0


@attrs.frozen
class Estimate:
    """An expected value with the variance of its error."""

    mean: float
    variance: float

    def lower(self, standard_errors: float) -> float:
        """Return the bound below the mean."""
        return self.mean - standard_errors * math.sqrt(self.variance)

    def upper(self, standard_errors: float) -> float:
        """Return the bound above the mean."""
        return self.mean + standard_errors * math.sqrt(self.variance)


def with_served(row: QualityRow, served: Served) -> QualityRow:
    """Count an answer's signal, and note that its rating is awaited."""
    path = served.path
    version = path.version if path.first is None else path.first
    counts = row.signals.get(version, (0.0,) * SIGNALS)
    fading = min(1.0, SIGNALS_WEIGHT / (sum(counts) + 1.0))
    counts = tuple(fading * (n + (i == path.signal)) for i, n in enumerate(counts))
    since = served.at if row.unrated_since is None else row.unrated_since
    signals = {**row.signals, version: counts}
    return attrs.evolve(row, signals=signals, unrated_since=since)


def with_rating(row: QualityRow, path: AnswerPath, score: float) -> QualityRow:
    """Add a rating."""
    before = row.ratings.get(path, PathRatings())
    long = add(before.long, score, LONG_WEIGHT)
    recent = add(before.recent, score, RECENT_WEIGHT)
    if _fell(long, recent):
        # The recent mean still holds some older ratings, so it weighs little.
        long = attrs.evolve(recent, weight=RESTART_WEIGHT)
    ratings = {**row.ratings, path: PathRatings(long, recent)}
    realised = add(row.realised, score, REALISED_WEIGHT)
    return attrs.evolve(row, ratings=ratings, realised=realised, unrated_since=None)


def with_seconds(row: QualityRow, version: VersionId, seconds: float) -> QualityRow:
    """Add the time that a whole answer of the version took."""
    before = row.seconds.get(version, Moments())
    after = add(before, seconds, SECONDS_WEIGHT)
    return attrs.evolve(row, seconds={**row.seconds, version: after})


def add(moments: Moments, value: float, most_weight: float) -> Moments:
    """Add a value, letting old ones fade beyond the greatest weight.

    Weighted form of Welford's update, West, CACM 22(9), 1979.
    """
    weight = moments.weight + 1.0
    gap = value - moments.mean
    mean = moments.mean + gap / weight
    squares = moments.variance * moments.weight + gap * (value - mean)
    return Moments(min(weight, most_weight), mean, squares / weight)


def freshness(row: QualityRow, now: float) -> float:
    """Return the factor, from 0 to 1, by which the evidence still counts."""
    if row.unrated_since is None:
        return 1.0
    overdue = now - row.unrated_since - RATING_PATIENCE_SECONDS
    half_lives = max(0.0, overdue / EVIDENCE_HALF_LIFE_SECONDS)
    return math.pow(0.5, half_lives)


def shortfall(row: QualityRow, target: float) -> float:
    """Return by how much the newest ratings lie below the target, doubt apart."""
    realised = row.realised
    if realised.weight < LEAST_REALISED:
        return 0.0
    variance = max(LEAST_VARIANCE, realised.variance)
    error = math.sqrt(variance / (FADED_WORTH * realised.weight))
    return max(0.0, target - realised.mean - error / 2.0)


def path_estimate(
    row: QualityRow, path: AnswerPath, prior: float, fresh: float
) -> Estimate:
    """Return the expected rating of a path, drawn towards the prior."""
    moments = row.ratings.get(path, PathRatings()).long
    weight = moments.weight * fresh
    total = weight + PRIOR_WEIGHT
    mean = (moments.mean * moments.weight + prior * PRIOR_WEIGHT) / (
        moments.weight + PRIOR_WEIGHT
    )
    spread = max(LEAST_VARIANCE, moments.variance) * weight
    variance = (spread + PRIOR_VARIANCE * PRIOR_WEIGHT) / total
    return Estimate(mean, variance / total)


def rated_weight(row: QualityRow, version: VersionId) -> float:
    """Return how much the ratings of the version's first answers weigh."""
    paths = (AnswerPath(version, signal) for signal in range(SIGNALS))
    return sum(row.ratings.get(path, PathRatings()).long.weight for path in paths)


def signal_shares(row: QualityRow, version: VersionId) -> tuple[float, ...]:
    """Return the expected share of each signal in the version's first answers."""
    counts = row.signals.get(version, (0.0,) * SIGNALS)
    total = sum(counts) + SIGNALS
    return tuple((count + 1.0) / total for count in counts)


def pooled_mean(row: QualityRow, version: VersionId, prior: float) -> float:
    """Return the mean rating of the version's first answers, drawn to the prior.

    It is the prior of each single signal, so that the signals' estimates add up.
    """
    weight, total = PRIOR_WEIGHT, PRIOR_WEIGHT * prior
    for signal in range(SIGNALS):
        moments = row.ratings.get(AnswerPath(version, signal), PathRatings()).long
        weight += moments.weight
        total += moments.weight * moments.mean
    return total / weight


def version_estimate(
    row: QualityRow, version: VersionId, prior: float, fresh: float
) -> Estimate:
    """Return the expected rating of the version's answers, whatever their signal."""
    mean, variance = 0.0, 0.0
    pooled = pooled_mean(row, version, prior)
    for signal, share in enumerate(signal_shares(row, version)):
        path = AnswerPath(version, signal)
        estimate = path_estimate(row, path, pooled, fresh)
        mean += share * estimate.mean
        variance += share**2 * estimate.variance
    return Estimate(mean, variance)


def _fell(long: Moments, recent: Moments) -> bool:
    if recent.weight < RECENT_WEIGHT or long.weight <= RECENT_WEIGHT:
        return False
    variance = max(LEAST_VARIANCE, long.variance, recent.variance)
    error = math.sqrt(variance / (FADED_WORTH * recent.weight))
    fall = long.mean - recent.mean
    return fall > DRIFT_LEAST_FALL + DRIFT_STANDARD_ERRORS * error
