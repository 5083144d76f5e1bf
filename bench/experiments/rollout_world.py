"""Simulated hosts, ratings and a driver to run the rollout decisions against."""

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

ROLLOUT = Rollout("enter", "draft", "draft@1", "draft@2")  # type: ignore[arg-type]
# The row takes one tick to reach the hosts, as do their reports to the driver.
TICK_SECONDS = 1.0
GOOD_SCORE_MEAN, GOOD_SCORE_STDDEV = 0.9, 0.05
BAD_SCORE_MEAN, BAD_SCORE_STDDEV = 0.15, 0.1
OLD_BAD_SHARE, OLD_FAILED_SHARE, OLD_SLOW_SHARE = 0.05, 0.01, 0.05
# The rating service rates one in this many answers of the old version.
OLD_RATED_ONE_IN = 5
MIN_RATING_DELAY_SECONDS, MEAN_EXTRA_RATING_DELAY_SECONDS = 5.0, 25.0
MEAN_THINK_SECONDS = 20.0
INITIAL_RATINGS = 1000


@attrs.frozen
class Scenario:
    """The load, the behaviour of the new version and the faults of one simulation."""

    name: str
    hosts: int = 4
    # New sessions per second, over all hosts.
    rate: float = 20.0
    bad: float = OLD_BAD_SHARE
    failed: float = OLD_FAILED_SHARE
    slow: float = OLD_SLOW_SHARE
    # The version behaves like the old one before this step, and turns bad there.
    bad_from_step: int = 0
    rating_slowdown: float = 1.0
    rating_loss: float = 0.0
    ratings_gone: tuple[float, float] = (math.inf, math.inf)
    driver_gone: tuple[float, float] = (math.inf, math.inf)
    answers_a_session: float = 1.0
    seconds: float = 3600.0
    # Whether to continue after all new sessions get the new version.
    watch: bool = False


@attrs.frozen
class Outcome:
    """The result of one rollout."""

    state: RolloutState
    exposed: int
    exposed_after_turn: int
    # Seconds until all new sessions got the new version, or None.
    full_at: float | None
    ended_at: float
    step: int


