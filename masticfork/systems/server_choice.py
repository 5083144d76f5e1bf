"""Choose the server for a call by prompt cache locality and expected delay."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Protocol

import attrs

from masticfork.core.backend_servers import BackendServer
from masticfork.core.forwarding import PromptPart
from masticfork.core.ids import stable_hash

# Number of servers preferred for a prompt; all hosts prefer the same ones.
PREFERRED_SERVERS = 3
# Fraction of a prompt's shared tokens that the preferred servers are expected to have
# cached, by rank, even if this host did not send them: other hosts route alike.
EXPECTED_CACHED_SHARES = (0.9, 0.2, 0.0)
# Prefill rate of an engine for a model of relative token cost 1. The data sheets of
# the deployments give 51,000 and 61,000.
PREFILL_TOKENS_PER_SECOND = 55_000.0
# Relative prefill cost of a token by model size, smallest first.
RELATIVE_TOKEN_COSTS = (0.3, 0.8, 3.0)
# Delay of the next first token for each running call of relative token cost 1, as in
# the first-token times of two deployments of 30 engines.
SECONDS_PER_RUNNING_CALL = 0.012
# Delay added to the estimate of a server in proportion to its failure share: one that
# always fails competes with healthy servers that are slower by this much.
FAILURE_PENALTY_SECONDS = 4.0
# Weight of the latest outcome in the moving average of failures.
FAILURE_WEIGHT = 0.25
# Half-life of a server's failure share.
FAILURE_HALF_LIFE_SECONDS = 2.0
# A smaller failure share counts as zero.
MIN_FAILURE_SHARE = 0.01
# Time for which a server is avoided after a failed connection.
UNREACHABLE_SECONDS = 1.0
# The same after it was silent to a call and sent nothing else either; doubled each time
# that this follows itself, up to the maximum.
SILENT_SECONDS, MAX_SILENT_SECONDS = 1.0, 4.0
# Time after its last use for which a prompt part is assumed to be in a server's cache.
CACHE_RETENTION_SECONDS = 30.0
# Prompt parts tracked for each server; the least recently used are evicted.
MAX_PARTS = 4096
# Delay that stands for the price of a call to another availability zone.
CROSS_ZONE_PENALTY_SECONDS = 0.01
# Weight of the latest value in the moving average of a server's response times.
RESPONSE_TIME_WEIGHT = 0.2


@attrs.define(eq=False)
class ServerLoad:
    """The load and health of a server as known to this host."""

    server: BackendServer
    # Calls of this host that have not been answered completely.
    running: int = 0
    # Prompt tokens sent by this host and not known to be prefilled, weighted by
    # relative token cost.
    pending_work: float = 0.0
    # Running calls of this host, weighted by relative token cost.
    weighted_running: float = 0.0
    # The same three values for the other hosts, as last reported.
    running_elsewhere: int = 0
    weighted_running_elsewhere: float = 0.0
    pending_elsewhere: float = 0.0
    # Running calls of this host that are suspected of crashing servers.
    suspects: int = 0
    failures: float = 0.0
    failures_at: float = 0.0
    avoid_until: float = 0.0
    # Time of the latest answer, and the calls without one that ended since.
    heard_at: float = float("-inf")
    silences: int = 0
    # Moving average of the time to first byte, in seconds; 0 before the first answer.
    mean_time: float = 0.0
    # How many times as long the server takes as the others of its service.
    slowness: float = 1.0
    # Time of last use by model and prompt part, least recently used first.
    parts: OrderedDict[tuple[str, str], float] = attrs.field(factory=OrderedDict)

    def failure_share(self, now: float) -> float:
        """Return the recent share of failed calls, which decays with time."""
        age = max(0.0, now - self.failures_at)
        share = self.failures * float(0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))
        return share if share >= MIN_FAILURE_SHARE else 0.0

    def record(self, failed: bool, now: float) -> None:
        """Record the outcome of a call."""
        share = self.failure_share(now)
        self.failures = share + FAILURE_WEIGHT * (float(failed) - share)
        self.failures_at = now

    def record_silence(self, sent_at: float, now: float) -> None:
        """Record that a call has waited too long.

        If other calls were answered meanwhile, it counts as failed. Else the server may
        have stood still for a moment, which does not make it a bad one.
        """
        if self.heard_at >= sent_at:
            self.record(True, now)
            return
        pause = min(MAX_SILENT_SECONDS, SILENT_SECONDS * 2.0**self.silences)
        self.silences += 1
        self.avoid_until = now + pause

    def record_heard(self, now: float) -> None:
        """Record that an answer has begun, which ends the pause of a silent server."""
        self.heard_at = now
        if self.silences:
            self.silences = 0
            self.avoid_until = now

    def record_time(self, seconds: float) -> None:
        """Record the time to the first byte of an answer."""
        if self.mean_time == 0.0:
            self.mean_time = seconds
        self.mean_time += RESPONSE_TIME_WEIGHT * (seconds - self.mean_time)

    def remember(self, model: str, prompt: Sequence[PromptPart], now: float) -> None:
        """Record that the server has the parts of a prompt in its cache."""
        for part in prompt:
            key = (model, part.id)
            self.parts[key] = now
            self.parts.move_to_end(key)
        while len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)

    def cached_prefix_tokens(
        self, model: str, prompt: Sequence[PromptPart], now: float
    ) -> int:
        """Return the tokens of the longest prefix that the server likely has cached."""
        cached = 0
        for part in prompt:
            used = self.parts.get((model, part.id))
            if used is None or now - used > CACHE_RETENTION_SECONDS:
                break
            cached += part.tokens
        return cached


@attrs.frozen
class Work:
    """The properties of a call that determine its cost on a server."""

    service: str
    # None for services without a model.
    model: str | None = None
    # Index of the model among the sizes of the route, smallest first.
    size: int = 0
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    # Name of the route, by which the answers of two versions are compared.
    route: str = ""
    # Regions whose servers may get the call, None for all.
    regions: frozenset[str] | None = None

    @property
    def token_cost(self) -> float:
        """Return the relative prefill cost of one token."""
        return RELATIVE_TOKEN_COSTS[min(self.size, len(RELATIVE_TOKEN_COSTS) - 1)]


def loads_for_suspect(loads: Sequence[ServerLoad], now: float) -> list[ServerLoad]:
    """Return the servers on which the crash of a call would cost others least.

    Those that can be reached and run no other suspect come first; if they are idle, a
    crash tells of the call alone.
    """
    groups = (
        [load for load in loads if not load.suspects and load.avoid_until <= now],
        [load for load in loads if load.avoid_until <= now],
        loads,
    )
    eligible = next((group for group in groups if group), [])
    fewest = min(map(_calls, eligible), default=0)
    return [load for load in eligible if _calls(load) == fewest]


def loads_beside_suspects(
    work: Work, loads: Sequence[ServerLoad]
) -> Sequence[ServerLoad]:
    """Return the servers on which a call is not lost by the crash of a suspect.

    Engines have too many calls to spare one for a suspect.
    """
    if work.model is not None:
        return loads
    return [load for load in loads if not load.suspects] or loads


class ServerPolicy(Protocol):
    """Policy that selects one of the eligible servers."""

    def choose(
        self, work: Work, loads: Sequence[ServerLoad], zone: str, now: float
    ) -> ServerLoad | None:
        """Return the server for a call, None if there is none."""


class LowestExpectedDelay:
    """Use the server with the lowest expected time to first byte."""

    def choose(
        self, work: Work, loads: Sequence[ServerLoad], zone: str, now: float
    ) -> ServerLoad | None:
        """Return the server for a call, None if there is none."""
        reachable = [load for load in loads if load.avoid_until <= now] or loads
        if work.model is None:
            return min(
                reachable,
                key=lambda load: _expected_plain_delay(load, zone, now),
                default=None,
            )
        preferred = _rank_by_prompt(work, reachable)
        candidates = list(zip(preferred, EXPECTED_CACHED_SHARES, strict=False))
        candidates += ((load, 0.0) for load in _least_loaded(preferred))
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda pair: _uneven_first_token_seconds(
                pair[0], work, zone, now, pair[1]
            ),
        )
        return best[0]


class RoundRobin:
    """Baseline: use the servers in rotation."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, work: Work, loads: Sequence[ServerLoad], zone: str, now: float
    ) -> ServerLoad | None:
        """Return the server for a call, None if there is none."""
        self._next += 1
        return loads[self._next % len(loads)] if loads else None


