"""Policies that decide whether a rollout advances, holds, pauses or is withdrawn."""

import enum
import math
from typing import Protocol

import attrs

from masticfork.core.manifest import Rollout
from masticfork.core.rollouts import Measure, RolloutRow
from masticfork.systems.rollout_evidence import Margins, has_sufficient_reference
from masticfork.systems.sequential_tests import log_evidence, threshold


class Verdict(enum.Enum):
    """The action that a policy chooses for a rollout."""

    HOLD = "hold"
    ADVANCE = "advance"
    PAUSE = "pause"
    WITHDRAW = "withdraw"
    FINISH = "finish"


@attrs.frozen
class Decision:
    """A verdict and its reason, which is shown to operators."""

    verdict: Verdict
    reason: str = ""


class RolloutPolicy(Protocol):
    """Decides from a rollout's row how it proceeds."""

    @property
    def margins(self) -> Margins:
        """Return the tolerated and the harmful deficit of each measure."""

    @property
    def rating_timeout_seconds(self) -> float:
        """Return the time after which a missing rating is overdue."""

    def decide(self, row: RolloutRow, declared: Rollout, now: float) -> Decision:
        """Return the decision at `now`, in seconds since the Unix epoch."""

    def unrated_cap(self, row: RolloutRow, declared: Rollout) -> int | None:
        """Return the maximum number of unrated answers, or None for no cap."""


@attrs.frozen
class SequentialPolicy:
    """Decides by anytime-valid tests, which stay valid however often they are read.

    By the union bound, the probability that an equally good version is withdrawn is
    at most the sum of the alphas.
    """

    margins: Margins = attrs.field(factory=Margins)
    rating_timeout_seconds: float = 180.0
    alpha_ratings: float = 0.008
    alpha_errors: float = 0.001
    alpha_latency: float = 0.001
    # Wealth of the test against harm, gathered within the step, that each measure needs
    # before the rollout advances.
    min_step_evidence: float = 10.0
    initial_unrated_cap: int = 4
    rated_per_extra_unrated: int = 5
    # Answers in a step after which a version whose evidence of harm is at least
    # `min_suspect_evidence` is paused, unless the step has shown it to be sound.
    suspect_answer_limit: int = 30
    min_suspect_evidence: float = 4.0
    # Duration of the last step, after which the rollout ends.
    last_step_seconds: float = 600.0

    def decide(self, row: RolloutRow, declared: Rollout, now: float) -> Decision:
        """Withdraw on evidence of harm; advance on evidence against harm."""
        for measure, alpha in self._alphas():
            evidence = log_evidence(row.comparison(measure).worse)
            if evidence >= threshold(alpha):
                return Decision(Verdict.WITHDRAW, _harm_reason(row, measure, evidence))
        if row.step >= len(declared.steps) - 1:
            elapsed = now >= row.step_since + self.last_step_seconds
            return Decision(Verdict.FINISH if elapsed else Verdict.HOLD)
        if self._sound(row):
            return Decision(Verdict.ADVANCE)
        if self._suspect_limit_reached(row):
            reason = f"suspect after {row.started} answers, an operator decides"
            return Decision(Verdict.PAUSE, reason)
        return Decision(Verdict.HOLD)

    def unrated_cap(self, row: RolloutRow, declared: Rollout) -> int | None:
        """Raise the cap with the rated answers; allow one while evidence shows harm."""
        if row.step >= len(declared.steps) - 1:
            return None
        if not has_sufficient_reference(row):
            return 0
        if self._harm_evidence(row) > 0.0:
            return 1
        cap = self.initial_unrated_cap + row.rated // self.rated_per_extra_unrated
        return min(declared.max_unrated, cap)

    def _alphas(self) -> tuple[tuple[Measure, float], ...]:
        return (
            (Measure.RATINGS, self.alpha_ratings),
            (Measure.ERRORS, self.alpha_errors),
            (Measure.LATENCY, self.alpha_latency),
        )

    def _sound(self, row: RolloutRow) -> bool:
        needed = math.log(self.min_step_evidence)
        return all(log_evidence(c.sound) >= needed for c in row.comparisons)

    def _harm_evidence(self, row: RolloutRow) -> float:
        return max(log_evidence(c.worse) for c in row.comparisons)

    def _suspect_limit_reached(self, row: RolloutRow) -> bool:
        reached = row.started - row.started_at_step >= self.suspect_answer_limit
        return reached and self._harm_evidence(row) >= math.log(
            self.min_suspect_evidence
        )


@attrs.frozen
class TimedPolicy:
    """Baseline: steps of fixed duration, each ending with one comparison of means."""

    margins: Margins = attrs.field(factory=Margins)
    rating_timeout_seconds: float = 180.0
    step_seconds: float = 600.0
    min_ratings: int = 10

    def decide(self, row: RolloutRow, declared: Rollout, now: float) -> Decision:
        """Withdraw if the mean rating fell by more than the harm margin."""
        if now < row.step_since + self.step_seconds:
            return Decision(Verdict.HOLD)
        comparison = row.comparison(Measure.RATINGS)
        old = [m.mean for m in comparison.old_by_class if m.mean.weight]
        weight = sum(mean.weight for mean in old)
        if comparison.new.weight >= self.min_ratings and weight:
            reference = sum(mean.value * mean.weight for mean in old) / weight
            if comparison.new.value < reference - self.margins.ratings.harm:
                return Decision(Verdict.WITHDRAW, "mean rating fell")
        last = row.step >= len(declared.steps) - 1
        return Decision(Verdict.FINISH if last else Verdict.ADVANCE)

    def unrated_cap(self, row: RolloutRow, declared: Rollout) -> int | None:
        """Return None: only the share limits the answers of the new version."""
        return None


def _harm_reason(row: RolloutRow, measure: Measure, evidence: float) -> str:
    new = row.comparison(measure).new
    return (
        f"{measure.value} worse than those of {row.from_version}: "
        f"mean {new.value:.3f} of {new.weight:.0f}, evidence e^{evidence:.1f}"
    )