class RolloutSimulation:
    """Simulates one rollout with one seed."""

    def __init__(self, scenario: Scenario, policy: RolloutPolicy, seed: int) -> None:
        self._scenario = scenario
        self._policy = policy
        self._rng = random.Random(f"{scenario.name}/{seed}")
        self._names = [f"h{n}" for n in range(scenario.hosts)]
        self._counters = {n: PermitCounter(n) for n in self._names}  # type: ignore[arg-type]
        self._usages = {n: HostUsage(n, ROLLOUT.name, 0.0) for n in self._names}  # type: ignore[arg-type]
        self._seq = itertools.count(1)
        self._pending_ratings: list[tuple[float, int, str, float]] = []
        self._follow_ups: list[tuple[float, int, str]] = []
        self._ratings: list[Rating] = []
        self._fencing = 1
        self._turned_bad = False
        self._exposed = 0
        self._exposed_after_turn = 0
        self._row = new_row(ROLLOUT, self._fencing, 0.0)

    def run(self) -> Outcome:
        """Run until the rollout ends, is paused for an operator, or time is up."""
        for _ in range(INITIAL_RATINGS):
            self._publish_rating("draft@1", self._draw_score(OLD_BAD_SHARE))
        delivered_row = self._row
        now, full_at = 0.0, None
        while now < self._scenario.seconds:
            now += TICK_SECONDS
            reports = tuple(self._usages.values())
            self._tick_hosts(delivered_row, now)
            self._publish_due_ratings(now)
            delivered_row = self._row
            self._tick_driver(reports, now)
            row = self._row
            if full_at is None and not row.capped and row.share >= 1.0:
                full_at = now
            stop = row.state is not RolloutState.RUNNING
            if stop or (full_at is not None and not self._scenario.watch):
                # The hosts receive the last row one tick later.
                self._tick_hosts(delivered_row, now + TICK_SECONDS)
                break
        return Outcome(
            self._row.state,
            self._exposed,
            self._exposed_after_turn,
            full_at,
            now,
            self._row.step,
        )

    def _tick_driver(self, reports: tuple[HostUsage, ...], now: float) -> None:
        outage_start, outage_end = self._scenario.driver_gone
        if outage_start <= now < outage_end:
            self._fencing = 2
            return
        takeover = take_over(self._row, ROLLOUT, self._fencing, now)
        row = takeover.unwrap()
        self._row, _ = drive(row, ROLLOUT, self._ratings, reports, self._policy, now)
        self._ratings = [r for r in self._ratings if r.seq > self._row.ratings_after]
        if self._row.step >= self._scenario.bad_from_step and not self._turned_bad:
            self._turned_bad = True

    def _tick_hosts(self, row: RolloutRow, now: float) -> None:
        arrivals = dict.fromkeys(self._names, 0)
        for _ in range(self._draw_poisson(self._scenario.rate * TICK_SECONDS)):
            arrivals[self._rng.choice(self._names)] += 1
        for name in self._names:
            self._tick_host(name, arrivals[name], row, now)
        while self._follow_ups and self._follow_ups[0][0] <= now:
            _, _, name = heapq.heappop(self._follow_ups)
            if row.state in (RolloutState.RUNNING, RolloutState.PAUSED):
                self._counters[name].count_without_permit(row)
                self._answer(name, now)
        for name in self._names:
            started = self._counters[name].started(row.name)
            usage = attrs.evolve(self._usages[name], at=now, started=started)
            self._usages[name] = usage

    def _tick_host(self, name: str, sessions: int, row: RolloutRow, now: float) -> None:
        counter = self._counters[name]
        counter.first_report_time(0.0)
        new_sessions = 0
        for _ in range(sessions):
            if row.state is not RolloutState.RUNNING:
                break
            position = session_position(str(self._rng.random()), row.name)  # type: ignore[arg-type]
            if position >= row.entry_share:
                continue
            if row.capped and not counter.take(row, now):
                continue
            new_sessions += 1
            self._answer(name, now)
        old_sessions = sessions - new_sessions
        usage = self._usages[name]
        counts = self._add_answers(
            usage.old, old_sessions, OLD_FAILED_SHARE, OLD_SLOW_SHARE
        )
        self._usages[name] = attrs.evolve(
            usage, sessions=usage.sessions + sessions, old=counts
        )
        for _ in range(old_sessions):
            if self._rng.randrange(OLD_RATED_ONE_IN) == 0:
                self._schedule_rating("draft@1", self._draw_score(OLD_BAD_SHARE), now)

    def _answer(self, name: str, now: float) -> None:
        scenario = self._scenario
        self._exposed += 1
        self._exposed_after_turn += self._turned_bad
        bad = scenario.bad if self._turned_bad else OLD_BAD_SHARE
        failed = scenario.failed if self._turned_bad else OLD_FAILED_SHARE
        slow = scenario.slow if self._turned_bad else OLD_SLOW_SHARE
        usage = self._usages[name]
        counts = self._add_answers(usage.new, 1, failed, slow)
        self._usages[name] = attrs.evolve(usage, new=counts)
        self._schedule_rating("draft@2", self._draw_score(bad), now)
        if self._rng.random() < 1.0 - 1.0 / scenario.answers_a_session:
            at = now + self._rng.expovariate(1.0 / MEAN_THINK_SECONDS)
            heapq.heappush(self._follow_ups, (at, next(self._seq), name))

    def _add_answers(
        self, counts: VersionCounts, answers: int, failed: float, slow: float
    ) -> VersionCounts:
        rng = self._rng
        return VersionCounts(
            counts.answered + answers,
            counts.failed + sum(rng.random() < failed for _ in range(answers)),
            counts.slow + sum(rng.random() < slow for _ in range(answers)),
        )

    def _draw_score(self, bad_share: float) -> float:
        if self._rng.random() < bad_share:
            score = self._rng.gauss(BAD_SCORE_MEAN, BAD_SCORE_STDDEV)
        else:
            score = self._rng.gauss(GOOD_SCORE_MEAN, GOOD_SCORE_STDDEV)
        return min(1.0, max(0.0, score))

    def _schedule_rating(self, version: str, score: float, now: float) -> None:
        scenario = self._scenario
        outage_start, outage_end = scenario.ratings_gone
        if (
            self._rng.random() < scenario.rating_loss
            or outage_start <= now < outage_end
        ):
            return
        extra_delay = self._rng.expovariate(1.0 / MEAN_EXTRA_RATING_DELAY_SECONDS)
        delay = (MIN_RATING_DELAY_SECONDS + extra_delay) * scenario.rating_slowdown
        heapq.heappush(
            self._pending_ratings, (now + delay, next(self._seq), version, score)
        )

    def _publish_due_ratings(self, now: float) -> None:
        while self._pending_ratings and self._pending_ratings[0][0] <= now:
            _, _, version, score = heapq.heappop(self._pending_ratings)
            self._publish_rating(version, score)

    def _publish_rating(self, version: str, score: float) -> None:
        seq = next(self._seq)
        rating = Rating(seq, f"r{seq}", version, WorkClass.DRAFTING, "frames", score)  # type: ignore[arg-type]
        self._ratings.append(rating)

    def _draw_poisson(self, mean: float) -> int:
        count, product, limit = 0, self._rng.random(), math.exp(-mean)
        while product > limit:
            count += 1
            product *= self._rng.random()
        return count
