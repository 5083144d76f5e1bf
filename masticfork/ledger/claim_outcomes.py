"""Possible results of claiming an idempotency key, and of asking the service."""

from typing import Protocol

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.ledger.claim_records import Claim, StoredAnswer


@attrs.frozen
class Claimed:
    """The key is claimed; the request may be sent once, if `may_dispatch` allows."""

    claim: Claim


@attrs.frozen
class Replay:
    """The request has already run; this is its stored answer."""

    answer: StoredAnswer

    def refusal(self) -> Refusal:
        """Return the refusal to send if the answer's body was too large to store."""
        message = (
            f"the request ran and was answered with status {self.answer.status}, but "
            f"the body of {self.answer.body_bytes} bytes is too large to be replayed"
        )
        return Refusal(Reason.BACKEND_FAILED, message, RunState.RAN)


@attrs.frozen
class Running:
    """Another attempt holds the claim and may still complete."""

    retry_at: Deadline

    def refusal(self) -> Refusal:
        """Return the refusal for a caller that does not wait."""
        message = "a request with this idempotency key is still running"
        return Refusal(Reason.STILL_RUNNING, message, RunState.UNKNOWN, self.retry_at)


@attrs.frozen
class OutcomeUnknown:
    """An earlier attempt may have run; the request is not run again."""

    claim: Claim

    def refusal(self) -> Refusal:
        """Return the refusal; every retry gets it until the outcome is known."""
        message = "it is unknown whether an earlier attempt at this request ran"
        return Refusal(Reason.OUTCOME_UNKNOWN, message, RunState.UNKNOWN)


ClaimOutcome = Claimed | Replay | Running | OutcomeUnknown


@attrs.frozen
class Ran:
    """The service ran the request; this is its answer."""

    answer: StoredAnswer


@attrs.frozen
class NotRun:
    """The service has not run the request yet; it may still arrive."""


@attrs.frozen
class Undetermined:
    """The service could not be reached or does not know."""


LookupOutcome = Ran | NotRun | Undetermined


class Lookup(Protocol):
    """Asks a service whether it ran the request with an idempotency key."""

    def look_up(self, key: str, deadline: Deadline) -> LookupOutcome:
        """Return whether the service ran the request, with its answer if so."""


def platform_down_refusal(message: str, retry_at: Deadline) -> Refusal:
    """Return the refusal of a call that was not sent because the platform is down.

    It says nothing about earlier calls with the same idempotency key.
    """
    text = f"this call was not sent to the service: {message}"
    return Refusal(Reason.PLATFORM_DOWN, text, RunState.NOT_RUN, retry_at)
