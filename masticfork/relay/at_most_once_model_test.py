"""Model test: random sequences of call events for one request, with a real Exchange."""

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
from masticfork.core.forwarding import CallerHead, CallerRequest, ResponseHead
from masticfork.core.routes import RouteKind
from masticfork.relay.exchange import CallRecord, Exchange
from masticfork.relay.server_call import CallFailure, Stage
from masticfork.relay.tables import ServerRow
from masticfork.systems.model_choice import ConfidenceCascade
from masticfork.systems.server_choice import ServerLoad
from masticfork.systems.server_notices import ServerNotices
from standins.fake_loop import FakeLoop
from standins.typed_routes import typed_route

ATTEMPT_ID = b"a-1"
TIMEOUT_SECONDS = 2.0
# Statuses that tell callers that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
SERVER_COUNT = 4


@attrs.define(eq=False)
class FakeCall:
    """A call to a server, which may have run the request once it is sent."""

    stage: Stage = Stage.CONNECTING
    open: bool = True
    # Whether the server ran the request; the exchange cannot see this.
    ran_request: bool = False
    reused_connection: bool = False

    def cancel(self) -> None:
        self.open = False

    def pause(self) -> None:
        """Do nothing."""

    def resume(self) -> None:
        """Do nothing."""


class FakeCaller:
    """A caller that counts the final responses it gets."""

    congested = False

    def __init__(self) -> None:
        self.status: int | None = None
        self.final_responses = 0
        self.body = b""

    def start_response(self, head: ResponseHead, length: int | None) -> None:
        self.status = head.status

    def write_body(self, data: bytes) -> None:
        self.body += data

    def end_response(self) -> None:
        self.final_responses += 1

    def abort_response(self) -> None:
        self.final_responses += 1

    def send_error(self, status: Any, headers: Any) -> None:
        self.status = status.value
        self.final_responses += 1


class FakeHost:
    """A host with four healthy servers and a retry budget that the test controls."""

    def __init__(self) -> None:
        self.loop = FakeLoop()
        self.models = ConfidenceCascade()
        self.calls: list[FakeCall] = []
        self.retry_allowed = True
        self.ended_exchanges = 0
        self._rows = [_row(number) for number in range(SERVER_COUNT)]

    def choose_server(
        self, service: str, work: Any, session: str, tried_servers: set[str]
    ) -> Any:
        untried = [row for row in self._rows if row.server.id not in tried_servers]
        return untried[0] if untried else None

    def has_other_server(
        self, service: str, session: str, tried_servers: set[str]
    ) -> bool:
        return any(row.server.id not in tried_servers for row in self._rows)

    def min_expected_delay(self, work: Any, session: str) -> float:
        return 0.1

    def expected_delay(self, row: ServerRow, work: Any) -> float:
        return 0.1

    def open_call(self, row: Any, sink: Any, request: Any, call: Any) -> FakeCall:
        self.calls.append(FakeCall())
        return self.calls[-1]

    def take_retry(self, service: str, reserved_share: float) -> bool:
        return self.retry_allowed

    def count_request(self, service: str) -> None:
        """Do nothing."""

    def on_call_sent(self, record: CallRecord) -> None:
        """Do nothing."""

    def on_response_started(self, record: CallRecord, head: Any) -> None:
        """Do nothing."""

    def on_call_ended(self, record: CallRecord) -> None:
        """Do nothing."""

    def on_exchange_ended(self, exchange: Exchange, status: int, why: str) -> None:
        self.ended_exchanges += 1

    def seconds_until_resumption(self, service: str) -> float:
        return 0.0

    def error_headers(
        self, attempt_id: bytes, retry_after: Any = None, not_before: float = 0.0
    ) -> list[Any]:
        return []

    def log(self, message: str, **fields: object) -> None:
        """Do nothing."""


def _row(number: int) -> ServerRow:
    address = Address("127.0.0.1", 1000 + number)
    server = BackendServer(f"i-{number}", "s", address, "zone-a", "v1", 6, False)
    notice = ServerNotices().of(server)
    return ServerRow(ServerLoad(server), None, notice)  # type: ignore[arg-type]


def _request() -> CallerRequest:
    head = CallerHead(
        attempt_id=ATTEMPT_ID,
        timeout=None,
        key=None,
        model=None,
        model_chosen_by_router=False,
        prompt=(),
        prompt_tokens=0,
        max_output_tokens=0,
        session=None,
        last_event_id=None,
        forwarded=(),
    )
    return CallerRequest(b"POST", b"/x", "a.example", head, b"", 0.0)


RESPONSE_HEADS = {
    "good": {},
    "refused": {"status": 503, "not_run": True, "signed": False},
    "503 without not-run header": {"status": 503},
    "server error": {"status": 500},
    "other request": {"attempt_id": b"a-2"},
    "unsigned": {"signed": False},
    "encoded": {"encoded": True},
}


def _head(overrides: dict[str, Any]) -> ResponseHead:
    head = ResponseHead(
        status=200,
        reason=b"OK",
        attempt_id=ATTEMPT_ID,
        signed=True,
        not_run=False,
        leaving=False,
        pause=None,
        confidence=None,
        encoded=False,
        closes=False,
        keep_alive=None,
        content_length=2,
        chunked=False,
        forwarded=(),
    )
    return attrs.evolve(head, **overrides)


class AtMostOnce(RuleBasedStateMachine):
    """Applies events to the latest call in any order that a connection allows."""

    @initialize(kind=st.sampled_from([RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT]))
    def begin(self, kind: RouteKind) -> None:
        self.host, self.caller = FakeHost(), FakeCaller()
        self.caller_disconnected = False
        self.exchange = Exchange(
            host=self.host,
            caller=self.caller,
            request=_request(),
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
        self.exchange.on_head(_head(RESPONSE_HEADS[kind]))

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
