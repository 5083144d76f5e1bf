"""Take chat requests from their decision to an opened answer."""

from result import Err

from masticfork.core.calls import ChatCall
from masticfork.core.events import Decided, Refused
from masticfork.core.refusals import Refusal
from masticfork.entry.answer import AnswerRun
from masticfork.entry.chat_answer import ChatAnswer, ChatParts, StreamBody
from masticfork.entry.responses import Response, refusal_response
from masticfork.entry.routing import Placement


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
            return self._refuse(call, refusal)
        answer = ChatAnswer(parts, call, placement, run)
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


def _headers(call: ChatCall, placement: Placement) -> tuple[tuple[str, str], ...]:
    headers = [
        ("Idempotency-Key", str(call.head.request_id)),
        ("Masticfork-Session", placement.session_token),
        ("Masticfork-Version", str(placement.version)),
    ]
    if placement.moved_from is not None:
        headers.append(("Masticfork-Moved-From", str(placement.moved_from)))
    return tuple(headers)
