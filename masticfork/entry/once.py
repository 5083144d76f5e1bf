"""Run non-idempotent calls at most once for each idempotency key."""

import hashlib
import threading

import attrs
from result import Err, Ok, Result

from masticfork.backends.connections import Request
from masticfork.backends.service import ServiceResponse
from masticfork.core.calls import ServiceCall
from masticfork.core.deadlines import Deadline
from masticfork.core.events import Claimed as ClaimedEvent
from masticfork.core.events import Replayed
from masticfork.core.ids import AttemptId, ServerName, random_id
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.entry.responses import Response
from masticfork.entry.services import (
    ServiceDependencies,
    answer_response,
    dispatch,
    failure_refusal,
    refuse,
    take_attempt,
)
from masticfork.ledger.claim_outcomes import (
    Claimed,
    LookupOutcome,
    NotRun,
    OutcomeUnknown,
    Ran,
    Replay,
    Running,
    Undetermined,
)
from masticfork.ledger.claim_records import Claim, StoredAnswer
from masticfork.ledger.claims import ClaimRegistry

# How long a duplicate call waits for the running one before it gets a 409.
RUNNING_WAIT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.5
_OK = 200
_NOT_FOUND = 404


class AtMostOnceHandler:
    """Claims the idempotency key, runs the call and records its outcome."""

    def __init__(self, parts: ServiceDependencies, claims: ClaimRegistry) -> None:
        self._parts = parts
        self._claims = claims

    def handle(self, call: ServiceCall) -> Response:
        """Return the answer of the single run, or a refusal with its run state."""
        wait_until = Deadline.after(self._parts.now(), RUNNING_WAIT_SECONDS)
        wait_until = wait_until.earliest(call.head.deadline)
        attempt = AttemptId(random_id("try"))
        while True:
            result = self._claim(call, attempt)
            if isinstance(result, Err):
                return refuse(self._parts, call, result.err_value)
            outcome = result.ok_value
            if isinstance(outcome, Running) and not wait_until.expired(
                self._parts.now()
            ):
                threading.Event().wait(POLL_INTERVAL_SECONDS)
                continue
            if isinstance(outcome, Claimed):
                return self._run(call, outcome.claim, attempt)
            return self._existing_response(call, outcome)

    def _claim(
        self, call: ServiceCall, attempt: AttemptId
    ) -> Result[Claimed | Replay | Running | OutcomeUnknown, Refusal]:
        head = call.head
        lookup = None
        if call.operation.lookup is not None:
            lookup = ServiceLookup(self._parts, call)
        return self._claims.claim(
            head.team.name,
            head.request_id,
            call_digest(call),
            attempt,
            head.deadline,
            lookup,
        )

    def _run(self, call: ServiceCall, claim: Claim, attempt: AttemptId) -> Response:
        parts = self._parts
        event = ClaimedEvent(parts.now(), claim.fencing)
        parts.event_log.add(call.head.request_id, event)
        answered = self._dispatch(call, claim, attempt)
        if isinstance(answered, Err):
            refusal = answered.err_value
            if refusal.run_state is RunState.NOT_RUN:
                self._claims.release(claim)
            else:
                self._claims.mark_unknown(claim)
            return refuse(parts, call, refusal)
        answer = answered.ok_value
        # An answer that cannot be stored now is kept in memory and written later; the
        # claim stays in place, so that the call is not run again.
        self._claims.finish(
            claim, StoredAnswer.of(answer.status, answer.headers, answer.body)
        )
        return answer_response(parts, call, answer)

    def _dispatch(
        self, call: ServiceCall, claim: Claim, attempt: AttemptId
    ) -> Result[ServiceResponse, Refusal]:
        """Try servers in turn for as long as it is certain that none ran the call."""
        parts = self._parts
        tried: frozenset[ServerName] = frozenset()
        last_refusal: Refusal | None = None
        while take_attempt(parts, call, len(tried)):
            chosen = parts.router.choose_server(call.service.servers, tried)
            if isinstance(chosen, Err):
                return Err(last_refusal or chosen.err_value)
            tried |= {chosen.ok_value.name}
            answered = dispatch(
                parts,
                call,
                chosen.ok_value,
                attempt,
                lambda: claim.may_dispatch(parts.now()),
            )
            if isinstance(answered, Ok):
                return answered
            last_refusal = failure_refusal(answered.err_value, call, parts.now())
            if last_refusal.run_state is not RunState.NOT_RUN:
                break
        return Err(last_refusal or Refusal(Reason.NO_SERVER, "no server was tried"))

    def _existing_response(
        self, call: ServiceCall, outcome: Replay | Running | OutcomeUnknown
    ) -> Response:
        if not isinstance(outcome, Replay) or outcome.answer.body is None:
            return refuse(self._parts, call, outcome.refusal())
        stored = outcome.answer
        event = Replayed(self._parts.now(), stored.status)
        self._parts.event_log.add(call.head.request_id, event)
        answer = ServiceResponse(stored.status, stored.headers, outcome.answer.body)
        response = answer_response(self._parts, call, answer)
        return response.with_headers(("Masticfork-Replayed", "true"))


@attrs.frozen
class ServiceLookup:
    """Queries the service's lookup operation for the outcome of a key."""

    _parts: ServiceDependencies
    _call: ServiceCall

    def look_up(self, key: str, deadline: Deadline) -> LookupOutcome:
        """Return the outcome that the service reports for the key."""
        template = self._call.operation.lookup or ""
        request = Request("GET", template.replace("{key}", key), ())
        chosen = self._parts.router.choose_server(
            self._call.service.servers, frozenset()
        )
        if isinstance(chosen, Err):
            return Undetermined()
        answered = self._parts.client.call(
            chosen.ok_value, request, deadline, idempotent=True
        )
        if isinstance(answered, Err):
            return Undetermined()
        return _lookup_outcome(answered.ok_value)


def _lookup_outcome(answer: ServiceResponse) -> LookupOutcome:
    if answer.status == _OK:
        return Ran(StoredAnswer.of(answer.status, answer.headers, answer.body))
    if answer.status == _NOT_FOUND:
        return NotRun()
    return Undetermined()


def call_digest(call: ServiceCall) -> str:
    """Return a digest of the service, method, path and body of a call.

    A different digest under the same key means that the key was reused.
    """
    hasher = hashlib.blake2b(digest_size=16)
    for part in (call.service.name, call.method, call.path):
        hasher.update(part.encode() + b"\x1f")
    hasher.update(call.body)
    return hasher.hexdigest()
