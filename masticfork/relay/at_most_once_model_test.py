"""Any order of events at the calls of one request, against the real exchange."""

from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from masticfork.core.backend_servers import Address, BackendServer
from masticfork.core.forwarding import AnswerHead, CallerHead, CallerRequest
from masticfork.core.routes import RouteKind
from masticfork.relay.exchange import CallRecord, Exchange
from masticfork.relay.server_call import CallFailure, Stage
from masticfork.relay.tables import ServerRow
from masticfork.systems.model_choice import ConfidenceCascade
from masticfork.systems.server_choice import ServerLoad
from standins.fake_loop import FakeLoop
from standins.typed_routes import typed_route

ATTEMPT = b"a-1"
TIMEOUT = 2.0
# Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
SERVERS = 4


@attrs.define(eq=False)
class FakeCall:
    """A call to a server; the server may have run it once it is sent."""

    stage: Stage = Stage.CONNECTING
    open: bool = True
    # What the server knows: whether it ran the request, or refused it.
    ran: bool = False

    def cancel(self) -> None:
        self.open = False

    def pause(self) -> None:
        """Do nothing."""

    def resume(self) -> None:
        """Do nothing."""


class FakeReply:
    """The caller: counts final answers."""

    congested = False

    def __init__(self) -> None:
        self.status: int | None = None
        self.finals = 0
        self.body = b""

    def start_answer(self, head: AnswerHead, length: int | None) -> None:
        self.status = head.status

    def write_body(self, data: bytes) -> None:
        self.body += data

    def end_answer(self) -> None:
        self.finals += 1

    def abort_answer(self) -> None:
        self.finals += 1

    def refuse(self, status: Any, headers: Any) -> None:
        self.status = status.value
        self.finals += 1


class FakeHost:
    """The host's side: servers without end, a budget as the test draws it."""

    def __init__(self) -> None:
        self.loop = FakeLoop()
        self.models = ConfidenceCascade()
        self.calls: list[FakeCall] = []
        self.budget = True
        self.ends = 0
        self._rows = [_row(number) for number in range(SERVERS)]

    def choose(self, service: str, work: Any, session: str, tried: set[str]) -> Any:
        untried = [row for row in self._rows if row.server.id not in tried]
        return untried[0] if untried else None

    def least_delay(self, work: Any, session: str) -> float:
        return 0.1

    def expected_delay(self, row: ServerRow, work: Any) -> float:
        return 0.1

    def open_call(self, row: Any, sink: Any, request: Any, call: Any) -> FakeCall:
        self.calls.append(FakeCall())
        return self.calls[-1]

    def may_repeat(self, service: str, reserve: float) -> bool:
        return self.budget

    def note_first(self, service: str) -> None:
        """Do nothing."""

    def note_sent(self, record: CallRecord) -> None:
        """Do nothing."""

    def note_head(self, record: CallRecord) -> None:
        """Do nothing."""

    def note_call(self, record: CallRecord) -> None:
        """Do nothing."""

    def note_end(self, exchange: Exchange, status: int, why: str) -> None:
        self.ends += 1

    def refusal_headers(self, attempt_id: bytes, retry_after: Any = None) -> list[Any]:
        return []

    def log(self, message: str, **fields: object) -> None:
        """Do nothing."""


def _row(number: int) -> ServerRow:
    address = Address("127.0.0.1", 1000 + number)
    server = BackendServer(f"i-{number}", "s", address, "zone-a", "v1", 6, False)
    return ServerRow(ServerLoad(server), connections=None)  # type: ignore[arg-type]


def _request() -> CallerRequest:
    head = CallerHead(
        attempt_id=ATTEMPT,
        wait=None,
        key=None,
        model=None,
        any_model=False,
        prompt=(),
        prompt_tokens=0,
        max_output_tokens=0,
        session=None,
        last_event_id=None,
        forwarded=(),
    )
    return CallerRequest(b"POST", b"/x", "a.example", head, b"", 0.0)


