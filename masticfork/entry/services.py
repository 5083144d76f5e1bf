"""Pass calls to plain services."""

from collections.abc import Callable
from typing import Protocol

import attrs
from result import Err, Ok, Result

from masticfork.backends.connections import Request
from masticfork.backends.failures import CallFailure
from masticfork.backends.service import ServiceAnswer, ServiceClient
from masticfork.core.calls import ServiceCall
from masticfork.core.events import AttemptFailed, Dispatched, Ended, Journal, Refused
from masticfork.core.ids import AttemptId, ServerName
from masticfork.core.manifest import BackendServer
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.entry.gate import Gate, service_admission
from masticfork.entry.responses import Response, refusal_response
from masticfork.entry.routing import Router
from masticfork.systems.pool_capacity import service_key

INTERNAL_ERROR = 500
_DROPPED_ANSWER_HEADERS = frozenset(
    {"connection", "date", "keep-alive", "server", "transfer-encoding", "trailer"}
)


@attrs.frozen
class ServiceParts:
    """What every call to a plain service needs."""

    router: Router
    client: ServiceClient
    gate: Gate
    journal: Journal
    now: Callable[[], float]


class Sender(Protocol):
    """Sends one attempt at a call that may be repeated."""

    def send(
        self, call: ServiceCall, server: BackendServer, tried: frozenset[ServerName]
    ) -> Result[ServiceAnswer, CallFailure]:
        """Return the answer of the server, or of another that was not tried."""


class RepeatableHandler:
    """Runs calls that may be repeated, with retries on other servers."""

    def __init__(self, parts: ServiceParts, sender: Sender) -> None:
        self._parts = parts
        self._sender = sender

    def handle(self, call: ServiceCall) -> Response:
        """Return the service's answer or a refusal."""
        answered = self._run(call)
        if isinstance(answered, Err):
            return refuse(self._parts, call, answered.err_value)
        return passed_on(self._parts, call, answered.ok_value)

    def _run(self, call: ServiceCall) -> Result[ServiceAnswer, Refusal]:
        tried: frozenset[ServerName] = frozenset()
        last: Refusal | None = None
        while may_try(self._parts, call, len(tried)):
            chosen = self._parts.router.choose(call.service.servers, tried)
            if isinstance(chosen, Err):
                return Err(last or chosen.err_value)
            server = chosen.ok_value
            answered = self._sender.send(call, server, tried)
            tried |= {server.name}
            if isinstance(answered, Ok):
                return answered
            last = refusal_of(answered.err_value, call, self._parts.now())
        return Err(last or Refusal(Reason.NO_SERVER, "no server was tried"))


class Handler(Protocol):
    """Answers calls of one kind of operation."""

    def handle(self, call: ServiceCall) -> Response:
        """Return the response to a call."""


@attrs.frozen
class ServiceHandler:
    """Hands a call to the handler that fits its operation."""

    _parts: ServiceParts
    _repeatable: Handler
    _once: Handler

    def handle(self, call: ServiceCall) -> Response:
        """Return the response to a call."""
        handler = self._repeatable if call.operation.idempotent else self._once
        entered = self._parts.gate.enter(service_admission(call))
        if isinstance(entered, Err):
            return refuse(self._parts, call, entered.err_value)
        tokens = None
        try:
            response = handler.handle(call)
            tokens = 0.0 if response.status < INTERNAL_ERROR else None
            return response
        finally:
            self._parts.gate.leave(entered.ok_value, tokens)


def dispatch(
    parts: ServiceParts,
    call: ServiceCall,
    server: BackendServer,
    attempt: AttemptId,
    may_send: Callable[[], bool] = lambda: True,
) -> Result[ServiceAnswer, CallFailure]:
    """Send one attempt to one server and record what became of it.

    `may_send` is asked once the connection stands, right before the first byte.
    """
    request_id = call.head.request_id
    parts.journal.add(request_id, Dispatched(parts.now(), attempt, server.name))
    parts.router.in_flight.enter(server.name)
    try:
        answered = parts.client.call(
            server,
            backend_request(call),
            call.head.deadline,
            call.operation.idempotent,
            may_send,
        )
    finally:
        parts.router.in_flight.leave(server.name)
    parts.router.ended(server, answered.err())
    if isinstance(answered, Err):
        failure = answered.err_value
        event = AttemptFailed(
            parts.now(), attempt, failure.stage.value, failure.kind.value
        )
        parts.journal.add(request_id, event)
    return answered


def may_try(parts: ServiceParts, call: ServiceCall, attempts: int) -> bool:
    """Tell whether a call may be sent, after as many attempts; count it if so."""
    retries, budget = parts.router.retries, service_key(call.service.name)
    if not attempts:
        retries.first(budget)
        return True
    return retries.again(budget, attempts, call.head.deadline, parts.now())


def backend_request(call: ServiceCall) -> Request:
    """Return the request as the service gets it."""
    headers = [*call.headers, ("Idempotency-Key", str(call.head.request_id))]
    if call.head.traceparent:
        headers.append(("traceparent", call.head.traceparent))
    return Request(call.method, call.path, tuple(headers), call.body)


def refusal_of(failure: CallFailure, call: ServiceCall, now: float) -> Refusal:
    """Return the refusal that tells truthfully what a failure left behind."""
    state = failure.run_state
    if call.head.deadline.expired(now):
        return Refusal(Reason.DEADLINE_EXPIRED, "the deadline has passed", state)
    message = f"the service failed: {failure.kind.value} while {failure.stage.value}"
    if state is RunState.UNKNOWN and not call.operation.idempotent:
        return Refusal(Reason.OUTCOME_UNKNOWN, message, state)
    return Refusal(Reason.BACKEND_FAILED, message, state)


def passed_on(
    parts: ServiceParts, call: ServiceCall, answer: ServiceAnswer
) -> Response:
    """Return the service's answer as the caller gets it."""
    parts.journal.add(call.head.request_id, Ended(parts.now(), "answered"))
    headers = tuple(
        (name, value)
        for name, value in answer.headers
        if name.lower() not in _DROPPED_ANSWER_HEADERS | {"content-length"}
    )
    length = ("Content-Length", str(len(answer.body)))
    key = ("Idempotency-Key", str(call.head.request_id))
    return Response(answer.status, (*headers, length, key), (answer.body,))


def refuse(parts: ServiceParts, call: ServiceCall, refusal: Refusal) -> Response:
    """Return the response of a refusal and record it."""
    now = parts.now()
    event = Refused(now, refusal.reason.value, refusal.run_state.value)
    parts.journal.add(call.head.request_id, event)
    response = refusal_response(refusal, openai=False, now=now)
    return response.with_headers(("Idempotency-Key", str(call.head.request_id)))
