import time

import pytest
from result import Err

from masticfork.relay.followers import Follower
from masticfork.relay.loop import Loop
from masticfork.store.client import ErrorKind, PlatformError


def boom():
    raise ValueError("boom")


class TestLoop:
    def test_timers_run_in_their_order_and_cancelled_ones_do_not(self):
        loop, seen = Loop(), []
        loop.call_after(0.02, lambda: seen.append("late"))
        loop.call_after(0.01, lambda: seen.append("early"))
        loop.call_after(0.015, lambda: seen.append("cancelled")).cancel()
        loop.call_after(0.03, loop.stop)
        loop.run()
        assert seen == ["early", "late"]

    def test_a_fault_is_told_and_ends_nothing_else(self):
        loop, told = Loop(), []
        loop.on_error = told.append
        loop.post(boom)
        loop.call_after(0.0, boom)
        loop.call_after(0.01, loop.stop)
        loop.run()
        assert [str(error) for error in told] == ["boom", "boom"]

    def test_a_fault_that_nobody_is_told_of_is_raised(self):
        loop = Loop()
        loop.post(boom)
        with pytest.raises(ValueError, match="boom"):
            loop.run()


class _Objects:
    """A store whose lists are counted."""

    def __init__(self):
        self.lists = 0

    def list_all(self, kind, deadline, stale=False):
        self.lists += 1
        return Err(PlatformError(ErrorKind.UNAVAILABLE, "down"))


class _Sink:
    def on_store_failure(self, kind, error):
        pass


class TestStoreThreads:
    def test_they_end_with_the_loop(self):
        """A stopped host must not call an address that others may have by then."""
        loop, objects = Loop(), _Objects()
        Follower("servers", objects, loop, _Sink()).start()
        time.sleep(0.3)
        loop.stop()
        time.sleep(1.0)
        before = objects.lists
        time.sleep(1.0)
        assert before > 0
        assert objects.lists == before
