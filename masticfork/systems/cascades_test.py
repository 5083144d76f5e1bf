import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.manifest import Manifest, Model, Team, Version, WorkClass
from masticfork.core.quality import AnswerPath, QualityKey, QualityRow, ServedAnswer
from masticfork.core.tables import SelfRow, Tables
from masticfork.systems.cascade_plans import ALL_SIGNALS, Option, single_version_plan
from masticfork.systems.cascades import (
    AlwaysCheapest,
    AlwaysStrongest,
    CascadeSystem,
    FixedThreshold,
    LearnedCascade,
    plan,
)
from masticfork.systems.quality import with_rating, with_seconds, with_served

KEY = QualityKey("frames", WorkClass.DRAFTING)
SMALL, LARGE = "small@1", "large@1"
OPTIONS = (Option(SMALL, 1.0, 0.6), Option(LARGE, 20.0, 0.9))
NOW = 1000.0
POLICY = LearnedCascade()


def row_with_ratings(
    good: float, poor: float, large: float = 0.92, count=400
) -> QualityRow:
    """Return a row in which half the small answers have signal 0 and half signal 3."""
    row = QualityRow(KEY)
    scores = {
        AnswerPath(SMALL, 0): poor,
        AnswerPath(SMALL, 3): good,
        AnswerPath(LARGE, 3): large,
        AnswerPath(LARGE, 0, SMALL): large,
    }
    for path, score in scores.items():
        for _ in range(count):
            if path.first is None:
                row = with_served(row, ServedAnswer(KEY, path, NOW))
            row = with_rating(row, path, score)
    return row


def make_tables(row: QualityRow | None = None) -> Tables:
    models = tuple(
        Model(o.version[:5], (Version(o.version, "p", o.cost, None, o.prior),), "x")
        for o in OPTIONS
    )
    team = Team("frames", (), ("small", "large"), 0.85)
    configuration = Configuration(1, "s", Manifest((team,), models, ()))
    tables = Tables(SelfRow("h", "a"), configuration)
    if row is not None:
        tables.quality[KEY] = row
    return tables


def make_plan(tables, seconds=60.0, policy=POLICY, candidates=(SMALL, LARGE), seed=1):
    return plan(
        tables,
        "frames",
        WorkClass.DRAFTING,
        candidates,
        Deadline(NOW + seconds),
        NOW,
        random.Random(seed),
        policy,
    )


class TestLearnedCascade:
    def test_without_ratings_the_strongest_version_is_used(self):
        mix = POLICY.mix(QualityRow(KEY), OPTIONS, 0.85, NOW)
        assert mix.main == single_version_plan(LARGE)
        assert mix.explored == single_version_plan(SMALL)
        assert mix.explored_share <= POLICY.max_exploration_share

    def test_sufficient_cheap_version_is_used_alone(self):
        mix = POLICY.mix(row_with_ratings(0.95, 0.9), OPTIONS, 0.85, NOW)
        assert mix.main == single_version_plan(SMALL)

    def test_signals_with_poor_ratings_escalate(self):
        mix = POLICY.mix(row_with_ratings(0.95, 0.3), OPTIONS, 0.9, NOW)
        first, last = mix.main
        assert (first.version, last.version) == (SMALL, LARGE)
        assert 0 not in first.accepted
        assert 3 in first.accepted

    def test_unreachable_target_uses_the_strongest_version(self):
        mix = POLICY.mix(row_with_ratings(0.5, 0.3, 0.7), OPTIONS, 0.95, NOW)
        assert mix.main == single_version_plan(LARGE)

    @given(st.floats(0.0, 1.0), st.floats(0.0, 1.0), st.floats(0.5, 0.99))
    def test_missing_ratings_fall_back_to_the_strongest_version(
        self, good, poor, target
    ):
        row = row_with_ratings(good, poor, 1.0, count=60)
        row = attrs.evolve(row, unrated_since=NOW)
        mix = POLICY.mix(row, OPTIONS, target, NOW + 3600.0)
        assert (mix.main, mix.other_share) == (single_version_plan(LARGE), 0.0)
        assert mix.explored == ()

    @given(st.floats(0.0, 1.0), st.floats(0.0, 1.0), st.floats(0.5, 0.99))
    def test_shares_stay_within_their_bounds(self, good, poor, target):
        mix = POLICY.mix(row_with_ratings(good, poor, count=80), OPTIONS, target, NOW)
        assert 0.0 <= mix.other_share <= 1.0
        assert 0.0 <= mix.explored_share <= POLICY.max_exploration_share


class TestDeadlines:
    row = with_seconds(
        with_seconds(row_with_ratings(0.95, 0.3), SMALL, 2.0), LARGE, 10.0
    )

    def test_first_answer_is_buffered_and_abandoned_in_time(self):
        first, last = make_plan(make_tables(self.row), policy=FixedThreshold()).steps
        assert (first.held, last.held) == (True, False)
        assert first.until == Deadline(NOW + 50.0)
        assert last.until == Deadline(NOW + 60.0)

    def test_cheap_step_is_skipped_without_time_to_escalate(self):
        planned = make_plan(make_tables(self.row), 11.0, FixedThreshold())
        assert [s.version for s in planned.steps] == [LARGE]
        assert planned.reason == "no_time_to_escalate"

    def test_fast_version_is_used_without_time_for_the_best(self):
        planned = make_plan(make_tables(self.row), 3.0, FixedThreshold())
        assert [s.version for s in planned.steps] == [SMALL]
        assert planned.reason == "no_time_for_better"

    @given(st.floats(0.0, 100.0), st.integers(0, 50))
    def test_last_step_accepts_every_answer(self, seconds, seed):
        planned = make_plan(make_tables(self.row), seconds, seed=seed)
        assert planned.steps[-1].accepted == ALL_SIGNALS
        assert planned.steps[-1].until == Deadline(NOW + seconds)
        assert [s.held for s in planned.steps] == [True] * (len(planned.steps) - 1) + [
            False
        ]


class TestPlan:
    def test_only_candidate_versions_are_used(self):
        tables = make_tables(row_with_ratings(0.95, 0.9))
        assert make_plan(tables, candidates=(LARGE,)).steps[0].version == LARGE
        assert make_plan(tables, candidates=(SMALL,)).steps[0].version == SMALL
        assert make_plan(tables, candidates=("gone@1",)).steps == ()

    def test_system_refreshes_an_old_mix(self):
        tables = make_tables(row_with_ratings(0.95, 0.9))
        make_plan(tables)
        first = tables.quality[KEY].mix
        tables.quality[KEY] = attrs.evolve(
            row_with_ratings(0.2, 0.1), mix=first, mix_for=(SMALL, LARGE), mix_at=NOW
        )
        CascadeSystem(POLICY).run(tables, NOW + 1.0)
        assert tables.quality[KEY].mix == first
        CascadeSystem(POLICY).run(tables, NOW + 10.0)
        assert tables.quality[KEY].mix.main == single_version_plan(LARGE)

    @pytest.mark.parametrize(
        ("policy", "versions"),
        [
            (AlwaysStrongest(), [LARGE]),
            (AlwaysCheapest(), [SMALL]),
            (FixedThreshold(), [SMALL, LARGE]),
        ],
    )
    def test_baselines_use_their_versions(self, policy, versions):
        planned = make_plan(make_tables(), policy=policy)
        assert [s.version for s in planned.steps] == versions
