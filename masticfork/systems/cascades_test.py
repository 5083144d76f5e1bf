import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.manifest import Manifest, Model, Team, Version, WorkClass
from masticfork.core.quality import AnswerPath, QualityKey, QualityRow, Served
from masticfork.core.tables import SelfRow, Tables
from masticfork.systems.cascade_plans import ALL_SIGNALS, Option, single
from masticfork.systems.cascades import (
    AlwaysCheapest,
    AlwaysStrongest,
    CascadeSystem,
    FixedThreshold,
    LearntCascade,
    plan,
)
from masticfork.systems.quality import with_rating, with_seconds, with_served

KEY = QualityKey("frames", WorkClass.DRAFTING)
SMALL, LARGE = "small@1", "large@1"
OPTIONS = (Option(SMALL, 1.0, 0.6), Option(LARGE, 20.0, 0.9))
NOW = 1000.0
POLICY = LearntCascade()


def learnt(good: float, poor: float, large: float = 0.92, count=400) -> QualityRow:
    """Return a row where half of the small answers show signal 0, half signal 3."""
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
                row = with_served(row, Served(KEY, path, NOW))
            row = with_rating(row, path, score)
    return row


def tables(row: QualityRow | None = None) -> Tables:
    models = tuple(
        Model(o.version[:5], (Version(o.version, "p", o.cost, None, o.prior),), "x")
        for o in OPTIONS
    )
    team = Team("frames", (), ("small", "large"), 0.85)
    configuration = Configuration(1, "s", Manifest((team,), models, ()))
    world = Tables(SelfRow("h", "a"), configuration)
    if row is not None:
        world.quality[KEY] = row
    return world


def made(world, seconds=60.0, policy=POLICY, candidates=(SMALL, LARGE), seed=1):
    return plan(
        world,
        "frames",
        WorkClass.DRAFTING,
        candidates,
        Deadline(NOW + seconds),
        NOW,
        random.Random(seed),
        policy,
    )


class TestLearntCascade:
    def test_without_evidence_the_strongest_answers(self):
        mix = POLICY.mix(QualityRow(KEY), OPTIONS, 0.85, NOW)
        assert mix.main == single(LARGE)
        assert mix.explored == single(SMALL)
        assert mix.explored_share <= POLICY.most_explored

    def test_a_cheap_version_that_suffices_is_used_alone(self):
        mix = POLICY.mix(learnt(0.95, 0.9), OPTIONS, 0.85, NOW)
        assert mix.main == single(SMALL)

    def test_poor_signals_escalate(self):
        mix = POLICY.mix(learnt(0.95, 0.3), OPTIONS, 0.9, NOW)
        first, last = mix.main
        assert (first.version, last.version) == (SMALL, LARGE)
        assert 0 not in first.accepted
        assert 3 in first.accepted

    def test_a_target_out_of_reach_gets_the_strongest(self):
        mix = POLICY.mix(learnt(0.5, 0.3, 0.7), OPTIONS, 0.95, NOW)
        assert mix.main == single(LARGE)

    @given(st.floats(0.0, 1.0), st.floats(0.0, 1.0), st.floats(0.5, 0.99))
    def test_silence_falls_back_to_the_strongest(self, good, poor, target):
        row = learnt(good, poor, 1.0, count=60)
        row = attrs.evolve(row, unrated_since=NOW)
        mix = POLICY.mix(row, OPTIONS, target, NOW + 3600.0)
        assert (mix.main, mix.other_share) == (single(LARGE), 0.0)
        assert mix.explored == ()

    @given(st.floats(0.0, 1.0), st.floats(0.0, 1.0), st.floats(0.5, 0.99))
    def test_shares_are_shares(self, good, poor, target):
        mix = POLICY.mix(learnt(good, poor, count=80), OPTIONS, target, NOW)
        assert 0.0 <= mix.other_share <= 1.0
        assert 0.0 <= mix.explored_share <= POLICY.most_explored


class TestDeadlines:
    row = with_seconds(with_seconds(learnt(0.95, 0.3), SMALL, 2.0), LARGE, 10.0)

    def test_the_first_answer_is_held_and_given_up_in_time(self):
        first, last = made(tables(self.row), policy=FixedThreshold()).steps
        assert (first.held, last.held) == (True, False)
        assert first.until == Deadline(NOW + 50.0)
        assert last.until == Deadline(NOW + 60.0)

    def test_without_time_to_escalate_the_cheap_step_is_skipped(self):
        got = made(tables(self.row), 11.0, FixedThreshold())
        assert [s.version for s in got.steps] == [LARGE]
        assert got.reason == "no_time_to_escalate"

    def test_without_time_for_the_best_a_quick_version_answers(self):
        got = made(tables(self.row), 3.0, FixedThreshold())
        assert [s.version for s in got.steps] == [SMALL]
        assert got.reason == "no_time_for_better"

    @given(st.floats(0.0, 100.0), st.integers(0, 50))
    def test_steps_end_in_an_answer_that_is_taken(self, seconds, seed):
        got = made(tables(self.row), seconds, seed=seed)
        assert got.steps[-1].accepted == ALL_SIGNALS
        assert got.steps[-1].until == Deadline(NOW + seconds)
        assert [s.held for s in got.steps] == [True] * (len(got.steps) - 1) + [False]


class TestPlan:
    def test_only_candidates_are_used(self):
        world = tables(learnt(0.95, 0.9))
        assert made(world, candidates=(LARGE,)).steps[0].version == LARGE
        assert made(world, candidates=(SMALL,)).steps[0].version == SMALL
        assert made(world, candidates=("gone@1",)).steps == ()

    def test_the_system_renews_a_mix(self):
        world = tables(learnt(0.95, 0.9))
        made(world)
        first = world.quality[KEY].mix
        world.quality[KEY] = attrs.evolve(
            learnt(0.2, 0.1), mix=first, mix_for=(SMALL, LARGE), mix_at=NOW
        )
        CascadeSystem(POLICY).run(world, NOW + 1.0)
        assert world.quality[KEY].mix == first
        CascadeSystem(POLICY).run(world, NOW + 10.0)
        assert world.quality[KEY].mix.main == single(LARGE)

    @pytest.mark.parametrize(
        ("policy", "versions"),
        [
            (AlwaysStrongest(), [LARGE]),
            (AlwaysCheapest(), [SMALL]),
            (FixedThreshold(), [SMALL, LARGE]),
        ],
    )
    def test_baselines(self, policy, versions):
        got = made(tables(), policy=policy)
        assert [s.version for s in got.steps] == versions
