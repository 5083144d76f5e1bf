"""Take ratings and counts into a roll-out's row, each exactly once."""

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
from masticfork.systems.sequential_tests import bet_above, bet_below, follow

MOST_REFERENCE_WEIGHT = 10_000.0
# A reference with fewer observations is no ground for a bet.
LEAST_REFERENCE_WEIGHT = 200.0
REFERENCE_STANDARD_ERRORS = 2.0
MARK_SECONDS = 10.0
# Answers whose rating never came are given up while ratings arrive, and at most in
# this number and ratio to rated ones, so that exposure ends where ratings end.
FORGIVEN_AT_LEAST = 4
FORGIVEN_PER_RATED = 2.0
RATINGS_FLOW_SECONDS = 60.0


@attrs.frozen
class Margin:
    """How far a mean may lie below the old version's."""

    # Less than this is not held against the new version.
    tolerated: float
    # As much as this is harm, which a step has to rule out.
    harm: float


@attrs.frozen
class Margins:
    """The margin of each measure."""

    ratings: Margin = Margin(0.0, 0.12)
    errors: Margin = Margin(0.02, 0.1)
    latency: Margin = Margin(0.03, 0.15)

    def of(self, measure: Measure) -> Margin:
        """Return the margin of one measure."""
        margins = {
            Measure.RATINGS: self.ratings,
            Measure.ERRORS: self.errors,
            Measure.LATENCY: self.latency,
        }
        return margins[measure]


def take_ratings(
    row: RolloutRow, ratings: Iterable[Rating], margins: Margins
) -> RolloutRow:
    """Add the ratings that the row does not hold yet."""
    later = sorted(
        (r for r in ratings if r.seq > row.ratings_after), key=lambda r: r.seq
    )
    if not later:
        return row
    comparison = row.comparison(Measure.RATINGS)
    rated = row.rated
    for rating in later:
        if rating.version == row.from_version:
            comparison = _with_old_rating(comparison, rating)
        elif rating.version == row.to_version:
            rated += 1
            reference = _reference_for(comparison, rating.work_class)
            margin = margins.ratings
            comparison = _bet(comparison, [rating.score], reference, margin)
    changed = _with_comparison(row, comparison)
    return attrs.evolve(changed, rated=rated, ratings_after=later[-1].seq)


def take_usages(
    row: RolloutRow, usages: Iterable[HostUsage], margins: Margins
) -> RolloutRow:
    """Add what the hosts counted since the reports that the row holds."""
    new, old, sessions, overdrawn = VersionCounts(), VersionCounts(), 0, 0
    grants = {grant.host: grant for grant in row.grants}
    for usage in sorted(usages, key=lambda u: u.host):
        grant = _grant_for(usage, grants.get(usage.host))
        if usage.began < grant.seen.began or usage.at <= grant.seen.at:
            continue
        new = _plus(new, _since(usage.new, grant.seen.new))
        old = _plus(old, _since(usage.old, grant.seen.old))
        sessions += usage.sessions - grant.seen.sessions
        # A session that keeps its version is served without a permit, and counted.
        overdrawn += max(0, usage.started - grant.granted)
        granted = max(grant.granted, usage.started)
        grants[usage.host] = attrs.evolve(grant, seen=usage, granted=granted)
    changed = attrs.evolve(
        row,
        grants=tuple(grants.values()),
        sessions=row.sessions + sessions,
        started=row.started + overdrawn,
    )
    changed = _take_counts(changed, Measure.ERRORS, new, old, margins)
    return _take_counts(changed, Measure.LATENCY, new, old, margins)


def forgive(row: RolloutRow, patience_seconds: float, now: float) -> RolloutRow:
    """Give up answers whose rating is overdue, in proportion to rated ones."""
    overdue = [mark for mark in row.marks if mark.rated_by.expired(now)]
    marks = tuple(mark for mark in row.marks if not mark.rated_by.expired(now))
    forgiven = row.forgiven
    if overdue:
        never = overdue[-1].started - row.rated
        most = FORGIVEN_AT_LEAST + int(row.rated * FORGIVEN_PER_RATED)
        if _ratings_flow(row, patience_seconds, now):
            forgiven = max(forgiven, min(never, most))
        # The last overdue mark is kept: the bound may grow with later ratings.
        marks = (overdue[-1], *marks)
    newest = marks[-1].rated_by.at - patience_seconds if marks else -math.inf
    if now >= newest + MARK_SECONDS:
        rated_by = Deadline.after(now, patience_seconds)
        marks = (*marks, ReviewMark(row.started, rated_by, row.ratings_after))
    return attrs.evolve(row, marks=marks, forgiven=forgiven)