HEADS = {
    "good": {},
    "refused": {"status": 503, "not_run": True, "signed": False},
    "promise of its own": {"status": 503},
    "failed": {"status": 500},
    "another's": {"attempt_id": b"a-2"},
    "unsigned": {"signed": False},
    "encoded": {"encoded": True},
}


def _head(changes: dict[str, Any]) -> AnswerHead:
    head = AnswerHead(
        status=200,
        reason=b"OK",
        attempt_id=ATTEMPT,
        signed=True,
        not_run=False,
        confidence=None,
        encoded=False,
        closes=False,
        keep_alive=None,
        content_length=2,
        chunked=False,
        forwarded=(),
    )
    return attrs.evolve(head, **changes)


class AtMostOnce(RuleBasedStateMachine):
    """Events at the newest call, in any order that a connection allows."""

    @initialize(kind=st.sampled_from([RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT]))
    def begin(self, kind: RouteKind) -> None:
        self.host, self.reply = FakeHost(), FakeReply()
        self.gone = False
        self.exchange = Exchange(
            host=self.host,
            reply=self.reply,
            request=_request(),
            route=typed_route(kind, timeout=TIMEOUT, services=()),
            service="s",
            team=None,
            urgency=1,
            deadline=TIMEOUT,
        )
        self.exchange.start()

    @property
    def call(self) -> FakeCall:
        return self.host.calls[-1]

    def _at(self, *stages: Stage) -> bool:
        return self.call.open and self.call.stage in stages

    @precondition(lambda self: self._at(Stage.CONNECTING))
    @rule(runs=st.sampled_from([True, True, False]))
    def is_sent(self, runs: bool) -> None:
        self.call.stage = Stage.SENT
        self.call.ran = runs

    @precondition(lambda self: self._at(Stage.SENT))
    @rule(kind=st.sampled_from(sorted(HEADS)))
    def head_comes(self, kind: str) -> None:
        call = self.call
        call.stage = Stage.ANSWERING
        call.ran = kind != "refused"
        self.exchange.on_head(_head(HEADS[kind]))

    @precondition(lambda self: self._at(Stage.ANSWERING))
    @rule()
    def answer_ends(self) -> None:
        call = self.call
        self.exchange.on_body(b"ok")
        if call.open:
            call.open = False
            self.exchange.on_end()

    @precondition(lambda self: self.call.open)
    @rule(budget=st.sampled_from([True, True, False]))
    def connection_breaks(self, budget: bool) -> None:
        self.host.budget = budget
        call = self.call
        call.open = False
        self.exchange.on_failed(CallFailure(call.stage, "broken"))

    # Mostly little time, so that many events come before the deadline.
    @rule(seconds=st.sampled_from([*[0.02] * 6, 0.6, 2.5]))
    def time_passes(self, seconds: float) -> None:
        self.host.loop.pass_time(seconds)

    @precondition(
        lambda self: len(self.host.calls) > 1 and not self.gone and self.call.open
    )
    @rule()
    def caller_leaves(self) -> None:
        self.gone = True
        self.exchange.on_caller_gone()

    @invariant()
    def runs_at_most_once(self) -> None:
        if self.exchange.route.kind is RouteKind.NON_IDEMPOTENT:
            assert sum(call.ran for call in self.host.calls) <= 1

    @invariant()
    def refusals_are_true(self) -> None:
        if self.reply.finals and self.reply.status in NOT_RUN:
            assert not any(call.ran for call in self.host.calls)

    @invariant()
    def one_final_answer_and_nothing_after_it(self) -> None:
        assert self.reply.finals <= 1
        assert self.host.ends <= 1
        if self.reply.finals or self.gone:
            assert self.host.ends == 1
            assert not any(call.open for call in self.host.calls)

    @invariant()
    def answered_by_the_deadline(self) -> None:
        if self.host.loop.now >= TIMEOUT and not self.gone:
            assert self.reply.finals == 1

    @invariant()
    def attempts_are_bounded(self) -> None:
        sent = [c for c in self.host.calls if c.stage is not Stage.CONNECTING]
        assert len(sent) <= self.exchange.route.max_attempts


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(
    max_examples=300, stateful_step_count=20, deadline=None, derandomize=True
)
