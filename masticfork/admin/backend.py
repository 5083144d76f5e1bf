"""The interface of the daemon that the administration API uses."""

from typing import Protocol

import attrs
from result import Result

from masticfork.admin.problems import Problem
from masticfork.admin.views import (
    BillPage,
    DrainView,
    EvacuationList,
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
    # Teams that the key is limited to; empty means all teams.
    teams: tuple[str, ...] = ()

    def may_view(self, team: str) -> bool:
        """Return whether the administrator may view the team's data."""
        return not self.teams or team in self.teams


@attrs.frozen
class ChangeRequest:
    """A requested change; repeating its submission id has no further effect."""

    submission_id: str
    actor: Actor


@attrs.frozen
class BillQuery:
    """Filter and page of a list of bills; empty `teams` means all teams."""

    teams: tuple[str, ...]
    after: str
    limit: int


class Backend(Protocol):
    """Daemon state that administrators can read and change."""

    def status(self) -> Status:
        """Return the state of the system as known to this host."""

    def change_rollout(
        self, name: str, action: RolloutAction, change: ChangeRequest
    ) -> Result[RolloutView, Problem]:
        """Change a rollout; NOT_FOUND if unknown, CONFLICT if its state forbids it."""

    def start_drain(
        self, kind: str, name: str, change: ChangeRequest
    ) -> Result[DrainView, Problem]:
        """Stop sending new work to a `server`, a `host` or the servers of a `zone`.

        NOT_FOUND if it is unknown.
        """

    def end_drain(
        self, kind: str, name: str, change: ChangeRequest
    ) -> Result[DrainView, Problem]:
        """Send work to it again; no error if it is not drained."""

    def evacuations(self) -> Result[EvacuationList, Problem]:
        """Return the availability zones whose servers get no new work."""

    def bills(self, query: BillQuery) -> Result[BillPage, Problem]:
        """Return a page of bills."""

    def explain(self, request_id: str) -> Result[Explanation, Problem]:
        """Return the recorded events of a request; NOT_FOUND if there are none."""
