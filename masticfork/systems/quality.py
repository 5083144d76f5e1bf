"""Estimate the quality of each answer path from delayed, missing, noisy ratings."""

import math

import attrs

from masticfork.core.ids import VersionId
from masticfork.core.quality import (
    AnswerPath,
    Moments,
    PathRatings,
    QualityRow,
    ServedAnswer,
)

# Number of signal values of an answer, from 0 (poor) to the last (good).
SIGNALS = 4
# The MAX_* weights bound the moving averages, in observations: beyond the bound, older
# observations decay.
MAX_LONG_TERM_WEIGHT = 1000.0
# Weight of the long-term mean after it restarts from the recent ratings.
DRIFT_RESTART_WEIGHT = 30.0
MAX_SIGNAL_COUNT = 400.0
MAX_REALISED_WEIGHT = 300.0
# Minimum weight of recent ratings for computing a shortfall.
MIN_REALISED_WEIGHT = 100.0
# A mean with exponential decay of 1/w has the variance of a mean over 2w values.
SAMPLES_PER_WEIGHT = 2.0
MAX_RECENT_WEIGHT = 150.0
# The long-term mean restarts when the recent mean is lower by more than this many
# standard errors plus a fixed drop, which allows for the skew of rare bad ratings.
DRIFT_STANDARD_ERRORS = 3.0
MIN_DRIFT_DROP = 0.015
MAX_SECONDS_WEIGHT = 200.0
PRIOR_WEIGHT = 2.0
# Lower bound of the variance: a few equal scores underestimate it.
MIN_VARIANCE = 0.02
PRIOR_VARIANCE = 0.1
# When ratings are overdue by more than this delay, the weight of the evidence halves
# with each half-life.
MAX_RATING_DELAY_SECONDS = 240.0
EVIDENCE_HALF_LIFE_SECONDS = 120.0


@attrs.frozen
class Estimate:
    """An expected value with the variance of its error."""

    mean: float
    variance: float

    def lower(self, standard_errors: float) -> float:
        """Return the lower confidence bound."""
        return self.mean - standard_errors * math.sqrt(self.variance)

    def upper(self, standard_errors: float) -> float:
        """Return the upper confidence bound."""
        return self.mean + standard_errors * math.sqrt(self.variance)


def with_served(row: QualityRow, served: ServedAnswer) -> QualityRow:
    """Return the row with the signal of an answer counted and its rating pending."""
    path = served.path
    version = path.version if path.first is None else path.first
    counts = row.signals.get(version, (0.0,) * SIGNALS)
    decay = min(1.0, MAX_SIGNAL_COUNT / (sum(counts) + 1.0))
    counts = tuple(decay * (n + (i == path.signal)) for i, n in enumerate(counts))
    since = served.at if row.unrated_since is None else row.unrated_since
    signals = {**row.signals, version: counts}
    return attrs.evolve(row, signals=signals, unrated_since=since)


def with_rating(row: QualityRow, path: AnswerPath, score: float) -> QualityRow:
    """Return the row with a rating added."""
    before = row.ratings.get(path, PathRatings())
    long = add(before.long, score, MAX_LONG_TERM_WEIGHT)
    recent = add(before.recent, score, MAX_RECENT_WEIGHT)
    if _has_dropped(long, recent):
        # The recent mean still includes some ratings from before the drop, so it
        # restarts with a low weight.
        long = attrs.evolve(recent, weight=DRIFT_RESTART_WEIGHT)
    ratings = {**row.ratings, path: PathRatings(long, recent)}
    realised = add(row.realised, score, MAX_REALISED_WEIGHT)
    return attrs.evolve(row, ratings=ratings, realised=realised, unrated_since=None)


def with_seconds(row: QualityRow, version: VersionId, seconds: float) -> QualityRow:
    """Return the row with the time of a complete answer of the version added."""
    before = row.seconds.get(version, Moments())
    after = add(before, seconds, MAX_SECONDS_WEIGHT)
    return attrs.evolve(row, seconds={**row.seconds, version: after})


