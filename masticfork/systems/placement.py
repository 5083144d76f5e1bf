"""Choose the backend server for one attempt."""

import itertools
import random
import threading
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from masticfork.core.ids import ServerName
from masticfork.core.manifest import BackendServer
from masticfork.core.tables import Tables
from masticfork.systems.eligibility import drained, server_takes_work
from masticfork.systems.health import HealthSettings, ramp_weight
from masticfork.systems.prefixes import PrefixTable, Prompt

# Servers drawn at random, and servers taken for what they hold.
DRAWN = 2
# Time of an ordinary answer, for the wait in a full server's queue.
ANSWER_SECONDS = 4.0
# What a server that is full but for one slot loses against an empty one.
BUSY_SECONDS = 0.2
PREFILL_SECONDS_PER_CHARACTER = 0.0002


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


@attrs.frozen
class Choice:
    """What a server is chosen by."""

    tables: Tables
    # Servers that may get the request; not empty.
    servers: Sequence[BackendServer]
    prompt: Prompt
    rng: random.Random

    def draw(self) -> list[BackendServer]:
        """Return a few of the servers at random."""
        return self.rng.sample(self.servers, min(DRAWN, len(self.servers)))


class ServerChooser(Protocol):
    """Picks one of the servers that may take an attempt."""

    def choose(self, choice: Choice) -> BackendServer:
        """Return one of the servers."""


class ServerLoad:
    """The load of servers as this host knows it."""

    def __init__(
        self,
        in_flight: InFlight,
        now: Callable[[], float],
        health: HealthSettings | None = None,
    ) -> None:
        self._in_flight = in_flight
        self._now = now
        self._health = health or HealthSettings()

    def per_slot(self, tables: Tables, server: BackendServer) -> float:
        """Return the load for each slot, as if one more request were there.

        A server that comes back counts only a part of its slots while it warms up.
        """
        row = tables.servers.get(server.name)
        reported = row.reported_running + row.reported_queued if row else 0
        # Own requests are in the report too, once it is recent enough.
        load = max(reported, self._in_flight.at(server.name)) + 1
        weight = ramp_weight(row, self._now(), self._health) if row else 1.0
        return load / (server.slots * weight)


class RoundRobin:
    """Baseline: each server in turn."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(self, choice: Choice) -> BackendServer:
        """Return the next server."""
        return choice.servers[next(self._turns) % len(choice.servers)]


class LeastLoaded:
    """Baseline: the least loaded server, as far as this host knows."""

    def __init__(self, load: ServerLoad) -> None:
        self._load = load

    def choose(self, choice: Choice) -> BackendServer:
        """Return the server with the lowest load per slot."""
        return min(choice.servers, key=lambda s: self._load.per_slot(choice.tables, s))


class TwoChoices:
    """Take the less loaded of two servers drawn at random.

    Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE TPDS 12(10), 2001.
    """

    def __init__(self, load: ServerLoad) -> None:
        self._load = load

    def choose(self, choice: Choice) -> BackendServer:
        """Return the server with the lower load per slot."""
        drawn = choice.draw()
        return min(drawn, key=lambda s: self._load.per_slot(choice.tables, s))


class PrefixLocality:
    """Weigh the wait at a server against the prefill that its cache spares.

    The candidates are two servers drawn at random and the two that hold most of the
    prompt: drawing keeps hosts with the same stale report from herding.
    """

    def __init__(self, load: ServerLoad, table: PrefixTable) -> None:
        self._load = load
        self._table = table

    def choose(self, choice: Choice) -> BackendServer:
        """Return the candidate with the earliest expected first token."""
        prompt, candidates = choice.prompt, choice.draw()
        held = [s for s in choice.servers if self._table.held(s.name, prompt)]
        choice.rng.shuffle(held)
        held.sort(key=lambda s: -self._table.held(s.name, prompt))
        candidates += held[:DRAWN]
        chosen = min(candidates, key=lambda s: self._expected(choice, s))
        self._table.stored(chosen.name, (prefix.hash for prefix in prompt.prefixes))
        return chosen

    def _expected(self, choice: Choice, server: BackendServer) -> float:
        """Return the seconds to the first token, without what all servers share."""
        load = self._load.per_slot(choice.tables, server)
        # A slot becomes free, on average, after a part of an answer's time.
        wait = max(0.0, load - 1.0) * ANSWER_SECONDS + load * BUSY_SECONDS
        prompt = choice.prompt
        uncached = prompt.characters - self._table.held(server.name, prompt)
        return wait + uncached * PREFILL_SECONDS_PER_CHARACTER


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
