"""Anytime-valid tests of a bounded mean by betting.

The wealth of each stake is multiplied by `1 + stake * (m - x) / (1 - m)` for a
score x in [0, 1] and a null mean m. It is a test supermartingale under "the mean is
m or more" (Waudby-Smith and Ramdas, "Estimating means of bounded random variables
by betting", JRSS-B 86, 2024, section 4). Wealth is spread over stakes (grid Kelly,
ibid. appendix B) and over the time of a change: before step k the wealth grows by
the weight w(k), with weights that sum to 1, as in Shin, Ramdas and Rinaldo,
"E-detectors", NEJSDS 2, 2024. Both mixtures keep the expectation at most 1, so by
Ville's inequality the wealth ever reaches 1/alpha with probability at most alpha.
"""

import math
from collections.abc import Sequence

from masticfork.core.rollouts import Mean, Wealth

STAKES = (0.15, 0.3, 0.5, 0.7, 0.85)
# Sum of 1 / (n ln(n)^2) over n from 2.
_WEIGHT_SUM = 2.10974
# Scores at the bounds would make a stake's denominator vanish.
_LEAST_MARGIN = 0.005


def bet_below(
    wealth: Wealth, scores: Sequence[float], mean: float, at_once: bool = False
) -> Wealth:
    """Bet that the scores' mean lies below `mean`, in one step for all scores.

    The order of scores within a step does not matter. With `at_once` all wealth is
    staked from the first step on, none kept for a later change.
    """
    null = min(max(mean, _LEAST_MARGIN), 1.0 - _LEAST_MARGIN)
    logs = wealth.logs or (-math.inf,) * len(STAKES)
    start = _log_weight(wealth.steps + 1, at_once)
    moved = tuple(
        _log_sum((log, start)) + _gain(stake, scores, null)
        for stake, log in zip(STAKES, logs, strict=True)
    )
    return Wealth(wealth.steps + 1, moved)


def bet_above(
    wealth: Wealth, scores: Sequence[float], mean: float, at_once: bool = False
) -> Wealth:
    """Bet that the scores' mean lies above `mean`, like `bet_below`."""
    mirrored = [1.0 - score for score in scores]
    return bet_below(wealth, mirrored, 1.0 - mean, at_once)


def log_evidence(wealth: Wealth) -> float:
    """Return the logarithm of the wealth, mixed evenly over the stakes."""
    if not wealth.logs:
        return 0.0
    return _log_sum(wealth.logs) - math.log(len(wealth.logs))


def threshold(alpha: float) -> float:
    """Return the log evidence that a true null reaches with probability alpha."""
    return math.log(1.0 / alpha)


def follow(mean: Mean, score: float, count: int, most_weight: float) -> Mean:
    """Add `count` observations of mean `score`, forgetting beyond `most_weight`."""
    if count == 0:
        return mean
    weight = mean.weight + count
    value = mean.value + (score - mean.value) * count / weight
    return Mean(min(weight, most_weight), value)


def _gain(stake: float, scores: Sequence[float], null: float) -> float:
    odds = stake / (1.0 - null)
    return sum(math.log1p(odds * (null - score)) for score in scores)


def _log_weight(step: int, at_once: bool) -> float:
    if at_once:
        return 0.0 if step == 1 else -math.inf
    return -math.log(_WEIGHT_SUM * (step + 1)) - 2.0 * math.log(math.log(step + 1))


def _log_sum(logs: Sequence[float]) -> float:
    most = max(logs)
    if most == -math.inf:
        return -math.inf
    return most + math.log(sum(math.exp(log - most) for log in logs))
