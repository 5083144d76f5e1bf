"""A quick fake of hosts, ratings and a driver around the rollout decisions."""

import heapq
import itertools
import math
import random

import attrs

from masticfork.core.manifest import Rollout, WorkClass
from masticfork.core.ratings import Rating
from masticfork.core.rollouts import (
    HostUsage,
    RolloutRow,
    RolloutState,
    VersionCounts,
)
from masticfork.systems.rollout_permits import PermitCounter
from masticfork.systems.rollout_policies import RolloutPolicy
from masticfork.systems.rollouts import drive, new_row, take_over
from masticfork.systems.versions import session_position

DECLARED = Rollout("enter", "draft", "draft@1", "draft@2")  # type: ignore[arg-type]
# The row and the reports travel for a tick each.
TICK_SECONDS = 1.0
GOOD_SCORE, GOOD_SPREAD = 0.9, 0.05
BAD_SCORE, BAD_SPREAD = 0.15, 0.1
OLD_BAD, OLD_FAILED, OLD_SLOW = 0.05, 0.01, 0.05
# The rating service rates one of so many answers of the old version.
OLD_RATED_ONE_IN = 5
RATING_LEAST_SECONDS, RATING_MORE_SECONDS = 5.0, 25.0
THINK_SECONDS = 20.0
EARLIER_RATINGS = 1000


@attrs.frozen
class Scenario:
    """What the new version and the faults are like."""

    name: str
    hosts: int = 4
    # New sessions a second, over all hosts.
    rate: float = 20.0
    bad: float = OLD_BAD
    failed: float = OLD_FAILED
    slow: float = OLD_SLOW
    # The step at whose start the version turns bad, if it is good before.
    bad_from_step: int = 0
    rating_slowdown: float = 1.0
    rating_loss: float = 0.0
    ratings_gone: tuple[float, float] = (math.inf, math.inf)
    driver_gone: tuple[float, float] = (math.inf, math.inf)
    answers_a_session: float = 1.0
    seconds: float = 3600.0
    # Whether to go on past the last step.
    watch: bool = False


@attrs.frozen
class Outcome:
    """How one rollout went."""

    state: RolloutState
    exposed: int
    exposed_after_turn: int
    # When all new sessions got the new version, in seconds from the start.
    full_at: float | None
    ended_at: float
    step: int