def add(moments: Moments, value: float, max_weight: float) -> Moments:
    """Return the moments with a value added; old values decay beyond `max_weight`.

    Source: D. H. D. West's weighted form of Welford's update, CACM 22(9), 1979.
    """
    weight = moments.weight + 1.0
    deviation = value - moments.mean
    mean = moments.mean + deviation / weight
    squares = moments.variance * moments.weight + deviation * (value - mean)
    return Moments(min(weight, max_weight), mean, squares / weight)


def freshness(row: QualityRow, now: float) -> float:
    """Return the weight factor of the ratings, 1 to 0, by how long new ones are due."""
    if row.unrated_since is None:
        return 1.0
    overdue = now - row.unrated_since - MAX_RATING_DELAY_SECONDS
    half_lives = max(0.0, overdue / EVIDENCE_HALF_LIFE_SECONDS)
    return math.pow(0.5, half_lives)


def shortfall(row: QualityRow, target: float) -> float:
    """Return how far recent ratings miss the target, less half a standard error."""
    realised = row.realised
    if realised.weight < MIN_REALISED_WEIGHT:
        return 0.0
    variance = max(MIN_VARIANCE, realised.variance)
    error = math.sqrt(variance / (SAMPLES_PER_WEIGHT * realised.weight))
    return max(0.0, target - realised.mean - error / 2.0)


def path_estimate(
    row: QualityRow, path: AnswerPath, prior: float, fresh: float
) -> Estimate:
    """Return the expected rating of a path, shrunk towards the prior."""
    moments = row.ratings.get(path, PathRatings()).long
    weight = moments.weight * fresh
    total = weight + PRIOR_WEIGHT
    mean = (moments.mean * moments.weight + prior * PRIOR_WEIGHT) / (
        moments.weight + PRIOR_WEIGHT
    )
    spread = max(MIN_VARIANCE, moments.variance) * weight
    variance = (spread + PRIOR_VARIANCE * PRIOR_WEIGHT) / total
    return Estimate(mean, variance / total)


def rated_weight(row: QualityRow, version: VersionId) -> float:
    """Return the total weight of the ratings of the version's first answers."""
    paths = (AnswerPath(version, signal) for signal in range(SIGNALS))
    return sum(row.ratings.get(path, PathRatings()).long.weight for path in paths)


def signal_shares(row: QualityRow, version: VersionId) -> tuple[float, ...]:
    """Return the expected share of each signal among the version's first answers."""
    counts = row.signals.get(version, (0.0,) * SIGNALS)
    total = sum(counts) + SIGNALS
    return tuple((count + 1.0) / total for count in counts)


def pooled_mean(row: QualityRow, version: VersionId, prior: float) -> float:
    """Return the mean rating of the version's first answers, shrunk to the prior.

    It serves as the prior of each signal, which keeps the estimates of the signals
    consistent with that of the version.
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
    """Return the expected rating of the version's answers over all signals."""
    mean, variance = 0.0, 0.0
    pooled = pooled_mean(row, version, prior)
    for signal, share in enumerate(signal_shares(row, version)):
        path = AnswerPath(version, signal)
        estimate = path_estimate(row, path, pooled, fresh)
        mean += share * estimate.mean
        variance += share**2 * estimate.variance
    return Estimate(mean, variance)


def _has_dropped(long: Moments, recent: Moments) -> bool:
    if recent.weight < MAX_RECENT_WEIGHT or long.weight <= MAX_RECENT_WEIGHT:
        return False
    variance = max(MIN_VARIANCE, long.variance, recent.variance)
    error = math.sqrt(variance / (SAMPLES_PER_WEIGHT * recent.weight))
    drop = long.mean - recent.mean
    return drop > MIN_DRIFT_DROP + DRIFT_STANDARD_ERRORS * error
