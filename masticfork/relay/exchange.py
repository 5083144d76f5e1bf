"""One caller's request, from its first byte to its final answer."""

import http
from typing import Protocol

import attrs

from masticfork.core.forwarding import AnswerHead, CallerRequest, Dispatch, Header
from masticfork.core.routes import Route, RouteKind
from masticfork.relay.events import BrokenStreamError, EventSplitter
from masticfork.relay.loop import Loop, Timer
from masticfork.relay.server_call import CallFailure, CallSink, ServerCall, Stage
from masticfork.relay.tables import ServerRow
from masticfork.systems.failed_calls import (
    CallHistory,
    CallOutcome,
    FollowUp,
    follow_up,
    silence_limit,
)
from masticfork.systems.model_choice import ModelPolicy
from masticfork.systems.server_choice import Work, unread_work

# Plain answers up to this size are held until they are whole, so that a broken one can
# be replaced.
MAX_HELD_BYTES = 256 << 10
# Time in seconds for which a caller is told to stay away when no server has room.
RETRY_AFTER = 0.25
# Part of the bound on repeats that a change of the model leaves to failed calls.
CASCADE_RESERVE = 0.3
# Logged as the status of an answer that was broken off midway.
BROKEN_OFF = 0

_FAILED_STATUS = 500
# Statuses that promise that a request has not run; a server's own are passed on only
# if the server promises it too.
_PROMISES = (408, 421, 429, 503)


class ExchangeReply(Protocol):
    """The connection of the caller that waits."""

    @property
    def congested(self) -> bool:
        """Tell whether the caller reads more slowly than the answer comes."""

    def start_answer(self, head: AnswerHead, length: int | None) -> None:
        """Write the head of an answer; without a length its body is chunked."""

    def write_body(self, data: bytes) -> None:
        """Write a part of the body."""

    def end_answer(self) -> None:
        """End the answer."""

    def abort_answer(self) -> None:
        """Break the answer off so that it cannot look whole."""

    def refuse(self, status: http.HTTPStatus, headers: list[Header]) -> None:
        """Answer with a status of our own."""


class ExchangeHost(Protocol):
    """What an exchange needs of the entry host."""

    @property
    def loop(self) -> Loop:
        """Return the event loop."""

    @property
    def models(self) -> ModelPolicy:
        """Return the policy of model sizes."""

    def choose(
        self, service: str, work: Work, session: str, tried: set[str]
    ) -> ServerRow | None:
        """Return the server for a call."""

    def least_delay(self, work: Work, session: str) -> float:
        """Return the expected seconds to the first byte at the best server."""

    def expected_delay(self, row: ServerRow, work: Work) -> float:
        """Return the expected seconds to the first byte at a server."""

    def open_call(
        self, row: ServerRow, sink: CallSink, request: CallerRequest, call: Dispatch
    ) -> ServerCall:
        """Return a call that is on its way."""

    def may_repeat(self, service: str, reserve: float) -> bool:
        """Tell whether a request may be sent once more; count it if so."""

    def note_first(self, service: str) -> None:
        """Count a request to a service."""

    def note_sent(self, record: "CallRecord") -> None:
        """Take in that a call is sent."""

    def note_head(self, record: "CallRecord") -> None:
        """Take in that an answer has begun."""

    def note_call(self, record: "CallRecord") -> None:
        """Take in the outcome of a call."""

    def note_end(self, exchange: "Exchange", status: int, why: str) -> None:
        """Take in the end of an exchange."""

    def refusal_headers(
        self, attempt_id: bytes, retry_after: float | None = None
    ) -> list[Header]:
        """Return the headers of an answer of our own."""

    def log(self, message: str, **fields: object) -> None:
        """Write one line of the log."""


@attrs.define(eq=False)
class CallRecord:
    """One call of an exchange to a server."""

    row: ServerRow
    work: Work
    # Work that the server has to read, weighed by pace, until its answer begins.
    unread: float
    started_at: float
    # Seconds to the first byte that the loads told as it was sent.
    expected: float
    head_at: float | None = None
    # Whether it was taken as slow evidence of its version before its answer began.
    counted: bool = False
    ended_at: float | None = None
    # None while the call runs and where its caller went away.
    failed: bool | None = None
    outcome: CallOutcome | None = None
    call: ServerCall | None = None


