"""Adopt orphaned generations: those that a failed host left running on an engine.

A caller whose host failed repeats its request on another host, which continues the
running generation instead of starting a new one. Source: K. Ravindran and
S. T. Chanson, "Failure Transparency in Remote Procedure Calls", on adopting orphaned
executions instead of terminating them.
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

FIND_TIMEOUT_SECONDS = 0.3
# Engines keep a generation for about this long after its connection broke.
ORPHAN_RETENTION_SECONDS = 60.0


class Adopter(Protocol):
    """Finds the engine that is already running an attempt."""

    def find(
        self, call: ChatCall, servers: tuple[BackendServer, ...], attempt: AttemptId
    ) -> BackendServer | None:
        """Return the engine that holds the attempt, or None."""


class NoAdoption:
    """Baseline: orphans are neither adopted nor cancelled; the request runs again."""

    def find(
        self, call: ChatCall, servers: tuple[BackendServer, ...], attempt: AttemptId
    ) -> BackendServer | None:
        """Return None."""
        return None


class LostHostAdoption:
    """Queries all engines of the version, but only while some host counts as lost.

    Otherwise requests are new and there is nothing to adopt. A host counts as lost if
    it is not alive, is leaving, or has dropped its direct link to this host, until
    ORPHAN_RETENTION_SECONDS after it was last heard from. Only requests with an
    idempotency key from the caller are looked up: without one, a repeated request
    cannot be matched to the first.
    """

    def __init__(
        self,
        tables: Tables,
        engines: EngineClient,
        connected_hosts: Callable[[], frozenset[HostName]],
        background: Executor,
        now: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._engines = engines
        self._connected_hosts = connected_hosts
        self._background = background
        self._now = now

    def find(
        self, call: ChatCall, servers: tuple[BackendServer, ...], attempt: AttemptId
    ) -> BackendServer | None:
        """Return the engine that holds the attempt, or None."""
        if not call.head.has_caller_key or not self._host_lost():
            return None
        deadline = Deadline.after(self._now(), FIND_TIMEOUT_SECONDS)
        lookups = {
            server.name: self._background.submit(
                self._engines.has_attempt, server, attempt, deadline
            )
            for server in servers
        }
        for server in servers:
            if _holds_attempt(lookups[server.name]):
                return server
        return None

    def _host_lost(self) -> bool:
        now, connected_hosts = self._now(), self._connected_hosts()
        return any(
            self._is_lost(row, connected_hosts, now)
            for row in list(self._tables.hosts.values())
        )

    def _is_lost(
        self, row: HostRow, connected_hosts: frozenset[HostName], now: float
    ) -> bool:
        if now >= row.heard_at + ORPHAN_RETENTION_SECONDS:
            return False
        if row.state is not HostState.ALIVE or row.leaving:
            return True
        # A crashed host drops its link at once, long before heartbeats are missed.
        return row.direct and row.host not in connected_hosts


def _holds_attempt(lookup: "Future[Result[bool, CallFailure]]") -> bool:
    try:
        result = lookup.result(FIND_TIMEOUT_SECONDS)
    except TimeoutError:
        return False
    return isinstance(result, Ok) and bool(result.ok_value)
