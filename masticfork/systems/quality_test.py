import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.core.manifest import WorkClass
from masticfork.core.quality import (
    AnswerPath,
    Moments,
    QualityKey,
    QualityRow,
    ServedAnswer,
)
from masticfork.systems.quality import (
    EVIDENCE_HALF_LIFE_SECONDS,
    MAX_RATING_DELAY_SECONDS,
    add,
    freshness,
    path_estimate,
    shortfall,
    signal_shares,
    version_estimate,
    with_rating,
    with_served,
)

KEY = QualityKey("frames", WorkClass.DRAFTING)
PATH = AnswerPath("small@1", 3)


def row_with_ratings(*scores: float, path=PATH, row=None) -> QualityRow:
    row = row or QualityRow(KEY)
    for score in scores:
        row = with_rating(row, path, score)
    return row


class TestMoments:
    @given(st.lists(st.floats(0, 1), min_size=1, max_size=50))
    def test_moments_are_exact_below_the_maximum_weight(self, values):
        moments = Moments()
        for value in values:
            moments = add(moments, value, 1000.0)
        mean = sum(values) / len(values)
        variance = sum((v - mean) ** 2 for v in values) / len(values)
        assert moments.mean == pytest.approx(mean)
        assert moments.variance == pytest.approx(variance, abs=1e-9)


class TestEstimates:
    def test_confidence_interval_narrows_with_more_ratings(self):
        few = path_estimate(row_with_ratings(*[0.9] * 5), PATH, 0.5, 1.0)
        many = path_estimate(row_with_ratings(*[0.9] * 500), PATH, 0.5, 1.0)
        assert few.lower(1.0) < many.lower(1.0) < 0.9 < many.upper(1.0)
        assert many.mean == pytest.approx(0.9, abs=0.01)

    def test_version_estimate_is_the_weighted_mean_over_signals(self):
        rng, row = random.Random(1), QualityRow(KEY)
        scores = {0: 0.2, 3: 0.9}
        for _ in range(2000):
            signal = rng.choice([0, 3, 3])
            path = AnswerPath("small@1", signal)
            row = with_served(row, ServedAnswer(KEY, path, 0.0))
            row = with_rating(row, path, scores[signal])
        assert sum(signal_shares(row, "small@1")) == pytest.approx(1.0)
        estimate = version_estimate(row, "small@1", 0.5, 1.0)
        assert estimate.mean == pytest.approx(2 / 3, abs=0.02)

    def test_estimate_follows_a_drop_within_80_ratings(self):
        rng = random.Random(2)
        good = [float(rng.random() < 0.9) for _ in range(1500)]
        bad = [float(rng.random() < 0.4) for _ in range(80)]
        row = row_with_ratings(*bad, row=row_with_ratings(*good))
        assert path_estimate(row, PATH, 0.5, 1.0).mean < 0.6


class TestShortfall:
    def test_shortfall_is_the_significant_distance_below_the_target(self):
        rng = random.Random(3)
        row = row_with_ratings(*[float(rng.random() < 0.7) for _ in range(400)])
        assert shortfall(row, 0.6) == 0.0
        assert 0.1 < shortfall(row, 0.9) < 0.3

    def test_few_ratings_give_no_shortfall(self):
        assert shortfall(row_with_ratings(*[0.1] * 20), 0.9) == 0.0


class TestMissingRatings:
    def test_evidence_decays_when_ratings_stop(self):
        row = with_served(
            row_with_ratings(*[0.9] * 500), ServedAnswer(KEY, PATH, 100.0)
        )
        overdue_at = 100.0 + MAX_RATING_DELAY_SECONDS
        assert freshness(row, overdue_at) == 1.0
        assert freshness(row, overdue_at + EVIDENCE_HALF_LIFE_SECONDS) == 0.5
        decayed = path_estimate(row, PATH, 0.5, 0.01)
        assert decayed.variance > 10 * path_estimate(row, PATH, 0.5, 1.0).variance

    def test_a_new_rating_restores_freshness(self):
        row = with_served(row_with_ratings(0.9), ServedAnswer(KEY, PATH, 100.0))
        assert freshness(row_with_ratings(0.8, row=row), 1e9) == 1.0

    def test_idle_time_without_answers_keeps_freshness(self):
        assert freshness(row_with_ratings(0.9), 1e9) == 1.0
