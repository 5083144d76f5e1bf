"""Hypothesis strategies for small manifests and tables, shared by tests."""

import attrs
from hypothesis import strategies as st

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.manifest import (
    BackendServer,
    Manifest,
    Model,
    Pool,
    Rollout,
    Team,
    Version,
)
from masticfork.core.rollouts import RolloutRow, RolloutState
from masticfork.core.tables import SelfRow, ServerRow, Tables

NOW = 1000.0
VERSIONS = ("draft@1", "draft@2", "draft@3")
TEAMS = ("frames", "medals")
SERVERS = ("e1", "e2")
ROLLOUT = Rollout("enter", "draft", "draft@1", "draft@2")


def manifest(
    allowed=(("draft",), ("draft",)), withdrawn=(), known=VERSIONS, rollouts=(ROLLOUT,)
) -> Manifest:
    servers = tuple(BackendServer(n, "127.0.0.1", 1, "a") for n in SERVERS)
    versions = tuple(Version(v, f"pool-{v}", 1.0) for v in known)
    return Manifest(
        teams=tuple(
            Team(name, (), tuple(rows), 0.8)
            for name, rows in zip(TEAMS, allowed, strict=True)
        ),
        models=(Model("draft", versions, known[0]),),
        pools=tuple(
            Pool(v.pool, servers[:1] if i else servers) for i, v in enumerate(versions)
        ),
        rollouts=rollouts,
        withdrawn=tuple(withdrawn),
    )


def tables(declared: Manifest, *rows: RolloutRow) -> Tables:
    servers = {s.name: ServerRow(s) for s in declared.pools[0].servers}
    return Tables(
        SelfRow("h1", "a"),
        Configuration(1, "s", declared),
        Deadline(NOW + 5),
        servers,
        rollouts={row.name: row for row in rows},
    )


def rollout_row(
    state=RolloutState.RUNNING, share=0.5, capped=False, **fields
) -> RolloutRow:
    row = RolloutRow("enter", "draft", "draft@1", "draft@2", state=state)
    return attrs.evolve(row, share=share, capped=capped, **fields)


manifests = st.builds(
    manifest,
    allowed=st.tuples(*[st.sets(st.sampled_from(("draft", *VERSIONS)))] * 2),
    withdrawn=st.sets(st.sampled_from(VERSIONS)),
    known=st.sampled_from([VERSIONS[:1], VERSIONS[:2], VERSIONS]),
    rollouts=st.sampled_from([(), (ROLLOUT,)]),
)
rollout_rows = st.builds(
    rollout_row, st.sampled_from(RolloutState), st.sampled_from([0.0, 0.3, 1.0])
)


@st.composite
def table_states(draw) -> Tables:
    rows = draw(st.lists(rollout_rows, max_size=1))
    state = tables(draw(manifests), *rows)
    for name, row in state.servers.items():
        ejected = draw(st.sampled_from([None, Deadline(NOW - 1), Deadline(NOW + 1)]))
        state.servers[name] = ServerRow(row.server, draw(st.booleans()), ejected)
    if draw(st.booleans()):
        state.servers.pop("e2")
    state.confirmed_until = draw(
        st.sampled_from([None, Deadline(NOW - 1), Deadline(NOW), Deadline(NOW + 9)])
    )
    return state
