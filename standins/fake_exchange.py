"""Fakes of the caller and the host of an exchange, and of its calls to servers."""

import http
from typing import Any

import attrs

from masticfork.core.backend_servers import Address, BackendServer
from masticfork.core.forwarding import (
    CallerHead,
    CallerRequest,
    Dispatch,
    Header,
    ResponseHead,
)
from masticfork.core.request_identity import RequestIdentity
from masticfork.core.routes import Route
from masticfork.relay.exchange import CallRecord, Exchange, HeldRequest
from masticfork.relay.server_call import CallSink, ServerConnectionPool, Stage
from masticfork.relay.tables import ServerRow
from masticfork.systems.model_choice import ConfidenceCascade
from masticfork.systems.scarce_room import Admission, RoomRefusal
from masticfork.systems.server_choice import ServerLoad, Work
from masticfork.systems.server_notices import ServerNotices
from standins.fake_loop import FakeLoop

ATTEMPT_ID = b"a-1"
SERVER_COUNT = 4


@attrs.define(eq=False)
class FakeCall:
    """A call to a server, which may have run the request once it is sent."""

    request: Dispatch
    stage: Stage = Stage.CONNECTING
    open: bool = True
    # Whether the server ran the request; the exchange cannot see this.
    ran_request: bool = False
    reused_connection: bool = False
    may_hold_other_response: bool = False
    ends_at_close: bool = False
    via: str | None = None

    def cancel(self) -> None:
        """Close the call."""
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
        self.aborted = False
        self.body = b""

    def start_response(self, head: ResponseHead, length: int | None) -> None:
        """Record the status."""
        self.status = head.status

    def write_body(self, data: bytes) -> None:
        """Append to the body."""
        self.body += data

    def end_response(self) -> None:
        """Count a complete response."""
        self.final_responses += 1

    def abort_response(self) -> None:
        """Count a response that ends early."""
        self.aborted = True
        self.final_responses += 1

    def send_error(self, status: http.HTTPStatus, headers: list[Header]) -> None:
        """Record the status and count a complete response."""
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
        self.held: HeldRequest | None = None
        self.suspected = False
        self.stopping = False
        self.started_responses = 0
        # Whether each response that belongs to its call counts against its server.
        self.responses_failed: list[bool] = []
        self._rows = [server_row(number) for number in range(SERVER_COUNT)]

    def choose_server(
        self,
        service: str,
        work: Work,
        session: str,
        tried_servers: set[str],
        alone: bool,
    ) -> ServerRow | None:
        """Return the first untried server."""
        untried = [row for row in self._rows if row.server.id not in tried_servers]
        return untried[0] if untried else None

    def has_other_server(
        self, work: Work, session: str, tried_servers: set[str]
    ) -> bool:
        """Return whether a server is untried."""
        return any(row.server.id not in tried_servers for row in self._rows)

    def min_expected_delay(self, work: Work, session: str) -> float:
        """Return a constant."""
        return 0.1

    def expected_delay(self, row: ServerRow, work: Work) -> float:
        """Return a constant."""
        return 0.1

    def admit(self, exchange: Exchange, work: Work) -> Admission | RoomRefusal:
        """Admit every request."""
        return Admission(exchange.priority)

    def open_call(
        self, row: ServerRow, sink: CallSink, request: CallerRequest, call: Dispatch
    ) -> FakeCall:
        """Record a call, which the test drives."""
        self.calls.append(FakeCall(call))
        return self.calls[-1]

    def take_retry(self, service: str, reserved_share: float) -> bool:
        """Return what the test has set."""
        return self.retry_allowed

    def count_request(self, service: str) -> None:
        """Do nothing."""

    def on_call_sent(self, record: CallRecord) -> None:
        """Do nothing."""

    def on_response_started(self, record: CallRecord, head: ResponseHead) -> None:
        """Count a response."""
        self.started_responses += 1

    def on_answered(self, record: CallRecord) -> None:
        """Do nothing."""

    def on_own_response(self, record: CallRecord, session: str, failed: bool) -> None:
        """Record a response."""
        self.responses_failed.append(failed)

    def on_stream_complete(self, record: CallRecord, last_event_id: int) -> None:
        """Do nothing."""

    def on_call_ended(self, record: CallRecord) -> None:
        """Do nothing."""

    def on_exchange_ended(self, exchange: Exchange, status: int, why: str) -> None:
        """Count an ended exchange."""
        self.ended_exchanges += 1

    def seconds_until_resumption(self, service: str) -> float:
        """Return 0: no server has asked to pause."""
        return 0.0

    def may_cut_off(self, route: Route, deadline: float) -> bool:
        """Return what the test has set."""
        return self.stopping

    def held_request(self, identity: RequestIdentity) -> HeldRequest | None:
        """Return what the test has set."""
        return self.held

    def admits_held_request(self, identity: RequestIdentity) -> bool:
        """Return False: nothing is tried out."""
        return False

    def on_transit_failed(self, host: str) -> None:
        """Do nothing."""

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Return what the test has set."""
        return self.suspected

    def note_response(self, exchange: Exchange, size: int) -> None:
        """Do nothing."""

    def error_headers(
        self,
        attempt_id: bytes,
        retry_after: float | None = None,
        not_before: float = 0.0,
    ) -> list[Header]:
        """Return no headers."""
        return []

    def log(self, message: str, **fields: object) -> None:
        """Do nothing."""


def server_row(number: int) -> ServerRow:
    """Return the row of a server."""
    address = Address("127.0.0.1", 1000 + number)
    server = BackendServer(f"i-{number}", "s", address, "zone-a", "v1", 6, False)
    # Calls are faked, so no connection is ever opened.
    connections: ServerConnectionPool = None  # type: ignore[assignment]
    return ServerRow(ServerLoad(server), connections, ServerNotices().of(server))


def caller_request(**changes: Any) -> CallerRequest:
    """Return a request; `changes` apply to its head."""
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
    head = attrs.evolve(head, **changes)
    return CallerRequest(b"POST", b"/x", "a.example", head, b"", 0.0)


def response_head(**changes: Any) -> ResponseHead:
    """Return the head of a successful response to `caller_request`."""
    head = ResponseHead(
        status=200,
        reason=b"OK",
        attempt_id=ATTEMPT_ID,
        signed=True,
        not_run=False,
        misdirected=False,
        leaving=False,
        pause=None,
        limit=None,
        names_limit=False,
        tolerated_refusals=None,
        is_brittle=False,
        full=False,
        confidence=None,
        encoded=False,
        closes=False,
        keep_alive=None,
        content_length=2,
        chunked=False,
        forwarded=(),
    )
    return attrs.evolve(head, **changes)