def pending_prompt_work(
    load: ServerLoad, work: Work, now: float, expected: float = 0.0
) -> float:
    """Return the prompt tokens that a server must prefill, weighted by token cost.

    `expected` is the fraction of the shared tokens that it is assumed to have cached
    at least.
    """
    cached = float(load.cached_prefix_tokens(work.model or "", work.prompt, now))
    shared = sum(part.tokens for part in work.prompt[:-1])
    return (
        max(0.0, work.prompt_tokens - max(cached, expected * shared)) * work.token_cost
    )


def expected_first_token_seconds(
    load: ServerLoad, work: Work, zone: str, now: float, expected: float = 0.0
) -> float:
    """Return the expected time to first token of a call to an engine, in seconds."""
    unread = pending_prompt_work(load, work, now, expected)
    prefill = unread / PREFILL_TOKENS_PER_SECOND
    return prefill + _backlog_seconds(load) + _penalty(load, zone, now)


def _uneven_first_token_seconds(
    load: ServerLoad, work: Work, zone: str, now: float, expected: float
) -> float:
    """Return the expected time to first token, by the speed of the server.

    The evidence on versions is relative to the time without it: else a slow version
    would be as fast as expected.
    """
    penalty = _penalty(load, zone, now)
    seconds = expected_first_token_seconds(load, work, zone, now, expected)
    return (seconds - penalty) * load.slowness + penalty


