"""Run calls that may not be repeated at most once for each idempotency key."""

import hashlib
import threading

import attrs
from result import Err, Ok, Result

from masticfork.backends.connections import Request
from masticfork.backends.service import ServiceAnswer
from masticfork.core.calls import ServiceCall
from masticfork.core.deadlines import Deadline
from masticfork.core.events import Claimed as ClaimedEvent
from masticfork.core.events import Replayed
from masticfork.core.ids import AttemptId, ServerName, random_id
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.entry.responses import Response
from masticfork.entry.services import (
    ServiceParts,
    dispatch,
    may_try,
    passed_on,
    refusal_of,
    refuse,
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
from masticfork.ledger.claims import ClaimBook

# How long a second caller waits for the answer of the first before it gets 409.
WAIT_SECONDS = 2.0
POLL_SECONDS = 0.5
_OK = 200
_NOT_FOUND = 404


class OnceHandler:
    """Claims a key, runs the call and records its outcome."""

    def __init__(self, parts: ServiceParts, claims: ClaimBook) -> None:
        self._parts = parts
        self._claims = claims

    def handle(self, call: ServiceCall) -> Response:
        """Return the answer of the one run, or a refusal that tells its state."""
        until = Deadline.after(self._parts.now(), WAIT_SECONDS)
        until = until.sooner(call.head.deadline)
        attempt = AttemptId(random_id("try"))
        while True:
            claimed = self._claim(call, attempt)
            if isinstance(claimed, Err):
                return refuse(self._parts, call, claimed.err_value)
            outcome = claimed.ok_value
            if isinstance(outcome, Running) and not until.expired(self._parts.now()):
                threading.Event().wait(POLL_SECONDS)
                continue
            if isinstance(outcome, Claimed):
                return self._run(call, outcome.claim, attempt)
            return self._earlier(call, outcome)

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
            body_digest(call),
            attempt,
            head.deadline,
            lookup,
        )

    def _run(self, call: ServiceCall, claim: Claim, attempt: AttemptId) -> Response:
        parts = self._parts
        event = ClaimedEvent(parts.now(), claim.fencing)
        parts.journal.add(call.head.request_id, event)
        answered = self._dispatch(call, claim, attempt)
        if isinstance(answered, Err):
            refusal = answered.err_value
            if refusal.run_state is RunState.NOT_RUN:
                self._claims.release(claim)
            else:
                self._claims.mark_unknown(claim)
            return refuse(parts, call, refusal)
        answer = answered.ok_value
        # An answer that cannot be stored is kept and written when it can be: the
        # claim stands, so that the call is not run again.
        self._claims.finish(
            claim, StoredAnswer.of(answer.status, answer.headers, answer.body)
        )
        return passed_on(parts, call, answer)

    def _dispatch(
        self, call: ServiceCall, claim: Claim, attempt: AttemptId
    ) -> Result[ServiceAnswer, Refusal]:
        """Try one server after the other while surely none of them ran the call."""
        parts = self._parts
        tried: frozenset[ServerName] = frozenset()
        last: Refusal | None = None
        while may_try(parts, call, len(tried)):
            chosen = parts.router.choose(call.service.servers, tried)
            if isinstance(chosen, Err):
                return Err(last or chosen.err_value)
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
            last = refusal_of(answered.err_value, call, parts.now())
            if last.run_state is not RunState.NOT_RUN:
                break
        return Err(last or Refusal(Reason.NO_SERVER, "no server was tried"))

    def _earlier(
        self, call: ServiceCall, outcome: Replay | Running | OutcomeUnknown
    ) -> Response:
        if not isinstance(outcome, Replay) or outcome.answer.body is None:
            return refuse(self._parts, call, outcome.refusal())
        stored = outcome.answer
        event = Replayed(self._parts.now(), stored.status)
        self._parts.journal.add(call.head.request_id, event)
        answer = ServiceAnswer(stored.status, stored.headers, outcome.answer.body)
        response = passed_on(self._parts, call, answer)
        return response.with_headers(("Masticfork-Replayed", "true"))


@attrs.frozen
class ServiceLookup:
    """Asks the service's own lookup what became of a key."""

    _parts: ServiceParts
    _call: ServiceCall

    def look_up(self, key: str, deadline: Deadline) -> LookupOutcome:
        """Return what the service knows of the key."""
        template = self._call.operation.lookup or ""
        request = Request("GET", template.replace("{key}", key), ())
        chosen = self._parts.router.choose(self._call.service.servers, frozenset())
        if isinstance(chosen, Err):
            return Undetermined()
        answered = self._parts.client.call(
            chosen.ok_value, request, deadline, idempotent=True
        )
        if isinstance(answered, Err):
            return Undetermined()
        return _outcome_of(answered.ok_value)


def _outcome_of(answer: ServiceAnswer) -> LookupOutcome:
    if answer.status == _OK:
        return Ran(StoredAnswer.of(answer.status, answer.headers, answer.body))
    if answer.status == _NOT_FOUND:
        return NotRun()
    return Undetermined()


def body_digest(call: ServiceCall) -> str:
    """Return a digest of all that makes a call another one under the same key."""
    hashed = hashlib.blake2b(digest_size=16)
    for part in (call.service.name, call.method, call.path):
        hashed.update(part.encode() + b"\x1f")
    hashed.update(call.body)
    return hashed.hexdigest()
