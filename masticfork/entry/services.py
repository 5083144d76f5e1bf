"""Forward calls to plain services: HTTP services that are not model engines."""

from collections.abc import Callable
from typing import Protocol

import attrs
from result import Err, Ok, Result

from masticfork.backends.connections import Request
from masticfork.backends.failures import CallFailure
from masticfork.backends.service import ServiceClient, ServiceResponse
from masticfork.core.calls import ServiceCall
from masticfork.core.events import AttemptFailed, Dispatched, Ended, EventLog, Refused
from masticfork.core.ids import AttemptId, ServerName
from masticfork.core.manifest import BackendServer
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.entry.gate import AdmissionGate, service_admission
from masticfork.entry.responses import Response, refusal_response
from masticfork.entry.routing import Router
from masticfork.systems.pool_capacity import service_key

MIN_SERVER_ERROR_STATUS = 500
_DROPPED_RESPONSE_HEADERS = frozenset(
    {"connection", "date", "keep-alive", "server", "transfer-encoding", "trailer"}
)


@attrs.frozen
class ServiceDependencies:
    """Dependencies of calls to plain services."""

    router: Router
    client: ServiceClient
    gate: AdmissionGate
    event_log: EventLog
    now: Callable[[], float]


class AttemptSender(Protocol):
    """Sends one attempt at a call that is safe to repeat."""

    def send(
        self, call: ServiceCall, server: BackendServer, tried: frozenset[ServerName]
    ) -> Result[ServiceResponse, CallFailure]:
        """Return the answer of the server, or of another untried server."""


class IdempotentHandler:
    """Runs calls that are safe to repeat, with retries on other servers."""

    def __init__(self, parts: ServiceDependencies, sender: AttemptSender) -> None:
        self._parts = parts
        self._sender = sender

    def handle(self, call: ServiceCall) -> Response:
        """Return the service's answer or a refusal."""
        answered = self._run(call)
        if isinstance(answered, Err):
            return refuse(self._parts, call, answered.err_value)
        return answer_response(self._parts, call, answered.ok_value)

    def _run(self, call: ServiceCall) -> Result[ServiceResponse, Refusal]:
        tried: frozenset[ServerName] = frozenset()
        last_refusal: Refusal | None = None
        while take_attempt(self._parts, call, len(tried)):
            chosen = self._parts.router.choose_server(call.service.servers, tried)
            if isinstance(chosen, Err):
                return Err(last_refusal or chosen.err_value)
            server = chosen.ok_value
            answered = self._sender.send(call, server, tried)
            tried |= {server.name}
            if isinstance(answered, Ok):
                return answered
            last_refusal = failure_refusal(answered.err_value, call, self._parts.now())
        return Err(last_refusal or Refusal(Reason.NO_SERVER, "no server was tried"))


class ServiceCallHandler(Protocol):
    """Handles calls of one kind of operation."""

    def handle(self, call: ServiceCall) -> Response:
        """Return the response to a call."""


@attrs.frozen
class ServiceHandler:
    """Admits a call and passes it to the handler for its kind of operation."""

    _parts: ServiceDependencies
    _repeatable: ServiceCallHandler
    _at_most_once: ServiceCallHandler

    def handle(self, call: ServiceCall) -> Response:
        """Return the response to a call."""
        handler = self._repeatable if call.operation.idempotent else self._at_most_once
        admitted = self._parts.gate.acquire(service_admission(call))
        if isinstance(admitted, Err):
            return refuse(self._parts, call, admitted.err_value)
        tokens = None
        try:
            response = handler.handle(call)
            tokens = 0.0 if response.status < MIN_SERVER_ERROR_STATUS else None
            return response
        finally:
            self._parts.gate.release(admitted.ok_value, tokens)


def dispatch(
    parts: ServiceDependencies,
    call: ServiceCall,
    server: BackendServer,
    attempt: AttemptId,
    may_send: Callable[[], bool] = lambda: True,
) -> Result[ServiceResponse, CallFailure]:
    """Send one attempt to one server and record its outcome.

    `may_send` is called once the connection is open, right before the first byte.
    """
    request_id = call.head.request_id
    parts.event_log.add(request_id, Dispatched(parts.now(), attempt, server.name))
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
    parts.router.record_outcome(server, answered.err())
    if isinstance(answered, Err):
        failure = answered.err_value
        event = AttemptFailed(
            parts.now(), attempt, failure.stage.value, failure.kind.value
        )
        parts.event_log.add(request_id, event)
    return answered


def take_attempt(parts: ServiceDependencies, call: ServiceCall, attempts: int) -> bool:
    """Return whether a call with this many attempts may be sent; count it if so."""
    retries, budget = parts.router.retries, service_key(call.service.name)
    if not attempts:
        retries.count_request(budget)
        return True
    return retries.try_retry(budget, attempts, call.head.deadline, parts.now())


def backend_request(call: ServiceCall) -> Request:
    """Return the request to send to the service."""
    headers = [*call.headers, ("Idempotency-Key", str(call.head.request_id))]
    if call.head.traceparent:
        headers.append(("traceparent", call.head.traceparent))
    return Request(call.method, call.path, tuple(headers), call.body)


def failure_refusal(failure: CallFailure, call: ServiceCall, now: float) -> Refusal:
    """Return the refusal for a failed call, with what is known of its run state."""
    state = failure.run_state
    if call.head.deadline.expired(now):
        return Refusal(Reason.DEADLINE_EXPIRED, "the deadline has passed", state)
    message = f"the service failed: {failure.kind.value} while {failure.stage.value}"
    if state is RunState.UNKNOWN and not call.operation.idempotent:
        return Refusal(Reason.OUTCOME_UNKNOWN, message, state)
    return Refusal(Reason.BACKEND_FAILED, message, state)


def answer_response(
    parts: ServiceDependencies, call: ServiceCall, answer: ServiceResponse
) -> Response:
    """Record the end of a call and return the service's answer as a response."""
    parts.event_log.add(call.head.request_id, Ended(parts.now(), "answered"))
    headers = tuple(
        (name, value)
        for name, value in answer.headers
        if name.lower() not in _DROPPED_RESPONSE_HEADERS | {"content-length"}
    )
    length = ("Content-Length", str(len(answer.body)))
    key = ("Idempotency-Key", str(call.head.request_id))
    return Response(answer.status, (*headers, length, key), (answer.body,))


def refuse(parts: ServiceDependencies, call: ServiceCall, refusal: Refusal) -> Response:
    """Record a refusal and return its response."""
    now = parts.now()
    event = Refused(now, refusal.reason.value, refusal.run_state.value)
    parts.event_log.add(call.head.request_id, event)
    response = refusal_response(refusal, openai=False, now=now)
    return response.with_headers(("Idempotency-Key", str(call.head.request_id)))
