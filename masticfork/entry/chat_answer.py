"""Deliver one started chat answer to its caller and bill it."""

import concurrent.futures
import json
from collections.abc import Callable
from concurrent.futures import Executor

import attrs
from result import Err

from masticfork.backends.engine import EngineClient
from masticfork.backends.engine_stream import event_data
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.calls import ChatCall
from masticfork.core.events import Billed, Ended, EventLog, Refused, Relayed
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.core.tables import Tables
from masticfork.entry.adoption import Adopter
from masticfork.entry.answer import AnswerRun
from masticfork.entry.billing import BillSink, make_bill
from masticfork.entry.frames import frames_text
from masticfork.entry.gate import AdmissionGate
from masticfork.entry.reports import (
    ANSWERED,
    CALLER_GONE,
    INTERRUPTED,
    AnswerObserver,
    AnswerReport,
)
from masticfork.entry.responses import (
    Response,
    Write,
    json_response,
    openai_error,
    refusal_response,
)
from masticfork.entry.routing import Router, VersionChoice
from masticfork.ledger.bill_records import Bill
from masticfork.systems.admission_records import Ticket

DONE_FRAME = b"data: [DONE]\n\n"
FRAME_END = b"\n\n"
# If the bill is not durable after this time, the end of the answer is withheld.
BILL_TIMEOUT_SECONDS = 5.0


@attrs.frozen
class ChatDependencies:
    """Dependencies of chat request handling."""

    tables: Tables
    router: Router
    engines: EngineClient
    adopter: Adopter
    gate: AdmissionGate
    bills: BillSink
    event_log: EventLog
    observer: AnswerObserver
    background: Executor
    now: Callable[[], float]


class ChatAnswer:
    """A started answer, streamed or sent as one body; billed exactly once."""

    def __init__(
        self,
        parts: ChatDependencies,
        call: ChatCall,
        choice: VersionChoice,
        run: AnswerRun,
        ticket: Ticket,
    ) -> None:
        self._parts = parts
        self._call = call
        self._choice = choice
        self._run = run
        self._ticket = ticket
        self._bill_submitted = False
        self._first_token_at: float | None = None
        self._keeps_frames = parts.observer.needs_text(call, choice)
        self._frames: list[bytes] = []

    def stream(self, write: Write) -> None:
        """Write the answer as server-sent events."""
        try:
            self._stream(write)
        finally:
            self._close()

    def collect_json(self) -> Response:
        """Return the complete answer as one JSON response."""
        try:
            return self._collect_json()
        finally:
            self._close()

    def _stream(self, write: Write) -> None:
        def write_frame(raw: bytes) -> CallFailure | None:
            self._record_frame(raw)
            try:
                write(raw + FRAME_END)
            except Exception:
                # The type of the error for a broken connection depends on the
                # WSGI server.
                kind = FailureKind.CALLER_GONE
                return CallFailure(
                    Stage.ANSWERING, kind, "the caller closed the connection"
                )
            return None

        refusal = self._run.run(write_frame) or self._bill_answer(ANSWERED)
        if refusal is not None:
            self._bill_answer(INTERRUPTED)
            self._record_refusal(refusal)
            write(b"data: " + json.dumps(openai_error(refusal)).encode() + FRAME_END)
            return
        end = self._run.final_frames
        write(end.finish + FRAME_END)
        if self._call.include_usage:
            write(end.usage + FRAME_END)
        write(DONE_FRAME)

    def _collect_json(self) -> Response:
        frames: list[bytes] = []

        def collect(raw: bytes) -> None:
            self._record_frame(raw)
            frames.append(raw)

        refusal = self._run.run(collect)
        text = frames_text(frames)
        if refusal is None and isinstance(text, Err):
            message = "the answer is malformed"
            refusal = Refusal(Reason.BACKEND_FAILED, message, RunState.RAN)
        refusal = refusal or self._bill_answer(ANSWERED)
        if refusal is not None:
            self._bill_answer(INTERRUPTED)
            self._record_refusal(refusal)
            return refusal_response(refusal, openai=True, now=self._parts.now())
        return json_response(200, self._completion(text.unwrap()))

    def _bill_answer(self, outcome: str) -> Refusal | None:
        """Bill the answer once; return a refusal if the bill is not durable in time."""
        if self._bill_submitted:
            return None
        self._bill_submitted = True
        self._release_ticket()
        bill = self._make_bill(outcome)
        future = self._parts.bills.submit(bill)
        try:
            future.result(timeout=BILL_TIMEOUT_SECONDS)
        except (concurrent.futures.TimeoutError, concurrent.futures.CancelledError):
            message = "the answer is complete but its bill could not be stored"
            return Refusal(Reason.BILL_NOT_KEPT, message, RunState.RAN)
        self._record_end(bill)
        return None

    def _close(self) -> None:
        """Cancel a running generation; bill an answer whose caller disconnected."""
        self._run.close()
        self._release_ticket()
        if not self._bill_submitted:
            self._bill_submitted = True
            bill = self._make_bill(CALLER_GONE)
            self._parts.bills.submit(bill)
            self._record_end(bill)

    def _release_ticket(self) -> None:
        """Release the admission ticket; further calls have no effect."""
        tokens = float(self._run.usage.completion_tokens)
        self._parts.gate.release(self._ticket, tokens or None)

    def _make_bill(self, outcome: str) -> Bill:
        tables = self._parts.tables
        return make_bill(
            self._call,
            self._choice,
            self._run.usages,
            tables.configuration,
            outcome,
            tables.me.host,
            self._parts.now(),
        )

    def _record_frame(self, raw: bytes) -> None:
        if self._first_token_at is None:
            self._first_token_at = self._parts.now()
        if self._keeps_frames:
            self._frames.append(raw)

    def _record_end(self, bill: Bill) -> None:
        event_log, now = self._parts.event_log, self._parts.now()
        request = self._call.head.request_id
        event_log.add(request, Relayed(now, self._run.delivered_tokens))
        tokens = self._run.usage.completion_tokens
        event_log.add(request, Billed(now, bill.cost, tokens))
        event_log.add(request, Ended(now, bill.outcome))
        report = AnswerReport(
            self._call,
            self._choice,
            bill.outcome,
            bill.cost,
            tokens,
            self._first_token_at,
            now,
            tuple(self._frames),
        )
        self._parts.observer.record_answer(report)

    def _record_refusal(self, refusal: Refusal) -> None:
        event = Refused(
            self._parts.now(), refusal.reason.value, refusal.run_state.value
        )
        self._parts.event_log.add(self._call.head.request_id, event)

    def _completion(self, text: str) -> dict[str, object]:
        finish = json.loads(event_data(self._run.final_frames.finish) or b"{}")
        choices = finish.get("choices") or [{}]
        usage = self._run.usage
        message = {"role": "assistant", "content": text}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": choices[0].get("finish_reason"),
        }
        return {
            "id": finish.get("id"),
            "object": "chat.completion",
            "created": int(self._parts.now()),
            "model": self._choice.version,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
                "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
            },
        }
