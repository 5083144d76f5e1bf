"""Plan model cascades: the cheapest mix of plans that meets the quality target."""

import math
import random
from typing import Protocol

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.core.ids import TeamName, VersionId
from masticfork.core.manifest import WorkClass
from masticfork.core.quality import (
    Moments,
    PlanMix,
    PlannedStep,
    QualityKey,
    QualityRow,
    Steps,
)
from masticfork.core.tables import Tables
from masticfork.systems.cascade_plans import (
    ALL_SIGNALS,
    Option,
    PlanEstimate,
    estimated_plans,
    single_version_plan,
)
from masticfork.systems.quality import freshness, rated_weight, shortfall

# Margin for variation in the expected answer time, in standard deviations.
_TIME_STANDARD_DEVIATIONS = 2.0
# Expected time of an answer while no answer of the version has been observed.
DEFAULT_ANSWER_SECONDS = 5.0
# Age at which the mix of a key is recomputed.
MIX_REFRESH_SECONDS = 5.0


@attrs.frozen
class Step:
    """One attempt of a cascade, with the signals for which its answer is accepted."""

    version: VersionId
    accepted: frozenset[int]
    # Whether the answer is buffered until its signal is known to be accepted.
    held: bool
    # When to abandon the attempt and continue with the next step.
    until: Deadline


@attrs.frozen
class Plan:
    """The steps for one request and the reason for choosing them."""

    steps: tuple[Step, ...]
    reason: str


class CascadePolicy(Protocol):
    """Policy that selects a mix of plans from the collected ratings."""

    def mix(
        self, row: QualityRow, options: tuple[Option, ...], target: float, now: float
    ) -> PlanMix:
        """Return the plans to use until the next refresh, with their traffic shares."""


@attrs.frozen
class LearnedCascade:
    """The cheapest mix whose lower confidence bound meets the quality target.

    The expected quality of the mix includes the requests that explore other plans.
    """

    # Width of the lower confidence bound of a plan's quality.
    standard_errors: float = 0.7
    # Added to the target to absorb the random variation of the answers.
    margin: float = 0.003
    # Gain by which a shortfall of recent ratings raises the required quality.
    feedback: float = 2.0
    # Below this freshness of the ratings, only the strongest version is used.
    min_freshness: float = 0.25
    # Weight of ratings that a cheaper version needs before its plans are judged by
    # their estimates; until then it is explored first.
    min_rated_weight: float = 60.0
    # Width of the upper confidence bound by which plans qualify for exploration.
    optimistic_standard_errors: float = 1.64
    # Fraction of the cost that a plan must save to get more than the minimum share.
    min_exploration_saving: float = 0.03
    max_exploration_share: float = 0.2
    # Share that always explores the cheapest promising plan, to detect changes.
    min_exploration_share: float = 0.005

    def mix(
        self, row: QualityRow, options: tuple[Option, ...], target: float, now: float
    ) -> PlanMix:
        """Return the cheapest sufficient mix and the plan to explore."""
        fresh = freshness(row, now)
        plans = list(estimated_plans(row, options, fresh))
        strongest = _strongest(plans)
        # While ratings are missing, old estimates are unreliable and exploration
        # yields no information.
        if fresh < self.min_freshness:
            return PlanMix(strongest.steps, strongest.steps)
        required_quality = target + self.margin + self.feedback * shortfall(row, target)
        mix, cost = self._cheapest(plans, required_quality)
        explored = self._exploration_candidate(row, plans, required_quality, cost)
        if explored is None or explored.steps == mix.main:
            return mix
        share = self._exploration_share(
            row, explored, strongest, required_quality, cost
        )
        lost = share * max(0.0, required_quality - explored.quality.mean)
        mix, _ = self._cheapest(plans, required_quality + lost / (1.0 - share))
        return attrs.evolve(mix, explored=explored.steps, explored_share=share)

    def _cheapest(
        self, plans: list[PlanEstimate], required_quality: float
    ) -> tuple[PlanMix, float]:
        bounds = [(p.quality.lower(self.standard_errors), p) for p in plans]
        found = _cheapest_mix(bounds, required_quality)
        if found is not None:
            return found
        strongest = _strongest(plans)
        return PlanMix(strongest.steps, strongest.steps), strongest.cost

    def _exploration_candidate(
        self,
        row: QualityRow,
        plans: list[PlanEstimate],
        required_quality: float,
        cost: float,
    ) -> PlanEstimate | None:
        cheaper = [p for p in plans if p.cost < cost]
        unrated = [p for p in cheaper if self._lacks_ratings(row, p)]
        promising = [
            p
            for p in cheaper
            if p.quality.upper(self.optimistic_standard_errors) >= required_quality
        ]
        return min(unrated or promising, key=lambda p: p.cost, default=None)

    def _lacks_ratings(self, row: QualityRow, plan: PlanEstimate) -> bool:
        if len(plan.steps) > 1:
            return False
        return rated_weight(row, plan.steps[0].version) < self.min_rated_weight

    def _exploration_share(
        self,
        row: QualityRow,
        explored: PlanEstimate,
        strongest: PlanEstimate,
        required_quality: float,
        cost: float,
    ) -> float:
        saves_enough = explored.cost < cost * (1.0 - self.min_exploration_saving)
        if not saves_enough and not self._lacks_ratings(row, explored):
            return self.min_exploration_share
        # Exploration may use up the quality of the strongest version that exceeds
        # the requirement.
        surplus = strongest.quality.mean - required_quality
        gap = strongest.quality.mean - explored.quality.mean
        affordable = surplus / gap if gap > 0.0 else 1.0
        return min(
            self.max_exploration_share,
            max(self.min_exploration_share, affordable / 2.0),
        )


