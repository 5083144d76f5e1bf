"""Handling of one caller's request: calls to servers, retries, final response."""

import http
from typing import Protocol

import attrs

from masticfork.core.forwarding import CallerRequest, Dispatch, Header, ResponseHead
from masticfork.core.request_identity import RequestIdentity
from masticfork.core.routes import Route, RouteKind
from masticfork.relay.events import EventSplitter
from masticfork.relay.loop import Loop, Timer
from masticfork.relay.server_call import CallFailure, CallSink, ServerCall, Stage
from masticfork.relay.tables import ServerRow
from masticfork.systems.failed_calls import (
    CallHistory,
    CallOutcome,
    NextAction,
    next_action,
    silence_limit,
)
from masticfork.systems.model_choice import ModelPolicy
from masticfork.systems.scarce_room import Admission, RoomRefusal
from masticfork.systems.server_choice import Work, pending_prompt_work

# Non-stream responses up to this size are buffered until they are complete, so that the
# request can be retried if the response breaks.
MAX_BUFFERED_RESPONSE_BYTES = 256 << 10
# Incomplete responses of less are not counted among those of all calls.
NOTED_RESPONSE_BYTES = 16 << 10
# A body other than a stream of events that is larger is treated as one without end.
MAX_RESPONSE_BODY_BYTES = 64 << 20
# Retry-After of a 503 response sent because no server could run the request.
RETRY_AFTER_SECONDS = 0.25
# Share of the retry budget that escalation to a larger model leaves to failed calls.
CASCADE_RETRY_RESERVE = 0.3
# A server may report a timeout when this fraction of the time limit is left.
TIME_LIMIT_SLACK = 0.1
# Silence limit of a call that is under way as this host is cut off from servers.
CUT_OFF_SILENCE_SECONDS = 0.5
# Logged as the status of a response that was aborted after its head was sent.
ABORTED_STATUS = 0
# Logged as the status of a request whose caller has disconnected.
CALLER_GONE_STATUS = 499

_MIN_SERVER_ERROR_STATUS = 500
# Outcomes of calls that say nothing against their server; None is a complete response.
_OUTCOMES_OF_SOUND_SERVERS = (
    None,
    CallOutcome.DROPPED,
    CallOutcome.REFUSED,
    CallOutcome.QUARANTINED,
)
# Outcomes of calls that the server may still be at work on.
_OUTCOMES_OF_ABANDONED_CALLS = (
    CallOutcome.SILENT,
    CallOutcome.DROPPED,
    CallOutcome.QUARANTINED,
)
# Statuses that tell callers that a request has not run. A response with one of them is
# not passed on; unless the server states that it did not run the request, the call
# counts as broken.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class ExchangeCaller(Protocol):
    """The caller's connection, to which the response is written."""

    @property
    def congested(self) -> bool:
        """Return whether too much of the response is still unsent."""

    def start_response(self, head: ResponseHead, length: int | None) -> None:
        """Write the head of a response; without a length its body is chunked."""

    def write_body(self, data: bytes) -> None:
        """Write a part of the body."""

    def end_response(self) -> None:
        """End the response."""

    def abort_response(self) -> None:
        """Abort the response, so that it cannot appear complete."""

    def send_error(self, status: http.HTTPStatus, headers: list[Header]) -> None:
        """Write an error response without a body."""


