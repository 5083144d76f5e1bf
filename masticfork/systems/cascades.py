"""Plan the steps of a request: the cheapest mix that reaches the team's quality."""

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
    Valued,
    single,
    valued_plans,
)
from masticfork.systems.quality import freshness, rated_weight, shortfall

# Answers of one class are of like length, so prices compare as costs do.
_TIME_STANDARD_ERRORS = 2.0
# Time expected of an answer before any was seen.
UNKNOWN_SECONDS = 5.0
MIX_SECONDS = 5.0


@attrs.frozen
class Step:
    """One try: hold its answer back until its signal is known to suffice."""

    version: VersionId
    accepted: frozenset[int]
    # Whether the answer is kept from the caller until it is judged.
    held: bool
    # When to give the try up and go on with the next.
    until: Deadline


@attrs.frozen
class Plan:
    """The steps for one request, and why."""

    steps: tuple[Step, ...]
    reason: str


class CascadePolicy(Protocol):
    """Chooses among plans from what was learnt."""

    def mix(
        self, row: QualityRow, options: tuple[Option, ...], target: float, now: float
    ) -> PlanMix:
        """Return the plans to use for now, with their shares."""


@attrs.frozen
class LearntCascade:
    """The cheapest mix whose lower confidence bound reaches the target.

    The share that tries out other plans counts in the quality of the whole.
    """

    standard_errors: float = 0.7
    # Kept above the target, against the noise of the answers themselves.
    margin: float = 0.003
    # Added to the aim for each unit that the newest ratings lie below the target.
    feedback: float = 2.0
    # With staler evidence the strongest version answers.
    least_fresh: float = 0.25
    # Rated answers of each cheaper version before its plans are judged.
    least_rated: float = 60.0
    hope_standard_errors: float = 1.64
    # Tries out a plan only where it may save as much of the cost.
    worth_exploring: float = 0.03
    most_explored: float = 0.2
    # Share of requests that go on trying the cheapest plan that may do, for changes.
    least_explored: float = 0.005

    def mix(
        self, row: QualityRow, options: tuple[Option, ...], target: float, now: float
    ) -> PlanMix:
        """Return the cheapest mix, and what to try out."""
        fresh = freshness(row, now)
        plans = list(valued_plans(row, options, fresh))
        strongest = _strongest(plans)
        # Without ratings nothing is learnt by trying, and nothing known holds.
        if fresh < self.least_fresh:
            return PlanMix(strongest.steps, strongest.steps)
        aim = target + self.margin + self.feedback * shortfall(row, target)
        mix, cost = self._cheapest(plans, aim)
        explored = self._to_explore(row, plans, aim, cost)
        if explored is None or explored.steps == mix.main:
            return mix
        share = self._share(row, explored, strongest, aim, cost)
        lost = share * max(0.0, aim - explored.quality.mean)
        mix, _ = self._cheapest(plans, aim + lost / (1.0 - share))
        return attrs.evolve(mix, explored=explored.steps, explored_share=share)

    def _cheapest(self, plans: list[Valued], aim: float) -> tuple[PlanMix, float]:
        bounds = [(p.quality.lower(self.standard_errors), p) for p in plans]
        found = _cheapest_mix(bounds, aim)
        if found is not None:
            return found
        strongest = _strongest(plans)
        return PlanMix(strongest.steps, strongest.steps), strongest.cost

    def _to_explore(
        self, row: QualityRow, plans: list[Valued], aim: float, cost: float
    ) -> Valued | None:
        cheaper = [p for p in plans if p.cost < cost]
        untried = [p for p in cheaper if self._untried(row, p)]
        may_do = [
            p for p in cheaper if p.quality.upper(self.hope_standard_errors) >= aim
        ]
        return min(untried or may_do, key=lambda p: p.cost, default=None)

    def _untried(self, row: QualityRow, plan: Valued) -> bool:
        if len(plan.steps) > 1:
            return False
        return rated_weight(row, plan.steps[0].version) < self.least_rated

    def _share(
        self,
        row: QualityRow,
        explored: Valued,
        strongest: Valued,
        aim: float,
        cost: float,
    ) -> float:
        worth = explored.cost < cost * (1.0 - self.worth_exploring)
        if not worth and not self._untried(row, explored):
            return self.least_explored
        # What the strongest version gives above the aim may be spent on trying.
        spare = strongest.quality.mean - aim
        gap = strongest.quality.mean - explored.quality.mean
        affordable = spare / gap if gap > 0.0 else 1.0
        return min(self.most_explored, max(self.least_explored, affordable / 2.0))


@attrs.frozen
class AlwaysStrongest:
    """Baseline: the version that is expected to be best."""

    def mix(
        self, row: QualityRow, options: tuple[Option, ...], target: float, now: float
    ) -> PlanMix:
        """Return the version with the best expected rating."""
        best = max(options, key=lambda o: o.prior).version
        return PlanMix(single(best), single(best))


@attrs.frozen
class AlwaysCheapest:
    """Baseline: the cheapest version."""

    def mix(
        self, row: QualityRow, options: tuple[Option, ...], target: float, now: float
    ) -> PlanMix:
        """Return the cheapest version."""
        cheapest = min(options, key=lambda o: o.cost).version
        return PlanMix(single(cheapest), single(cheapest))


