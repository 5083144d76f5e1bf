"""Responses of servers that belong to another request."""

import pytest

from masticfork.core.routes import RouteKind
from masticfork.relay.exchange import Exchange
from standins.fake_exchange import FakeCaller, FakeHost, caller_request, response_head
from standins.typed_routes import typed_route


class TestResponsesToOtherRequests:
    @pytest.mark.parametrize("status", [421, 429, 503])
    def test_late_refusal_of_another_request_is_no_proof_of_not_run(self, status):
        """Guards against a late second response that is taken for a refusal."""
        host, caller = FakeHost(), FakeCaller()
        exchange = Exchange(
            host=host,
            caller=caller,
            request=caller_request(),
            route=typed_route(RouteKind.IDEMPOTENT, max_attempts=1),
            service="s",
            team=None,
            priority=1,
            deadline=2.0,
        )
        exchange.start()
        exchange.on_head(response_head(status=status, not_run=True, attempt_id=b"a-2"))
        assert caller.status == 502