class ExchangeHost(Protocol):
    """Interface of the entry host that an exchange uses."""

    @property
    def loop(self) -> Loop:
        """Return the event loop."""

    @property
    def models(self) -> ModelPolicy:
        """Return the policy that selects the model size of a request."""

    def choose_server(
        self,
        service: str,
        work: Work,
        session: str,
        tried_servers: set[str],
        alone: bool,
    ) -> ServerRow | None:
        """Return the server for a call, None if no untried one is eligible.

        `alone` asks for one where a crash tells of the call alone, if there is any.
        """

    def has_other_server(
        self, work: Work, session: str, tried_servers: set[str]
    ) -> bool:
        """Return whether an untried server is eligible."""

    def min_expected_delay(self, work: Work, session: str) -> float:
        """Return the shortest expected delay of any eligible server, in seconds."""

    def expected_delay(self, row: ServerRow, work: Work) -> float:
        """Return the expected time in seconds to the first byte from a server."""

    def open_call(
        self, row: ServerRow, sink: CallSink, request: CallerRequest, call: Dispatch
    ) -> ServerCall:
        """Send a request to a server and return the call."""

    def admit(self, exchange: "Exchange", work: Work) -> Admission | RoomRefusal:
        """Decide on a new request by the room of its service."""

    def take_retry(self, service: str, reserved_share: float) -> bool:
        """Take a retry from the service's retry budget; return whether one was left.

        `reserved_share` is the share of the budget that must remain.
        """

    def count_request(self, service: str) -> None:
        """Count a new request towards the service's retry budget."""

    def on_call_sent(self, record: "CallRecord") -> None:
        """Record that a call is being sent."""

    def on_response_started(self, record: "CallRecord", head: ResponseHead) -> None:
        """Record that the response to a call has begun."""

    def on_answered(self, record: "CallRecord") -> None:
        """Record that a call has produced its first event."""

    def on_own_response(self, record: "CallRecord", session: str, failed: bool) -> None:
        """Record that a response has begun that belongs to its call."""

    def on_stream_complete(self, record: "CallRecord", last_event_id: int) -> None:
        """Record that all events of a stream have arrived."""

    def on_call_ended(self, record: "CallRecord") -> None:
        """Record the outcome of a call."""

    def on_exchange_ended(self, exchange: "Exchange", status: int, why: str) -> None:
        """Record the end of an exchange."""

    def note_response(self, exchange: "Exchange", size: int) -> None:
        """Note the bytes of a response that cannot be passed on yet."""

    def seconds_until_resumption(self, service: str) -> float:
        """Return how long all servers of a service have asked to pause, or 0."""

    def may_cut_off(self, route: Route, deadline: float) -> bool:
        """Return whether the host may stop before a request sent now is answered.

        `deadline` is the loop time by which the request is answered at the latest.
        """

    def held_request(self, identity: RequestIdentity) -> "HeldRequest | None":
        """Return why a request must not reach servers now, None if it may."""

    def admits_held_request(self, identity: RequestIdentity) -> bool:
        """Return whether a held request may be sent as a trial."""

    def on_transit_failed(self, host: str) -> None:
        """Record that no server can be called through another host."""

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Return whether a request is suspected of crashing servers."""

    def error_headers(
        self,
        attempt_id: bytes,
        retry_after: float | None = None,
        not_before: float = 0.0,
    ) -> list[Header]:
        """Return the headers of an error response.

        `retry_after` is in seconds and is randomised; `not_before` is added to it.
        """

    def log(self, message: str, **fields: object) -> None:
        """Write one log line."""


@attrs.frozen
class HeldRequest:
    """A request that is kept from servers since it may crash them."""

    # The quarantined part or request, or that the request is suspected.
    why: str
    # Seconds until a request like it may be sent.
    seconds: float
    quarantined: bool


@attrs.define(eq=False)
class CallRecord:
    """One call of an exchange to a server."""

    row: ServerRow
    work: Work
    # Prompt tokens to prefill, weighted by the model's relative token cost, that are
    # pending until the response begins.
    pending_prompt_work: float
    started_at: float
    # Seconds to the first byte, as estimated from the reported loads at the time of
    # sending.
    expected_delay: float
    identity: RequestIdentity
    # Target latency of the route, in seconds.
    target: float = float("inf")
    # Whether the request is suspected of crashing servers.
    alone: bool = False
    head_received_at: float | None = None
    # Whether an event of the answer has arrived.
    answered: bool = False
    # Loop time at which the first event arrived, its ID, and the calls that then ran on
    # the server.
    first_event_at: float = 0.0
    first_event_id: int = 0
    running_at_first_event: int = 0
    # Whether the other host through which the server was called has failed.
    transit_failed: bool = False
    # Whether the call ended with the loss of its connection.
    connection_lost: bool = False
    # Whether the call was counted as slow against its version while still waiting.
    counted_as_slow: bool = False
    ended_at: float | None = None
    # None while the call runs, or if the caller disconnected.
    failed: bool | None = None
    outcome: CallOutcome | None = None
    call: ServerCall | None = None

    @property
    def via(self) -> str | None:
        """Return the host through which the server is called, None for this one."""
        return None if self.call is None else self.call.via

    @property
    def abandoned(self) -> bool:
        """Return whether this host or the caller ended the call, not the server."""
        return self.failed is None or self.outcome in _OUTCOMES_OF_ABANDONED_CALLS


@attrs.define(eq=False)
class Exchange:
    """Sends a request to servers until one has answered or it must be given up."""

    host: ExchangeHost
    caller: ExchangeCaller
    request: CallerRequest
    route: Route
    service: str
    team: str | None
    # 0 is the most urgent.
    priority: int
    # Loop time by which the caller gets its final response.
    deadline: float
    # Regions whose servers may serve the request, None for all.
    regions: frozenset[str] | None = None
    history: CallHistory = attrs.field(factory=CallHistory)
    _identity: RequestIdentity = attrs.field(init=False)
    _model_index: int = 0
    _call_record: CallRecord | None = None
    _response_head: ResponseHead | None = None
    _response_started: bool = False
    _buffered_body: bytearray = attrs.field(factory=bytearray)
    # What the host was told of the incomplete response.
    _noted_bytes: int = 0
    # Size of the body received from the current call, streams of events excepted.
    _body_bytes: int = 0
    _event_splitter: EventSplitter = attrs.field(init=False)
    # Whether the current call is not read because the caller reads too slowly.
    _is_call_paused: bool = False
    _tried_servers: set[str] = attrs.field(factory=set)
    _deadline_timer: Timer | None = None
    _silence_timer: Timer | None = None
    _ended: bool = False

    @property
    def attempt_id(self) -> str:
        """Return the attempt id that the caller sent."""
        return self.request.head.attempt_id.decode("latin-1")

    @property
    def unanswered_call(self) -> CallRecord | None:
        """Return the current call if its response has not begun."""
        record = self._call_record
        return (
            record if record is not None and record.head_received_at is None else None
        )

    @property
    def _is_stream(self) -> bool:
        return self.route.kind is RouteKind.STREAM

    @property
    def _is_event_response(self) -> bool:
        """Return whether the response consists of events, which another may continue.

        Errors on streaming routes have an ordinary body.
        """
        head = self._response_head
        return self._is_stream and head is not None and head.status < 300

    @property
    def _can_replace_call(self) -> bool:
        """Return whether the response to the caller can come from another call."""
        return not self._response_started or self._is_event_response

    @property
    def session_key(self) -> str:
        """Return the caller's session id, or the attempt id if there is no session."""
        return self.request.head.session or self.attempt_id

    @_identity.default
    def _make_identity(self) -> RequestIdentity:
        return RequestIdentity(self.service, self.request)

    @property
    def _seconds_left(self) -> float:
        return self.deadline - self.host.loop.now

    def start(self) -> None:
        """Send the request to its first server."""
        loop = self.host.loop
        if self.route.models and self.request.head.model_chosen_by_router:
            self._model_index = self.host.models.initial_size(self.route)
        self._deadline_timer = loop.call_at(self.deadline, self._on_deadline)
        self.host.count_request(self.service)
        decision = self.host.admit(self, self._work_for_call(self._model_for_call()))
        if isinstance(decision, RoomRefusal):
            reason, seconds = decision.why, decision.retry_after
            self._fail_request(CallOutcome.UNSENT, reason, seconds)
            return
        self.priority = decision.priority
        self._send_call()

    def on_caller_disconnected(self) -> None:
        """Cancel the current call and end the exchange."""
        self._cancel("caller gone", CALLER_GONE_STATUS)

    def on_caller_too_slow(self) -> None:
        """Cancel the current call: the caller was cut off for reading too slowly."""
        self._cancel("caller reads too slowly", ABORTED_STATUS)

    def on_caller_writable(self) -> None:
        """Resume reading from the server."""
        if self._call_record is not None and self._call_record.call is not None:
            self._call_record.call.resume()
            if self._is_call_paused:
                self._is_call_paused = False
                self._restart_silence_timer()

    # Callbacks of the call to the server.

    def on_head(self, head: ResponseHead) -> None:
        """Accept the head of a response, or fail the call or escalate the model."""
        record = self._call_record
        if record is None:
            return
        if not self._is_own(head):
            attempt_id = head.attempt_id.decode("latin-1")
            why = f"status {head.status} of attempt {attempt_id!r}"
            self._fail_call(CallOutcome.BROKEN, why)
            return
        record.head_received_at = self.host.loop.now
        self.host.on_response_started(record, head)
        outcome = self._classify_response(head)
        if outcome in (None, CallOutcome.SERVER_ERROR):
            failed = self._is_server_failure(head, record)
            self.host.on_own_response(record, self.session_key, failed)
        if outcome is not None:
            self._fail_call(outcome, self._describe_unusable(head))
            return
        larger_index = self._larger_model_index(head)
        if larger_index is not None:
            self._model_index = larger_index
            self._fail_call(CallOutcome.DROPPED, f"confidence {head.confidence}")
            return
        self.host.log(
            "answer begins",
            request=self.attempt_id,
            server=record.row.server.id,
            status=head.status,
            confidence=head.confidence,
            seconds=round(record.head_received_at - record.started_at, 3),
        )
        self._response_head = self._response_head or head
        self._restart_silence_timer()

    def on_body(self, data: bytes) -> None:
        """Pass complete events to the caller; buffer the body of other responses."""
        record = self._call_record
        if record is None or self._response_head is None:
            return
        if not self._is_event_response:
            self._buffer_body(data)
            self._note_held()
            return
        events = self._event_splitter.feed(data)
        if events.data:
            if not record.answered:
                record.answered = True
                record.first_event_at = self.host.loop.now
                record.first_event_id = self._event_splitter.last_event_id or 0
                load = record.row.load
                record.running_at_first_event = load.running + load.running_elsewhere
                self.host.on_answered(record)
            self._restart_silence_timer()
            self._start_stream_response()
            self._write_body(events.data)
        if events.error is not None:
            self._fail_call(CallOutcome.BROKEN, events.error)
        else:
            self._note_held()

    def on_too_much_held(self) -> None:
        """Pass on what is buffered, or end the call if that is part of an event."""
        if not self._is_event_response:
            self._pass_on_buffered_body()
            self._note_held()
            return
        why = "incomplete events of all calls take too much memory"
        self._fail_call(CallOutcome.BROKEN, why)

    def on_end(self) -> None:
        """Complete the response to the caller."""
        record = self._call_record
        if record is None or self._response_head is None:
            return
        if self._is_event_response:
            if why := self._why_run_is_incomplete(record):
                self._fail_call(CallOutcome.BROKEN, why)
                return
            self._start_stream_response()
            self.host.on_stream_complete(
                record, self._event_splitter.last_event_id or 0
            )
        elif not self._response_started:
            self.caller.start_response(self._response_head, self._body_bytes)
            if self._buffered_body:
                self.caller.write_body(bytes(self._buffered_body))
        self._end_call(None)
        self._record_end(self._response_head.status, "answered")
        self.caller.end_response()

    def _why_run_is_incomplete(self, record: CallRecord) -> str | None:
        """Return why a run that has ended lacks events, None if it seems complete."""
        if self._event_splitter.partial_event_bytes:
            return "stream ended in the middle of an event"
        resumed = self._response_started and not record.answered
        if resumed and record.call is not None and record.call.ends_at_close:
            # Nothing tells it from a server that closed the connection too early.
            return "resumed stream without framing ended before any event"
        return None

    def on_failed(self, failure: CallFailure) -> None:
        """Fail the call, as unsent if its connection was never established."""
        unsent = failure.stage is Stage.CONNECTING
        outcome = CallOutcome.UNSENT if unsent else CallOutcome.BROKEN
        record = self._call_record
        if record is not None and not unsent:
            record.connection_lost = failure.connection_lost
        if record is not None and failure.transit_failed and record.via is not None:
            record.transit_failed = True
            self.host.on_transit_failed(record.via)
            if unsent:
                self._tried_servers.discard(record.row.server.id)
        self._fail_call(outcome, failure.message)

    def on_cut_off(self) -> None:
        """Wait no longer than for a sound server for what this host gets no more."""
        record = self._call_record
        if record is None or record.via is not None or not self.route.retryable:
            return
        self._cancel_silence_timer()
        self._silence_timer = self.host.loop.call_after(
            CUT_OFF_SILENCE_SECONDS, self._on_silence
        )

    def on_evacuation(self, zone: str) -> None:
        """Send a call elsewhere that has not reached its server in an evacuated zone.

        The connection may be established after the time within which the zone's servers
        may still get requests. Calls that a server has received go on.
        """
        record = self._call_record
        if self._ended or record is None or record.call is None:
            return
        if record.row.server.zone != zone:
            return
        if record.call.stage is Stage.CONNECTING:
            self._fail_call(CallOutcome.UNSENT, "zone evacuated")

    def on_quarantine(self) -> None:
        """End an unanswered exchange that must not reach servers any more.

        A trial goes on: its outcome is what the quarantine waits for.
        """
        record = self._call_record
        if self._ended or record is None or record.answered or record.alone:
            return
        held = self.host.held_request(self._identity)
        if held is not None and held.quarantined:
            self._fail_call(CallOutcome.QUARANTINED, held.why)

    def on_host_exit(self) -> None:
        """Cancel the current call and fail the request: the host exits."""
        if not self._ended:
            self._give_up("host exits")

    # Calls to servers.

    def _send_call(self) -> None:
        held = self.host.held_request(self._identity)
        if held is not None and not self.host.admits_held_request(self._identity):
            self._fail_request(CallOutcome.QUARANTINED, held.why)
            return
        alone = self.host.is_suspected(self._identity)
        model = self._model_for_call()
        work = self._work_for_call(model)
        row = self.host.choose_server(
            self.service, work, self.session_key, self._tried_servers, alone
        )
        if row is None:
            self._fail_request(CallOutcome.UNSENT, "no eligible server")
            return
        if resuming := self._response_started and self._is_stream:
            last_event_id = self._event_splitter.last_event_id
        else:
            last_event_id = self.request.head.last_event_id
        # Each call begins with an event of its own: what an earlier call sent of an
        # incomplete event is discarded.
        self._event_splitter = EventSplitter(last_event_id)
        self._is_call_paused = False
        dispatch = Dispatch(
            server_id=row.server.id,
            timeout=self._seconds_left,
            team=self.team,
            model=model,
            priority=self.priority if self._is_stream else None,
            resume_after=last_event_id if resuming else None,
        )
        loop = self.host.loop
        unread = pending_prompt_work(row.load, work, loop.now)
        expected = self.host.expected_delay(row, work)
        record = CallRecord(
            row,
            work,
            unread,
            loop.now,
            expected,
            self._identity,
            self.route.target,
            alone,
        )
        self._call_record = record
        self._tried_servers.add(row.server.id)
        self.history.sent += 1
        self.host.log(
            "dispatch",
            request=self.attempt_id,
            route=self.route.name,
            server=row.server.id,
            attempt=self.history.sent,
            model=model,
            running=row.load.running,
            running_elsewhere=row.load.running_elsewhere,
            expected=round(expected, 3),
            left=round(self._seconds_left, 3),
            resume_after=dispatch.resume_after,
            alone=alone,
        )
        self.host.on_call_sent(record)
        record.call = self.host.open_call(row, self, self.request, dispatch)
        self._restart_silence_timer()

    def _model_for_call(self) -> str | None:
        head = self.request.head
        if self.route.models and head.model_chosen_by_router:
            return self.route.models[self._model_index]
        return head.model

    def _work_for_call(self, model: str | None) -> Work:
        head = self.request.head
        if not self._is_stream or model is None:
            return Work(self.service, route=self.route.name, regions=self.regions)
        return Work(
            service=self.service,
            route=self.route.name,
            model=model,
            size=self._model_index,
            prompt=head.prompt,
            prompt_tokens=head.prompt_tokens,
            regions=self.regions,
        )

    # Evaluation of responses, and retries.

    def _is_own(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to the request."""
        if head.attempt_id == self.request.head.attempt_id:
            return True
        # A server that rejects a request need not have read its attempt id. After other
        # requests on the connection, the refusal may be of one of these.
        record = self._call_record
        call = None if record is None else record.call
        is_first = call is not None and not call.reused_connection
        return head.not_run and not head.attempt_id and is_first

    def _classify_response(self, head: ResponseHead) -> CallOutcome | None:
        """Return why an own response is unusable, None if it may be passed on."""
        if head.not_run:
            return CallOutcome.REFUSED
        if head.encoded or self._may_be_mixed(head):
            return CallOutcome.BROKEN
        if head.status < 300:
            begun = self._response_head if self._response_started else None
            # Only a response like the one that has begun continues its stream.
            continues = begun is None or head.status == begun.status
            return None if head.signed and continues else CallOutcome.BROKEN
        if head.status in _NOT_RUN_STATUSES:
            return CallOutcome.BROKEN
        if head.status >= _MIN_SERVER_ERROR_STATUS and self.route.retryable:
            # Without another server, the caller gets this one's own answer.
            can_repeat = (
                self.history.sent < self.route.max_attempts
                and self.host.has_other_server(
                    self._work_for_call(self._model_for_call()),
                    self.session_key,
                    self._tried_servers,
                )
            )
            return (
                CallOutcome.SERVER_ERROR
                if can_repeat or self._response_started
                else None
            )
        return CallOutcome.SERVER_ERROR if self._response_started else None

    def _is_server_failure(self, head: ResponseHead, record: CallRecord) -> bool:
        """Return whether a response is a failure of its server.

        A timeout at the time limit of the request is not.
        """
        if head.status != http.HTTPStatus.GATEWAY_TIMEOUT:
            return head.status >= _MIN_SERVER_ERROR_STATUS
        time_limit = self.deadline - record.started_at
        return self._seconds_left > time_limit * TIME_LIMIT_SLACK

    def _may_be_mixed(self, head: ResponseHead) -> bool:
        """Return whether parts of another response could be passed on with this one.

        Streams are checked event by event.
        """
        if self._is_stream and head.status < 300:
            return False
        record = self._call_record
        call = None if record is None else record.call
        return call is not None and call.may_hold_other_response

    def _describe_unusable(self, head: ResponseHead) -> str:
        if self._may_be_mixed(head):
            return f"status {head.status} without framing on a reused connection"
        return f"status {head.status}"

    def _larger_model_index(self, head: ResponseHead) -> int | None:
        """Return the index of the model to escalate to, None to keep the response."""
        if (
            self._response_started
            or head.confidence is None
            or not self.route.retryable
        ):
            return None
        if not (self.route.models and self.request.head.model_chosen_by_router):
            return None
        # Keep one more attempt in case a server refuses the escalated call.
        if self.history.sent + 2 > self.route.max_attempts or head.status >= 300:
            return None
        if self.host.may_cut_off(self.route, self.deadline):
            return None
        elapsed = self.host.loop.now - self.request.arrived_at
        work = attrs.evolve(
            self._work_for_call(self.route.models[-1]), size=len(self.route.models) - 1
        )
        starts_in = elapsed + self.host.min_expected_delay(work, self.session_key)
        larger_index = self.host.models.escalate_to(
            self.route, self._model_index, head.confidence, starts_in
        )
        if larger_index is None or not self.host.take_retry(
            self.service, CASCADE_RETRY_RESERVE
        ):
            return None
        return larger_index

    def _fail_call(self, outcome: CallOutcome, why: str) -> None:
        """End the current call, and retry the request or give it up."""
        record = self._call_record
        if record is None or self._ended:
            return
        call, splitter = record.call, self._event_splitter
        if call is not None:
            call.cancel()
        self._end_call(outcome)
        if outcome is CallOutcome.UNSENT:
            self.history.sent -= 1
        if not outcome.certainly_not_run:
            self.history.may_have_run = True
        self._buffered_body, self._body_bytes = bytearray(), 0
        if not self._response_started:
            self._response_head = None
        self.host.log(
            "call failed",
            request=self.attempt_id,
            server=record.row.server.id,
            outcome=outcome.value,
            why=why,
            attempt=self.history.sent,
            reused_connection=call is not None and call.reused_connection,
            via=record.via,
            last_event=splitter.last_event_id,
            partial_event_bytes=splitter.partial_event_bytes,
            unanswered_prompt=None if record.answered else record.identity.part_names,
            unanswered_request=(
                record.identity.key
                if record.connection_lost and not record.answered
                else None
            ),
        )
        next_step = next_action(self.route, self.history, outcome, self._seconds_left)
        can_retry = next_step is NextAction.RETRY and self._can_replace_call
        if not self._response_started and self.host.may_cut_off(
            self.route, self.deadline
        ):
            can_retry = False
        if not can_retry or outcome is CallOutcome.QUARANTINED:
            self._fail_request(outcome, why)
        elif outcome is CallOutcome.DROPPED:
            self._tried_servers.clear()
            self._send_call()
        elif outcome is not CallOutcome.UNSENT and not self.host.take_retry(
            self.service, 0.0
        ):
            self._fail_request(outcome, "retry budget exhausted")
        else:
            self._send_call()

    def _fail_request(
        self,
        outcome: CallOutcome,
        why: str,
        refused_for: float = RETRY_AFTER_SECONDS,
    ) -> None:
        """End the exchange with an error, or abort a response that has begun.

        `refused_for` is the time in seconds after which a refused request may come
        back.
        """
        reason = f"{outcome.value}: {why}"
        if self._response_started:
            self._record_end(ABORTED_STATUS, reason)
            self.caller.abort_response()
            return
        status, retry_after = self._error_status(refused_for)
        self._record_end(status.value, reason)
        attempt_id = self.request.head.attempt_id
        pause = self.host.seconds_until_resumption(self.service)
        if (held := self.host.held_request(self._identity)) is not None:
            pause = max(pause, held.seconds)
        headers = self.host.error_headers(attempt_id, retry_after, pause)
        self.caller.send_error(status, headers)

    def _error_status(self, refused_for: float) -> tuple[http.HTTPStatus, float | None]:
        """Return the status and Retry-After seconds of the error response."""
        if not self.history.may_have_run:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, refused_for
        if self._seconds_left <= 0:
            return http.HTTPStatus.GATEWAY_TIMEOUT, None
        return http.HTTPStatus.BAD_GATEWAY, None

    # Timeouts.

    def _on_deadline(self) -> None:
        """Give the request up: its time is over."""
        self._give_up("deadline")

    def _give_up(self, why: str) -> None:
        """Cancel the current call and fail the request."""
        record = self._call_record
        if record is not None and record.call is not None:
            if record.call.stage is not Stage.CONNECTING:
                self.history.may_have_run = True
            record.call.cancel()
            self._end_call(CallOutcome.SILENT)
        self._fail_request(CallOutcome.SILENT, why)

    def _restart_silence_timer(self) -> None:
        """Restart the timeout for the server's next response head or event."""
        self._cancel_silence_timer()
        record = self._call_record
        if record is not None and self.route.retryable:
            response_begun = record.head_received_at is not None
            recent_mean_seconds = record.row.load.mean_time
            seconds = silence_limit(
                self.route, response_begun, recent_mean_seconds, record.expected_delay
            )
            self._silence_timer = self.host.loop.call_after(seconds, self._on_silence)

    def _cancel_silence_timer(self) -> None:
        if self._silence_timer is not None:
            self._silence_timer.cancel()
            self._silence_timer = None

    def _on_silence(self) -> None:
        if self.history.sent >= self.route.max_attempts or not self._can_replace_call:
            return
        self._fail_call(CallOutcome.SILENT, "silent")

    # The response to the caller.

    def _start_stream_response(self) -> None:
        """Write the response head, which is delayed until the first complete event.

        Until then a failed call can be replaced by one with another response.
        """
        if not self._response_started and self._response_head is not None:
            self._response_started = True
            self.caller.start_response(self._response_head, None)

    def _buffer_body(self, data: bytes) -> None:
        """Buffer a part of the body, or pass it on once the buffer limit is passed."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_RESPONSE_BODY_BYTES:
            self._fail_call(CallOutcome.BROKEN, "body is larger than 64 MiB")
            return
        if self._response_started:
            self._write_body(data)
            return
        self._buffered_body += data
        if self._body_bytes > MAX_BUFFERED_RESPONSE_BYTES:
            self._pass_on_buffered_body()

    def _pass_on_buffered_body(self) -> None:
        """Begin the response to the caller; it can no longer be replaced."""
        head = self._response_head
        if head is None or self._response_started:
            return
        self._response_started = True
        self.caller.start_response(head, head.content_length)
        buffered, self._buffered_body = self._buffered_body, bytearray()
        self._write_body(bytes(buffered))

    def _write_body(self, data: bytes) -> None:
        self.caller.write_body(data)
        record = self._call_record
        if self.caller.congested and record is not None and record.call is not None:
            record.call.pause()
            # A server that is not read is not silent.
            self._is_call_paused = True
            self._cancel_silence_timer()

    def _note_held(self) -> None:
        """Tell the host what of the response cannot be passed on yet."""
        size = 0
        if self._call_record is not None:
            buffered = 0 if self._response_started else self._body_bytes
            size = self._event_splitter.partial_event_bytes + buffered
        if size < NOTED_RESPONSE_BYTES:
            size = 0
        if size != self._noted_bytes:
            self._noted_bytes = size
            self.host.note_response(self, size)

    # End of calls and of the exchange.

    def _end_call(self, outcome: CallOutcome | None) -> None:
        record, self._call_record = self._call_record, None
        if record is None:
            return
        self._note_held()
        self._cancel_silence_timer()
        record.ended_at = self.host.loop.now
        record.outcome = outcome
        status = self._response_head.status if self._response_head is not None else 0
        server_failed = outcome not in _OUTCOMES_OF_SOUND_SERVERS
        record.failed = server_failed or status >= _MIN_SERVER_ERROR_STATUS
        self.host.on_call_ended(record)

    def _record_end(self, status: int, why: str) -> None:
        self._ended = True
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self.host.on_exchange_ended(self, status, why)

    def _cancel(self, why: str, status: int) -> None:
        if self._ended:
            return
        record, self._call_record = self._call_record, None
        self._note_held()
        self._cancel_silence_timer()
        if record is not None:
            if record.call is not None:
                record.call.cancel()
            record.ended_at = self.host.loop.now
            self.host.on_call_ended(record)
        self._record_end(status, why)
