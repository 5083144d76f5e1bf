"""Add ratings and host counters to a rollout's row, each exactly once."""

import math
from collections.abc import Iterable, Sequence

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.manifest import WorkClass
from masticfork.core.ratings import Rating
from masticfork.core.rollouts import (
    ClassMean,
    Comparison,
    HostUsage,
    Mean,
    Measure,
    PermitGrant,
    ReviewMark,
    RolloutRow,
    VersionCounts,
)
from masticfork.systems.sequential_tests import bet_above, bet_below, update_mean

MAX_REFERENCE_WEIGHT = 10_000.0
# With fewer observations of the old version, scores do not update the tests.
MIN_REFERENCE_WEIGHT = 200.0
REFERENCE_STANDARD_ERRORS = 2.0
REVIEW_MARK_INTERVAL_SECONDS = 10.0
# Answers whose rating is overdue are written off only while other ratings arrive, and
# up to a base limit plus a multiple of the rated answers. When ratings stop, the
# unrated answers therefore reach their cap and no more are started.
BASE_WRITE_OFF_LIMIT = 4
WRITE_OFFS_PER_RATED = 2.0
# Ratings count as arriving if one came since a review mark at least this old.
RATINGS_ARRIVING_SECONDS = 60.0


@attrs.frozen
class Margin:
    """How far a mean in [0, 1] may lie below the old version's."""

    # A smaller deficit does not count as evidence of harm.
    tolerated: float
    # A deficit of this size is harm, which each step has to rule out.
    harm: float


@attrs.frozen
class Margins:
    """The margin of each measure."""

    ratings: Margin = Margin(0.0, 0.12)
    errors: Margin = Margin(0.02, 0.1)
    latency: Margin = Margin(0.03, 0.15)

    def for_measure(self, measure: Measure) -> Margin:
        """Return the margin of the measure."""
        margins = {
            Measure.RATINGS: self.ratings,
            Measure.ERRORS: self.errors,
            Measure.LATENCY: self.latency,
        }
        return margins[measure]


def add_ratings(
    row: RolloutRow, ratings: Iterable[Rating], margins: Margins
) -> RolloutRow:
    """Return the row with the ratings that are newer than its last one added."""
    unseen = sorted(
        (r for r in ratings if r.seq > row.ratings_after), key=lambda r: r.seq
    )
    if not unseen:
        return row
    comparison = row.comparison(Measure.RATINGS)
    rated = row.rated
    for rating in unseen:
        if rating.version == row.from_version:
            comparison = _add_old_rating(comparison, rating)
        elif rating.version == row.to_version:
            rated += 1
            reference = _reference_for(comparison, rating.work_class)
            margin = margins.ratings
            comparison = _add_scores(comparison, [rating.score], reference, margin)
    changed = _replace_comparison(row, comparison)
    return attrs.evolve(changed, rated=rated, ratings_after=unseen[-1].seq)


def add_host_usages(
    row: RolloutRow, usages: Iterable[HostUsage], margins: Margins
) -> RolloutRow:
    """Add what the hosts counted since their reports that the row holds."""
    new, old, sessions, beyond_grant = VersionCounts(), VersionCounts(), 0, 0
    grants = {grant.host: grant for grant in row.grants}
    for usage in sorted(usages, key=lambda u: u.host):
        grant = _grant_for(usage, grants.get(usage.host))
        if usage.began < grant.seen.began or usage.at <= grant.seen.at:
            continue
        new = _sum_counts(new, _subtract_counts(usage.new, grant.seen.new))
        old = _sum_counts(old, _subtract_counts(usage.old, grant.seen.old))
        sessions += usage.sessions - grant.seen.sessions
        # Pinned sessions are served without a permit, so a host may have started more
        # answers than it was granted; the excess counts as started too.
        beyond_grant += max(0, usage.started - grant.granted)
        granted = max(grant.granted, usage.started)
        grants[usage.host] = attrs.evolve(grant, seen=usage, granted=granted)
    changed = attrs.evolve(
        row,
        grants=tuple(grants.values()),
        sessions=row.sessions + sessions,
        started=row.started + beyond_grant,
    )
    changed = _add_version_counts(changed, Measure.ERRORS, new, old, margins)
    return _add_version_counts(changed, Measure.LATENCY, new, old, margins)


def write_off_overdue_answers(
    row: RolloutRow, rating_timeout_seconds: float, now: float
) -> RolloutRow:
    """Write off answers whose rating is overdue, in proportion to the rated ones.

    `now` is in seconds since the Unix epoch.
    """
    overdue = [mark for mark in row.marks if mark.rated_by.expired(now)]
    marks = tuple(mark for mark in row.marks if not mark.rated_by.expired(now))
    forgiven = row.forgiven
    if overdue:
        unrated = overdue[-1].started - row.rated
        limit = BASE_WRITE_OFF_LIMIT + int(row.rated * WRITE_OFFS_PER_RATED)
        if _ratings_arriving(row, rating_timeout_seconds, now):
            forgiven = max(forgiven, min(unrated, limit))
        # Keep the last overdue mark: more may be written off once more are rated.
        marks = (overdue[-1], *marks)
    newest_made_at = (
        marks[-1].rated_by.at - rating_timeout_seconds if marks else -math.inf
    )
    if now >= newest_made_at + REVIEW_MARK_INTERVAL_SECONDS:
        rated_by = Deadline.after(now, rating_timeout_seconds)
        marks = (*marks, ReviewMark(row.started, rated_by, row.ratings_after))
    return attrs.evolve(row, marks=marks, forgiven=forgiven)


