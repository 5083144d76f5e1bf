"""The backend of the administration API: reads and changes this daemon's state."""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.admin.backend import BillQuery, ChangeRequest
from masticfork.admin.drains import Drains
from masticfork.admin.problems import Problem, ProblemCode
from masticfork.admin.status import rollout_view, status_of
from masticfork.admin.views import (
    BillPage,
    DrainView,
    EvacuationList,
    Explanation,
    LeaseView,
    RolloutAction,
    RolloutView,
    Status,
)
from masticfork.core.deadlines import Deadline
from masticfork.core.events import EventLog, Received
from masticfork.core.ids import RequestId
from masticfork.core.manifest import Rollout
from masticfork.core.rollouts import RolloutRow
from masticfork.core.tables import Tables
from masticfork.daemon.bill_reader import BillReader
from masticfork.daemon.rollout_store import RolloutStore
from masticfork.systems.rollout_actions import Action, apply_action
from masticfork.systems.rollouts import new_row

# Attempts to apply a change while others change the same rollout concurrently.
MAX_ATTEMPTS = 4
# Time within which evacuations are listed.
LIST_TIMEOUT_SECONDS = 5.0


class DaemonBackend:
    """Serves the administration API from the tables and the platform."""

    def __init__(
        self,
        tables: Tables,
        event_log: EventLog,
        drains: Drains,
        rollouts: RolloutStore,
        bills: BillReader,
        leases: Callable[[], tuple[LeaseView, ...]],
        advertised_address: str,
        now: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._event_log = event_log
        self._drains = drains
        self._rollouts = rollouts
        self._bills = bills
        self._leases = leases
        self._advertised_address = advertised_address
        self._now = now

    def status(self) -> Status:
        """Return the status as this host currently knows it."""
        leases = self._leases()
        return status_of(self._tables, self._advertised_address, leases, self._now())

    def change_rollout(
        self, name: str, action: RolloutAction, change: ChangeRequest
    ) -> Result[RolloutView, Problem]:
        """Apply an action to a rollout's row; retry after concurrent changes.

        Repeating the change that was applied last has no effect.
        """
        declared = self._declared_rollout(name)
        if declared is None:
            message = f"the manifest declares no rollout {name!r}"
            return Err(Problem(ProblemCode.NOT_FOUND, message))
        for _ in range(MAX_ATTEMPTS):
            applied = self._apply_order(declared, action, change)
            if isinstance(applied, Err):
                return applied
            row, already_applied = applied.ok_value
            if already_applied or self._rollouts.put(row):
                return Ok(rollout_view(row))
        message = f"rollout {name!r} was changed concurrently; try again"
        return Err(Problem(ProblemCode.CONFLICT, message))

    def _declared_rollout(self, name: str) -> Rollout | None:
        configuration = self._tables.configuration
        rollouts = configuration.manifest.rollouts if configuration else ()
        return next((r for r in rollouts if r.name == name), None)

    def _apply_order(
        self, declared: Rollout, action: RolloutAction, change: ChangeRequest
    ) -> Result[tuple[RolloutRow, bool], Problem]:
        """Return the row after the change, and whether it was already applied."""
        read = self._rollouts.read(declared.name)
        if isinstance(read, Err):
            message = read.err_value.message
            return Err(Problem(ProblemCode.PLATFORM_DOWN, message))
        row = read.ok_value
        if row is None:
            started = new_row(declared, 0, self._now())
            if action is RolloutAction.START:
                return Ok((started, False))
            row = started
        if action is RolloutAction.START:
            return Ok((row, True))
        operator = f"{change.actor.name} ({change.submission_id})"
        if row.reason.endswith(f"by {operator}"):
            return Ok((row, True))
        updated = apply_action(row, Action(action.value), operator)
        if isinstance(updated, Err):
            message = updated.err_value.message
            return Err(Problem(ProblemCode.CONFLICT, message))
        return Ok((updated.ok_value, False))

    def start_drain(
        self, kind: str, name: str, change: ChangeRequest
    ) -> Result[DrainView, Problem]:
        """Start draining a server, host or zone, so that it gets no new requests."""
        if kind == "zone" and name not in self._zones:
            message = f"no server lies in availability zone {name!r}"
            return Err(Problem(ProblemCode.NOT_FOUND, message))
        return self._drains.start(kind, name, change)

    def end_drain(
        self, kind: str, name: str, change: ChangeRequest
    ) -> Result[DrainView, Problem]:
        """End the drain of a server, host or zone, so that it gets requests again."""
        return self._drains.end(kind, name, change)

    def evacuations(self) -> Result[EvacuationList, Problem]:
        """Return the availability zones whose servers get no new work."""
        deadline = Deadline.after(self._now(), LIST_TIMEOUT_SECONDS)
        active = self._drains.active(deadline)
        if isinstance(active, Err):
            return active
        zones = (drain for drain in active.ok_value if drain.kind == "zone")
        return Ok(EvacuationList(tuple(zones)))

    @property
    def _zones(self) -> frozenset[str]:
        """Return the availability zones of the configured servers."""
        configuration = self._tables.configuration
        pools = () if configuration is None else configuration.pools.values()
        return frozenset(server.zone for pool in pools for server in pool.servers)

    def bills(self, query: BillQuery) -> Result[BillPage, Problem]:
        """Return a page of bills."""
        return self._bills.page(query)

    def explain(self, request_id: str) -> Result[Explanation, Problem]:
        """Return the recorded events of a request that this host served."""
        events = self._event_log.events_of(RequestId(request_id))
        if not events:
            message = f"this host has no events of request {request_id!r}"
            return Err(Problem(ProblemCode.NOT_FOUND, message))
        team = next((e.team for e in events if isinstance(e, Received)), "")
        rows = tuple(
            {"kind": type(event).__name__.lower(), **attrs.asdict(event)}
            for event in events
        )
        return Ok(Explanation(request_id, team, rows))
