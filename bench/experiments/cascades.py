"""Simulate cascades: quality against the target and cost against baselines."""

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
    CascadeSimulation,
    Outcome,
    Scenario,
    draw_requests,
)
from masticfork.core.quality import QualityKey
from masticfork.systems.cascades import (
    AlwaysCheapest,
    AlwaysStrongest,
    CascadePolicy,
    FixedThreshold,
    LearnedCascade,
)

# Costs are compared after this share of the run, qualities from its start.
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
    """The results of one seed."""

    # Minimum over teams and classes of mean quality minus target, over all requests.
    worst_gap: float
    # Mean quality minus target over all requests.
    gap: float
    late_gap: float
    cost: float
    late_cost: float
    plan_oracle: float
    clairvoyant: float


def simulate(scenario: Scenario, policy: str, seed: int) -> Figures:
    """Run one seed of a scenario with a policy."""
    requests = draw_requests(scenario, seed)
    outcomes = CascadeSimulation(scenario, POLICIES[policy], seed).run(requests)
    after_warm_up = [
        o for o in outcomes if o.request.at >= scenario.seconds * WARM_UP_SHARE
    ]
    late = [o for o in outcomes if o.request.at >= scenario.seconds * 0.65]
    groups = _group_by_key(outcomes)
    plan_oracle = clairvoyant = 0.0
    for key, members in _group_by_key(after_warm_up).items():
        requests_of_key = [outcome.request for outcome in members]
        share = len(requests_of_key) / len(after_warm_up)
        plan_oracle += share * plan_oracle_cost(requests_of_key, TARGETS[key.team])
        clairvoyant += share * clairvoyant_cost(requests_of_key, TARGETS[key.team])
    return Figures(
        min(_mean_gap(members) for members in groups.values()),
        _mean_gap(outcomes),
        _mean_gap(late),
        statistics.fmean(o.cost for o in after_warm_up),
        statistics.fmean(o.cost for o in late),
        plan_oracle,
        clairvoyant,
    )


def summary(figures: Sequence[Figures]) -> str:
    """Return the figures of one scenario as one line."""
    count = len(figures)
    met_overall = sum(f.gap >= 0.0 for f in figures)
    met_in_each_group = sum(f.worst_gap >= 0.0 for f in figures)
    met_late = sum(f.late_gap >= 0.0 for f in figures)
    cost = statistics.fmean(f.cost for f in figures)
    saving = 1.0 - cost / LARGE.cost
    to_plan = [f.cost / f.plan_oracle for f in figures]
    to_clairvoyant = [f.cost / f.clairvoyant for f in figures]
    worst_gap = min(f.worst_gap for f in figures)
    parts = [
        f"at target overall {met_overall}/{count}",
        f"each group {met_in_each_group}/{count} (worst {worst_gap:+.4f})",
        f"in the last third {met_late}/{count}",
        f"cost {cost:.2f} ({saving:.0%} below strongest)",
        f"x plan oracle p50 {statistics.median(to_plan):.3f} max {max(to_plan):.3f}",
        f"x clairvoyant p50 {statistics.median(to_clairvoyant):.2f}",
        f"late cost {statistics.fmean(f.late_cost for f in figures):.2f}",
    ]
    return ", ".join(parts)


def _group_by_key(outcomes: Iterable[Outcome]) -> dict[QualityKey, list[Outcome]]:
    groups: dict[QualityKey, list[Outcome]] = {}
    for outcome in outcomes:
        groups.setdefault(outcome.request.key, []).append(outcome)
    return groups


def _mean_gap(outcomes: Sequence[Outcome]) -> float:
    gaps = (o.quality - TARGETS[o.request.key.team] for o in outcomes)
    return statistics.fmean(gaps)


@click.command()
@click.option("--seeds", default=100, show_default=True)
@click.option("--first-seed", default=0, show_default=True)
@click.option("--workers", default=2, show_default=True)
@click.option("--only", default="", help="Run only scenarios whose name contains this.")
@click.option("--policy", "names", multiple=True, default=tuple(POLICIES))
def main(
    seeds: int, first_seed: int, workers: int, only: str, names: tuple[str, ...]
) -> None:
    """Run each scenario with each policy and print a line for each."""
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
