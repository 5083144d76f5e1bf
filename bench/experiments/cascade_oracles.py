"""Oracles that know what no router knows, as bounds for the cascades."""

from collections import Counter
from collections.abc import Sequence

from bench.experiments.cascade_world import CANDIDATES, KINDS, Request, quality_of
from masticfork.core.quality import PlannedStep, Steps
from masticfork.systems.cascade_plans import ALL_SIGNALS, single_version_plan
from masticfork.systems.quality import SIGNALS

BISECTIONS = 40


def clairvoyant_cost(requests: Sequence[Request], target: float) -> float:
    """Return the least mean cost with the mean quality at the target.

    It knows each version's rating of each request before it asks: the Lagrangian
    of the linear programme over the choice of one version for each request.
    """
    low, high = 0.0, 10_000.0
    for _ in range(BISECTIONS):
        price = (low + high) / 2.0
        if _at_price(requests, price)[0] >= target:
            high = price
        else:
            low = price
    quality, cost = _at_price(requests, high)
    short_quality, short_cost = _at_price(requests, low)
    return _between(quality, cost, short_quality, short_cost, target)


def plan_oracle_cost(requests: Sequence[Request], target: float) -> float:
    """Return the least mean cost of a mix of two plans, each known exactly."""
    points = [_plan_point(requests, steps) for steps in _plans()]
    reaching = [p for p in points if p[0] >= target]
    costs = [cost for _, cost in reaching]
    for quality, cost in reaching:
        for low, cheaper in points:
            if low < target and cheaper < cost:
                costs.append(_between(quality, cost, low, cheaper, target))
    return min(costs, default=max(cost for _, cost in points))


def _at_price(requests: Sequence[Request], price: float) -> tuple[float, float]:
    quality = cost = 0.0
    for good, count in Counter(r.good for r in requests).items():
        best = max(
            range(len(KINDS)),
            key=lambda i: price * quality_of(good[i]) - KINDS[i].cost,
        )
        quality += count * quality_of(good[best])
        cost += count * KINDS[best].cost
    return quality / len(requests), cost / len(requests)


def _between(
    quality: float, cost: float, low: float, cheaper: float, target: float
) -> float:
    if quality <= low:
        return cost
    share = min(1.0, max(0.0, (quality - target) / (quality - low)))
    return cost + share * (cheaper - cost)


def _plans() -> list[Steps]:
    plans: list[Steps] = [single_version_plan(version) for version in CANDIDATES]
    for i, first in enumerate(CANDIDATES):
        for last in CANDIDATES[i + 1 :]:
            for least in range(1, SIGNALS):
                accepted = frozenset(s for s in ALL_SIGNALS if s >= least)
                plans.append((PlannedStep(first, accepted), *single_version_plan(last)))
    return plans


def _plan_point(requests: Sequence[Request], steps: Steps) -> tuple[float, float]:
    quality = cost = 0.0
    for (good, signals), count in Counter(
        (r.good, r.signals) for r in requests
    ).items():
        for step in steps:
            place = CANDIDATES.index(step.version)
            cost += count * KINDS[place].cost
            if signals[place] in step.accepted:
                break
        quality += count * quality_of(good[place])
    return quality / len(requests), cost / len(requests)
