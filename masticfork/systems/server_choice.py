"""Chooses the server of a call by locality of the prompt and expected load."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Protocol

import attrs

from masticfork.core.backend_servers import BackendServer
from masticfork.core.forwarding import PromptPart
from masticfork.core.ids import rank

# Servers that are preferred for a prompt, the same ones on all hosts.
PREFERRED = 3
# Part of a prompt's shared tokens that the preferred servers are expected to keep, by
# rank, where this host does not know: other hosts send them the same prompts.
EXPECTED_KEPT = (0.9, 0.2, 0.0)
# Prompt tokens that an engine reads in a second with a model of pace 1. The sheets of
# the deployments give 51,000 and 61,000.
PREFILL_TOKENS_PER_SECOND = 55_000.0
# Relative work of reading a token by size of the model, smallest first.
SIZE_PACES = (0.3, 0.8, 3.0)
# Seconds that one more running request of pace 1 adds to the first token of the next:
# fitted to the times of first tokens over two deployments of 30 engines.
SECONDS_PER_BUSY = 0.012
# Seconds of expected delay at which a failing server is taken as good as a sound one;
# multiplied by its share of failures.
FAILURE_SECONDS = 4.0
# Weight of the newest outcome in the share of failures.
FAILURE_WEIGHT = 0.25
# Seconds after which half of a server's bad record is forgotten.
FAILURE_HALF_LIFE = 2.0
# A share of failures below this one counts as none.
LEAST_FAILURE_SHARE = 0.01
# Seconds that a server is avoided after it could not be reached.
UNREACHABLE_SECONDS = 1.0
# Seconds after its last use for which a prompt part is taken as kept by a server.
KEPT_SECONDS = 30.0
# Prompt parts remembered for each server.
MAX_PARTS = 4096
# Seconds that a call to another availability zone weighs, for its price.
OTHER_ZONE_SECONDS = 0.01
# Weight of the newest time in the mean of a server's times.
TIME_WEIGHT = 0.2


@attrs.define(eq=False)
class ServerLoad:
    """What this host knows of a server's load and health."""

    server: BackendServer
    # Own calls without a whole answer.
    running: int = 0
    # Own prompt tokens, weighed by pace, that no answer shows as read yet.
    pending_work: float = 0.0
    # Own running calls, weighed by pace.
    busy: float = 0.0
    # Calls of other hosts, as they told last.
    running_elsewhere: int = 0
    busy_elsewhere: float = 0.0
    pending_elsewhere: float = 0.0
    failures: float = 0.0
    failures_at: float = 0.0
    avoid_until: float = 0.0
    # Recent mean time in seconds to the first byte.
    mean_time: float = 0.0
    # When each part was last used, by model and part.
    parts: OrderedDict[tuple[str, str], float] = attrs.field(factory=OrderedDict)

    def failure_share(self, now: float) -> float:
        """Return the recent share of failures, which fades with time."""
        age = max(0.0, now - self.failures_at)
        share = self.failures * float(0.5 ** (age / FAILURE_HALF_LIFE))
        return share if share >= LEAST_FAILURE_SHARE else 0.0

    def record(self, failed: bool, now: float) -> None:
        """Take in the outcome of a call."""
        share = self.failure_share(now)
        self.failures = share + FAILURE_WEIGHT * (float(failed) - share)
        self.failures_at = now

    def record_time(self, seconds: float) -> None:
        """Take in the time to the first byte of an answer."""
        if self.mean_time == 0.0:
            self.mean_time = seconds
        self.mean_time += TIME_WEIGHT * (seconds - self.mean_time)

    def remember(self, model: str, prompt: Sequence[PromptPart], now: float) -> None:
        """Note that the server has read a prompt."""
        for part in prompt:
            key = (model, part.id)
            self.parts[key] = now
            self.parts.move_to_end(key)
        while len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)

    def kept_tokens(self, model: str, prompt: Sequence[PromptPart], now: float) -> int:
        """Return the tokens at the prompt's start that the server likely keeps."""
        kept = 0
        for part in prompt:
            used = self.parts.get((model, part.id))
            if used is None or now - used > KEPT_SECONDS:
                break
            kept += part.tokens
        return kept