def _ratings_arriving(
    row: RolloutRow, rating_timeout_seconds: float, now: float
) -> bool:
    rated_by_bound = Deadline(now + rating_timeout_seconds - RATINGS_ARRIVING_SECONDS)
    earlier = [mark for mark in row.marks if mark.rated_by <= rated_by_bound]
    return bool(earlier) and row.ratings_after > earlier[-1].ratings_after


def has_sufficient_reference(row: RolloutRow) -> bool:
    """Return whether the old version has enough ratings to compare against."""
    means = row.comparison(Measure.RATINGS).old_by_class
    return sum(m.mean.weight for m in means) >= MIN_REFERENCE_WEIGHT


def _replace_comparison(row: RolloutRow, comparison: Comparison) -> RolloutRow:
    comparisons = tuple(
        comparison if c.measure is comparison.measure else c for c in row.comparisons
    )
    return attrs.evolve(row, comparisons=comparisons)


def _add_old_rating(comparison: Comparison, rating: Rating) -> Comparison:
    means = {m.work_class: m.mean for m in comparison.old_by_class}
    before = means.get(rating.work_class, Mean())
    means[rating.work_class] = update_mean(
        before, rating.score, 1, MAX_REFERENCE_WEIGHT
    )
    by_class = tuple(ClassMean(name, mean) for name, mean in means.items())
    return attrs.evolve(comparison, old_by_class=by_class)


def _reference_for(comparison: Comparison, work_class: WorkClass) -> Mean:
    means = {m.work_class: m.mean for m in comparison.old_by_class}
    own = means.get(work_class, Mean())
    if own.weight >= MIN_REFERENCE_WEIGHT:
        return own
    total = Mean()
    for mean in means.values():
        total = update_mean(total, mean.value, int(mean.weight), math.inf)
    return total


def _add_scores(
    comparison: Comparison, scores: Sequence[float], reference: Mean, margin: Margin
) -> Comparison:
    if not scores:
        return comparison
    mean = sum(scores) / len(scores)
    new = update_mean(comparison.new, mean, len(scores), math.inf)
    changed = attrs.evolve(comparison, new=new)
    if reference.weight < MIN_REFERENCE_WEIGHT:
        return changed
    # The reference is itself an estimate, so each test uses the end of its confidence
    # interval that yields less evidence.
    # p(1 - p) bounds the variance of a score in [0, 1] with mean p.
    variance = reference.value * (1.0 - reference.value)
    half_width = REFERENCE_STANDARD_ERRORS * math.sqrt(variance / reference.weight)
    lower, upper = reference.value - half_width, reference.value + half_width
    return attrs.evolve(
        changed,
        worse=bet_below(comparison.worse, scores, lower - margin.tolerated),
        sound=bet_above(
            comparison.sound, scores, upper - margin.harm, start_immediately=True
        ),
    )


def _add_version_counts(
    row: RolloutRow,
    measure: Measure,
    new: VersionCounts,
    old: VersionCounts,
    margins: Margins,
) -> RolloutRow:
    comparison = row.comparison(measure)
    bad_old = _bad_count(old, measure)
    if old.answered:
        score = 1.0 - bad_old / old.answered
        mean = update_mean(comparison.old, score, old.answered, MAX_REFERENCE_WEIGHT)
        comparison = attrs.evolve(comparison, old=mean)
    bad = _bad_count(new, measure)
    # The order of answers within a report is unknown, so a report is one test step.
    scores = [0.0] * bad + [1.0] * (new.answered - bad)
    changed = _add_scores(
        comparison, scores, comparison.old, margins.for_measure(measure)
    )
    return _replace_comparison(row, changed)


def _bad_count(counts: VersionCounts, measure: Measure) -> int:
    bad = counts.failed if measure is Measure.ERRORS else counts.slow
    return min(bad, counts.answered)


def _grant_for(usage: HostUsage, current: PermitGrant | None) -> PermitGrant:
    if current is not None and usage.began <= current.seen.began:
        return current
    # A restarted host counts from zero and cannot use its earlier permits; those stay
    # counted as started.
    first = HostUsage(usage.host, usage.rollout, -math.inf, usage.began)
    return PermitGrant(first)


def _subtract_counts(counts: VersionCounts, seen: VersionCounts) -> VersionCounts:
    return VersionCounts(
        counts.answered - seen.answered,
        counts.failed - seen.failed,
        counts.slow - seen.slow,
    )


def _sum_counts(one: VersionCounts, other: VersionCounts) -> VersionCounts:
    return VersionCounts(
        one.answered + other.answered,
        one.failed + other.failed,
        one.slow + other.slow,
    )
