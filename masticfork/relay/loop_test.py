import time

import pytest
from result import Err

from masticfork.relay.followers import Follower
from masticfork.relay.loop import Loop
from masticfork.store.client import ErrorKind, PlatformError


def raise_error():
    raise ValueError("boom")


class TestLoop:
    def test_timers_run_in_order_of_time_unless_cancelled(self):
        loop, calls = Loop(), []
        loop.call_after(0.02, lambda: calls.append("late"))
        loop.call_after(0.01, lambda: calls.append("early"))
        loop.call_after(0.015, lambda: calls.append("cancelled")).cancel()
        loop.call_after(0.03, loop.stop)
        loop.run()
        assert calls == ["early", "late"]

    def test_exception_is_reported_and_the_loop_continues(self):
        loop, reported = Loop(), []
        loop.on_error = reported.append
        loop.post(raise_error)
        loop.call_after(0.0, raise_error)
        loop.call_after(0.01, loop.stop)
        loop.run()
        assert [str(error) for error in reported] == ["boom", "boom"]

    def test_exception_without_error_handler_is_raised(self):
        loop = Loop()
        loop.post(raise_error)
        with pytest.raises(ValueError, match="boom"):
            loop.run()


class _UnavailableStore:
    """A store that is unavailable and counts the list requests it gets."""

    def __init__(self):
        self.list_count = 0

    def list_all(self, kind, deadline, stale=False):
        self.list_count += 1
        return Err(PlatformError(ErrorKind.UNAVAILABLE, "down"))


class _StoreSink:
    def on_store_failure(self, kind, error):
        pass


class TestStoreThreads:
    def test_store_threads_end_with_the_loop(self):
        """A stopped host must not call a store address that may be reused by then."""
        loop, store = Loop(), _UnavailableStore()
        Follower("servers", store, loop, _StoreSink()).start()
        time.sleep(0.3)
        loop.stop()
        time.sleep(1.0)
        count_after_stop = store.list_count
        time.sleep(1.0)
        assert count_after_stop > 0
        assert store.list_count == count_after_stop