def _ratings_flow(row: RolloutRow, patience_seconds: float, now: float) -> bool:
    made_by = Deadline(now + patience_seconds - RATINGS_FLOW_SECONDS)
    earlier = [mark for mark in row.marks if mark.rated_by <= made_by]
    return bool(earlier) and row.ratings_after > earlier[-1].ratings_after


def reference_known(row: RolloutRow) -> bool:
    """Tell whether the old version's ratings are a ground for comparison."""
    means = row.comparison(Measure.RATINGS).old_by_class
    return sum(m.mean.weight for m in means) >= LEAST_REFERENCE_WEIGHT


def _with_comparison(row: RolloutRow, comparison: Comparison) -> RolloutRow:
    comparisons = tuple(
        comparison if c.measure is comparison.measure else c for c in row.comparisons
    )
    return attrs.evolve(row, comparisons=comparisons)


def _with_old_rating(comparison: Comparison, rating: Rating) -> Comparison:
    means = {m.work_class: m.mean for m in comparison.old_by_class}
    before = means.get(rating.work_class, Mean())
    means[rating.work_class] = follow(before, rating.score, 1, MOST_REFERENCE_WEIGHT)
    by_class = tuple(ClassMean(name, mean) for name, mean in means.items())
    return attrs.evolve(comparison, old_by_class=by_class)


def _reference_for(comparison: Comparison, work_class: WorkClass) -> Mean:
    means = {m.work_class: m.mean for m in comparison.old_by_class}
    own = means.get(work_class, Mean())
    if own.weight >= LEAST_REFERENCE_WEIGHT:
        return own
    total = Mean()
    for mean in means.values():
        total = follow(total, mean.value, int(mean.weight), math.inf)
    return total


def _bet(
    comparison: Comparison, scores: Sequence[float], reference: Mean, margin: Margin
) -> Comparison:
    if not scores:
        return comparison
    mean = sum(scores) / len(scores)
    new = follow(comparison.new, mean, len(scores), math.inf)
    changed = attrs.evolve(comparison, new=new)
    if reference.weight < LEAST_REFERENCE_WEIGHT:
        return changed
    # The reference is itself an estimate; each bet is held to its careful side.
    # p(1 - p) bounds the variance of a score in [0, 1] with mean p.
    variance = reference.value * (1.0 - reference.value)
    doubt = REFERENCE_STANDARD_ERRORS * math.sqrt(variance / reference.weight)
    best, worst = reference.value - doubt, reference.value + doubt
    return attrs.evolve(
        changed,
        worse=bet_below(comparison.worse, scores, best - margin.tolerated),
        sound=bet_above(comparison.sound, scores, worst - margin.harm, at_once=True),
    )


def _take_counts(
    row: RolloutRow,
    measure: Measure,
    new: VersionCounts,
    old: VersionCounts,
    margins: Margins,
) -> RolloutRow:
    comparison = row.comparison(measure)
    bad_old = _bad(old, measure)
    if old.answered:
        score = 1.0 - bad_old / old.answered
        mean = follow(comparison.old, score, old.answered, MOST_REFERENCE_WEIGHT)
        comparison = attrs.evolve(comparison, old=mean)
    bad = _bad(new, measure)
    # The order within a report is not known, so the report is one step of the bet.
    scores = [0.0] * bad + [1.0] * (new.answered - bad)
    changed = _bet(comparison, scores, comparison.old, margins.of(measure))
    return _with_comparison(row, changed)


def _bad(counts: VersionCounts, measure: Measure) -> int:
    bad = counts.failed if measure is Measure.ERRORS else counts.slow
    return min(bad, counts.answered)


def _grant_for(usage: HostUsage, known: PermitGrant | None) -> PermitGrant:
    if known is not None and usage.began <= known.seen.began:
        return known
    # A host that began anew counts from zero and can't use what it held before,
    # which stays counted as started.
    first = HostUsage(usage.host, usage.rollout, -math.inf, usage.began)
    return PermitGrant(first)


def _since(counts: VersionCounts, seen: VersionCounts) -> VersionCounts:
    return VersionCounts(
        counts.answered - seen.answered,
        counts.failed - seen.failed,
        counts.slow - seen.slow,
    )


def _plus(one: VersionCounts, other: VersionCounts) -> VersionCounts:
    return VersionCounts(
        one.answered + other.answered,
        one.failed + other.failed,
        one.slow + other.slow,
    )
