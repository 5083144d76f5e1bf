"""What the administration API needs of the daemon."""

from typing import Protocol

import attrs
from result import Result

from masticfork.admin.problems import Problem
from masticfork.admin.views import (
    BillPage,
    DrainView,
    Explanation,
    RolloutAction,
    RolloutView,
    Status,
)
from masticfork.settings.settings import Role


@attrs.frozen
class Actor:
    """An authenticated administrator."""

    name: str
    role: Role
    # Teams that the key is for; none means all.
    teams: tuple[str, ...] = ()

    def sees(self, team: str) -> bool:
        """Tell whether the administrator may see what belongs to the team."""
        return not self.teams or team in self.teams


@attrs.frozen
class Order:
    """Who wants a change; a repeated id changes nothing more."""

    submission_id: str
    actor: Actor


@attrs.frozen
class BillQuery:
    """Which bills to list; no teams means all."""

    teams: tuple[str, ...]
    after: str
    limit: int


class Backend(Protocol):
    """The parts of the daemon that administrators see and change."""

    def status(self) -> Status:
        """Return what this host knows now."""

    def change_rollout(
        self, name: str, action: RolloutAction, order: Order
    ) -> Result[RolloutView, Problem]:
        """Change a roll-out, or NOT_FOUND, or CONFLICT where its state forbids it."""

    def start_drain(
        self, kind: str, name: str, order: Order
    ) -> Result[DrainView, Problem]:
        """Give a `server` or `host` no new work, or NOT_FOUND."""

    def end_drain(
        self, kind: str, name: str, order: Order
    ) -> Result[DrainView, Problem]:
        """Let a `server` or `host` take work again; one not drained is no error."""

    def bills(self, query: BillQuery) -> Result[BillPage, Problem]:
        """Return a page of bills."""

    def explain(self, request_id: str) -> Result[Explanation, Problem]:
        """Return what is known of a request, or NOT_FOUND."""