@attrs.frozen
class AlwaysStrongest:
    """Baseline: always use the version with the best expected rating."""

    def mix(
        self, row: QualityRow, options: tuple[Option, ...], target: float, now: float
    ) -> PlanMix:
        """Return the version with the best expected rating."""
        best = max(options, key=lambda o: o.prior).version
        return PlanMix(single_version_plan(best), single_version_plan(best))


@attrs.frozen
class AlwaysCheapest:
    """Baseline: always use the cheapest version."""

    def mix(
        self, row: QualityRow, options: tuple[Option, ...], target: float, now: float
    ) -> PlanMix:
        """Return the cheapest version."""
        cheapest = min(options, key=lambda o: o.cost).version
        return PlanMix(single_version_plan(cheapest), single_version_plan(cheapest))


@attrs.frozen
class FixedThreshold:
    """Baseline: start with the cheapest version and escalate below a fixed signal."""

    min_signal: int = 2

    def mix(
        self, row: QualityRow, options: tuple[Option, ...], target: float, now: float
    ) -> PlanMix:
        """Return the cascade from the cheapest version to the best one."""
        first = min(options, key=lambda o: o.cost).version
        last = max(options, key=lambda o: o.prior).version
        accepted = frozenset(s for s in ALL_SIGNALS if s >= self.min_signal)
        steps = (PlannedStep(first, accepted), *single_version_plan(last))
        return PlanMix(steps, steps)


@attrs.frozen
class CascadeSystem:
    """Recompute the plan mixes of the keys that have had requests."""

    policy: CascadePolicy

    def run(self, tables: Tables, now: float) -> Findings:
        """Replace each mix that has reached its refresh age."""
        configuration = tables.configuration
        if configuration is None:
            return ()
        for key, row in tables.quality.items():
            team = configuration.teams.get(key.team)
            if (
                team is None
                or now < row.mix_at + MIX_REFRESH_SECONDS
                or not row.mix_for
            ):
                continue
            options = options_for(tables, row.mix_for)
            if not options:
                continue
            mix = self.policy.mix(row, options, team.quality_target, now)
            tables.quality[key] = attrs.evolve(row, mix=mix, mix_at=now)
        return ()


