"""Tests of the slowest recent response of a route."""

import pytest

from masticfork.systems.response_times import (
    MIN_RESPONSES,
    WINDOW_SECONDS,
    ResponseTimes,
)


@pytest.fixture
def times():
    """Return the times of a route with enough responses, the slowest of 2 s, at 0."""
    times = ResponseTimes()
    for seconds in (2.0, *[0.1] * (MIN_RESPONSES - 1)):
        times.record("r", seconds, 0.0)
    return times


class TestSlowest:
    def test_slowest_response_is_remembered_for_a_window_at_least(self, times):
        assert times.slowest("r", 0.0) == 2.0
        assert times.slowest("r", 2 * WINDOW_SECONDS - 0.1) == 2.0

    def test_slowest_response_is_forgotten_after_two_windows(self, times):
        for second in range(0, 2 * int(WINDOW_SECONDS) + 1, 5):
            times.record("r", 0.1, float(second))
        assert times.slowest("r", 2 * WINDOW_SECONDS + 0.1) == 0.1

    def test_few_responses_tell_nothing(self):
        times = ResponseTimes()
        assert times.slowest("r", 0.0) is None
        for _ in range(MIN_RESPONSES - 1):
            times.record("r", 0.1, 0.0)
        assert times.slowest("r", 0.0) is None

    def test_responses_before_a_pause_tell_nothing(self, times):
        assert times.slowest("r", 3 * WINDOW_SECONDS) is None

    def test_routes_are_told_apart(self, times):
        assert times.slowest("other", 0.0) is None


class TestSweep:
    def test_only_routes_without_recent_responses_are_forgotten(self, times):
        times.sweep(WINDOW_SECONDS)
        assert times.slowest("r", WINDOW_SECONDS) == 2.0
        times.sweep(3 * WINDOW_SECONDS)
        assert not times._windows
