"""Estimate how many requests this host may have in service at each pool."""

import math
from collections.abc import Callable, Sequence

from masticfork.core.findings import Findings
from masticfork.core.hosts import HostState
from masticfork.core.ids import ServerName
from masticfork.core.manifest import BackendServer
from masticfork.core.tables import Tables
from masticfork.systems.placement import available

# A report of load older than this is not relied on.
REPORT_SECONDS = 2.0


def live_hosts(tables: Tables) -> int:
    """Return the number of entry hosts that share the pools, this one included."""
    others = (
        row
        for row in list(tables.hosts.values())
        if row.host != tables.me.host
        and row.state is not HostState.DEAD
        and not row.leaving
    )
    return 1 + sum(1 for _ in others)


def slots_of(
    tables: Tables,
    servers: Sequence[BackendServer],
    own_at: Callable[[ServerName], int],
    now: float,
) -> int:
    """Return this host's number of requests in service at the servers.

    It is an even part of the slots, or what it has in service and an even part of
    the slots that fresh reports leave free, whichever is more.
    """
    fit = available(tables, servers, frozenset(), now)
    total = sum(server.slots for server in fit)
    hosts = live_hosts(tables)
    even = math.ceil(total / hosts)
    own, busy = 0, 0
    for server in fit:
        row = tables.servers.get(server.name)
        mine = own_at(server.name)
        if row is None or now - row.reported_at > REPORT_SECONDS:
            return max(1, even)
        own += mine
        busy += max(mine, row.reported_running + row.reported_queued)
    free = max(0, total - busy)
    return max(1, even, min(total, own + free // hosts))


class PoolCapacity:
    """Tells admission the numbers of requests in service, each tick."""

    def __init__(
        self,
        own_at: Callable[[ServerName], int],
        use: Callable[[dict[str, int], float], None],
    ) -> None:
        self._own_at = own_at
        self._use = use

    def run(self, tables: Tables, now: float) -> Findings:
        """Hand the numbers of all pools and services on."""
        configuration = tables.configuration
        if configuration is None:
            return ()
        slots = {}
        for pool in configuration.manifest.pools:
            slots[pool_key(pool.name)] = self._slots(tables, pool.servers, now)
        for service in configuration.manifest.services:
            slots[service_key(service.name)] = self._slots(tables, service.servers, now)
        self._use(slots, now)
        return ()

    def _slots(
        self, tables: Tables, servers: Sequence[BackendServer], now: float
    ) -> int:
        return slots_of(tables, servers, self._own_at, now)


def pool_key(name: str) -> str:
    """Return the name under which admission knows a pool."""
    return f"pool/{name}"


def service_key(name: str) -> str:
    """Return the name under which admission knows a service."""
    return f"service/{name}"
