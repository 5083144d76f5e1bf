"""Take over generations that a lost entry host left running.

Source of the idea: K. Ravindran and S. T. Chanson, "Failure Transparency in Remote
Procedure Calls", on adopting orphaned executions in place of killing them.
"""

from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Protocol

from result import Ok, Result

from masticfork.backends.engine import EngineClient
from masticfork.backends.failures import CallFailure
from masticfork.core.calls import ChatCall
from masticfork.core.deadlines import Deadline
from masticfork.core.hosts import HostState
from masticfork.core.ids import AttemptId, HostName
from masticfork.core.manifest import BackendServer
from masticfork.core.tables import HostRow, Tables

FIND_SECONDS = 0.3
# Engines keep the generation of a broken connection for about as long.
LOST_SECONDS = 60.0


class Adopter(Protocol):
    """Finds the engine that already runs an attempt."""

    def find(
        self, call: ChatCall, servers: tuple[BackendServer, ...], attempt: AttemptId
    ) -> BackendServer | None:
        """Return the engine that holds the attempt, or none."""


class NoAdoption:
    """Baseline: what a lost host left is cancelled by nobody and run again."""

    def find(
        self, call: ChatCall, servers: tuple[BackendServer, ...], attempt: AttemptId
    ) -> BackendServer | None:
        """Return none."""
        return None


class LostHostAdoption:
    """Asks all engines of the version, but only while a host is lost.

    A first request has nothing to be adopted, and the caller of a lost host can
    only be known by the identity that it gave its request.
    """

    def __init__(
        self,
        tables: Tables,
        engines: EngineClient,
        linked: Callable[[], frozenset[HostName]],
        background: Executor,
        now: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._engines = engines
        self._linked = linked
        self._background = background
        self._now = now

    def find(
        self, call: ChatCall, servers: tuple[BackendServer, ...], attempt: AttemptId
    ) -> BackendServer | None:
        """Return the engine that holds the attempt, or none."""
        if not call.head.named_by_caller or not self._host_lost():
            return None
        deadline = Deadline.after(self._now(), FIND_SECONDS)
        asked = {
            server.name: self._background.submit(
                self._engines.find, server, attempt, deadline
            )
            for server in servers
        }
        for server in servers:
            if _holds(asked[server.name]):
                return server
        return None

    def _host_lost(self) -> bool:
        now, linked = self._now(), self._linked()
        return any(
            self._is_lost(row, linked, now) for row in list(self._tables.hosts.values())
        )

    def _is_lost(self, row: HostRow, linked: frozenset[HostName], now: float) -> bool:
        if now >= row.heard_at + LOST_SECONDS:
            return False
        if row.state is not HostState.ALIVE or row.leaving:
            return True
        # The link breaks at once, long before the heartbeats are missed.
        return row.direct and row.host not in linked


def _holds(asked: "Future[Result[bool, CallFailure]]") -> bool:
    try:
        found = asked.result(FIND_SECONDS)
    except TimeoutError:
        return False
    return isinstance(found, Ok) and bool(found.ok_value)
