"""Handle chat requests: version choice, admission and start of the answer."""

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
    """Chooses a version for a chat request, admits it and starts its answer."""

    def __init__(self, parts: ChatParts) -> None:
        self._parts = parts

    def handle(self, call: ChatCall) -> Response:
        """Return the response; a streamed body is generated while it is written."""
        parts = self._parts
        billing_refusal = parts.bills.refusal()
        if billing_refusal is not None:
            return self._refuse(call, billing_refusal)
        choice = parts.router.choose_version(call)
        if isinstance(choice, Err):
            return self._refuse(call, choice.err_value)
        placement = choice.ok_value
        self._record_decision(call, placement)
        request = chat_admission(call, parts.tables.configuration, placement.version)
        admitted = parts.gate.acquire(request)
        if isinstance(admitted, Err):
            return self._refuse(call, admitted.err_value)
        ticket = admitted.ok_value
        try:
            return self._open_answer(call, placement, ticket)
        except BaseException:
            parts.gate.release(ticket)
            raise

    def _open_answer(
        self, call: ChatCall, placement: Placement, ticket: Ticket
    ) -> Response:
        """Start the answer to an admitted request; its end releases the ticket."""
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
            parts.gate.release(ticket)
            return self._refuse(call, refusal)
        answer = ChatAnswer(parts, call, placement, run, ticket)
        headers = _headers(call, placement)
        if call.stream:
            return Response(200, STREAM_HEADERS + headers, stream=answer.stream)
        return answer.collect_json().with_headers(*headers)

    def _record_decision(self, call: ChatCall, placement: Placement) -> None:
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
