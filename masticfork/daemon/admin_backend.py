"""What the administration API sees and changes of this daemon."""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.admin.backend import BillQuery, Order
from masticfork.admin.drains import Drains
from masticfork.admin.problems import Problem, ProblemCode
from masticfork.admin.status import status_of
from masticfork.admin.views import (
    BillPage,
    DrainView,
    Explanation,
    RolloutAction,
    RolloutView,
    Status,
)
from masticfork.core.events import Journal, Received
from masticfork.core.ids import RequestId
from masticfork.core.tables import Tables


class DaemonBackend:
    """Answers the administration API out of the tables and the platform."""

    def __init__(
        self,
        tables: Tables,
        journal: Journal,
        drains: Drains,
        address: str,
        now: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._journal = journal
        self._drains = drains
        self._address = address
        self._now = now

    def status(self) -> Status:
        """Return what this host knows now."""
        return status_of(self._tables, self._address, (), self._now())

    def change_rollout(
        self, name: str, action: RolloutAction, order: Order
    ) -> Result[RolloutView, Problem]:
        """Change a roll-out."""
        return Err(Problem(ProblemCode.NOT_FOUND, f"no roll-out {name!r} is under way"))

    def start_drain(
        self, kind: str, name: str, order: Order
    ) -> Result[DrainView, Problem]:
        """Give a server or host no new work."""
        return self._drains.start(kind, name, order)

    def end_drain(
        self, kind: str, name: str, order: Order
    ) -> Result[DrainView, Problem]:
        """Let a server or host take work again."""
        return self._drains.end(kind, name, order)

    def bills(self, query: BillQuery) -> Result[BillPage, Problem]:
        """Return a page of bills."""
        return Ok(BillPage(()))

    def explain(self, request_id: str) -> Result[Explanation, Problem]:
        """Return the events of a request that this host served."""
        events = self._journal.of(RequestId(request_id))
        if not events:
            message = f"this host has no events of request {request_id!r}"
            return Err(Problem(ProblemCode.NOT_FOUND, message))
        team = next((e.team for e in events if isinstance(e, Received)), "")
        rows = tuple(
            {"kind": type(event).__name__.lower(), **attrs.asdict(event)}
            for event in events
        )
        return Ok(Explanation(request_id, team, rows))
