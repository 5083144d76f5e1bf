"""Simulate retries against a dead pool, and hedged lookups, over seeds."""

import random
import statistics
from collections.abc import Callable, Sequence

import attrs
import click

from masticfork.core.deadlines import Deadline
from masticfork.systems.hedging import HedgePolicy, NoHedges, PercentileHedges
from masticfork.systems.retries import BudgetedRetries, FixedRetries, RetryPolicy

POOL = "pool/p"
RATE = 50.0
# Some or all servers of the pool are dead during this interval.
DEAD_FROM_SECONDS, DEAD_UNTIL_SECONDS, END_SECONDS = 30.0, 60.0, 90.0
SERVERS = 8
# Share of the attempts that fail at a working server.
FAILURE_SHARE = 0.01
DEADLINE_SECONDS = 5.0
RETRY_POLICIES: dict[str, Callable[[], RetryPolicy]] = {
    "budget": BudgetedRetries,
    "fixed": FixedRetries,
}
HEDGE_POLICIES: dict[str, Callable[[], HedgePolicy]] = {
    "hedged": PercentileHedges,
    "not hedged": NoHedges,
}
LOOKUPS = 20_000
LOOKUP_SECONDS = 0.005
# Share of the lookups that are delayed by a pause of their server, and its length.
PAUSED_SHARE, PAUSE_SECONDS = 0.02, 0.2


@attrs.define
class Attempts:
    """Counts of one seed; `dead_*` cover the interval with dead servers."""

    dead_requests: int = 0
    dead_attempts: int = 0
    dead_answered: int = 0
    requests: int = 0
    answered: int = 0

    @property
    def amplification(self) -> float:
        """Return the attempts per request while servers are dead."""
        return self.dead_attempts / self.dead_requests

    @property
    def dead_success(self) -> float:
        """Return the share of requests answered while servers are dead."""
        return self.dead_answered / self.dead_requests

    @property
    def success(self) -> float:
        """Return the share of requests answered while all servers work."""
        return self.answered / self.requests


def simulate_dead_pool(policy: RetryPolicy, dead_servers: int, seed: int) -> Attempts:
    """Send requests to a pool of which some servers are dead for an interval."""
    rng, counts, now = random.Random(seed), Attempts(), 0.0
    while (now := now + rng.expovariate(RATE)) < END_SECONDS:
        dead = DEAD_FROM_SECONDS <= now < DEAD_UNTIL_SECONDS
        deadline = Deadline.after(now, DEADLINE_SECONDS)
        policy.count_request(POOL)
        servers = rng.sample(range(SERVERS), SERVERS)
        attempts = 1
        while not (
            answered := _attempt_succeeds(rng, servers[attempts], dead, dead_servers)
        ):
            if not policy.try_retry(POOL, attempts, deadline, now):
                break
            attempts += 1
        if dead:
            counts.dead_requests += 1
            counts.dead_attempts += attempts
            counts.dead_answered += answered
        else:
            counts.requests += 1
            counts.answered += answered
    return counts


def _attempt_succeeds(
    rng: random.Random, server: int, dead: bool, dead_servers: int
) -> bool:
    return not (dead and server < dead_servers) and rng.random() >= FAILURE_SHARE


def simulate_lookups(policy: HedgePolicy, seed: int) -> tuple[float, float]:
    """Return the 99th percentile latency in seconds and the hedges per lookup."""
    rng, hedges, latencies = random.Random(seed), 0, []
    for _ in range(LOOKUPS):
        latency = _draw_lookup_seconds(rng)
        delay = policy.delay_seconds(POOL)
        if delay is not None and latency > delay and policy.try_take(POOL):
            hedges += 1
            latency = min(latency, delay + _draw_lookup_seconds(rng))
        policy.observe(POOL, latency)
        latencies.append(latency)
    return sorted(latencies)[int(0.99 * LOOKUPS)], hedges / LOOKUPS


def _draw_lookup_seconds(rng: random.Random) -> float:
    pause = PAUSE_SECONDS if rng.random() < PAUSED_SHARE else 0.0
    return pause + LOOKUP_SECONDS * (0.5 + 0.5 * rng.expovariate(1.0))


def _mean_max(values: Sequence[float]) -> str:
    return f"{statistics.fmean(values):.3f} (max {max(values):.3f})"


@click.command()
@click.option("--seeds", default=100, show_default=True)
def main(seeds: int) -> None:
    """Print the attempts at a dead pool and the tail latency of lookups."""
    for name, make_retries in RETRY_POLICIES.items():
        for dead_servers in (SERVERS, 1):
            runs = [
                simulate_dead_pool(make_retries(), dead_servers, seed)
                for seed in range(seeds)
            ]
            click.echo(
                f"{name:10} {dead_servers} of {SERVERS} dead: attempts per request "
                f"{_mean_max([run.amplification for run in runs])}, answered "
                f"{statistics.fmean(run.dead_success for run in runs):.3f}, while "
                f"all work {statistics.fmean(run.success for run in runs):.4f}"
            )
    for name, make_hedges in HEDGE_POLICIES.items():
        tails = [
            simulate_lookups(make_hedges(), seed) for seed in range(min(seeds, 20))
        ]
        click.echo(
            f"{name:10} lookups p99 {_mean_max([p99 * 1000 for p99, _ in tails])} ms, "
            f"hedges per lookup {_mean_max([hedges for _, hedges in tails])}"
        )


if __name__ == "__main__":
    main()
