import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from masticfork.core.refusals import Reason
from masticfork.core.rollouts import RolloutState
from masticfork.systems.sessions import new_session
from masticfork.systems.table_strategies_test import (
    VERSIONS,
    manifest,
    rollout_row,
    table_states,
    tables,
)
from masticfork.systems.versions import assign_version


def assign(world, session, team="frames"):
    return assign_version(world.configuration, world.rollouts, team, session, "draft")


def session(seed=1, pin=None):
    new = new_session("frames", random.Random(seed), 0.0)
    return new if pin is None else new.with_pin("draft", pin)


class TestPins:
    @given(table_states(), st.sampled_from(VERSIONS))
    def test_session_moves_only_if_its_version_becomes_unusable(self, world, pin):
        result = assign(world, session(pin=pin))
        if isinstance(result, Err):
            assert result.err_value.reason is Reason.MODEL_NOT_ALLOWED
            return
        team = world.configuration.teams["frames"]
        unusable = not world.configuration.may_use(team, pin) or any(
            row.state is RolloutState.WITHDRAWN and row.to_version == pin
            for row in world.rollouts.values()
        )
        assert (result.ok_value.version != pin) == unusable
        assert result.ok_value.moved_from == (pin if unusable else None)

    @pytest.mark.parametrize("state", [RolloutState.RUNNING, RolloutState.PAUSED])
    @pytest.mark.parametrize("pin", ["draft@1", "draft@2"])
    def test_pin_is_kept_at_every_step(self, state, pin):
        for share in (0.0, 0.01, 0.5, 1.0):
            world = tables(manifest(), rollout_row(state, share))
            assert assign(world, session(pin=pin)).ok_value.version == pin

    def test_session_pinned_to_a_withdrawn_version_moves_once(self):
        world = tables(manifest(), rollout_row(RolloutState.WITHDRAWN))
        moved = assign(world, session(pin="draft@2")).ok_value
        assert (moved.version, moved.moved_from) == ("draft@1", "draft@2")
        again = assign(world, session(pin=moved.version)).ok_value
        assert (again.version, again.moved_from) == ("draft@1", None)


class TestNewSessions:
    def test_share_on_the_new_version_matches_the_step_and_only_grows(self):
        previously_entered: set[int] = set()
        for share in (0.0, 0.1, 0.5, 1.0):
            world = tables(manifest(), rollout_row(share=share))
            entered_now = {
                seed
                for seed in range(1000)
                if assign(world, session(seed)).ok_value.version == "draft@2"
            }
            assert previously_entered <= entered_now
            assert abs(len(entered_now) / 1000 - share) < 0.04
            previously_entered = entered_now

    @pytest.mark.parametrize(
        ("state", "version"),
        [
            (RolloutState.PAUSED, "draft@1"),
            (RolloutState.WITHDRAWN, "draft@1"),
            (RolloutState.DONE, "draft@2"),
        ],
    )
    def test_version_by_rollout_state(self, state, version):
        world = tables(manifest(), rollout_row(state, 1.0))
        assert assign(world, session()).ok_value.version == version

    def test_capped_rollout_names_its_permit_and_a_fallback_version(self):
        world = tables(manifest(), rollout_row(share=0.01, capped=True))
        result = assign(world, session()).ok_value
        assert (result.version, result.rollout) == ("draft@2", "enter")
        assert result.without_permit == "draft@1"

    def test_team_without_the_new_version_keeps_the_old_one(self):
        allowed = (("draft@1",), ("draft",))
        world = tables(manifest(allowed=allowed), rollout_row(share=1.0))
        assert assign(world, session()).ok_value.version == "draft@1"

    def test_refusal_reasons(self):
        world = tables(manifest(allowed=((), ())))
        assert assign(world, session()).err_value.reason is Reason.MODEL_NOT_ALLOWED
        result = assign_version(world.configuration, {}, "frames", session(), "other")
        assert result.err_value.reason is Reason.MODEL_UNKNOWN
