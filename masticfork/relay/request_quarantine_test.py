"""Servers that crash when they begin to answer certain requests."""

import time

import attrs
import pytest

from masticfork.core.forwarding import PromptPart
from masticfork.core.request_identity import RequestIdentity
from masticfork.core.routes import RouteKind
from masticfork.relay.exchange import CallRecord, Exchange, HeldRequest
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.request_quarantine import MAX_LINK_SECONDS, RequestQuarantine
from masticfork.relay.server_call import CallFailure, Stage
from masticfork.systems import crash_quarantine
from masticfork.systems.crash_evidence import MIN_CRASHES
from masticfork.systems.failed_calls import CallOutcome
from masticfork.systems.server_choice import Work
from standins.entry_environment import (
    ENGINES,
    configuration,
    route,
    running_entry_host,
)
from standins.fake_exchange import (
    FakeCaller,
    FakeHost,
    caller_request,
    response_head,
    server_row,
)
from standins.fake_loop import FakeLoop
from standins.scripted_server import CloseConnectionError, events
from standins.typed_routes import typed_route

DEADLY_PROMPT = {"X-Masticfork-Prompt-Prefix": "a1:60,dead:20,b2:20"}
SOUND_PROMPT = {"X-Masticfork-Prompt-Prefix": "a1:60,b3:40"}
# The silence limit of its calls, twice the target, is far above the time to a crash.
SLOW_ROUTE = configuration(1, route("streaming", target_latency_ms=2000))


def crash_on_deadly_part(request):
    # Crashes that are further apart than those of a failing rack.
    time.sleep(0.3)
    if "dead" in request.headers["x-masticfork-prompt-prefix"]:
        raise CloseConnectionError
    yield from events(request, 2, confidence=90)


def request_quarantine(loop):
    """Return a quarantine whose host tries out nothing."""
    return RequestQuarantine(
        loop,
        RelayMetrics(),
        lambda *args, **fields: None,
        lambda key: False,
        lambda: None,
    )


def identity(prompt=(), **changes):
    """Return the identity of a request; `changes` apply to the request."""
    request = attrs.evolve(caller_request(prompt=prompt), **changes)
    return RequestIdentity("s", request)


def call(row, prompt, started_at=99.0, **changes):
    """Return a call to a server."""
    work = Work("s", prompt=prompt)
    return CallRecord(row, work, 0.0, started_at, 0.0, identity(prompt, **changes))


class TestDeadlyPart:
    def crash_with_two_requests(self, env):
        """Send two requests that have only the part in common; return the statuses."""
        return [
            env.send("/streaming/x", headers=DEADLY_PROMPT, body=body).status
            for body in (b"first", b"second")
        ]

    def test_requests_with_it_are_refused_and_others_served(self):
        """Guards against requests of one kind that crash server after server."""
        with running_entry_host(SLOW_ROUTE) as env:
            servers = [env.add_server(crash_on_deadly_part, ENGINES) for _ in range(4)]
            env.wait_for_servers(4)
            assert env.send("/streaming/x", headers=SOUND_PROMPT).status == 200
            assert self.crash_with_two_requests(env) == [502, 502]
            env.wait_until(lambda: env.logged("suspect quarantined", suspect="dead"))
            sent_before = sum(len(server.requests) for server in servers)
            refused = env.send("/streaming/x", headers=DEADLY_PROMPT)
            assert refused.status == 503
            # Not before the part is tried out again.
            elapsed = 5.0
            pause = float(refused.headers["retry-after"])
            assert pause > crash_quarantine.FIRST_TRIAL_SECONDS - elapsed
            assert sum(len(server.requests) for server in servers) == sent_before
            assert env.send("/streaming/x", headers=SOUND_PROMPT).status == 200
            assert env.logged("end", status=503, why="quarantined: dead")

    def test_trial_of_one_request_shows_that_the_servers_were_mended(self, monkeypatch):
        """Guards against prompts that are refused long after their fault is gone."""
        monkeypatch.setattr(crash_quarantine, "FIRST_TRIAL_SECONDS", 2.0)
        with running_entry_host(SLOW_ROUTE) as env:
            servers = [env.add_server(crash_on_deadly_part, ENGINES) for _ in range(4)]
            env.wait_for_servers(4)
            assert self.crash_with_two_requests(env) == [502, 502]
            env.wait_until(lambda: env.logged("suspect quarantined", suspect="dead"))
            assert env.send("/streaming/x", headers=DEADLY_PROMPT).status == 503
            for server in servers:
                server.script = lambda request: events(request, 2, confidence=90)
            time.sleep(2.0)
            assert env.send("/streaming/x", headers=DEADLY_PROMPT).status == 200
            env.wait_until(lambda: env.logged("suspect released"))
            assert env.logged("suspect tried", suspect="dead")


