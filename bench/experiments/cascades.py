"""Measure cascades: quality at the target and cost against baselines, over seeds."""

import statistics
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import attrs
import click

from bench.experiments.cascade_oracles import clairvoyant_cost, plan_oracle_cost
from bench.experiments.cascade_world import (
    LARGE,
    TARGETS,
    Outcome,
    Scenario,
    World,
    requests_of,
)
from masticfork.core.quality import QualityKey
from masticfork.systems.cascades import (
    AlwaysCheapest,
    AlwaysStrongest,
    CascadePolicy,
    FixedThreshold,
    LearnedCascade,
)

# Cost is compared after this share of the time; quality from the start.
WARM_UP_SHARE = 0.25
POLICIES: dict[str, CascadePolicy] = {
    "learnt": LearnedCascade(),
    "strongest": AlwaysStrongest(),
    "cheapest": AlwaysCheapest(),
    "fixed": FixedThreshold(),
}
SCENARIOS = (
    Scenario("mixed"),
    Scenario("half of ratings lost", rating_loss=0.5),
    Scenario("5% of ratings flipped", flipped=0.05),
    Scenario("ratings stop at 1800 s", ratings_stop_at=1800.0),
    Scenario("small turns bad at 1800 s", small_turns_bad_at=1800.0),
    Scenario("ratings stop, then small turns bad", 10.0, 3600.0, 0.1, 0.0, 1500, 2100),
)


@attrs.frozen
class Figures:
    """One seed's result."""

    # Least of mean quality minus target over teams and classes; all requests.
    worst_gap: float
    # Mean quality minus target over all requests.
    gap: float
    late_gap: float
    cost: float
    late_cost: float
    plan_oracle: float
    clairvoyant: float


def simulate(scenario: Scenario, policy: str, seed: int) -> Figures:
    """Run one seed."""
    requests = requests_of(scenario, seed)
    outcomes = World(scenario, POLICIES[policy], seed).run(requests)
    warm = [o for o in outcomes if o.request.at >= scenario.seconds * WARM_UP_SHARE]
    late = [o for o in outcomes if o.request.at >= scenario.seconds * 0.65]
    groups = _by_key(outcomes)
    plan_oracle = clairvoyant = 0.0
    for key, members in _by_key(warm).items():
        asked = [outcome.request for outcome in members]
        share = len(asked) / len(warm)
        plan_oracle += share * plan_oracle_cost(asked, TARGETS[key.team])
        clairvoyant += share * clairvoyant_cost(asked, TARGETS[key.team])
    return Figures(
        min(_gap(members) for members in groups.values()),
        _gap(outcomes),
        _gap(late),
        statistics.fmean(o.cost for o in warm),
        statistics.fmean(o.cost for o in late),
        plan_oracle,
        clairvoyant,
    )


def summary(figures: Sequence[Figures]) -> str:
    """Return the figures of one scenario as one line."""
    count = len(figures)
    overall = sum(f.gap >= 0.0 for f in figures)
    each = sum(f.worst_gap >= 0.0 for f in figures)
    late = sum(f.late_gap >= 0.0 for f in figures)
    cost = statistics.fmean(f.cost for f in figures)
    below = 1.0 - cost / LARGE.cost
    by_plan = [f.cost / f.plan_oracle for f in figures]
    by_clairvoyant = [f.cost / f.clairvoyant for f in figures]
    worst = min(f.worst_gap for f in figures)
    parts = [
        f"at target overall {overall}/{count}",
        f"each group {each}/{count} (worst {worst:+.4f})",
        f"in the last third {late}/{count}",
        f"cost {cost:.2f} ({below:.0%} below strongest)",
        f"x plan oracle p50 {statistics.median(by_plan):.3f} max {max(by_plan):.3f}",
        f"x clairvoyant p50 {statistics.median(by_clairvoyant):.2f}",
        f"late cost {statistics.fmean(f.late_cost for f in figures):.2f}",
    ]
    return ", ".join(parts)


def _by_key(outcomes: Iterable[Outcome]) -> dict[QualityKey, list[Outcome]]:
    groups: dict[QualityKey, list[Outcome]] = {}
    for outcome in outcomes:
        groups.setdefault(outcome.request.key, []).append(outcome)
    return groups


def _gap(outcomes: Sequence[Outcome]) -> float:
    gaps = (o.quality - TARGETS[o.request.key.team] for o in outcomes)
    return statistics.fmean(gaps)


@click.command()
@click.option("--seeds", default=100, show_default=True)
@click.option("--first-seed", default=0, show_default=True)
@click.option("--workers", default=2, show_default=True)
@click.option("--only", default="", help="Run scenarios whose name holds this.")
@click.option("--policy", "names", multiple=True, default=tuple(POLICIES))
def main(
    seeds: int, first_seed: int, workers: int, only: str, names: tuple[str, ...]
) -> None:
    """Run each scenario with each policy and print a line of figures."""
    numbers = range(first_seed, first_seed + seeds)
    with ProcessPoolExecutor(workers) as pool:
        for scenario in SCENARIOS:
            if only not in scenario.name:
                continue
            for name in names:
                run = partial(simulate, scenario, name)
                figures = list(pool.map(run, numbers))
                click.echo(f"{scenario.name} | {name} | {summary(figures)}")


if __name__ == "__main__":
    main()
