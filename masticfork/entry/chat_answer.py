"""One opened chat answer: its frames, its bill and its end."""

import concurrent.futures
import json
from collections.abc import Callable
from concurrent.futures import Executor

import attrs
from result import Err

from masticfork.backends.engine import EngineClient
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.calls import ChatCall
from masticfork.core.events import Billed, Ended, Journal, Refused, Relayed
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.core.tables import Tables
from masticfork.entry.adoption import Adopter
from masticfork.entry.answer import AnswerRun
from masticfork.entry.billing import BillSink, bill_of
from masticfork.entry.frames import data_of, text_of
from masticfork.entry.gate import Gate
from masticfork.entry.reports import (
    ANSWERED,
    CALLER_GONE,
    CUT,
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
from masticfork.entry.routing import Placement, Router
from masticfork.ledger.bill_records import Bill
from masticfork.systems.admission_records import Ticket

DONE_FRAME = b"data: [DONE]\n\n"
FRAME_END = b"\n\n"
# Longest wait for a bill to be safe before the end of the answer is withheld.
BILL_SECONDS = 5.0


@attrs.frozen
class ChatParts:
    """What every chat request needs."""

    tables: Tables
    router: Router
    engines: EngineClient
    adopter: Adopter
    gate: Gate
    bills: BillSink
    journal: Journal
    observer: AnswerObserver
    background: Executor
    now: Callable[[], float]


class ChatAnswer:
    """An opened answer, streamed or plain; it ends once, whatever happens."""

    def __init__(
        self,
        parts: ChatParts,
        call: ChatCall,
        placement: Placement,
        run: AnswerRun,
        ticket: Ticket,
    ) -> None:
        self._parts = parts
        self._call = call
        self._placement = placement
        self._run = run
        self._ticket = ticket
        self._settled = False
        self._first_token_at: float | None = None
        self._keeps_text = parts.observer.wants_text(call, placement)
        self._frames: list[bytes] = []

    def stream(self, write: Write) -> None:
        """Write the answer as server-sent events."""
        try:
            self._stream(write)
        finally:
            self._close()

    def plain(self) -> Response:
        """Return the whole answer as one JSON body."""
        try:
            return self._plain()
        finally:
            self._close()

    def _stream(self, write: Write) -> None:
        def pass_on(raw: bytes) -> CallFailure | None:
            self._note_frame(raw)
            try:
                write(raw + FRAME_END)
            except Exception:
                # The server has its own error for a connection that broke.
                kind = FailureKind.CALLER_GONE
                return CallFailure(Stage.ANSWERING, kind, "the caller has gone")
            return None

        refusal = self._run.run(pass_on) or self._settle(ANSWERED)
        if refusal is not None:
            self._settle(CUT)
            self._note_refusal(refusal)
            write(b"data: " + json.dumps(openai_error(refusal)).encode() + FRAME_END)
            return
        end = self._run.end
        write(end.finish + FRAME_END)
        if self._call.include_usage:
            write(end.usage + FRAME_END)
        write(DONE_FRAME)

    def _plain(self) -> Response:
        frames: list[bytes] = []

        def keep(raw: bytes) -> None:
            self._note_frame(raw)
            frames.append(raw)

        refusal = self._run.run(keep)
        text = text_of(frames)
        if refusal is None and isinstance(text, Err):
            message = "the answer is malformed"
            refusal = Refusal(Reason.BACKEND_FAILED, message, RunState.RAN)
        refusal = refusal or self._settle(ANSWERED)
        if refusal is not None:
            self._settle(CUT)
            self._note_refusal(refusal)
            return refusal_response(refusal, openai=True, now=self._parts.now())
        return json_response(200, self._completion(text.unwrap()))

    def _settle(self, outcome: str) -> Refusal | None:
        """Bill the answer once; refuse its end where the bill is not safe."""
        if self._settled:
            return None
        self._settled = True
        self._leave()
        bill = self._bill(outcome)
        future = self._parts.bills.submit(bill)
        try:
            future.result(timeout=BILL_SECONDS)
        except (concurrent.futures.TimeoutError, concurrent.futures.CancelledError):
            message = "the answer is whole but its bill could not be kept"
            return Refusal(Reason.BILL_NOT_KEPT, message, RunState.RAN)
        self._note_end(bill)
        return None

    def _close(self) -> None:
        """Cancel what still runs, and bill an answer whose caller went away."""
        self._run.close()
        self._leave()
        if not self._settled:
            self._settled = True
            bill = self._bill(CALLER_GONE)
            self._parts.bills.submit(bill)
            self._note_end(bill)

    def _leave(self) -> None:
        """Give the place in service back; a second call changes nothing."""
        tokens = float(self._run.usage.completion_tokens)
        self._parts.gate.leave(self._ticket, tokens or None)

    def _bill(self, outcome: str) -> Bill:
        tables = self._parts.tables
        return bill_of(
            self._call,
            self._placement,
            self._run.used,
            tables.configuration,
            outcome,
            tables.me.host,
            self._parts.now(),
        )

    def _note_frame(self, raw: bytes) -> None:
        if self._first_token_at is None:
            self._first_token_at = self._parts.now()
        if self._keeps_text:
            self._frames.append(raw)

    def _note_end(self, bill: Bill) -> None:
        journal, now = self._parts.journal, self._parts.now()
        request = self._call.head.request_id
        journal.add(request, Relayed(now, self._run.offset))
        tokens = self._run.usage.completion_tokens
        journal.add(request, Billed(now, bill.cost, tokens))
        journal.add(request, Ended(now, bill.outcome))
        report = AnswerReport(
            self._call,
            self._placement,
            bill.outcome,
            bill.cost,
            tokens,
            self._first_token_at,
            now,
            tuple(self._frames),
        )
        self._parts.observer.ended(report)

    def _note_refusal(self, refusal: Refusal) -> None:
        event = Refused(
            self._parts.now(), refusal.reason.value, refusal.run_state.value
        )
        self._parts.journal.add(self._call.head.request_id, event)

    def _completion(self, text: str) -> dict[str, object]:
        finish = json.loads(data_of(self._run.end.finish) or b"{}")
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
            "model": self._placement.version,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
                "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
            },
        }