@attrs.define(eq=False)
class Exchange:
    """Carries a request to servers until one has answered."""

    host: ExchangeHost
    reply: ExchangeReply
    request: CallerRequest
    route: Route
    service: str
    team: str | None
    urgency: int
    # Loop time at which the caller gets its final answer at the latest.
    deadline: float
    history: CallHistory = attrs.field(factory=CallHistory)
    _size: int = 0
    _record: CallRecord | None = None
    _head: AnswerHead | None = None
    _started: bool = False
    _held: list[bytes] = attrs.field(factory=list)
    _held_bytes: int = 0
    _events: EventSplitter | None = None
    _tried: set[str] = attrs.field(factory=set)
    _timer: Timer | None = None
    _silence: Timer | None = None
    _over: bool = False

    @property
    def attempt_id(self) -> str:
        """Return the caller's identifier of the request."""
        return self.request.head.attempt_id.decode("latin-1")

    @property
    def waiting_call(self) -> CallRecord | None:
        """Return the call whose answer has not begun, if there is one."""
        record = self._record
        return record if record is not None and record.head_at is None else None

    @property
    def _streams(self) -> bool:
        return self.route.kind is RouteKind.STREAM

    @property
    def _session(self) -> str:
        """Return the caller's session; a request without one is its own."""
        return self.request.head.session or self.attempt_id

    @property
    def _time_left(self) -> float:
        return self.deadline - self.host.loop.now

    def start(self) -> None:
        """Send the request to its first server."""
        loop = self.host.loop
        if self.route.models and self.request.head.any_model:
            self._size = self.host.models.first(self.route)
        self._events = EventSplitter(self.request.head.last_event_id)
        self._timer = loop.call_at(self.deadline, self._on_deadline)
        self.host.note_first(self.service)
        self._send()

    def on_caller_gone(self) -> None:
        """Stop all work: nobody waits for the answer."""
        self._close("caller gone", 499)

    def on_caller_reads(self) -> None:
        """Read on from the server."""
        if self._record is not None and self._record.call is not None:
            self._record.call.resume()

    # The call to the server calls these.

    def on_head(self, head: AnswerHead) -> None:
        """Judge the head of an answer."""
        record = self._record
        if record is None:
            return
        record.head_at = self.host.loop.now
        self.host.note_head(record)
        outcome = self._judge(head)
        if outcome is not None:
            self._fail_call(outcome, f"status {head.status}")
            return
        larger = self._larger_size(head)
        if larger is not None:
            self._size = larger
            self._fail_call(CallOutcome.DROPPED, f"confidence {head.confidence}")
            return
        self.host.log(
            "answer begins",
            request=self.attempt_id,
            server=record.row.server.id,
            status=head.status,
            confidence=head.confidence,
            seconds=round(record.head_at - record.started_at, 3),
        )
        self._head = self._head or head
        self._watch_silence()

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the answer, or hold it."""
        if self._record is None or self._head is None:
            return
        if not self._streams or self._head.status >= 300:
            self._hold(data)
            return
        assert self._events is not None
        try:
            whole = self._events.feed(data)
        except BrokenStreamError as error:
            self._fail_call(CallOutcome.BROKEN, str(error))
            return
        if whole:
            self._watch_silence()
            self._start_stream()
            self._write(whole)

    def on_end(self) -> None:
        """End the answer with the server's."""
        if self._record is None or self._head is None:
            return
        if self._streams and self._head.status < 300:
            assert self._events is not None
            if self._events.partial:
                self._fail_call(CallOutcome.BROKEN, "ended within an event")
                return
            self._start_stream()
        elif not self._started:
            self.reply.start_answer(self._head, self._held_bytes)
            for data in self._held:
                self.reply.write_body(data)
        self._end_call(None)
        self._finish(self._head.status, "answered")
        self.reply.end_answer()

    def on_failed(self, failure: CallFailure) -> None:
        """Judge a call without a whole answer by how far it got."""
        unsent = failure.stage is Stage.CONNECTING
        outcome = CallOutcome.UNSENT if unsent else CallOutcome.BROKEN
        self._fail_call(outcome, failure.message)

    # Sending.

    def _send(self) -> None:
        model = self._model()
        work = self._work(model)
        row = self.host.choose(self.service, work, self._session, self._tried)
        if row is None:
            self._give_up(CallOutcome.UNSENT, "no server")
            return
        assert self._events is not None
        resumed = self._started and self._streams
        dispatch = Dispatch(
            server_id=row.server.id,
            wait=self._time_left,
            team=self.team,
            model=model,
            urgency=self.urgency if self._streams else None,
            resume_after=self._events.last_id if resumed else None,
        )
        loop = self.host.loop
        unread = unread_work(row.load, work, loop.now)
        expected = self.host.expected_delay(row, work)
        record = CallRecord(row, work, unread, loop.now, expected)
        self._record = record
        self._tried.add(row.server.id)
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
            left=round(self._time_left, 3),
            resume_after=dispatch.resume_after,
        )
        self.host.note_sent(record)
        record.call = self.host.open_call(row, self, self.request, dispatch)
        self._watch_silence()

    def _model(self) -> str | None:
        head = self.request.head
        if self.route.models and head.any_model:
            return self.route.models[self._size]
        return head.model

    def _work(self, model: str | None) -> Work:
        head = self.request.head
        if not self._streams or model is None:
            return Work(self.service)
        return Work(
            service=self.service,
            model=model,
            size=self._size,
            prompt=head.prompt,
            prompt_tokens=head.prompt_tokens,
        )

    # Judging.

    def _judge(self, head: AnswerHead) -> CallOutcome | None:
        """Return what is wrong with an answer, None if it may be passed on."""
        if head.not_run:
            return CallOutcome.REFUSED
        if head.attempt_id != self.request.head.attempt_id or head.encoded:
            return CallOutcome.BROKEN
        if head.status < 300:
            return None if head.signed else CallOutcome.BROKEN
        if head.status in _PROMISES:
            return CallOutcome.BROKEN
        if head.status >= _FAILED_STATUS and self.route.repeatable:
            can_repeat = self.history.sent < self.route.max_attempts
            return CallOutcome.SERVER_ERROR if can_repeat or self._started else None
        return CallOutcome.SERVER_ERROR if self._started else None

    def _larger_size(self, head: AnswerHead) -> int | None:
        """Return the size that answers instead, None to pass this answer on."""
        if self._started or head.confidence is None or not self.route.repeatable:
            return None
        if not (self.route.models and self.request.head.any_model):
            return None
        # One attempt is left for a server that has no room.
        if self.history.sent + 2 > self.route.max_attempts or head.status >= 300:
            return None
        elapsed = self.host.loop.now - self.request.arrived_at
        work = attrs.evolve(
            self._work(self.route.models[-1]), size=len(self.route.models) - 1
        )
        starts_in = elapsed + self.host.least_delay(work, self._session)
        larger = self.host.models.larger(
            self.route, self._size, head.confidence, starts_in
        )
        if larger is None or not self.host.may_repeat(self.service, CASCADE_RESERVE):
            return None
        return larger

    def _fail_call(self, outcome: CallOutcome, why: str) -> None:
        """End the call, and send the request on or answer it."""
        record = self._record
        if record is None or self._over:
            return
        if record.call is not None:
            record.call.cancel()
        self._end_call(outcome)
        if outcome is CallOutcome.UNSENT:
            self.history.sent -= 1
        if not outcome.surely_not_run:
            self.history.may_have_run = True
        self._held, self._held_bytes = [], 0
        if not self._started:
            self._head = None
        self.host.log(
            "call failed",
            request=self.attempt_id,
            server=record.row.server.id,
            outcome=outcome.value,
            why=why,
            attempt=self.history.sent,
        )
        following = follow_up(self.route, self.history, outcome, self._time_left)
        if following is not FollowUp.AGAIN:
            self._give_up(outcome, why)
        elif outcome is CallOutcome.DROPPED:
            self._tried.clear()
            self._resend()
        elif outcome is not CallOutcome.UNSENT and not self.host.may_repeat(
            self.service, 0.0
        ):
            self._give_up(outcome, "budget of repeats")
        else:
            self._resend()

    def _resend(self) -> None:
        if self._started and self._events is not None:
            self._events = EventSplitter(self._events.last_id)
        self._send()

    def _give_up(self, outcome: CallOutcome, why: str) -> None:
        """Give the caller its final answer."""
        reason = f"{outcome.value}: {why}"
        if self._started:
            self._finish(BROKEN_OFF, reason)
            self.reply.abort_answer()
            return
        status, retry_after = self._refusal()
        self._finish(status.value, reason)
        attempt_id = self.request.head.attempt_id
        headers = self.host.refusal_headers(attempt_id, retry_after)
        self.reply.refuse(status, headers)

    def _refusal(self) -> tuple[http.HTTPStatus, float | None]:
        """Return the status of our own answer, and when the caller may come back."""
        if not self.history.may_have_run:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, RETRY_AFTER
        if self._time_left <= 0:
            return http.HTTPStatus.GATEWAY_TIMEOUT, None
        return http.HTTPStatus.BAD_GATEWAY, None

    # Time.

    def _on_deadline(self) -> None:
        """Answer at the end of the time, whatever the server does."""
        record = self._record
        if record is not None and record.call is not None:
            if record.call.stage is not Stage.CONNECTING:
                self.history.may_have_run = True
            record.call.cancel()
            self._end_call(CallOutcome.SILENT)
        self._give_up(CallOutcome.SILENT, "deadline")

    def _watch_silence(self) -> None:
        """Wait anew for the server's next sign."""
        self._stop_watching()
        record = self._record
        if record is not None and self.route.repeatable:
            begun = record.head_at is not None
            usual = record.row.load.mean_time
            seconds = silence_limit(self.route, begun, usual, record.expected)
            self._silence = self.host.loop.call_after(seconds, self._on_silence)

    def _stop_watching(self) -> None:
        if self._silence is not None:
            self._silence.cancel()
            self._silence = None

    def _on_silence(self) -> None:
        if self.history.sent >= self.route.max_attempts:
            return
        self._fail_call(CallOutcome.SILENT, "silent")

    # Passing on.

    def _start_stream(self) -> None:
        """Write the head before the first event: until then a call may be replaced."""
        if not self._started and self._head is not None:
            self._started = True
            self.reply.start_answer(self._head, None)

    def _hold(self, data: bytes) -> None:
        """Keep a part of a plain answer, or pass it on where it is too large."""
        if self._started:
            self._write(data)
            return
        self._held.append(data)
        self._held_bytes += len(data)
        head = self._head
        if self._held_bytes > MAX_HELD_BYTES and head is not None:
            self._started = True
            self.reply.start_answer(head, head.content_length)
            held, self._held = self._held, []
            for part in held:
                self._write(part)

    def _write(self, data: bytes) -> None:
        self.reply.write_body(data)
        record = self._record
        if self.reply.congested and record is not None and record.call is not None:
            record.call.pause()

    # Ending.

    def _end_call(self, outcome: CallOutcome | None) -> None:
        record, self._record = self._record, None
        if record is None:
            return
        self._stop_watching()
        record.ended_at = self.host.loop.now
        record.outcome = outcome
        status = self._head.status if self._head is not None else 0
        bad = outcome not in (None, CallOutcome.DROPPED, CallOutcome.REFUSED)
        record.failed = bad or status >= _FAILED_STATUS
        self.host.note_call(record)

    def _finish(self, status: int, why: str) -> None:
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        self.host.note_end(self, status, why)

    def _close(self, why: str, status: int) -> None:
        if self._over:
            return
        record, self._record = self._record, None
        self._stop_watching()
        if record is not None:
            if record.call is not None:
                record.call.cancel()
            record.ended_at = self.host.loop.now
            self.host.note_call(record)
        self._finish(status, why)
