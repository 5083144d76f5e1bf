"""Responses that count as evidence about the version of their server."""

import pytest

from masticfork.core.routes import RouteKind
from masticfork.relay.exchange import Exchange
from standins.fake_exchange import FakeCaller, FakeHost, caller_request, response_head
from standins.typed_routes import typed_route

DEADLINE_SECONDS = 2.0


def start_exchange(host, kind=RouteKind.IDEMPOTENT):
    exchange = Exchange(
        host=host,
        caller=FakeCaller(),
        request=caller_request(),
        route=typed_route(kind, max_attempts=1),
        service="s",
        team=None,
        priority=1,
        deadline=DEADLINE_SECONDS,
    )
    exchange.start()
    return exchange


class TestVersionEvidence:
    def test_stream_counts_when_it_begins(self):
        """Guards against good versions that look slow until their streams end."""
        host = FakeHost()
        start_exchange(host, RouteKind.STREAM).on_head(response_head())
        assert host.responses_failed == [False]

    @pytest.mark.parametrize("status", [500, 502, 504])
    def test_early_server_error_counts_as_a_failure(self, status):
        host = FakeHost()
        exchange = start_exchange(host)
        host.loop.now = 0.1
        exchange.on_head(response_head(status=status))
        assert host.responses_failed == [True]

    def test_timeout_at_the_time_limit_of_a_request_is_no_failure(self):
        """Guards against good versions accused of requests that take too long."""
        host = FakeHost()
        exchange = start_exchange(host)
        host.loop.now = 0.99 * DEADLINE_SECONDS
        exchange.on_head(response_head(status=504))
        assert host.responses_failed == [False]

    def test_responses_to_other_requests_and_refusals_do_not_count(self):
        host = FakeHost()
        start_exchange(host).on_head(response_head(attempt_id=b"a-2"))
        start_exchange(host).on_head(response_head(status=503, not_run=True))
        assert host.responses_failed == []
