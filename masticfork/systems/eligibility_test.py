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
from masticfork.systems.table_strategies_test import (
    NOW,
    SERVERS,
    TEAMS,
    VERSIONS,
    manifest,
    manifests,
    rollout_row,
    table_states,
    tables,
)
from masticfork.systems.versions import assign_version


def refusal_reason(result) -> Reason | None:
    return result.err_value.reason if isinstance(result, Err) else None


def session_with(pin, team="frames"):
    session = new_session(team, random.Random(1), NOW)
    return session if pin is None else session.with_pin("draft", pin)


class TestArbitraryState:
    @given(
        table_states(),
        st.sampled_from([*TEAMS, "strangers"]),
        st.sampled_from([None, *VERSIONS]),
        st.sampled_from([*VERSIONS, "draft@9"]),
        st.sampled_from([*SERVERS, "e9"]),
    )
    def test_accepted_dispatch_satisfies_every_rule(
        self, state, team, pin, version, server
    ):
        session = session_with(pin, team)
        if isinstance(check_dispatch(state, team, session, version, server, NOW), Err):
            return
        declared = state.configuration.manifest
        [row] = [t for t in declared.teams if t.name == team]
        assert version in row.allowed or model_of(version) in row.allowed
        assert version not in declared.withdrawn
        assert pin in (None, version)
        assert not state.servers[server].leaving
        ejected = state.servers[server].ejected_until
        assert ejected is None or ejected.at <= NOW
        [pool] = [p for p in declared.pools if p.name == f"pool-{version}"]
        assert server in [s.name for s in pool.servers]
        for rollout in state.rollouts.values():
            if rollout.to_version == version:
                assert rollout.state is not RolloutState.WITHDRAWN
                if declared.rollouts and rollout.state is not RolloutState.DONE:
                    assert state.confirmed_until.at > NOW

    @given(table_states(), st.data())
    def test_version_withdrawn_by_a_new_configuration_is_refused(self, state, data):
        state.confirmed_until = Deadline(NOW + 1)
        version = data.draw(st.sampled_from(VERSIONS))
        state.configuration = Configuration(2, "s", data.draw(manifests))
        state.configuration = Configuration(
            3,
            "s",
            attrs.evolve(state.configuration.manifest, withdrawn=(version,)),
        )
        for server in SERVERS:
            checked = check_dispatch(state, "frames", None, version, server, NOW)
            assert isinstance(checked, Err)

    @given(table_states(), st.integers(0, 99), st.sampled_from([None, *VERSIONS]))
    def test_assigned_version_is_accepted_at_an_available_server(
        self, state, seed, pin
    ):
        session = new_session("frames", random.Random(seed), NOW)
        if pin:
            session = session.with_pin("draft", pin)
        assigned = assign_version(
            state.configuration, state.rollouts, "frames", session, "draft"
        )
        if isinstance(assigned, Err):
            return
        version = assigned.ok_value.version
        session = session.with_pin("draft", version)
        state.confirmed_until = Deadline(NOW + 1)
        state.servers = tables(manifest()).servers
        assert check_dispatch(state, "frames", session, version, "e1", NOW) == Ok(None)


class TestReasons:
    @pytest.mark.parametrize(
        ("changes", "version", "server", "expected"),
        [
            ({}, "draft@1", "e1", None),
            ({}, "draft@2", "e1", None),
            ({"withdrawn": ("draft@1",)}, "draft@1", "e1", Reason.MODEL_NOT_ALLOWED),
            ({"allowed": ((), ())}, "draft@1", "e1", Reason.MODEL_NOT_ALLOWED),
            ({"known": ("draft@1",)}, "draft@2", "e1", Reason.MODEL_UNKNOWN),
            ({}, "draft@2", "e2", Reason.NO_SERVER),
        ],
    )
    def test_manifest_decides_the_refusal(self, changes, version, server, expected):
        state = tables(manifest(**changes), rollout_row())
        checked = check_dispatch(state, "frames", None, version, server, NOW)
        assert refusal_reason(checked) is expected

    def test_version_withdrawn_by_its_rollout_is_refused(self):
        state = tables(manifest(), rollout_row(RolloutState.WITHDRAWN))
        checked = check_dispatch(state, "frames", None, "draft@2", "e1", NOW)
        assert refusal_reason(checked) is Reason.MODEL_NOT_ALLOWED

    def test_unconfirmed_host_refuses_versions_in_rollout_only(self):
        state = tables(manifest(), rollout_row())
        state.confirmed_until = Deadline(NOW - 1)
        stale = check_dispatch(state, "frames", None, "draft@2", "e1", NOW)
        assert refusal_reason(stale) is Reason.CONFIGURATION_STALE
        assert check_dispatch(state, "frames", None, "draft@1", "e1", NOW) == Ok(None)

    def test_missing_configuration_is_refused(self):
        state = tables(manifest())
        state.configuration = None
        checked = check_dispatch(state, "frames", None, "draft@1", "e1", NOW)
        assert refusal_reason(checked) is Reason.NO_CONFIGURATION

    def test_session_of_another_team_is_refused(self):
        state = tables(manifest())
        session = session_with(None, "medals")
        checked = check_dispatch(state, "frames", session, "draft@1", "e1", NOW)
        assert refusal_reason(checked) is Reason.SESSION_INVALID
