"""Tests of hedged dispatch, with a service that answers when it is let."""

import threading

import pytest
from result import Err, Ok

from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.backends.service import ServiceAnswer
from masticfork.core.calls import CallHead, ServiceCall
from masticfork.core.deadlines import Deadline
from masticfork.core.events import Journal
from masticfork.core.manifest import (
    BackendServer,
    Operation,
    Service,
    Team,
    WorkClass,
)
from masticfork.entry.hedged import HedgedDispatch
from masticfork.entry.services import ServiceParts
from masticfork.systems.placement import InFlight
from masticfork.systems.retries import BudgetedRetries

SLOW, FAST = (BackendServer(name, "h", 1, "z") for name in ("slow", "fast"))
SERVICE = Service("s", (SLOW, FAST))
FAILED = Err(CallFailure(Stage.SENT, FailureKind.CONNECTION, "lost"))


class AtOnce:
    """Hedges every call without delay."""

    def __init__(self, allowed=True):
        self.allowed, self.observed = allowed, []

    def delay_seconds(self, kind):
        return 0.0

    def take(self, kind):
        return self.allowed

    def observe(self, kind, seconds):
        self.observed.append(kind)


class World:
    """Router and client of two servers; the slow one waits to be let."""

    def __init__(self):
        self.in_flight, self.retries = InFlight(), BudgetedRetries()
        self.let, self.called = threading.Event(), []
        self.answers = {
            server.name: Ok(ServiceAnswer(200, (), server.name.encode()))
            for server in (SLOW, FAST)
        }

    def choose(self, servers, tried):
        left = [server for server in servers if server.name not in tried]
        return Ok(left[0]) if left else Err(None)

    def ended(self, server, failure):
        pass

    def call(self, server, request, deadline, idempotent, may_send):
        self.called.append(server.name)
        if server is SLOW:
            assert self.let.wait(20)
        return self.answers[server.name]

    def send(self, hedges, work_class=WorkClass.LOOKUP):
        parts = ServiceParts(self, self, None, Journal(), lambda: 0.0)
        team = Team("t", (), (), 0.5)
        head = CallHead("r", False, team, Deadline(10.0), 0.0)
        operation = Operation("GET", "/x", True, work_class)
        call = ServiceCall(head, SERVICE, operation, "GET", "/x", (), b"")
        return HedgedDispatch(parts, hedges).send(call, SLOW, frozenset())


@pytest.fixture
def world():
    made = World()
    yield made
    made.let.set()


class TestHedgedDispatch:
    def test_the_second_server_answers_for_a_slow_first(self, world):
        hedges = AtOnce()
        assert world.send(hedges).ok_value.body == b"fast"
        assert world.called == ["slow", "fast"]
        assert hedges.observed == ["s GET /x"]

    def test_a_failed_hedge_does_not_end_the_first(self, world):
        world.answers["fast"] = FAILED
        threading.Timer(0.01, world.let.set).start()
        assert world.send(AtOnce()).ok_value.body == b"slow"

    def test_both_failing_is_a_failure(self, world):
        world.answers = {"slow": FAILED, "fast": FAILED}
        threading.Timer(0.01, world.let.set).start()
        assert world.send(AtOnce()) == FAILED

    @pytest.mark.parametrize("spent", ["hedges", "retries"])
    def test_neither_budget_is_passed(self, world, spent):
        if spent == "retries":
            world.retries = BudgetedRetries(saved=0.0)
        threading.Timer(0.01, world.let.set).start()
        answered = world.send(AtOnce(allowed=spent != "hedges"))
        assert answered.ok_value.body == b"slow"
        assert world.called == ["slow"]

    def test_only_lookups_are_hedged(self, world):
        threading.Timer(0.01, world.let.set).start()
        world.send(AtOnce(), WorkClass.RESERVATION)
        assert world.called == ["slow"]
