"""What claiming a key can tell, and what a service's lookup can."""

from typing import Protocol

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.ledger.claim_records import Claim, StoredAnswer


@attrs.frozen
class Claimed:
    """The caller may run the request, once, if `may_dispatch` holds."""

    claim: Claim


@attrs.frozen
class Replay:
    """The request ran earlier; this is its answer."""

    answer: StoredAnswer

    def refusal(self) -> Refusal:
        """Return the answer for a body that was too large to store."""
        message = (
            f"the request ran and was answered {self.answer.status}, but the body of "
            f"{self.answer.body_bytes} bytes is too large to be repeated"
        )
        return Refusal(Reason.BACKEND_FAILED, message, RunState.RAN)


@attrs.frozen
class Running:
    """Another attempt holds the claim and may still get its answer."""

    retry_at: Deadline

    def refusal(self) -> Refusal:
        """Return the answer to a caller that does not wait."""
        message = "a request with this idempotency key is running"
        return Refusal(Reason.STILL_RUNNING, message, RunState.UNKNOWN, self.retry_at)


@attrs.frozen
class OutcomeUnknown:
    """An earlier attempt may have run; it is never run again on a guess."""

    claim: Claim

    def refusal(self) -> Refusal:
        """Return the answer, the same on each retry until it is settled."""
        message = "it is not known whether the request ran"
        return Refusal(Reason.OUTCOME_UNKNOWN, message, RunState.UNKNOWN)


ClaimOutcome = Claimed | Replay | Running | OutcomeUnknown


@attrs.frozen
class Ran:
    """The service ran the request; this is its answer."""

    answer: StoredAnswer


@attrs.frozen
class NotRun:
    """The service has not run the request so far."""


@attrs.frozen
class Undetermined:
    """The service cannot be asked or does not know."""


LookupOutcome = Ran | NotRun | Undetermined


class Lookup(Protocol):
    """Asks a service what became of an idempotency key."""

    def look_up(self, key: str, deadline: Deadline) -> LookupOutcome:
        """Return what the service knows of the key."""


def platform_down(message: str, retry_at: Deadline) -> Refusal:
    """Return the refusal of a call of which nothing was sent.

    An earlier call under the same key, if any, keeps its own outcome.
    """
    text = f"nothing was sent for this call: {message}"
    return Refusal(Reason.PLATFORM_DOWN, text, RunState.NOT_RUN, retry_at)
