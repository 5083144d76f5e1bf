"""Anytime-valid tests of a bounded mean by betting.

The wealth of each stake is multiplied by `1 + stake * (m - x) / (1 - m)` for a
score x in [0, 1] and a null mean m. It is a test supermartingale under "the mean is
m or more" (Waudby-Smith and Ramdas, "Estimating means of bounded random variables
by betting", JRSS-B 86, 2024, section 4). Wealth is spread over stakes (grid Kelly,
ibid. appendix B) and over change points: before step k the wealth grows by the
weight w(k), with weights that sum to 1, as in Shin, Ramdas and Rinaldo,
"E-detectors", NEJSDS 2, 2024. Both mixtures keep the expectation at most 1, so by
Ville's inequality the probability that the wealth ever reaches 1/alpha is at most
alpha.
"""

import math
from collections.abc import Sequence

from masticfork.core.rollouts import Mean, Wealth

STAKES = (0.15, 0.3, 0.5, 0.7, 0.85)
# Sum of 1 / (n ln(n)^2) over n from 2.
_WEIGHT_SUM = 2.10974
# Null means are clamped this far from 0 and 1; at m = 1 the divisor `1 - m` is zero.
_NULL_MEAN_MARGIN = 0.005


def bet_below(
    wealth: Wealth,
    scores: Sequence[float],
    mean: float,
    start_immediately: bool = False,
) -> Wealth:
    """Bet that the mean of `scores`, each in [0, 1], lies below `mean`.

    All scores form one step of the test; their order does not matter. With
    `start_immediately` all wealth is staked from the first step on, and none is kept
    for a later change point.
    """
    null = min(max(mean, _NULL_MEAN_MARGIN), 1.0 - _NULL_MEAN_MARGIN)
    logs = wealth.logs or (-math.inf,) * len(STAKES)
    start = _log_start_weight(wealth.steps + 1, start_immediately)
    updated = tuple(
        _log_sum_exp((log, start)) + _log_gain(stake, scores, null)
        for stake, log in zip(STAKES, logs, strict=True)
    )
    return Wealth(wealth.steps + 1, updated)


def bet_above(
    wealth: Wealth,
    scores: Sequence[float],
    mean: float,
    start_immediately: bool = False,
) -> Wealth:
    """Bet that the mean of `scores` lies above `mean`; see `bet_below`."""
    mirrored = [1.0 - score for score in scores]
    return bet_below(wealth, mirrored, 1.0 - mean, start_immediately)


def log_evidence(wealth: Wealth) -> float:
    """Return the natural logarithm of the wealth, averaged over the stakes."""
    if not wealth.logs:
        return 0.0
    return _log_sum_exp(wealth.logs) - math.log(len(wealth.logs))


def threshold(alpha: float) -> float:
    """Return the log evidence that a true null reaches with probability <= alpha."""
    return math.log(1.0 / alpha)


def update_mean(mean: Mean, score: float, count: int, max_weight: float) -> Mean:
    """Add `count` observations with mean `score`; the weight is capped.

    Once `max_weight` is reached, older observations lose influence exponentially.
    """
    if count == 0:
        return mean
    weight = mean.weight + count
    value = mean.value + (score - mean.value) * count / weight
    return Mean(min(weight, max_weight), value)


def _log_gain(stake: float, scores: Sequence[float], null: float) -> float:
    odds = stake / (1.0 - null)
    return sum(math.log1p(odds * (null - score)) for score in scores)


def _log_start_weight(step: int, start_immediately: bool) -> float:
    if start_immediately:
        return 0.0 if step == 1 else -math.inf
    return -math.log(_WEIGHT_SUM * (step + 1)) - 2.0 * math.log(math.log(step + 1))


def _log_sum_exp(logs: Sequence[float]) -> float:
    largest = max(logs)
    if largest == -math.inf:
        return -math.inf
    return largest + math.log(sum(math.exp(log - largest) for log in logs))
