"""Compute how many concurrent requests this host may send to each pool."""

import math
from collections.abc import Callable, Sequence

from masticfork.core.findings import Findings
from masticfork.core.hosts import HostState
from masticfork.core.ids import ServerName
from masticfork.core.manifest import BackendServer
from masticfork.core.tables import Tables
from masticfork.systems.placement import available

# Maximum age of a load report that is used.
MAX_REPORT_AGE_SECONDS = 2.0


def count_live_hosts(tables: Tables) -> int:
    """Return the number of entry hosts that share the pools, including this one."""
    others = (
        row
        for row in list(tables.hosts.values())
        if row.host != tables.me.host
        and row.state is not HostState.DEAD
        and not row.leaving
    )
    return 1 + sum(1 for _ in others)


def host_slots(
    tables: Tables,
    servers: Sequence[BackendServer],
    requests_at: Callable[[ServerName], int],
    now: float,
) -> int:
    """Return how many concurrent requests this host may send to the servers.

    It is the larger of an even share of all slots, and of this host's requests in
    service plus an even share of the free slots. The free slots are known only if
    every server has a recent load report. `requests_at` returns the number of this
    host's requests in service at a server.
    """
    usable = available(tables, servers, frozenset(), now)
    total = sum(server.slots for server in usable)
    hosts = count_live_hosts(tables)
    even_share = math.ceil(total / hosts)
    own_in_service, busy = 0, 0
    for server in usable:
        row = tables.servers.get(server.name)
        own_at_server = requests_at(server.name)
        if row is None or now - row.reported_at > MAX_REPORT_AGE_SECONDS:
            return max(1, even_share)
        own_in_service += own_at_server
        busy += max(own_at_server, row.reported_running + row.reported_queued)
    free = max(0, total - busy)
    return max(1, even_share, min(total, own_in_service + free // hosts))


class PoolCapacity:
    """Sets the number of concurrent requests per pool and service for admission."""

    def __init__(
        self,
        requests_at: Callable[[ServerName], int],
        set_slots: Callable[[dict[str, int], float], None],
    ) -> None:
        self._requests_at = requests_at
        self._set_slots = set_slots

    def run(self, tables: Tables, now: float) -> Findings:
        """Compute and set the slots of all pools and services."""
        configuration = tables.configuration
        if configuration is None:
            return ()
        slots = {}
        for pool in configuration.manifest.pools:
            slots[pool_key(pool.name)] = self._slots(tables, pool.servers, now)
        for service in configuration.manifest.services:
            slots[service_key(service.name)] = self._slots(tables, service.servers, now)
        self._set_slots(slots, now)
        return ()

    def _slots(
        self, tables: Tables, servers: Sequence[BackendServer], now: float
    ) -> int:
        return host_slots(tables, servers, self._requests_at, now)


def pool_key(name: str) -> str:
    """Return the key of a pool in admission control."""
    return f"pool/{name}"


def service_key(name: str) -> str:
    """Return the key of a service in admission control."""
    return f"service/{name}"
