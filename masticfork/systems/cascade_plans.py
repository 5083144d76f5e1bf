"""Enumerate the plans for a set of versions, with expected quality and cost."""

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
# Fraction of the quality difference between two versions by which an escalated answer
# is expected to fall below the mean of the last version.
ESCALATION_QUALITY_LOSS = 0.25


@attrs.frozen
class Option:
    """A candidate version with its cost and prior rating."""

    version: VersionId
    # Expected cost of one answer; all options use the same unit.
    cost: float
    # Expected rating before any rating has been received.
    prior: float


@attrs.frozen
class PlanEstimate:
    """A plan with its expected quality and cost."""

    steps: Steps
    quality: Estimate
    cost: float


def single_version_plan(version: VersionId) -> Steps:
    """Return the plan that uses one version and accepts every answer."""
    return (PlannedStep(version, ALL_SIGNALS),)


def estimated_plans(
    row: QualityRow, options: tuple[Option, ...], fresh: float
) -> Iterator[PlanEstimate]:
    """Yield the single-version plans and the two-step cascades.

    A cascade goes from a cheaper version to a more expensive one. It escalates on the
    signals with the lowest expected ratings.
    """
    for option in options:
        quality = version_estimate(row, option.version, option.prior, fresh)
        yield PlanEstimate(single_version_plan(option.version), quality, option.cost)
    for first in options:
        for last in options:
            if first.cost < last.cost:
                yield from _cascades(row, first, last, fresh)


def _cascades(
    row: QualityRow, first: Option, last: Option, fresh: float
) -> Iterator[PlanEstimate]:
    shares = signal_shares(row, first.version)
    pooled = pooled_mean(row, first.version, first.prior)
    not_escalated = [
        path_estimate(row, AnswerPath(first.version, s), pooled, fresh)
        for s in range(SIGNALS)
    ]
    # Escalated requests are harder than average, so until escalated answers have been
    # rated their expected rating lies below the mean of the last version.
    last_mean = version_estimate(row, last.version, last.prior, fresh).mean
    escalated = [
        path_estimate(
            row,
            AnswerPath(last.version, s, first.version),
            last_mean
            - ESCALATION_QUALITY_LOSS * max(0.0, last_mean - not_escalated[s].mean),
            fresh,
        )
        for s in range(SIGNALS)
    ]
    worst_first = sorted(range(SIGNALS), key=lambda s: not_escalated[s].mean)
    for count in range(1, SIGNALS):
        escalating = frozenset(worst_first[:count])
        parts = [
            (shares[s], escalated[s] if s in escalating else not_escalated[s])
            for s in range(SIGNALS)
        ]
        mean = sum(share * part.mean for share, part in parts)
        variance = sum(share**2 * part.variance for share, part in parts)
        cost = first.cost + last.cost * sum(shares[s] for s in escalating)
        steps = (
            PlannedStep(first.version, ALL_SIGNALS - escalating),
            *single_version_plan(last.version),
        )
        yield PlanEstimate(steps, Estimate(mean, variance), cost)
