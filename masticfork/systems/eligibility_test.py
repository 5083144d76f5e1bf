import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.ids import model_of
from masticfork.core.refusals import Reason
from masticfork.core.rollouts import RolloutState
from masticfork.systems.eligibility import check_dispatch
from masticfork.systems.sessions import new_session
from masticfork.systems.versions import assign_version
from masticfork.systems.worlds_test import (
    NOW,
    SERVERS,
    TEAMS,
    VERSIONS,
    manifest,
    manifests,
    rollout_row,
    tables,
    worlds,
)


def reason(result) -> Reason | None:
    return result.err_value.reason if isinstance(result, Err) else None


def session_with(pin, team="frames"):
    session = new_session(team, random.Random(1), NOW)
    return session if pin is None else session.with_pin("draft", pin)


class TestAnyWorld:
    @given(
        worlds(),
        st.sampled_from([*TEAMS, "strangers"]),
        st.sampled_from([None, *VERSIONS]),
        st.sampled_from([*VERSIONS, "draft@9"]),
        st.sampled_from([*SERVERS, "e9"]),
    )
    def test_what_passes_is_allowed(self, world, team, pin, version, server):
        session = session_with(pin, team)
        if isinstance(check_dispatch(world, team, session, version, server, NOW), Err):
            return
        declared = world.configuration.manifest
        [row] = [t for t in declared.teams if t.name == team]
        assert version in row.allowed or model_of(version) in row.allowed
        assert version not in declared.withdrawn
        assert pin in (None, version)
        assert not world.servers[server].leaving
        ejected = world.servers[server].ejected_until
        assert ejected is None or ejected.at <= NOW
        [pool] = [p for p in declared.pools if p.name == f"pool-{version}"]
        assert server in [s.name for s in pool.servers]
        for rollout in world.rollouts.values():
            if rollout.to_version == version:
                assert rollout.state is not RolloutState.WITHDRAWN
                if declared.rollouts and rollout.state is not RolloutState.DONE:
                    assert world.confirmed_until.at > NOW

    @given(worlds(), st.data())
    def test_a_change_after_a_pass_is_honoured(self, world, data):
        world.confirmed_until = Deadline(NOW + 1)
        version = data.draw(st.sampled_from(VERSIONS))
        world.configuration = Configuration(2, "s", data.draw(manifests))
        world.configuration = Configuration(
            3,
            "s",
            attrs.evolve(world.configuration.manifest, withdrawn=(version,)),
        )
        for server in SERVERS:
            checked = check_dispatch(world, "frames", None, version, server, NOW)
            assert isinstance(checked, Err)

    @given(worlds(), st.integers(0, 99), st.sampled_from([None, *VERSIONS]))
    def test_an_assigned_version_passes_where_its_server_takes_work(
        self, world, seed, pin
    ):
        session = new_session("frames", random.Random(seed), NOW)
        if pin:
            session = session.with_pin("draft", pin)
        got = assign_version(
            world.configuration, world.rollouts, "frames", session, "draft"
        )
        if isinstance(got, Err):
            return
        version = got.ok_value.version
        session = session.with_pin("draft", version)
        world.confirmed_until = Deadline(NOW + 1)
        world.servers = tables(manifest()).servers
        assert check_dispatch(world, "frames", session, version, "e1", NOW) == Ok(None)


class TestReasons:
    @pytest.mark.parametrize(
        ("change", "version", "server", "expected"),
        [
            ({}, "draft@1", "e1", None),
            ({}, "draft@2", "e1", None),
            ({"withdrawn": ("draft@1",)}, "draft@1", "e1", Reason.MODEL_NOT_ALLOWED),
            ({"allowed": ((), ())}, "draft@1", "e1", Reason.MODEL_NOT_ALLOWED),
            ({"known": ("draft@1",)}, "draft@2", "e1", Reason.MODEL_UNKNOWN),
            ({}, "draft@2", "e2", Reason.NO_SERVER),
        ],
    )
    def test_manifest(self, change, version, server, expected):
        world = tables(manifest(**change), rollout_row())
        checked = check_dispatch(world, "frames", None, version, server, NOW)
        assert reason(checked) is expected

    def test_a_rollouts_verdict_withdraws(self):
        world = tables(manifest(), rollout_row(RolloutState.WITHDRAWN))
        checked = check_dispatch(world, "frames", None, "draft@2", "e1", NOW)
        assert reason(checked) is Reason.MODEL_NOT_ALLOWED

    def test_a_lonely_host_keeps_only_proved_versions(self):
        world = tables(manifest(), rollout_row())
        world.confirmed_until = Deadline(NOW - 1)
        stale = check_dispatch(world, "frames", None, "draft@2", "e1", NOW)
        assert reason(stale) is Reason.CONFIGURATION_STALE
        assert check_dispatch(world, "frames", None, "draft@1", "e1", NOW) == Ok(None)

    def test_no_configuration(self):
        world = tables(manifest())
        world.configuration = None
        checked = check_dispatch(world, "frames", None, "draft@1", "e1", NOW)
        assert reason(checked) is Reason.NO_CONFIGURATION

    def test_another_teams_session(self):
        world = tables(manifest())
        session = session_with(None, "medals")
        checked = check_dispatch(world, "frames", session, "draft@1", "e1", NOW)
        assert reason(checked) is Reason.SESSION_INVALID