@attrs.frozen
class FixedThreshold:
    """Baseline: the cheapest version, escalated below a fixed signal."""

    least_signal: int = 2

    def mix(
        self, row: QualityRow, options: tuple[Option, ...], target: float, now: float
    ) -> PlanMix:
        """Return the one cascade."""
        first = min(options, key=lambda o: o.cost).version
        last = max(options, key=lambda o: o.prior).version
        accepted = frozenset(s for s in ALL_SIGNALS if s >= self.least_signal)
        steps = (PlannedStep(first, accepted), *single(last))
        return PlanMix(steps, steps)


@attrs.frozen
class CascadeSystem:
    """Renew the plans of each key that was asked for."""

    policy: CascadePolicy

    def run(self, tables: Tables, now: float) -> Findings:
        """Replace mixes that are older than their time."""
        configuration = tables.configuration
        if configuration is None:
            return ()
        for key, row in tables.quality.items():
            team = configuration.teams.get(key.team)
            if team is None or now < row.mix_at + MIX_SECONDS or not row.mix_for:
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
    """Return the steps for one request; `candidates` are versions that it may use.

    The row of the key keeps the mix for these candidates, renewed by the system.
    """
    key = QualityKey(team, work_class)
    row = tables.quality.get(key, QualityRow(key))
    configuration = tables.configuration
    known = configuration.teams.get(team) if configuration is not None else None
    target = known.quality_target if known is not None else 1.0
    options = options_for(tables, candidates)
    if not options:
        return Plan((), "no candidate is in the configuration")
    if row.mix is None or row.mix_for != candidates:
        mix = policy.mix(row, options, target, now)
        row = attrs.evolve(row, mix=mix, mix_for=candidates, mix_at=now)
        tables.quality[key] = row
    steps, reason = draw(row.mix or policy.mix(row, options, target, now), rng)
    return in_time(row, options, steps, reason, deadline, now)


def options_for(
    tables: Tables, candidates: tuple[VersionId, ...]
) -> tuple[Option, ...]:
    """Return the candidates that the configuration knows, with cost and prior."""
    configuration = tables.configuration
    versions = configuration.versions if configuration is not None else {}
    found = [versions[c] for c in candidates if c in versions]
    return tuple(Option(v.id, v.cost_per_1k_tokens, v.expected_quality) for v in found)


def draw(mix: PlanMix, rng: random.Random) -> tuple[Steps, str]:
    """Draw one of the mix's plans by their shares."""
    if mix.explored and rng.random() < mix.explored_share:
        return mix.explored, "explored"
    if rng.random() < mix.other_share:
        return mix.other, "cheaper_share"
    return mix.main, "cheapest_at_target"


def in_time(
    row: QualityRow,
    options: tuple[Option, ...],
    steps: Steps,
    reason: str,
    deadline: Deadline,
    now: float,
) -> Plan:
    """Drop steps for which there is no time, the cheap ones first."""
    left = deadline.remaining(now)
    while len(steps) > 1 and _needed(row, steps) > left:
        steps, reason = steps[1:], "no_time_to_escalate"
    if _needed(row, steps) > left:
        fit = [o for o in options if _seconds(row, o.version) <= left]
        if fit:
            best = max(fit, key=lambda o: o.prior)
            steps, reason = single(best.version), "no_time_for_better"
    timed: list[Step] = []
    until = deadline
    for step in reversed(steps):
        held = bool(timed)
        timed.append(Step(step.version, step.accepted, held, until))
        # A first try that takes longer would leave the next too little time.
        until = Deadline(until.at - _seconds(row, step.version))
    return Plan(tuple(reversed(timed)), reason)


def _cheapest_mix(
    plans: list[tuple[float, Valued]], aim: float
) -> tuple[PlanMix, float] | None:
    reaching = [(bound, p) for bound, p in plans if bound >= aim]
    below = [(bound, p) for bound, p in plans if bound < aim]
    best: tuple[PlanMix, float] | None = None
    for bound, main in reaching:
        if best is None or main.cost < best[1]:
            best = (PlanMix(main.steps, main.steps), main.cost)
        for low, other in below:
            if other.cost >= main.cost:
                continue
            share = (bound - aim) / (bound - low)
            cost = main.cost + share * (other.cost - main.cost)
            if cost < best[1]:
                best = (PlanMix(main.steps, other.steps, share), cost)
    return best


def _strongest(plans: list[Valued]) -> Valued:
    alone = [plan for plan in plans if len(plan.steps) == 1]
    return max(alone, key=lambda p: (p.quality.mean, -p.cost))


def _needed(row: QualityRow, steps: Steps) -> float:
    return sum(_seconds(row, step.version) for step in steps)


def _seconds(row: QualityRow, version: VersionId) -> float:
    taken = row.seconds.get(version, Moments())
    if taken.weight == 0.0:
        return UNKNOWN_SECONDS
    return taken.mean + _TIME_STANDARD_ERRORS * math.sqrt(taken.variance)
