"""Answer chat requests, streamed and plain."""

import concurrent.futures
import json
from collections.abc import Callable, Iterator
from concurrent.futures import Executor

import attrs
from result import Err

from masticfork.backends.engine import EngineClient, Frame
from masticfork.core.calls import ChatCall
from masticfork.core.events import Billed, Decided, Ended, Journal, Refused, Relayed
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.core.tables import Tables
from masticfork.entry.answer import AnswerRun, collect_text
from masticfork.entry.billing import BillSink, ChatBill, cost_of
from masticfork.entry.gate import Gate, chat_admission
from masticfork.entry.responses import (
    Response,
    json_response,
    openai_error,
    refusal_response,
)
from masticfork.entry.routing import Placement, Router
from masticfork.systems.admission_records import Ticket

DONE_FRAME = b"data: [DONE]\n\n"
# Longest wait for a bill to be safe before the end of the answer is withheld.
BILL_SECONDS = 5.0


@attrs.frozen
class ChatParts:
    """What every chat request needs."""

    tables: Tables
    router: Router
    engines: EngineClient
    gate: Gate
    bills: BillSink
    journal: Journal
    background: Executor
    now: Callable[[], float]


class ChatHandler:
    """Runs one chat request from its decision to its last byte."""

    def __init__(self, parts: ChatParts) -> None:
        self._parts = parts

    def handle(self, call: ChatCall) -> Response:
        """Return the response; a streamed body runs while it is read."""
        parts = self._parts
        placed = parts.router.place(call)
        if isinstance(placed, Err):
            return self._refuse(call, placed.err_value)
        placement = placed.ok_value
        self._note_decision(call, placement)
        asked = chat_admission(call, parts.tables.configuration, placement.version)
        entered = parts.gate.enter(asked)
        if isinstance(entered, Err):
            return self._refuse(call, entered.err_value)
        ticket = entered.ok_value
        try:
            return self._answer(call, placement, ticket)
        except BaseException:
            parts.gate.leave(ticket)
            raise

    def _answer(self, call: ChatCall, placement: Placement, ticket: Ticket) -> Response:
        """Run an admitted request; its ticket is given back at the end."""
        parts = self._parts
        run = AnswerRun(
            call,
            placement,
            parts.router,
            parts.engines,
            parts.journal,
            parts.background,
            parts.now,
        )
        refusal = run.open()
        if refusal is not None:
            parts.gate.leave(ticket)
            return self._refuse(call, refusal)
        answer = ChatAnswer(parts, call, placement, run, ticket)
        headers = _headers(call, placement)
        if call.stream:
            stream_headers = (
                ("Content-Type", "text/event-stream"),
                ("Cache-Control", "no-store"),
            )
            return Response(200, stream_headers + headers, StreamBody(answer))
        return answer.plain().with_headers(*headers)

    def _note_decision(self, call: ChatCall, placement: Placement) -> None:
        event = Decided(
            self._parts.now(),
            placement.session.id,
            placement.version,
            placement.reason,
            placement.candidates,
        )
        self._parts.journal.add(call.head.request_id, event)

    def _refuse(self, call: ChatCall, refusal: Refusal) -> Response:
        now = self._parts.now()
        event = Refused(now, refusal.reason.value, refusal.run_state.value)
        self._parts.journal.add(call.head.request_id, event)
        return refusal_response(refusal, openai=True, now=now)


