"""Responses that count as evidence about the version of their server."""

import pytest

from masticfork.core.backend_servers import (
    Address,
    BackendServer,
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.request_identity import RequestIdentity
from masticfork.core.routes import RouteKind
from masticfork.core.store_position import StorePosition
from masticfork.relay.call_evidence import REPEATED_FAILURE_SECONDS, CallEvidence
from masticfork.relay.exchange import CallRecord, Exchange
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.own_loads import OwnLoads
from masticfork.relay.paced_servers import PacedServers
from masticfork.relay.request_quarantine import RequestQuarantine
from masticfork.relay.rollout_controller import RolloutController
from masticfork.relay.server_trials import ServerTrials
from masticfork.relay.tables import Tables
from masticfork.relay.uneven_servers import UnevenServers
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.server_choice import Work
from standins.fake_exchange import FakeCaller, FakeHost, caller_request, response_head
from standins.fake_loop import FakeLoop, SynchronousExecutor
from standins.typed_routes import typed_route

DEADLINE_SECONDS = 2.0
IDENTITY = RequestIdentity("s", caller_request())


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


class TestRepeatedFailures:
    def evidence_after(self, failures):
        """Return the evidence after failures at (time, session) of a new version."""
        loop = FakeLoop()
        tables = Tables(loop, ignore)
        address = Address("127.0.0.1", 1000)
        server = BackendServer("i-1", "s", address, "zone-a", "v2", 6, False)
        tables.put_server(server)
        progress = RolloutProgress(RolloutState.RUNNING, 0, 100.0)
        tables.put_rollout(
            VersionRollout("s", "v2", 20.0, StorePosition(0, 7), 5, 5, progress)
        )
        executor = SynchronousExecutor()
        rollouts = RolloutController(
            loop,
            None,
            tables,
            "host-1",
            ignore,
            lambda *_: [],
            ExposureLimit(0.15, 30.0),
            lambda: 4,
            executor,
        )
        evidence = CallEvidence(
            loop,
            tables,
            RelayMetrics(),
            OwnLoads(tables, ignore),
            rollouts,
            RequestQuarantine(
                loop, RelayMetrics(), ignore, lambda key: False, lambda: None
            ),
            ServerTrials(loop, tables, RelayMetrics(), lambda: None, ignore),
            PacedServers(loop, tables, RelayMetrics(), ignore),
            UnevenServers(loop, tables, RelayMetrics(), ignore),
            lambda: None,
        )
        for at, session in failures:
            loop.now = at
            record = CallRecord(tables.row("i-1"), Work("s"), 0.0, at, 0.02, IDENTITY)
            evidence.on_own_response(record, session, True)
        (reported,) = rollouts.evidence()
        return sum(item.bad for item in reported.new)

    def test_repeated_failures_of_a_request_count_once(self):
        """Guards against good versions accused of requests that fail everywhere."""
        assert self.evidence_after([(0.1, "a"), (0.2, "a"), (0.3, "a")]) == 1

    def test_failures_of_several_sessions_count(self):
        assert self.evidence_after([(0.1, "a"), (0.1, "b")]) == 2

    def test_later_failure_of_the_same_session_counts(self):
        later = 0.1 + REPEATED_FAILURE_SECONDS
        assert self.evidence_after([(0.1, "a"), (later, "a")]) == 2


def ignore(*args, **fields):
    pass
