"""Simulate rollouts: exposure, false withdrawals and time to full, over seeds."""

import statistics
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import click

from bench.experiments.rollout_world import Outcome, RolloutSimulation, Scenario
from masticfork.core.rollouts import RolloutState
from masticfork.systems.rollout_policies import (
    RolloutPolicy,
    SequentialPolicy,
    TimedPolicy,
)

# Target for the answers of a bad version until it is withdrawn.
EXPOSED_TARGET = 30
POLICIES: dict[str, RolloutPolicy] = {
    "sequential": SequentialPolicy(),
    "timed": TimedPolicy(),
}
SCENARIOS = (
    Scenario("bad 40%, 4 hosts", hosts=4, bad=0.4),
    Scenario("bad 40%, 24 hosts", hosts=24, bad=0.4),
    Scenario("equal, 4 hosts", hosts=4),
    Scenario("equal, 24 hosts", hosts=24),
    Scenario("equal, watched to the end", hosts=4, watch=True),
    Scenario("equal, 4 sessions/s", hosts=4, rate=4.0, seconds=7200.0),
    Scenario("failing 20%", hosts=4, failed=0.2),
    Scenario("slow 40%", hosts=4, slow=0.4),
    Scenario("bad 40%, 3 answers a session", hosts=4, bad=0.4, answers_a_session=3),
    Scenario("bad 40% from step 1", hosts=4, bad=0.4, bad_from_step=1),
    Scenario("bad 40% from full", hosts=4, bad=0.4, bad_from_step=3, watch=True),
    Scenario("bad 40%, ratings 4x late", hosts=4, bad=0.4, rating_slowdown=4.0),
    Scenario("bad 40%, 30% unrated", hosts=4, bad=0.4, rating_loss=0.3),
    Scenario("equal, 30% unrated", hosts=4, rating_loss=0.3),
    Scenario("ratings gone from 60 s", hosts=4, ratings_gone=(60.0, 1e9)),
    Scenario("equal, ratings gone 60-660 s", hosts=4, ratings_gone=(60.0, 660.0)),
    Scenario("bad 40%, driver gone 20-80 s", hosts=4, bad=0.4, driver_gone=(20, 80)),
    Scenario("equal, driver gone 100-200 s", hosts=4, driver_gone=(100, 200)),
)


def simulate(scenario: Scenario, policy: str, seed: int) -> Outcome:
    """Run one seed of a scenario with a policy."""
    return RolloutSimulation(scenario, POLICIES[policy], seed).run()


def summary(outcomes: Sequence[Outcome]) -> str:
    """Return the figures of one scenario as one line."""
    exposed = [float(o.exposed) for o in outcomes]
    after_turn = [float(o.exposed_after_turn) for o in outcomes]
    full_at = [o.full_at for o in outcomes if o.full_at is not None]
    within_target = sum(e <= EXPOSED_TARGET for e in exposed) / len(exposed)
    parts = [
        f"withdrawn {_count_in_state(outcomes, RolloutState.WITHDRAWN)}",
        f"paused {_count_in_state(outcomes, RolloutState.PAUSED)}",
        f"full {len(full_at)}",
        f"exposed {_percentiles(exposed)}",
        f"<= {EXPOSED_TARGET} in {within_target:.1%}",
        f"after the turn {_percentiles(after_turn)}",
        f"full at {_percentiles(full_at)} s" if full_at else "never full",
    ]
    return ", ".join(parts)


def _count_in_state(outcomes: Sequence[Outcome], state: RolloutState) -> int:
    return sum(outcome.state is state for outcome in outcomes)


def _percentiles(values: Sequence[float]) -> str:
    in_order = sorted(values)
    p95 = in_order[min(len(in_order) - 1, int(0.95 * len(in_order)))]
    return f"p50 {statistics.median(in_order):.0f} p95 {p95:.0f} max {in_order[-1]:.0f}"


@click.command()
@click.option("--seeds", default=100, show_default=True)
@click.option("--workers", default=2, show_default=True)
@click.option("--only", default="", help="Run only scenarios whose name contains this.")
@click.option("--policy", "names", multiple=True, default=tuple(POLICIES))
def main(seeds: int, workers: int, only: str, names: tuple[str, ...]) -> None:
    """Run each scenario with each policy and print a line for each."""
    with ProcessPoolExecutor(workers) as pool:
        for scenario in SCENARIOS:
            if only not in scenario.name:
                continue
            for name in names:
                run = partial(simulate, scenario, name)
                outcomes = list(pool.map(run, range(seeds), chunksize=4))
                click.echo(f"{scenario.name} | {name} | {summary(outcomes)}")


if __name__ == "__main__":
    main()