class ChatAnswer:
    """An opened answer: its frames, its bill and its end."""

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

    def stream(self) -> Iterator[bytes]:
        """Yield the answer as server-sent events."""
        for frame in self._run.frames():
            yield frame.raw + b"\n\n"
        self._leave()
        refusal = self._run.failure or self.settle("answered")
        if refusal is not None:
            self.settle("cut")
            self._note_refusal(refusal)
            yield b"data: " + json.dumps(openai_error(refusal)).encode() + b"\n\n"
            return
        end = self._run.end
        yield end.finish + b"\n\n"
        if self._call.include_usage:
            yield end.usage + b"\n\n"
        yield DONE_FRAME

    def plain(self) -> Response:
        """Return the whole answer as one JSON body."""
        frames: list[Frame] = list(self._run.frames())
        self._leave()
        text = collect_text(iter(frames))
        refusal = self._run.failure
        if refusal is None and isinstance(text, Err):
            refusal = Refusal(
                Reason.BACKEND_FAILED, "the answer is malformed", RunState.RAN
            )
        refusal = refusal or self.settle("answered")
        if refusal is not None:
            self.settle("cut")
            self._note_refusal(refusal)
            return refusal_response(refusal, openai=True, now=self._parts.now())
        return json_response(200, self._completion(text.unwrap()))

    def settle(self, outcome: str) -> Refusal | None:
        """Bill the answer once; refuse its end where the bill is not safe."""
        if self._settled:
            return None
        self._settled = True
        future = self._parts.bills.submit(self._bill(outcome))
        try:
            future.result(timeout=BILL_SECONDS)
        except (concurrent.futures.TimeoutError, concurrent.futures.CancelledError):
            message = "the answer is whole but its bill could not be kept"
            return Refusal(Reason.BILL_NOT_KEPT, message, RunState.RAN)
        self._note_end(outcome)
        return None

    def close(self) -> None:
        """Cancel and bill an answer whose caller went away."""
        self._run.close()
        self._leave()
        if not self._settled:
            self._settled = True
            self._parts.bills.submit(self._bill("caller_gone"))
            self._note_end("caller_gone")

    def _leave(self) -> None:
        tokens = float(self._run.usage.completion_tokens)
        self._parts.gate.leave(self._ticket, tokens or None)

    def _bill(self, outcome: str) -> ChatBill:
        configuration = self._parts.tables.configuration
        cost = 0.0
        if configuration is not None:
            tokens = self._run.usage.completion_tokens
            cost = cost_of(configuration, self._placement.version, tokens)
        return ChatBill(self._call, self._placement, self._run.used, outcome, cost)

    def _note_end(self, outcome: str) -> None:
        journal, now = self._parts.journal, self._parts.now()
        request = self._call.head.request_id
        journal.add(request, Relayed(now, self._run.offset))
        bill = self._bill(outcome)
        tokens = self._run.usage.completion_tokens
        journal.add(request, Billed(now, bill.cost, tokens))
        journal.add(request, Ended(now, outcome))

    def _note_refusal(self, refusal: Refusal) -> None:
        event = Refused(
            self._parts.now(), refusal.reason.value, refusal.run_state.value
        )
        self._parts.journal.add(self._call.head.request_id, event)

    def _completion(self, text: str) -> dict[str, object]:
        finish = json.loads(self._run.end.finish.partition(b"data: ")[2] or b"{}")
        choices = finish.get("choices") or [{}]
        usage = self._run.usage
        return {
            "id": finish.get("id"),
            "object": "chat.completion",
            "created": int(self._parts.now()),
            "model": self._placement.version,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": choices[0].get("finish_reason"),
                }
            ],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
                "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
            },
        }


class StreamBody:
    """The body of a streamed answer, which ends the answer when closed."""

    def __init__(self, answer: ChatAnswer) -> None:
        self._answer = answer
        self._parts = answer.stream()

    def __iter__(self) -> Iterator[bytes]:
        return self._parts

    def close(self) -> None:
        """End the answer, also where the caller has gone."""
        self._answer.close()


def _headers(call: ChatCall, placement: Placement) -> tuple[tuple[str, str], ...]:
    headers = [
        ("Idempotency-Key", str(call.head.request_id)),
        ("Masticfork-Session", placement.session_token),
        ("Masticfork-Version", str(placement.version)),
    ]
    if placement.moved_from is not None:
        headers.append(("Masticfork-Moved-From", str(placement.moved_from)))
    return tuple(headers)
