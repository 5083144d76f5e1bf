"""One opened chat answer: its frames, its bill and its end."""

import concurrent.futures
import json
from collections.abc import Callable, Iterator
from concurrent.futures import Executor

import attrs
from result import Err

from masticfork.backends.engine import EngineClient, Frame
from masticfork.core.calls import ChatCall
from masticfork.core.events import Billed, Ended, Journal, Refused, Relayed
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.core.tables import Tables
from masticfork.entry.answer import AnswerRun
from masticfork.entry.billing import BillSink, ChatBill, cost_of
from masticfork.entry.frames import data_of, text_of
from masticfork.entry.reports import (
    ANSWERED,
    CALLER_GONE,
    CUT,
    AnswerObserver,
    AnswerReport,
)
from masticfork.entry.responses import (
    Response,
    json_response,
    openai_error,
    refusal_response,
)
from masticfork.entry.routing import Placement, Router

DONE_FRAME = b"data: [DONE]\n\n"
# Longest wait for a bill to be safe before the end of the answer is withheld.
BILL_SECONDS = 5.0


@attrs.frozen
class ChatParts:
    """What every chat request needs."""

    tables: Tables
    router: Router
    engines: EngineClient
    bills: BillSink
    journal: Journal
    observer: AnswerObserver
    background: Executor
    now: Callable[[], float]


class ChatAnswer:
    """An opened answer: its frames, its bill and its end."""

    def __init__(
        self, parts: ChatParts, call: ChatCall, placement: Placement, run: AnswerRun
    ) -> None:
        self._parts = parts
        self._call = call
        self._placement = placement
        self._run = run
        self._settled = False
        self._first_token_at: float | None = None
        self._keeps_text = parts.observer.wants_text(call, placement)
        self._frames: list[bytes] = []

    def stream(self) -> Iterator[bytes]:
        """Yield the answer as server-sent events."""
        for frame in self._run.frames():
            self._note_frame(frame)
            yield frame.raw + b"\n\n"
        refusal = self._run.failure or self.settle(ANSWERED)
        if refusal is not None:
            self.settle(CUT)
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
        frames = []
        for frame in self._run.frames():
            self._note_frame(frame)
            frames.append(frame.raw)
        text = text_of(frames)
        refusal = self._run.failure
        if refusal is None and isinstance(text, Err):
            refusal = Refusal(
                Reason.BACKEND_FAILED, "the answer is malformed", RunState.RAN
            )
        refusal = refusal or self.settle(ANSWERED)
        if refusal is not None:
            self.settle(CUT)
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
        if not self._settled:
            self._settled = True
            self._parts.bills.submit(self._bill(CALLER_GONE))
            self._note_end(CALLER_GONE)

    def _bill(self, outcome: str) -> ChatBill:
        used = self._run.used
        return ChatBill(self._call, self._placement, used, outcome, self._cost())

    def _cost(self) -> float:
        configuration = self._parts.tables.configuration
        if configuration is None:
            return 0.0
        tokens = self._run.usage.completion_tokens
        return cost_of(configuration, self._placement.version, tokens)

    def _note_frame(self, frame: Frame) -> None:
        if self._first_token_at is None:
            self._first_token_at = self._parts.now()
        if self._keeps_text:
            self._frames.append(frame.raw)

    def _note_end(self, outcome: str) -> None:
        journal, now = self._parts.journal, self._parts.now()
        request = self._call.head.request_id
        journal.add(request, Relayed(now, self._run.offset))
        cost, tokens = self._cost(), self._run.usage.completion_tokens
        journal.add(request, Billed(now, cost, tokens))
        journal.add(request, Ended(now, outcome))
        report = AnswerReport(
            self._call,
            self._placement,
            outcome,
            cost,
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
