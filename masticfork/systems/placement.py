"""Choose the backend server for one attempt."""

import random
import threading
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Protocol

from masticfork.core.ids import ServerName
from masticfork.core.manifest import BackendServer
from masticfork.core.tables import Tables
from masticfork.systems.eligibility import drained, server_takes_work
from masticfork.systems.health import HealthSettings, ramp_weight


class InFlight:
    """Requests of this host at each backend server, safe for threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[ServerName] = Counter()
        self._started: Counter[ServerName] = Counter()

    def enter(self, server: ServerName) -> None:
        """Count a request that leaves for the server."""
        with self._lock:
            self._counts[server] += 1

    def leave(self, server: ServerName) -> None:
        """Count a request that has ended at the server."""
        with self._lock:
            self._counts[server] -= 1

    def at(self, server: ServerName) -> int:
        """Return the requests now at the server."""
        return self._counts[server]

    def total(self) -> int:
        """Return the requests now at all servers."""
        return sum(self._counts.values())


class ServerChooser(Protocol):
    """Picks one of the servers that may take an attempt."""

    def choose(
        self, tables: Tables, servers: Sequence[BackendServer], rng: random.Random
    ) -> BackendServer:
        """Return one of `servers`, which is not empty."""


class TwoChoices:
    """Take the less loaded of two servers drawn at random.

    Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE TPDS 12(10), 2001.
    """

    def __init__(
        self,
        in_flight: InFlight,
        now: Callable[[], float],
        health: HealthSettings | None = None,
    ) -> None:
        self._in_flight = in_flight
        self._now = now
        self._health = health or HealthSettings()

    def choose(
        self, tables: Tables, servers: Sequence[BackendServer], rng: random.Random
    ) -> BackendServer:
        """Return the server with the lower load per slot."""
        if len(servers) == 1:
            return servers[0]
        first, second = rng.sample(servers, 2)
        if self._load(tables, second) < self._load(tables, first):
            return second
        return first

    def _load(self, tables: Tables, server: BackendServer) -> float:
        """Return the load for each slot, as if this request were there.

        A server that comes back counts only a part of its slots while it warms up.
        """
        row = tables.servers.get(server.name)
        reported = row.reported_running + row.reported_queued if row else 0
        # Own requests are in the report too, once it is recent enough.
        load = max(reported, self._in_flight.at(server.name)) + 1
        weight = ramp_weight(row, self._now(), self._health) if row else 1.0
        return load / (server.slots * weight)


def available(
    tables: Tables,
    servers: Sequence[BackendServer],
    tried: frozenset[ServerName],
    now: float,
) -> list[BackendServer]:
    """Return the servers that may get new work and were not tried yet."""
    fit = []
    for server in servers:
        row = tables.servers.get(server.name)
        if server.name in tried or drained(tables, server.name):
            continue
        if row is None or server_takes_work(row, now):
            fit.append(server)
    return fit
