"""Tests of graceful stops: what is accepted until when, and when the host exits."""

import attrs
import pytest

from masticfork.core.routes import Route, RouteKind, ServiceShare
from masticfork.systems.graceful_stop import (
    NON_STREAM_ALLOWANCE_SECONDS,
    READINESS_NOTICE_SECONDS,
    SLOWEST_RESPONSE_FACTOR,
    STOP_MARGIN_SECONDS,
    STREAM_ALLOWANCE_SECONDS,
    GracefulStop,
)

GRACE = 8.0
BEGIN = 100.0
STOP = GracefulStop.begun_at(BEGIN, GRACE)
END = BEGIN + GRACE - STOP_MARGIN_SECONDS


def route(kind):
    services = (ServiceShare("s", 1.0),)
    return Route("r", "h", "/", kind, 10.0, 1.0, 1, 1, False, True, (), services)


def may_cut_off(kind, now, time_limit=100.0, slowest=0.01):
    return STOP.may_cut_off(route(kind), now + time_limit, slowest, now)


class TestAcceptedRequests:
    @pytest.mark.parametrize("slowest", [None, 20.0])
    @pytest.mark.parametrize("kind", list(RouteKind))
    def test_all_are_accepted_while_new_callers_may_arrive(self, kind, slowest):
        before_notice = BEGIN + READINESS_NOTICE_SECONDS - 0.01
        assert not may_cut_off(kind, before_notice, slowest=slowest)

    @pytest.mark.parametrize(
        ("kind", "allowance"),
        [
            (RouteKind.STREAM, STREAM_ALLOWANCE_SECONDS),
            (RouteKind.IDEMPOTENT, NON_STREAM_ALLOWANCE_SECONDS),
        ],
    )
    def test_request_that_would_be_cut_off_is_refused(self, kind, allowance):
        last = max(BEGIN + READINESS_NOTICE_SECONDS - 0.01, END - allowance)
        assert not may_cut_off(kind, last)
        assert may_cut_off(kind, END - allowance + 0.1)

    def test_request_of_a_slow_route_is_refused_sooner(self):
        """Guards against requests that a stopping host accepts late and cuts off."""
        kind, allowance = RouteKind.IDEMPOTENT, SLOWEST_RESPONSE_FACTOR * 0.9
        assert not may_cut_off(kind, END - allowance - 0.01, slowest=0.9)
        assert may_cut_off(kind, END - allowance + 0.01, slowest=0.9)

    @pytest.mark.parametrize("slowest", [None, 0.01, 0.9, 20.0])
    @pytest.mark.parametrize("resumable", [False, True])
    @pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
    def test_request_that_may_not_be_repeated_must_end_by_its_deadline(
        self, kind, resumable, slowest
    ):
        """Guards against orders cut off as their server turns slow during the stop."""
        unrepeatable = attrs.evolve(route(kind), resumable=resumable)
        if unrepeatable.retryable:
            return
        for now, expected in ((END - 4.01, False), (END - 3.99, True)):
            assert STOP.may_cut_off(unrepeatable, now + 4.0, slowest, now) is expected

    @pytest.mark.parametrize("kind", list(RouteKind))
    def test_request_of_an_unknown_route_may_last_until_its_deadline(self, kind):
        assert not may_cut_off(kind, END - 4.01, time_limit=4.0, slowest=None)
        assert may_cut_off(kind, END - 3.99, time_limit=4.0, slowest=None)

    @pytest.mark.parametrize("kind", list(RouteKind))
    def test_no_request_lasts_longer_than_its_deadline(self, kind):
        assert not may_cut_off(kind, END - 0.41, time_limit=0.4, slowest=9.0)


class TestEnd:
    def test_host_exits_once_its_connections_are_closed(self):
        notice = BEGIN + READINESS_NOTICE_SECONDS
        assert not STOP.is_over(notice - 0.01, has_connections=False)
        assert STOP.is_over(notice, has_connections=False)
        assert not STOP.is_over(notice, has_connections=True)

    def test_host_exits_before_the_end_of_the_grace_period(self):
        assert not STOP.is_over(END - 0.01, has_connections=True)
        assert STOP.is_over(END, has_connections=True)
