"""When a roll-out goes on, holds or is withdrawn: the policy and its baseline."""

import enum
import math
from typing import Protocol

import attrs

from masticfork.core.manifest import Rollout
from masticfork.core.rollouts import Measure, RolloutRow
from masticfork.systems.rollout_evidence import Margins, reference_known
from masticfork.systems.sequential_tests import log_evidence, threshold


class Verdict(enum.Enum):
    """What to do with a roll-out now."""

    HOLD = "hold"
    ADVANCE = "advance"
    PAUSE = "pause"
    WITHDRAW = "withdraw"
    FINISH = "finish"


@attrs.frozen
class Judgement:
    """A verdict with its reason for operators."""

    verdict: Verdict
    reason: str = ""


class RolloutPolicy(Protocol):
    """Decides on a roll-out from its row."""

    @property
    def margins(self) -> Margins:
        """Return how much worse than the old version is harm."""

    @property
    def rating_patience_seconds(self) -> float:
        """Return after how long a rating counts as never to come."""

    def judge(self, row: RolloutRow, declared: Rollout, now: float) -> Judgement:
        """Tell what to do with the roll-out."""

    def unrated_cap(self, row: RolloutRow, declared: Rollout) -> int | None:
        """Return how many answers may await their rating; none for no cap."""


@attrs.frozen
class SequentialPolicy:
    """Goes by anytime-valid tests, so that looking often costs nothing.

    By the union bound an equally good version is withdrawn with a probability of at
    most the sum of the alphas.
    """

    margins: Margins = attrs.field(factory=Margins)
    rating_patience_seconds: float = 180.0
    alpha_ratings: float = 0.008
    alpha_errors: float = 0.001
    alpha_latency: float = 0.001
    # Evidence of soundness, gathered within a step, that each measure needs to leave.
    step_evidence: float = 10.0
    start_unrated: int = 4
    rated_for_one_more: int = 5
    # Answers after which a version that is suspect and not proved sound is paused.
    suspect_budget: int = 30
    suspect_evidence: float = 4.0
    # How long the last step is watched before the roll-out ends.
    watch_seconds: float = 600.0

    def judge(self, row: RolloutRow, declared: Rollout, now: float) -> Judgement:
        """Withdraw on evidence of harm, advance on evidence of soundness."""
        for measure, alpha in self._alphas():
            evidence = log_evidence(row.comparison(measure).worse)
            if evidence >= threshold(alpha):
                return Judgement(Verdict.WITHDRAW, _worse(row, measure, evidence))
        if row.step >= len(declared.steps) - 1:
            watched = now >= row.step_since + self.watch_seconds
            return Judgement(Verdict.FINISH if watched else Verdict.HOLD)
        if self._sound(row):
            return Judgement(Verdict.ADVANCE)
        if self._budget_spent(row):
            reason = f"suspect after {row.started} answers, an operator decides"
            return Judgement(Verdict.PAUSE, reason)
        return Judgement(Verdict.HOLD)

    def unrated_cap(self, row: RolloutRow, declared: Rollout) -> int | None:
        """Start with few, add with ratings, and go one by one under suspicion."""
        if row.step >= len(declared.steps) - 1:
            return None
        if not reference_known(row):
            return 0
        if self._suspicion(row) > 0.0:
            return 1
        grown = self.start_unrated + row.rated // self.rated_for_one_more
        return min(declared.max_unrated, grown)

    def _alphas(self) -> tuple[tuple[Measure, float], ...]:
        return (
            (Measure.RATINGS, self.alpha_ratings),
            (Measure.ERRORS, self.alpha_errors),
            (Measure.LATENCY, self.alpha_latency),
        )

    def _sound(self, row: RolloutRow) -> bool:
        needed = math.log(self.step_evidence)
        return all(log_evidence(c.sound) >= needed for c in row.comparisons)

    def _suspicion(self, row: RolloutRow) -> float:
        return max(log_evidence(c.worse) for c in row.comparisons)

    def _budget_spent(self, row: RolloutRow) -> bool:
        spent = row.started - row.started_at_step >= self.suspect_budget
        return spent and self._suspicion(row) >= math.log(self.suspect_evidence)


@attrs.frozen
class TimedPolicy:
    """Baseline: each step lasts as long, and its end compares two means once."""

    margins: Margins = attrs.field(factory=Margins)
    rating_patience_seconds: float = 180.0
    step_seconds: float = 600.0
    least_ratings: int = 10

    def judge(self, row: RolloutRow, declared: Rollout, now: float) -> Judgement:
        """Withdraw at a step's end where the mean rating fell by the margin."""
        if now < row.step_since + self.step_seconds:
            return Judgement(Verdict.HOLD)
        comparison = row.comparison(Measure.RATINGS)
        old = [m.mean for m in comparison.old_by_class if m.mean.weight]
        weight = sum(mean.weight for mean in old)
        if comparison.new.weight >= self.least_ratings and weight:
            reference = sum(mean.value * mean.weight for mean in old) / weight
            if comparison.new.value < reference - self.margins.ratings.harm:
                return Judgement(Verdict.WITHDRAW, "mean rating fell")
        last = row.step >= len(declared.steps) - 1
        return Judgement(Verdict.FINISH if last else Verdict.ADVANCE)

    def unrated_cap(self, row: RolloutRow, declared: Rollout) -> int | None:
        """Return none: exposure follows the share alone."""
        return None


def _worse(row: RolloutRow, measure: Measure, evidence: float) -> str:
    new = row.comparison(measure).new
    return (
        f"{measure.value} worse than those of {row.from_version}: "
        f"mean {new.value:.3f} of {new.weight:.0f}, evidence e^{evidence:.1f}"
    )
