"""What admission is asked and what it hands out."""

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
    """A request that wants to be served by a pool or a plain service."""

    team: TeamName
    work_class: WorkClass
    # Name of the pool, or of the service.
    pool: str
    deadline: Deadline
    # The most tokens that it may generate, where the caller bounds them.
    max_tokens: float | None = None
    # Whether the team's limit of tokens counts for it.
    uses_tokens: bool = False


@attrs.frozen(eq=False)
class Ticket:
    """An admitted request: in service once the verdict is Ok."""

    request: AdmissionRequest
    admitted_at: float
    # Tokens charged to the team before it is known how many it takes.
    charged_tokens: float
    # Past this point the request cannot be served by its deadline.
    start_by: Deadline
    verdict: Future[Verdict] = attrs.field(factory=Future)


class Admission(Protocol):
    """Decides which requests are served now, later or not at all."""

    def admit(self, request: AdmissionRequest, now: float) -> Result[Ticket, Refusal]:
        """Return a ticket whose verdict the caller awaits, or a refusal."""

    def give_up(self, ticket: Ticket, now: float) -> Verdict:
        """End the wait of a ticket; Ok where it got into service meanwhile."""

    def finish(self, ticket: Ticket, tokens: float | None, now: float) -> None:
        """Free what a ticket in service holds and charge the tokens it took.

        The tokens are none where the request was not answered.
        """

    def run_pools(self, slots: dict[str, int], now: float) -> None:
        """Use these numbers of requests in service for the pools."""
