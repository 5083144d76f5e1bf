"""Model test: random sequences of call events for one request, with a real Exchange."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from masticfork.core.routes import RouteKind
from masticfork.relay.exchange import Exchange
from masticfork.relay.server_call import CallFailure, Stage
from standins.fake_exchange import (
    FakeCall,
    FakeCaller,
    FakeHost,
    caller_request,
    response_head,
)
from standins.typed_routes import typed_route

TIMEOUT_SECONDS = 2.0
# Statuses that tell callers that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


RESPONSE_HEADS = {
    "good": {},
    "refused": {"status": 503, "not_run": True, "signed": False},
    "503 without not-run header": {"status": 503},
    "server error": {"status": 500},
    "other request": {"attempt_id": b"a-2"},
    "unsigned": {"signed": False},
    "encoded": {"encoded": True},
}


class AtMostOnce(RuleBasedStateMachine):
    """Applies events to the latest call in any order that a connection allows."""

    @initialize(kind=st.sampled_from([RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT]))
    def begin(self, kind: RouteKind) -> None:
        self.host, self.caller = FakeHost(), FakeCaller()
        self.caller_disconnected = False
        self.exchange = Exchange(
            host=self.host,
            caller=self.caller,
            request=caller_request(),
            route=typed_route(kind, timeout=TIMEOUT_SECONDS, services=()),
            service="s",
            team=None,
            priority=1,
            deadline=TIMEOUT_SECONDS,
        )
        self.exchange.start()

    @property
    def call(self) -> FakeCall:
        return self.host.calls[-1]

    def _call_is_open_at(self, *stages: Stage) -> bool:
        return self.call.open and self.call.stage in stages

    @precondition(lambda self: self._call_is_open_at(Stage.CONNECTING))
    @rule(runs_request=st.sampled_from([True, True, False]))
    def request_is_sent(self, runs_request: bool) -> None:
        self.call.stage = Stage.SENT
        self.call.ran_request = runs_request

    @precondition(lambda self: self._call_is_open_at(Stage.SENT))
    @rule(kind=st.sampled_from(sorted(RESPONSE_HEADS)))
    def response_head_arrives(self, kind: str) -> None:
        call = self.call
        call.stage = Stage.ANSWERING
        call.ran_request = kind != "refused"
        self.exchange.on_head(response_head(**RESPONSE_HEADS[kind]))

    @precondition(lambda self: self._call_is_open_at(Stage.ANSWERING))
    @rule()
    def response_ends(self) -> None:
        call = self.call
        self.exchange.on_body(b"ok")
        if call.open:
            call.open = False
            self.exchange.on_end()

    @precondition(lambda self: self.call.open)
    @rule(retry_allowed=st.sampled_from([True, True, False]))
    def connection_breaks(self, retry_allowed: bool) -> None:
        self.host.retry_allowed = retry_allowed
        call = self.call
        call.open = False
        self.exchange.on_failed(CallFailure(call.stage, "broken"))

    # Mostly short steps, so that many events occur before the deadline.
    @rule(seconds=st.sampled_from([*[0.02] * 6, 0.6, 2.5]))
    def time_passes(self, seconds: float) -> None:
        self.host.loop.advance(seconds)

    @precondition(
        lambda self: (
            len(self.host.calls) > 1 and not self.caller_disconnected and self.call.open
        )
    )
    @rule()
    def caller_disconnects(self) -> None:
        self.caller_disconnected = True
        self.exchange.on_caller_disconnected()

    @invariant()
    def runs_at_most_once(self) -> None:
        if self.exchange.route.kind is RouteKind.NON_IDEMPOTENT:
            assert sum(call.ran_request for call in self.host.calls) <= 1

    @invariant()
    def not_run_status_means_not_run(self) -> None:
        if self.caller.final_responses and self.caller.status in NOT_RUN_STATUSES:
            assert not any(call.ran_request for call in self.host.calls)

    @invariant()
    def at_most_one_final_response_and_then_no_open_call(self) -> None:
        assert self.caller.final_responses <= 1
        assert self.host.ended_exchanges <= 1
        if self.caller.final_responses or self.caller_disconnected:
            assert self.host.ended_exchanges == 1
            assert not any(call.open for call in self.host.calls)

    @invariant()
    def response_by_the_deadline(self) -> None:
        if self.host.loop.now >= TIMEOUT_SECONDS and not self.caller_disconnected:
            assert self.caller.final_responses == 1

    @invariant()
    def attempts_are_bounded(self) -> None:
        sent = [c for c in self.host.calls if c.stage is not Stage.CONNECTING]
        assert len(sent) <= self.exchange.route.max_attempts


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(
    max_examples=300, stateful_step_count=20, deadline=None, derandomize=True
)
