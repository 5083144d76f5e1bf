"""Tests of the tables of servers and rollouts."""

import pytest

from masticfork.core.backend_servers import (
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.store_position import StorePosition
from masticfork.relay.tables import RESTORED_ORDER_GRACE_SECONDS, Tables
from standins.fake_loop import FakeLoop


def rollout(revision):
    progress = RolloutProgress(RolloutState.RUNNING, 1)
    return VersionRollout("s", "v2", 20.0, StorePosition(1, revision), 5, 5, progress)


class TestRestoredOrders:
    """Guards against progress that is lost as the store is restored again."""

    @pytest.mark.parametrize("pause", [1.0, RESTORED_ORDER_GRACE_SECONDS - 0.5])
    def test_each_restoration_gives_the_time_to_write_orders_again(self, pause):
        loop = FakeLoop(100.0)
        tables = Tables(loop, lambda *_, **__: None)
        tables.list_rollouts([rollout(5)])
        tables.list_rollouts([], restored=True)
        loop.advance(pause)
        tables.list_rollouts([], restored=True)
        loop.advance(RESTORED_ORDER_GRACE_SECONDS - 0.5)
        assert tables.rollouts["s"].progress.step == 1
        loop.advance(1.0)
        assert not tables.rollouts
