"""Choose the backend server for one attempt of a request."""

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

# Number of servers sampled at random, and of servers considered for cached prefixes.
SAMPLED_SERVERS = 2
# Typical time of an answer, to estimate the wait in the queue of a full server.
MEAN_ANSWER_SECONDS = 4.0
# Expected extra delay of a request that takes the last slot of a server.
LOAD_PENALTY_SECONDS = 0.2
PREFILL_SECONDS_PER_CHARACTER = 0.0002


class InFlight:
    """Thread-safe counts of this host's in-flight requests by backend server."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[ServerName] = Counter()
        self._started: Counter[ServerName] = Counter()

    def enter(self, server: ServerName) -> None:
        """Count a request that is sent to the server."""
        with self._lock:
            self._counts[server] += 1

    def leave(self, server: ServerName) -> None:
        """Remove a request that has ended at the server from the count."""
        with self._lock:
            self._counts[server] -= 1

    def at(self, server: ServerName) -> int:
        """Return the number of requests in flight at the server."""
        return self._counts[server]

    def total(self) -> int:
        """Return the number of requests in flight at all servers."""
        return sum(self._counts.values())


@attrs.frozen
class ChoiceInputs:
    """Inputs for the choice of a server."""

    tables: Tables
    # Eligible servers; not empty.
    servers: Sequence[BackendServer]
    prompt: Prompt
    rng: random.Random

    def sample(self) -> list[BackendServer]:
        """Return `SAMPLED_SERVERS` of the servers at random, or all if fewer."""
        return self.rng.sample(self.servers, min(SAMPLED_SERVERS, len(self.servers)))


class ServerChooser(Protocol):
    """Policy that selects the server for an attempt."""

    def choose(self, choice: ChoiceInputs) -> BackendServer:
        """Return one of the servers."""


class LoadEstimator:
    """Estimates of server load from reports and this host's in-flight requests."""

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
        """Return the load per slot after one more request.

        A recovering server counts with only a part of its slots during its ramp-up.
        """
        row = tables.servers.get(server.name)
        reported = row.reported_running + row.reported_queued if row else 0
        # A recent report already includes the requests of this host.
        load = max(reported, self._in_flight.at(server.name)) + 1
        weight = ramp_weight(row, self._now(), self._health) if row else 1.0
        return load / (server.slots * weight)


class RoundRobin:
    """Baseline: use the servers in rotation."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def choose(self, choice: ChoiceInputs) -> BackendServer:
        """Return the next server."""
        return choice.servers[next(self._counter) % len(choice.servers)]


class LeastLoaded:
    """Baseline: use the server with the lowest load known to this host."""

    def __init__(self, load: LoadEstimator) -> None:
        self._load = load

    def choose(self, choice: ChoiceInputs) -> BackendServer:
        """Return the server with the lowest load per slot."""
        return min(choice.servers, key=lambda s: self._load.per_slot(choice.tables, s))


class TwoChoices:
    """Use the less loaded of two servers sampled at random.

    Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE TPDS 12(10), 2001.
    """

    def __init__(self, load: LoadEstimator) -> None:
        self._load = load

    def choose(self, choice: ChoiceInputs) -> BackendServer:
        """Return the server with the lower load per slot."""
        sampled = choice.sample()
        return min(sampled, key=lambda s: self._load.per_slot(choice.tables, s))


class PrefixLocality:
    """Minimise the expected time to first token: queueing plus uncached prefill.

    The candidates are two servers sampled at random and the two that hold the longest
    prefixes of the prompt. Sampling keeps hosts that share a stale load report from
    all choosing the same server.
    """

    def __init__(self, load: LoadEstimator, table: PrefixTable) -> None:
        self._load = load
        self._table = table

    def choose(self, choice: ChoiceInputs) -> BackendServer:
        """Return the candidate with the lowest expected time to first token."""
        prompt, candidates = choice.prompt, choice.sample()
        holders = [s for s in choice.servers if self._table.held(s.name, prompt)]
        choice.rng.shuffle(holders)
        holders.sort(key=lambda s: -self._table.held(s.name, prompt))
        candidates += holders[:SAMPLED_SERVERS]
        chosen = min(candidates, key=lambda s: self._expected_seconds(choice, s))
        self._table.stored(chosen.name, (prefix.hash for prefix in prompt.prefixes))
        return chosen

    def _expected_seconds(self, choice: ChoiceInputs, server: BackendServer) -> float:
        """Return the seconds to the first token, less the part equal on all servers."""
        load = self._load.per_slot(choice.tables, server)
        # A load of 1.0 per slot fills the server; a further 1.0 means a wait of one
        # typical answer, since the slots are freed one by one during that time.
        wait = max(0.0, load - 1.0) * MEAN_ANSWER_SECONDS + load * LOAD_PENALTY_SECONDS
        prompt = choice.prompt
        uncached = prompt.characters - self._table.held(server.name, prompt)
        return wait + uncached * PREFILL_SECONDS_PER_CHARACTER


def available(
    tables: Tables,
    servers: Sequence[BackendServer],
    tried: frozenset[ServerName],
    now: float,
) -> list[BackendServer]:
    """Return the servers that accept new work and have not been tried yet."""
    eligible = []
    for server in servers:
        row = tables.servers.get(server.name)
        if server.name in tried or drained(tables, server):
            continue
        if row is None or server_takes_work(row, now):
            eligible.append(server)
    return eligible
