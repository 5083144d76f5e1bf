"""Lower bounds on the cost of cascades, from knowledge that no router has."""

from collections import Counter
from collections.abc import Sequence

from bench.experiments.cascade_world import (
    CANDIDATES,
    VERSION_PROFILES,
    Request,
    true_quality,
)
from masticfork.core.quality import PlannedStep, Steps
from masticfork.systems.cascade_plans import ALL_SIGNALS, single_version_plan
from masticfork.systems.quality import SIGNALS

BISECTION_STEPS = 40


def clairvoyant_cost(requests: Sequence[Request], target: float) -> float:
    """Return the least mean cost with the mean quality at the target.

    This oracle knows the rating of every version for each request in advance. It
    solves the Lagrangian of the linear programme that chooses one version for each
    request.
    """
    low, high = 0.0, 10_000.0
    for _ in range(BISECTION_STEPS):
        multiplier = (low + high) / 2.0
        if _quality_and_cost_at(requests, multiplier)[0] >= target:
            high = multiplier
        else:
            low = multiplier
    quality, cost = _quality_and_cost_at(requests, high)
    lower_quality, lower_cost = _quality_and_cost_at(requests, low)
    return _interpolated_cost(quality, cost, lower_quality, lower_cost, target)


def plan_oracle_cost(requests: Sequence[Request], target: float) -> float:
    """Return the least mean cost of a mix of two plans.

    This oracle knows the exact quality and cost of every plan over the requests.
    """
    points = [_plan_quality_and_cost(requests, steps) for steps in _plans()]
    reaching = [point for point in points if point[0] >= target]
    costs = [cost for _, cost in reaching]
    for quality, cost in reaching:
        for lower_quality, lower_cost in points:
            if lower_quality < target and lower_cost < cost:
                costs.append(
                    _interpolated_cost(quality, cost, lower_quality, lower_cost, target)
                )
    return min(costs, default=max(cost for _, cost in points))


def _quality_and_cost_at(
    requests: Sequence[Request], multiplier: float
) -> tuple[float, float]:
    quality = cost = 0.0
    for good, count in Counter(r.good for r in requests).items():
        best = max(
            range(len(VERSION_PROFILES)),
            key=lambda i: multiplier * true_quality(good[i]) - VERSION_PROFILES[i].cost,
        )
        quality += count * true_quality(good[best])
        cost += count * VERSION_PROFILES[best].cost
    return quality / len(requests), cost / len(requests)


def _interpolated_cost(
    quality: float, cost: float, lower_quality: float, lower_cost: float, target: float
) -> float:
    if quality <= lower_quality:
        return cost
    share = min(1.0, max(0.0, (quality - target) / (quality - lower_quality)))
    return cost + share * (lower_cost - cost)


def _plans() -> list[Steps]:
    plans: list[Steps] = [single_version_plan(version) for version in CANDIDATES]
    for i, first in enumerate(CANDIDATES):
        for last in CANDIDATES[i + 1 :]:
            for lowest_accepted in range(1, SIGNALS):
                accepted = frozenset(s for s in ALL_SIGNALS if s >= lowest_accepted)
                plans.append((PlannedStep(first, accepted), *single_version_plan(last)))
    return plans


def _plan_quality_and_cost(
    requests: Sequence[Request], steps: Steps
) -> tuple[float, float]:
    quality = cost = 0.0
    for (good, signals), count in Counter(
        (r.good, r.signals) for r in requests
    ).items():
        for step in steps:
            index = CANDIDATES.index(step.version)
            cost += count * VERSION_PROFILES[index].cost
            if signals[index] in step.accepted:
                break
        quality += count * true_quality(good[index])
    return quality / len(requests), cost / len(requests)