def expected_delay_seconds(
    load: ServerLoad, work: Work, zone: str, now: float
) -> float:
    """Return the expected time to the answer, or to its first token, in seconds."""
    if work.model is None:
        return _expected_plain_delay(load, zone, now)
    return expected_first_token_seconds(load, work, zone, now)


def _expected_plain_delay(load: ServerLoad, zone: str, now: float) -> float:
    """Return the expected seconds to the answer of a server without a model."""
    running = _calls(load)
    mean = max(load.mean_time, 0.005)
    queued = max(0, running + 1 - load.server.slots)
    expected = mean * (1.0 + queued / load.server.slots + 0.2 * running)
    return expected + _penalty(load, zone, now)


def _calls(load: ServerLoad) -> int:
    """Return the running calls of all hosts."""
    return load.running + load.running_elsewhere


def _penalty(load: ServerLoad, zone: str, now: float) -> float:
    zone_penalty = CROSS_ZONE_PENALTY_SECONDS if load.server.zone != zone else 0.0
    return zone_penalty + FAILURE_PENALTY_SECONDS * load.failure_share(now)


def _rank_by_prompt(work: Work, loads: Iterable[ServerLoad]) -> list[ServerLoad]:
    """Return the servers by rendezvous hashing, in the same order on all hosts.

    The last part of a prompt belongs to the request alone, so the key is the part
    before it, which ends the longest prefix shared with other requests.
    """
    shared = work.prompt[-2:][0].id if work.prompt else ""
    key = f"{work.model}/{shared}/"
    return sorted(
        loads, key=lambda load: stable_hash(key + load.server.id), reverse=True
    )


def _least_loaded(loads: Sequence[ServerLoad]) -> list[ServerLoad]:
    if len(loads) <= PREFERRED_SERVERS:
        return []
    return [min(loads, key=lambda load: load.slowness * _backlog_seconds(load))]


def _backlog_seconds(load: ServerLoad) -> float:
    """Return the delay caused by the current work of a server, in seconds."""
    queued = load.pending_work + load.pending_elsewhere
    busy = load.weighted_running + load.weighted_running_elsewhere
    return queued / PREFILL_TOKENS_PER_SECOND + SECONDS_PER_RUNNING_CALL * busy
