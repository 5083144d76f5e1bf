"""Tests of hedged dispatch, with a slow server that answers on a signal."""

import threading

import pytest
from result import Err, Ok

from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.backends.service import ServiceResponse
from masticfork.core.calls import CallHead, ServiceCall
from masticfork.core.deadlines import Deadline
from masticfork.core.events import EventLog
from masticfork.core.manifest import (
    BackendServer,
    Operation,
    Service,
    Team,
    WorkClass,
)
from masticfork.entry.hedged import HedgedDispatch
from masticfork.entry.services import ServiceDependencies
from masticfork.systems.placement import InFlight
from masticfork.systems.retries import BudgetedRetries

SLOW, FAST = (BackendServer(name, "h", 1, "z") for name in ("slow", "fast"))
SERVICE = Service("s", (SLOW, FAST))
FAILED = Err(CallFailure(Stage.SENT, FailureKind.CONNECTION, "lost"))


class ImmediateHedges:
    """Hedge policy that hedges every call without delay."""

    def __init__(self, allowed=True):
        self.allowed, self.observed = allowed, []

    def delay_seconds(self, kind):
        return 0.0

    def try_take(self, kind):
        return self.allowed

    def observe(self, kind, seconds):
        self.observed.append(kind)


class FakeBackends:
    """Router and client of two servers; the slow one blocks until `release_slow`."""

    def __init__(self):
        self.in_flight, self.retries = InFlight(), BudgetedRetries()
        self.release_slow, self.called = threading.Event(), []
        self.answers = {
            server.name: Ok(ServiceResponse(200, (), server.name.encode()))
            for server in (SLOW, FAST)
        }

    def choose_server(self, servers, tried):
        untried = [server for server in servers if server.name not in tried]
        return Ok(untried[0]) if untried else Err(None)

    def record_outcome(self, server, failure):
        pass

    def call(self, server, request, deadline, idempotent, may_send):
        self.called.append(server.name)
        if server is SLOW:
            assert self.release_slow.wait(20)
        return self.answers[server.name]

    def send(self, hedges, work_class=WorkClass.LOOKUP):
        parts = ServiceDependencies(self, self, None, EventLog(), lambda: 0.0)
        team = Team("t", (), (), 0.5)
        head = CallHead("r", False, team, Deadline(10.0), 0.0)
        operation = Operation("GET", "/x", True, work_class)
        call = ServiceCall(head, SERVICE, operation, "GET", "/x", (), b"")
        return HedgedDispatch(parts, hedges).send(call, SLOW, frozenset())


@pytest.fixture
def backends():
    fake = FakeBackends()
    yield fake
    fake.release_slow.set()


class TestHedgedDispatch:
    def test_hedge_answers_when_first_server_is_slow(self, backends):
        hedges = ImmediateHedges()
        assert backends.send(hedges).ok_value.body == b"fast"
        assert backends.called == ["slow", "fast"]
        assert hedges.observed == ["s GET /x"]

    def test_failed_hedge_leaves_first_attempt_running(self, backends):
        backends.answers["fast"] = FAILED
        threading.Timer(0.01, backends.release_slow.set).start()
        assert backends.send(ImmediateHedges()).ok_value.body == b"slow"

    def test_failure_is_returned_when_both_attempts_fail(self, backends):
        backends.answers = {"slow": FAILED, "fast": FAILED}
        threading.Timer(0.01, backends.release_slow.set).start()
        assert backends.send(ImmediateHedges()) == FAILED

    @pytest.mark.parametrize("exhausted", ["hedges", "retries"])
    def test_no_hedge_when_either_budget_is_exhausted(self, backends, exhausted):
        if exhausted == "retries":
            backends.retries = BudgetedRetries(max_budget=0.0)
        threading.Timer(0.01, backends.release_slow.set).start()
        answered = backends.send(ImmediateHedges(allowed=exhausted != "hedges"))
        assert answered.ok_value.body == b"slow"
        assert backends.called == ["slow"]

    def test_only_lookups_are_hedged(self, backends):
        threading.Timer(0.01, backends.release_slow.set).start()
        backends.send(ImmediateHedges(), WorkClass.RESERVATION)
        assert backends.called == ["slow"]
