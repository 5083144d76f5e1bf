"""Requests, tickets and the interface of admission control."""

from concurrent.futures import Future
from typing import Protocol

import attrs
from result import Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import TeamName
from masticfork.core.manifest import WorkClass
from masticfork.core.refusals import Refusal

Verdict = Result[None, Refusal]


@attrs.frozen
class AdmissionRequest:
    """A request for a slot of a model pool or of a plain service."""

    team: TeamName
    work_class: WorkClass
    # Key of the pool or service, as returned by `pool_key` or `service_key`.
    pool: str
    deadline: Deadline
    # Maximum number of generated tokens; None if the caller sets no maximum.
    max_tokens: float | None = None
    # Whether the request counts against the team's token limit.
    uses_tokens: bool = False


@attrs.frozen(eq=False)
class Ticket:
    """An admitted request, queued until its verdict is set; Ok puts it in service."""

    request: AdmissionRequest
    admitted_at: float
    # Estimated tokens charged to the team on admission, corrected when it finishes.
    charged_tokens: float
    # Latest start at which the request is expected to meet its deadline.
    start_by: Deadline
    verdict: Future[Verdict] = attrs.field(factory=Future)


class Admission(Protocol):
    """Decides which requests are served now, queued or refused."""

    def admit(self, request: AdmissionRequest, now: float) -> Result[Ticket, Refusal]:
        """Return a ticket whose verdict the caller must await, or a refusal."""

    def cancel(self, ticket: Ticket, now: float) -> Verdict:
        """Cancel a queued ticket and return its verdict.

        The verdict is Ok if the ticket entered service in the meantime.
        """

    def finish(self, ticket: Ticket, tokens: float | None, now: float) -> None:
        """Release the slot and limits of a ticket in service; charge its tokens.

        `tokens` is None for a request that was not answered.
        """

    def set_slots(self, slots: dict[str, int], now: float) -> None:
        """Set the number of concurrent requests allowed for each pool."""
