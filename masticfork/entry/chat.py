"""Take chat requests from their decision to an opened answer."""

from result import Err

from masticfork.core.calls import ChatCall
from masticfork.core.events import Decided, Refused
from masticfork.core.refusals import Refusal
from masticfork.entry.answer import AnswerRun
from masticfork.entry.chat_answer import ChatAnswer, ChatParts
from masticfork.entry.gate import chat_admission
from masticfork.entry.responses import Response, refusal_response
from masticfork.entry.routing import Placement
from masticfork.systems.admission_records import Ticket

STREAM_HEADERS = (
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-store"),
)


class ChatHandler:
    """Decides on a chat request, admits it and opens its answer."""

    def __init__(self, parts: ChatParts) -> None:
        self._parts = parts

    def handle(self, call: ChatCall) -> Response:
        """Return the response; a streamed body runs while it is written."""
        parts = self._parts
        unbillable = parts.bills.refusal()
        if unbillable is not None:
            return self._refuse(call, unbillable)
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
            parts.adopter,
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
            return Response(200, STREAM_HEADERS + headers, stream=answer.stream)
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
