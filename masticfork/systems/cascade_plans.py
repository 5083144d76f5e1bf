"""The plans that a set of versions allows, with their quality and cost."""

from collections.abc import Iterator

import attrs

from masticfork.core.ids import VersionId
from masticfork.core.quality import AnswerPath, PlannedStep, QualityRow, Steps
from masticfork.systems.quality import (
    SIGNALS,
    Estimate,
    path_estimate,
    pooled_mean,
    signal_shares,
    version_estimate,
)

ALL_SIGNALS = frozenset(range(SIGNALS))
# Share of the gap between two versions that an escalated answer is expected to lose.
HARDER = 0.25


@attrs.frozen
class Option:
    """A version that may answer."""

    version: VersionId
    # Expected cost of one answer, in any one unit.
    cost: float
    # Rating expected before any evidence.
    prior: float


@attrs.frozen
class Valued:
    """A plan with what is expected of it."""

    steps: Steps
    quality: Estimate
    cost: float


def single(version: VersionId) -> Steps:
    """Return the plan of one version whose answer is always taken."""
    return (PlannedStep(version, ALL_SIGNALS),)


def valued_plans(
    row: QualityRow, options: tuple[Option, ...], fresh: float
) -> Iterator[Valued]:
    """Yield each version alone, and each cheaper one with an escalation to another.

    The signals that escalate are those with the lowest ratings.
    """
    for option in options:
        quality = version_estimate(row, option.version, option.prior, fresh)
        yield Valued(single(option.version), quality, option.cost)
    for first in options:
        for last in options:
            if first.cost < last.cost:
                yield from _cascades(row, first, last, fresh)


def _cascades(
    row: QualityRow, first: Option, last: Option, fresh: float
) -> Iterator[Valued]:
    shares = signal_shares(row, first.version)
    pooled = pooled_mean(row, first.version, first.prior)
    kept = [
        path_estimate(row, AnswerPath(first.version, s), pooled, fresh)
        for s in range(SIGNALS)
    ]
    # A request that the first version failed is harder than most, so until ratings
    # of escalated answers come they are expected below the last version's mean.
    last_mean = version_estimate(row, last.version, last.prior, fresh).mean
    escalated = [
        path_estimate(
            row,
            AnswerPath(last.version, s, first.version),
            last_mean - HARDER * max(0.0, last_mean - kept[s].mean),
            fresh,
        )
        for s in range(SIGNALS)
    ]
    worst_first = sorted(range(SIGNALS), key=lambda s: kept[s].mean)
    for count in range(1, SIGNALS):
        escalating = frozenset(worst_first[:count])
        parts = [
            (shares[s], escalated[s] if s in escalating else kept[s])
            for s in range(SIGNALS)
        ]
        mean = sum(share * part.mean for share, part in parts)
        variance = sum(share**2 * part.variance for share, part in parts)
        cost = first.cost + last.cost * sum(shares[s] for s in escalating)
        steps = (
            PlannedStep(first.version, ALL_SIGNALS - escalating),
            *single(last.version),
        )
        yield Valued(steps, Estimate(mean, variance), cost)