class TestSignsOfLife:
    """Answers of a server that has lost a call with the deadly part."""

    @pytest.fixture()
    def loop(self):
        return FakeLoop(100.0)

    @pytest.fixture()
    def quarantine(self, loop):
        return request_quarantine(loop)

    def lose_call(self, quarantine, loop):
        """Lose a call to a server of its own, and return another call there."""
        row = server_row(round(loop.now * 10))
        lost, other = (
            call(row, prompt, loop.now - 1.0, body=b"%f" % loop.now)
            for prompt in (
                (PromptPart("dead", 20), PromptPart("b2", 20)),
                (PromptPart("a1", 60), PromptPart("b3", 40)),
            )
        )
        lost.connection_lost = True
        quarantine.record_end(lost)
        return other

    def is_quarantined(self, quarantine, loop):
        loop.advance(1.0)
        quarantine.run()
        return quarantine.held(identity((PromptPart("dead", 1), PromptPart("x", 1))))

    def test_answer_read_together_with_the_crash_clears_nothing(self, quarantine, loop):
        """Guards against answers sent before a crash that are read at its time."""
        for _ in range(MIN_CRASHES):
            loop.advance(1.0)
            quarantine.record_answer(self.lose_call(quarantine, loop))
        assert self.is_quarantined(quarantine, loop)

    def test_answer_read_by_a_host_that_was_frozen_clears_nothing(
        self, quarantine, loop
    ):
        """Guards against answers that waited for the host while the server crashed."""
        answered = []
        for _ in range(MIN_CRASHES):
            answered.append(self.lose_call(quarantine, loop))
            loop.now += 0.5
        for record in answered:
            quarantine.record_answer(record)
        assert self.is_quarantined(quarantine, loop)

    def test_server_that_goes_on_answering_has_not_crashed(self, quarantine, loop):
        for _ in range(MIN_CRASHES):
            answered = self.lose_call(quarantine, loop)
            loop.advance(MAX_LINK_SECONDS)
            loop.advance(0.1)
            quarantine.record_answer(answered)
        assert not self.is_quarantined(quarantine, loop)


class TestAbandonedCalls:
    @pytest.mark.parametrize("answered", [False, True])
    @pytest.mark.parametrize("outcome", [CallOutcome.DROPPED, CallOutcome.SILENT])
    def test_dropped_call_accuses_its_part_if_the_server_then_crashes(
        self, outcome, answered
    ):
        """Guards against a low confidence that arrives just before the crash."""
        loop = FakeLoop(100.0)
        quarantine = request_quarantine(loop)
        dead, sound = PromptPart("dead", 20), PromptPart("a1", 60)
        last = PromptPart("b2", 20)
        for number in range(MIN_CRASHES):
            loop.advance(1.0)
            row = server_row(number)
            dropped = call(row, (dead, last), body=b"d%d" % number)
            dropped.outcome, dropped.failed = outcome, False
            quarantine.record_end(dropped)
            loop.advance(0.1)
            prompt = (PromptPart(f"t{number}", 5), sound, last)
            lost = call(row, prompt, body=b"s%d" % number)
            lost.outcome, lost.failed = CallOutcome.BROKEN, True
            lost.connection_lost, lost.answered = True, answered
            quarantine.record_end(lost)
        other = call(row, (sound, last))
        quarantine.record_answer(other)
        loop.advance(1.0)
        quarantine.run()
        assert quarantine.held(identity((dead, last)))
        assert not quarantine.held(identity((sound, last)))


class TestExchangesUnderWay:
    @pytest.fixture()
    def exchange(self):
        exchange = Exchange(
            host=FakeHost(),
            caller=FakeCaller(),
            request=caller_request(),
            route=typed_route(RouteKind.STREAM, resumable=True, max_attempts=4),
            service="s",
            team=None,
            priority=1,
            deadline=9.0,
        )
        exchange.start()
        exchange.host.calls[-1].stage = Stage.SENT
        return exchange

    def test_unanswered_exchange_ends_without_a_promise(self, exchange):
        exchange.host.held = HeldRequest("dead", 60.0, quarantined=True)
        exchange.on_quarantine()
        assert exchange.caller.status == 502
        assert exchange.host.ended_exchanges == 1
        assert not any(call.open for call in exchange.host.calls)

    def test_exchange_with_another_prompt_goes_on(self, exchange):
        exchange.on_quarantine()
        assert exchange.host.calls[-1].open

    def test_answered_exchange_goes_on(self, exchange):
        exchange.on_head(response_head(chunked=True, content_length=None))
        exchange.on_body(b"id: 1\ndata: x\n\n")
        exchange.host.held = HeldRequest("dead", 60.0, quarantined=True)
        exchange.on_quarantine()
        assert exchange.host.calls[-1].open

    def test_failed_call_is_not_repeated(self, exchange):
        exchange.host.held = HeldRequest("dead", 60.0, quarantined=True)
        exchange.on_failed(CallFailure(Stage.SENT, "closed", connection_lost=True))
        assert exchange.caller.status == 502
        assert len(exchange.host.calls) == 1
