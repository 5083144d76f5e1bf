import itertools
import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.core.rollouts import Mean, Wealth
from masticfork.systems.sequential_tests import (
    bet_above,
    bet_below,
    log_evidence,
    threshold,
    update_mean,
)


def expected_evidence(bet, mean: float, low: float, high: float, steps: int) -> float:
    """Return the expected evidence for a two-point score with the null's mean."""
    chance = (mean - low) / (high - low)
    total = 0.0
    for path in itertools.product((True, False), repeat=steps):
        wealth, probability = Wealth(), 1.0
        for up in path:
            wealth = bet(wealth, [high if up else low], mean)
            probability *= chance if up else 1.0 - chance
        total += probability * math.exp(log_evidence(wealth))
    return total


class TestFalseAlarms:
    @given(
        st.sampled_from([bet_below, bet_above]),
        st.floats(0.05, 0.95),
        st.floats(0.0, 1.0),
        st.floats(0.0, 1.0),
    )
    def test_the_expectation_under_the_null_is_at_most_one(self, bet, mean, a, b):
        low, high = mean * a * 0.99, mean + (1 - mean) * max(b, 0.01)
        assert expected_evidence(bet, mean, low, high, 7) <= 1.0 + 1e-9

    def test_checking_after_each_step_keeps_the_false_alarm_rate(self):
        alarms = 0
        for seed in range(200):
            rng, wealth = random.Random(seed), Wealth()
            for _ in range(300):
                wealth = bet_below(wealth, [float(rng.random() < 0.9)], 0.9)
                if log_evidence(wealth) >= threshold(0.05):
                    alarms += 1
                    break
        assert alarms / 200 <= 0.05


class TestDetection:
    @pytest.mark.parametrize("good_before", [0, 200])
    def test_harm_is_detected_after_a_long_period_without_harm(self, good_before):
        rng, wealth, steps = random.Random(4), Wealth(), 0
        for _ in range(good_before):
            wealth = bet_below(wealth, [float(rng.random() < 0.95)], 0.95)
        while log_evidence(wealth) < threshold(0.01) and steps < 200:
            wealth = bet_below(wealth, [float(rng.random() < 0.6)], 0.95)
            steps += 1
        assert steps < 60

    def test_the_order_within_a_step_does_not_matter(self):
        one = bet_below(Wealth(), [0.0, 1.0, 0.5], 0.8)
        other = bet_below(Wealth(), [0.5, 0.0, 1.0], 0.8)
        assert one.logs == pytest.approx(other.logs)


class TestUpdateMean:
    def test_a_capped_weight_lets_the_mean_follow_a_change(self):
        mean = Mean()
        for score in [0.2] * 1000 + [0.8] * 400:
            mean = update_mean(mean, score, 1, 100.0)
        assert mean.weight == 100.0
        assert mean.value == pytest.approx(0.8, abs=0.02)