@attrs.frozen
class Work:
    """What a call asks of a server."""

    service: str
    # None for plain services.
    model: str | None = None
    # Index among the sizes of the route, smallest first.
    size: int = 0
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0

    @property
    def pace(self) -> float:
        """Return the work of reading one token."""
        return SIZE_PACES[min(self.size, len(SIZE_PACES) - 1)]


class ServerPolicy(Protocol):
    """Chooses a server among those that may be used."""

    def choose(
        self, work: Work, loads: Sequence[ServerLoad], zone: str, now: float
    ) -> ServerLoad | None:
        """Return the server for a call, None if there is none."""


class ExpectedDelay:
    """Takes the server with the least expected time to its first byte."""

    def choose(
        self, work: Work, loads: Sequence[ServerLoad], zone: str, now: float
    ) -> ServerLoad | None:
        """Return the server for a call, None if there is none."""
        reachable = [load for load in loads if load.avoid_until <= now] or loads
        if work.model is None:
            return min(
                reachable, key=lambda load: _plain(load, zone, now), default=None
            )
        preferred = _preference(work, reachable)
        candidates = list(zip(preferred, EXPECTED_KEPT, strict=False))
        candidates += ((load, 0.0) for load in _least_loaded(preferred))
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda pair: expected_delay(pair[0], work, zone, now, pair[1]),
        )
        return best[0]


class Rotation:
    """Takes the servers in turn: a baseline."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, work: Work, loads: Sequence[ServerLoad], zone: str, now: float
    ) -> ServerLoad | None:
        """Return the server for a call, None if there is none."""
        self._next += 1
        return loads[self._next % len(loads)] if loads else None


def unread_work(
    load: ServerLoad, work: Work, now: float, expected: float = 0.0
) -> float:
    """Return the prompt tokens that a server has to read, weighed by pace.

    `expected` is the part of the shared tokens that it likely keeps at least.
    """
    kept = float(load.kept_tokens(work.model or "", work.prompt, now))
    shared = sum(part.tokens for part in work.prompt[:-1])
    return max(0.0, work.prompt_tokens - max(kept, expected * shared)) * work.pace


def expected_delay(
    load: ServerLoad, work: Work, zone: str, now: float, expected: float = 0.0
) -> float:
    """Return the expected seconds to the first token of a call to an engine."""
    unread = unread_work(load, work, now, expected)
    own = unread / PREFILL_TOKENS_PER_SECOND
    return own + _work_at_hand(load) + _penalty(load, zone, now)


def _plain(load: ServerLoad, zone: str, now: float) -> float:
    """Return the expected seconds to the answer of a plain server."""
    running = load.running + load.running_elsewhere
    mean = max(load.mean_time, 0.005)
    waiting = max(0, running + 1 - load.server.slots)
    busy = mean * (1.0 + waiting / load.server.slots + 0.2 * running)
    return busy + _penalty(load, zone, now)


def _penalty(load: ServerLoad, zone: str, now: float) -> float:
    away = OTHER_ZONE_SECONDS if load.server.zone != zone else 0.0
    return away + FAILURE_SECONDS * load.failure_share(now)


def _preference(work: Work, loads: Iterable[ServerLoad]) -> list[ServerLoad]:
    """Return the servers in an order that is the same on all hosts.

    The last part of a prompt is the request's own; the one before it is the longest
    beginning that others share.
    """
    shared = work.prompt[-2:][0].id if work.prompt else ""
    key = f"{work.model}/{shared}/"
    return sorted(loads, key=lambda load: rank(key + load.server.id), reverse=True)


def _least_loaded(loads: Sequence[ServerLoad]) -> list[ServerLoad]:
    if len(loads) <= PREFERRED:
        return []
    return [min(loads, key=_work_at_hand)]


def _work_at_hand(load: ServerLoad) -> float:
    """Return the seconds of work that a server has."""
    waiting = load.pending_work + load.pending_elsewhere
    busy = load.busy + load.busy_elsewhere
    return waiting / PREFILL_TOKENS_PER_SECOND + SECONDS_PER_BUSY * busy