def plan(
    tables: Tables,
    team: TeamName,
    work_class: WorkClass,
    candidates: tuple[VersionId, ...],
    deadline: Deadline,
    now: float,
    rng: random.Random,
    policy: CascadePolicy,
) -> Plan:
    """Return the steps for one request, choosing among the `candidates` versions.

    The mix for these candidates is stored in the quality row of the team and class,
    and `CascadeSystem` refreshes it.
    """
    key = QualityKey(team, work_class)
    row = tables.quality.get(key, QualityRow(key))
    configuration = tables.configuration
    known = configuration.teams.get(team) if configuration is not None else None
    target = known.quality_target if known is not None else 1.0
    options = options_for(tables, candidates)
    if not options:
        return Plan((), "no candidate version is in the configuration")
    if row.mix is None or row.mix_for != candidates:
        mix = policy.mix(row, options, target, now)
        row = attrs.evolve(row, mix=mix, mix_for=candidates, mix_at=now)
        tables.quality[key] = row
    steps, reason = sample_plan(row.mix or policy.mix(row, options, target, now), rng)
    return fit_to_deadline(row, options, steps, reason, deadline, now)


def options_for(
    tables: Tables, candidates: tuple[VersionId, ...]
) -> tuple[Option, ...]:
    """Return the candidates that are configured, with cost and prior rating.

    The price per 1,000 tokens serves as the cost, since the answers of one class have
    similar lengths.
    """
    configuration = tables.configuration
    versions = configuration.versions if configuration is not None else {}
    found = [versions[c] for c in candidates if c in versions]
    return tuple(Option(v.id, v.cost_per_1k_tokens, v.expected_quality) for v in found)


def sample_plan(mix: PlanMix, rng: random.Random) -> tuple[Steps, str]:
    """Pick a plan of the mix at random by its share; return it with the reason."""
    if mix.explored and rng.random() < mix.explored_share:
        return mix.explored, "explored"
    if rng.random() < mix.other_share:
        return mix.other, "cheaper_share"
    return mix.main, "cheapest_at_target"


def fit_to_deadline(
    row: QualityRow,
    options: tuple[Option, ...],
    steps: Steps,
    reason: str,
    deadline: Deadline,
    now: float,
) -> Plan:
    """Drop leading steps until the rest fits the deadline; set the time limits."""
    left = deadline.remaining(now)
    while len(steps) > 1 and _plan_seconds(row, steps) > left:
        steps, reason = steps[1:], "no_time_to_escalate"
    if _plan_seconds(row, steps) > left:
        feasible = [o for o in options if _answer_seconds(row, o.version) <= left]
        if feasible:
            best = max(feasible, key=lambda o: o.prior)
            steps, reason = single_version_plan(best.version), "no_time_for_better"
    timed: list[Step] = []
    until = deadline
    for step in reversed(steps):
        held = bool(timed)
        timed.append(Step(step.version, step.accepted, held, until))
        # Leave the following step its expected answer time.
        until = Deadline(until.at - _answer_seconds(row, step.version))
    return Plan(tuple(reversed(timed)), reason)


def _cheapest_mix(
    plans: list[tuple[float, PlanEstimate]], required_quality: float
) -> tuple[PlanMix, float] | None:
    sufficient = [(bound, p) for bound, p in plans if bound >= required_quality]
    insufficient = [(bound, p) for bound, p in plans if bound < required_quality]
    best: tuple[PlanMix, float] | None = None
    for bound, main in sufficient:
        if best is None or main.cost < best[1]:
            best = (PlanMix(main.steps, main.steps), main.cost)
        for low, other in insufficient:
            if other.cost >= main.cost:
                continue
            share = (bound - required_quality) / (bound - low)
            cost = main.cost + share * (other.cost - main.cost)
            if cost < best[1]:
                best = (PlanMix(main.steps, other.steps, share), cost)
    return best


def _strongest(plans: list[PlanEstimate]) -> PlanEstimate:
    single_version_plans = [plan for plan in plans if len(plan.steps) == 1]
    return max(single_version_plans, key=lambda p: (p.quality.mean, -p.cost))


def _plan_seconds(row: QualityRow, steps: Steps) -> float:
    return sum(_answer_seconds(row, step.version) for step in steps)


def _answer_seconds(row: QualityRow, version: VersionId) -> float:
    observed = row.seconds.get(version, Moments())
    if observed.weight == 0.0:
        return DEFAULT_ANSWER_SECONDS
    return observed.mean + _TIME_STANDARD_DEVIATIONS * math.sqrt(observed.variance)