class World:
    """One seeded run."""

    def __init__(self, scenario: Scenario, policy: RolloutPolicy, seed: int) -> None:
        self._scenario = scenario
        self._policy = policy
        self._rng = random.Random(f"{scenario.name}/{seed}")
        self._names = [f"h{n}" for n in range(scenario.hosts)]
        self._counters = {n: PermitCounter(n) for n in self._names}  # type: ignore[arg-type]
        self._usages = {n: HostUsage(n, DECLARED.name, 0.0) for n in self._names}  # type: ignore[arg-type]
        self._seq = itertools.count(1)
        self._due: list[tuple[float, int, str, float]] = []
        self._follow_ups: list[tuple[float, int, str]] = []
        self._ratings: list[Rating] = []
        self._fencing = 1
        self._turned = False
        self._exposed = 0
        self._exposed_after_turn = 0
        self._row = new_row(DECLARED, self._fencing, 0.0)

    def run(self) -> Outcome:
        """Run until the rollout ends, is paused for an operator, or time is up."""
        for _ in range(EARLIER_RATINGS):
            self._publish("draft@1", self._score(OLD_BAD))
        seen = self._row
        now, full_at = 0.0, None
        while now < self._scenario.seconds:
            now += TICK_SECONDS
            reports = tuple(self._usages.values())
            self._hosts_tick(seen, now)
            self._ratings_tick(now)
            seen = self._row
            self._driver_tick(reports, now)
            row = self._row
            if full_at is None and not row.capped and row.share >= 1.0:
                full_at = now
            stop = row.state is not RolloutState.RUNNING
            if stop or (full_at is not None and not self._scenario.watch):
                # The news travels for one more tick.
                self._hosts_tick(seen, now + TICK_SECONDS)
                break
        return Outcome(
            self._row.state,
            self._exposed,
            self._exposed_after_turn,
            full_at,
            now,
            self._row.step,
        )

    def _driver_tick(self, reports: tuple[HostUsage, ...], now: float) -> None:
        gone_from, gone_to = self._scenario.driver_gone
        if gone_from <= now < gone_to:
            self._fencing = 2
            return
        taken = take_over(self._row, DECLARED, self._fencing, now)
        row = taken.unwrap()
        self._row, _ = drive(row, DECLARED, self._ratings, reports, self._policy, now)
        self._ratings = [r for r in self._ratings if r.seq > self._row.ratings_after]
        if self._row.step >= self._scenario.bad_from_step and not self._turned:
            self._turned = True

    def _hosts_tick(self, row: RolloutRow, now: float) -> None:
        arrived = dict.fromkeys(self._names, 0)
        for _ in range(self._poisson(self._scenario.rate * TICK_SECONDS)):
            arrived[self._rng.choice(self._names)] += 1
        for name in self._names:
            self._host_tick(name, arrived[name], row, now)
        while self._follow_ups and self._follow_ups[0][0] <= now:
            _, _, name = heapq.heappop(self._follow_ups)
            if row.state in (RolloutState.RUNNING, RolloutState.PAUSED):
                self._counters[name].count_pinned(row)
                self._answer(name, now)
        for name in self._names:
            started = self._counters[name].started(row.name)
            usage = attrs.evolve(self._usages[name], at=now, started=started)
            self._usages[name] = usage

    def _host_tick(self, name: str, sessions: int, row: RolloutRow, now: float) -> None:
        counter = self._counters[name]
        counter.begin(0.0)
        entered = 0
        for _ in range(sessions):
            if row.state is not RolloutState.RUNNING:
                break
            place = session_position(str(self._rng.random()), row.name)  # type: ignore[arg-type]
            if place >= row.entry_share:
                continue
            if row.capped and not counter.take(row, now):
                continue
            entered += 1
            self._answer(name, now)
        old = sessions - entered
        usage = self._usages[name]
        counts = self._count(usage.old, old, OLD_FAILED, OLD_SLOW)
        self._usages[name] = attrs.evolve(
            usage, sessions=usage.sessions + sessions, old=counts
        )
        for _ in range(old):
            if self._rng.randrange(OLD_RATED_ONE_IN) == 0:
                self._rate_later("draft@1", self._score(OLD_BAD), now)

    def _answer(self, name: str, now: float) -> None:
        scenario = self._scenario
        self._exposed += 1
        self._exposed_after_turn += self._turned
        bad = scenario.bad if self._turned else OLD_BAD
        failed = scenario.failed if self._turned else OLD_FAILED
        slow = scenario.slow if self._turned else OLD_SLOW
        usage = self._usages[name]
        counts = self._count(usage.new, 1, failed, slow)
        self._usages[name] = attrs.evolve(usage, new=counts)
        self._rate_later("draft@2", self._score(bad), now)
        if self._rng.random() < 1.0 - 1.0 / scenario.answers_a_session:
            at = now + self._rng.expovariate(1.0 / THINK_SECONDS)
            heapq.heappush(self._follow_ups, (at, next(self._seq), name))

    def _count(
        self, counts: VersionCounts, answers: int, failed: float, slow: float
    ) -> VersionCounts:
        rng = self._rng
        return VersionCounts(
            counts.answered + answers,
            counts.failed + sum(rng.random() < failed for _ in range(answers)),
            counts.slow + sum(rng.random() < slow for _ in range(answers)),
        )

    def _score(self, bad: float) -> float:
        if self._rng.random() < bad:
            score = self._rng.gauss(BAD_SCORE, BAD_SPREAD)
        else:
            score = self._rng.gauss(GOOD_SCORE, GOOD_SPREAD)
        return min(1.0, max(0.0, score))

    def _rate_later(self, version: str, score: float, now: float) -> None:
        scenario = self._scenario
        gone_from, gone_to = scenario.ratings_gone
        if self._rng.random() < scenario.rating_loss or gone_from <= now < gone_to:
            return
        more = self._rng.expovariate(1.0 / RATING_MORE_SECONDS)
        wait = (RATING_LEAST_SECONDS + more) * scenario.rating_slowdown
        heapq.heappush(self._due, (now + wait, next(self._seq), version, score))

    def _ratings_tick(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, _, version, score = heapq.heappop(self._due)
            self._publish(version, score)

    def _publish(self, version: str, score: float) -> None:
        seq = next(self._seq)
        rating = Rating(seq, f"r{seq}", version, WorkClass.DRAFTING, "frames", score)  # type: ignore[arg-type]
        self._ratings.append(rating)

    def _poisson(self, mean: float) -> int:
        count, product, limit = 0, self._rng.random(), math.exp(-mean)
        while product > limit:
            count += 1
            product *= self._rng.random()
        return count
