"""Tests of graceful stops: what is accepted until when, and when the host exits."""

import pytest

from masticfork.core.routes import Route, RouteKind, ServiceShare
from masticfork.systems.graceful_stop import (
    NON_STREAM_ALLOWANCE_SECONDS,
    READINESS_NOTICE_SECONDS,
    STOP_MARGIN_SECONDS,
    STREAM_ALLOWANCE_SECONDS,
    GracefulStop,
)

GRACE = 8.0
BEGIN = 100.0
STOP = GracefulStop.begun_at(BEGIN, GRACE)


def route(kind):
    services = (ServiceShare("s", 1.0),)
    return Route("r", "h", "/", kind, 10.0, 1.0, 1, 1, False, True, (), services)


class TestAcceptedRequests:
    @pytest.mark.parametrize("kind", list(RouteKind))
    def test_all_are_accepted_while_new_callers_may_arrive(self, kind):
        before_notice = BEGIN + READINESS_NOTICE_SECONDS - 0.01
        assert not STOP.may_cut_off(route(kind), before_notice)

    @pytest.mark.parametrize(
        ("kind", "allowance"),
        [
            (RouteKind.STREAM, STREAM_ALLOWANCE_SECONDS),
            (RouteKind.IDEMPOTENT, NON_STREAM_ALLOWANCE_SECONDS),
            (RouteKind.NON_IDEMPOTENT, NON_STREAM_ALLOWANCE_SECONDS),
        ],
    )
    def test_request_that_would_be_cut_off_is_refused(self, kind, allowance):
        end = BEGIN + GRACE - STOP_MARGIN_SECONDS
        last = max(BEGIN + READINESS_NOTICE_SECONDS - 0.01, end - allowance)
        assert not STOP.may_cut_off(route(kind), last)
        assert STOP.may_cut_off(route(kind), end - allowance + 0.1)


class TestEnd:
    def test_host_exits_once_its_connections_are_closed(self):
        notice = BEGIN + READINESS_NOTICE_SECONDS
        assert not STOP.is_over(notice - 0.01, has_connections=False)
        assert STOP.is_over(notice, has_connections=False)
        assert not STOP.is_over(notice, has_connections=True)

    def test_host_exits_before_the_end_of_the_grace_period(self):
        end = BEGIN + GRACE - STOP_MARGIN_SECONDS
        assert not STOP.is_over(end - 0.01, has_connections=True)
        assert STOP.is_over(end, has_connections=True)
