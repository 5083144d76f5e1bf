"""Handle chat requests: version choice, admission and start of the answer."""

from result import Err

from masticfork.core.calls import ChatCall
from masticfork.core.events import Decided, Refused
from masticfork.core.refusals import Refusal
from masticfork.entry.answer import AnswerRun
from masticfork.entry.chat_answer import ChatAnswer, ChatDependencies
from masticfork.entry.gate import chat_admission
from masticfork.entry.responses import Response, refusal_response
from masticfork.entry.routing import VersionChoice
from masticfork.systems.admission_records import Ticket

STREAM_HEADERS = (
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-store"),
)


class ChatHandler:
    """Chooses a version for a chat request, admits it and starts its answer."""

    def __init__(self, parts: ChatDependencies) -> None:
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
        version_choice = choice.ok_value
        self._record_decision(call, version_choice)
        request = chat_admission(
            call, parts.tables.configuration, version_choice.version
        )
        admitted = parts.gate.acquire(request)
        if isinstance(admitted, Err):
            return self._refuse(call, admitted.err_value)
        ticket = admitted.ok_value
        try:
            return self._open_answer(call, version_choice, ticket)
        except BaseException:
            parts.gate.release(ticket)
            raise

    def _open_answer(
        self, call: ChatCall, version_choice: VersionChoice, ticket: Ticket
    ) -> Response:
        """Start the answer to an admitted request; its end releases the ticket."""
        parts = self._parts
        run = AnswerRun(
            call,
            version_choice,
            parts.router,
            parts.engines,
            parts.adopter,
            parts.event_log,
            parts.background,
            parts.now,
        )
        refusal = run.open()
        if refusal is not None:
            parts.gate.release(ticket)
            return self._refuse(call, refusal)
        answer = ChatAnswer(parts, call, version_choice, run, ticket)
        headers = _headers(call, version_choice)
        if call.stream:
            return Response(200, STREAM_HEADERS + headers, stream=answer.stream)
        return answer.collect_json().with_headers(*headers)

    def _record_decision(self, call: ChatCall, version_choice: VersionChoice) -> None:
        event = Decided(
            self._parts.now(),
            version_choice.session.id,
            version_choice.version,
            version_choice.reason,
            version_choice.candidates,
        )
        self._parts.event_log.add(call.head.request_id, event)

    def _refuse(self, call: ChatCall, refusal: Refusal) -> Response:
        now = self._parts.now()
        event = Refused(now, refusal.reason.value, refusal.run_state.value)
        self._parts.event_log.add(call.head.request_id, event)
        return refusal_response(refusal, openai=True, now=now)


def _headers(
    call: ChatCall, version_choice: VersionChoice
) -> tuple[tuple[str, str], ...]:
    headers = [
        ("Idempotency-Key", str(call.head.request_id)),
        ("Masticfork-Session", version_choice.session_token),
        ("Masticfork-Version", str(version_choice.version)),
    ]
    if version_choice.moved_from is not None:
        headers.append(("Masticfork-Moved-From", str(version_choice.moved_from)))
    return tuple(headers)
