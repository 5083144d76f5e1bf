"""Responses that are passed on before they are complete."""

import pytest

from masticfork.core.routes import RouteKind
from masticfork.relay.exchange import MAX_BUFFERED_RESPONSE_BYTES, Exchange
from masticfork.relay.server_call import CallFailure, Stage
from standins.fake_exchange import (
    FakeCaller,
    FakeHost,
    caller_request,
    response_head,
)
from standins.typed_routes import typed_route

PART = b"x" * (MAX_BUFFERED_RESPONSE_BYTES + 1)


class LargeResponse:
    """An exchange of which a server has sent more than is buffered."""

    def __init__(self, kind, status=200):
        self.host, self.caller = FakeHost(), FakeCaller()
        route = typed_route(kind, resumable=kind is RouteKind.STREAM)
        self.exchange = Exchange(
            host=self.host,
            caller=self.caller,
            request=caller_request(),
            route=route,
            service="s",
            team=None,
            priority=1,
            deadline=2.0,
        )
        self.exchange.start()
        self.host.calls[-1].stage = Stage.ANSWERING
        length = 2 * len(PART)
        self.exchange.on_head(response_head(status=status, content_length=length))
        self.exchange.on_body(PART)


class TestLargeResponses:
    @pytest.mark.parametrize(
        ("kind", "status"), [(RouteKind.IDEMPOTENT, 200), (RouteKind.STREAM, 404)]
    )
    def test_broken_one_is_not_continued_by_another_server(self, kind, status):
        """Guards against a body that is joined from two responses (MIXED)."""
        response = LargeResponse(kind, status)
        response.exchange.on_failed(CallFailure(Stage.ANSWERING, "broken"))
        assert len(response.host.calls) == 1
        assert response.caller.aborted
        assert response.caller.body == PART

    def test_silent_one_is_not_continued_by_another_server(self):
        """Guards against a body that is joined from two responses (MIXED)."""
        response = LargeResponse(RouteKind.IDEMPOTENT)
        response.host.loop.advance(1.9)
        assert len(response.host.calls) == 1
        response.host.loop.advance(0.2)
        assert response.caller.aborted
        assert response.caller.body == PART
