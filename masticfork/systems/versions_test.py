import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from masticfork.core.refusals import Reason
from masticfork.core.rollouts import RolloutState
from masticfork.systems.sessions import new_session
from masticfork.systems.versions import assign_version
from masticfork.systems.worlds_test import (
    VERSIONS,
    manifest,
    rollout_row,
    tables,
    worlds,
)


def assign(world, session, team="frames"):
    return assign_version(world.configuration, world.rollouts, team, session, "draft")


def session(seed=1, pin=None):
    made = new_session("frames", random.Random(seed), 0.0)
    return made if pin is None else made.with_pin("draft", pin)


class TestPins:
    @given(worlds(), st.sampled_from(VERSIONS))
    def test_only_a_lost_version_moves_a_session(self, world, pin):
        got = assign(world, session(pin=pin))
        if isinstance(got, Err):
            assert got.err_value.reason is Reason.MODEL_NOT_ALLOWED
            return
        team = world.configuration.teams["frames"]
        lost = not world.configuration.usable(team, pin) or any(
            row.state is RolloutState.WITHDRAWN and row.to_version == pin
            for row in world.rollouts.values()
        )
        assert (got.ok_value.version != pin) == lost
        assert got.ok_value.moved_from == (pin if lost else None)

    @pytest.mark.parametrize("state", [RolloutState.RUNNING, RolloutState.PAUSED])
    @pytest.mark.parametrize("pin", ["draft@1", "draft@2"])
    def test_a_pin_holds_at_every_step(self, state, pin):
        for share in (0.0, 0.01, 0.5, 1.0):
            world = tables(manifest(), rollout_row(state, share))
            assert assign(world, session(pin=pin)).ok_value.version == pin

    def test_a_withdrawn_pin_moves_once(self):
        world = tables(manifest(), rollout_row(RolloutState.WITHDRAWN))
        moved = assign(world, session(pin="draft@2")).ok_value
        assert (moved.version, moved.moved_from) == ("draft@1", "draft@2")
        again = assign(world, session(pin=moved.version)).ok_value
        assert (again.version, again.moved_from) == ("draft@1", None)


class TestNewSessions:
    def test_shares_follow_the_step_and_only_grow(self):
        entered: set[int] = set()
        for share in (0.0, 0.1, 0.5, 1.0):
            world = tables(manifest(), rollout_row(share=share))
            now = {
                seed
                for seed in range(1000)
                if assign(world, session(seed)).ok_value.version == "draft@2"
            }
            assert entered <= now
            assert abs(len(now) / 1000 - share) < 0.04
            entered = now

    @pytest.mark.parametrize(
        ("state", "version"),
        [
            (RolloutState.PAUSED, "draft@1"),
            (RolloutState.WITHDRAWN, "draft@1"),
            (RolloutState.DONE, "draft@2"),
        ],
    )
    def test_states(self, state, version):
        world = tables(manifest(), rollout_row(state, 1.0))
        assert assign(world, session()).ok_value.version == version

    def test_an_unproved_version_names_its_permit_and_the_way_without(self):
        world = tables(manifest(), rollout_row(share=0.01, capped=True))
        got = assign(world, session()).ok_value
        assert (got.version, got.rollout) == ("draft@2", "enter")
        assert got.without_permit == "draft@1"

    def test_a_team_without_the_new_version_stays(self):
        allowed = (("draft@1",), ("draft",))
        world = tables(manifest(allowed=allowed), rollout_row(share=1.0))
        assert assign(world, session()).ok_value.version == "draft@1"

    def test_refusals(self):
        world = tables(manifest(allowed=((), ())))
        assert assign(world, session()).err_value.reason is Reason.MODEL_NOT_ALLOWED
        got = assign_version(world.configuration, {}, "frames", session(), "other")
        assert got.err_value.reason is Reason.MODEL_UNKNOWN
