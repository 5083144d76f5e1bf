"""Enforce this host's share of each team's limits."""

import math
from typing import Protocol

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import TeamName
from masticfork.core.limits import Amounts
from masticfork.core.refusals import Reason, Refusal
from masticfork.systems.token_bucket import UNLIMITED, TokenBucket

# Capacity of the token buckets, in seconds at the current rate.
BURST_SECONDS = 1.0
# Time constant of the exponential averages of demand.
DEMAND_WINDOW_SECONDS = 2.0
# Estimated tokens per answer before a team's first answer has ended.
INITIAL_TOKENS_PER_ANSWER = 128.0
TOKENS_PER_ANSWER_GAIN = 1 / 8
# Retry delay for the in-flight limit, as the end of the current answers is unknown.
IN_FLIGHT_RETRY_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


class ShareSource(Protocol):
    """Source of the amounts that this host may use of each team's limits."""

    def amounts(self, team: TeamName, now: float) -> Amounts:
        """Return the amounts valid at `now`; infinite where there is no limit."""


class Unlimited:
    """Share source that limits no team."""

    def amounts(self, team: TeamName, now: float) -> Amounts:
        """Return infinite amounts."""
        return Amounts(UNLIMITED, UNLIMITED, UNLIMITED)


@attrs.define
class _Usage:
    """One team's usage of its limits at this host."""

    requests: TokenBucket
    tokens: TokenBucket
    in_flight: int = 0
    tokens_per_answer: float = INITIAL_TOKENS_PER_ANSWER
    # Recent demand, exponentially decayed. The demand for in-flight requests includes
    # the refused ones.
    recent_requests: float = 0.0
    recent_tokens: float = 0.0
    decayed_at: float = 0.0
    recent_in_flight_refusals: float = 0.0
    # Latest retry time given to a refused caller.
    last_retry_at: float = 0.0


class TeamLimits:
    """Usage and demand of all teams. Not thread-safe: callers must hold a lock."""

    def __init__(self, shares: ShareSource) -> None:
        self._shares = shares
        self._usages: dict[TeamName, _Usage] = {}

    def acquire(
        self, team: TeamName, max_tokens: float | None, uses_tokens: bool, now: float
    ) -> Result[float, Refusal]:
        """Charge a new request to the team and return its estimated tokens.

        Refuse, without a charge, if the team is at one of its limits.
        """
        usage = self._usage(team, now)
        tokens = _estimate(usage, max_tokens) if uses_tokens else 0.0
        usage.recent_requests += 1.0
        usage.recent_tokens += tokens
        share = self._shares.amounts(team, now)
        usage.requests.set_rate(share.requests_per_second, now)
        usage.tokens.set_rate(share.tokens_per_second, now)
        ready = max(
            usage.requests.ready_at(1.0, now), usage.tokens.ready_at(tokens, now)
        )
        if ready.at > now:
            spacing = 1.0 / max(
                share.requests_per_second, 1.0 / MAX_RETRY_AFTER_SECONDS
            )
            return Err(_refusal(usage, ready.at, spacing, now))
        if usage.in_flight + 1 > share.in_flight:
            usage.recent_in_flight_refusals += 1.0
            retry_at = now + IN_FLIGHT_RETRY_SECONDS
            spacing = IN_FLIGHT_RETRY_SECONDS / max(1.0, share.in_flight)
            return Err(_refusal(usage, retry_at, spacing, now))
        usage.requests.take(1.0, now)
        usage.tokens.take(tokens, now)
        usage.in_flight += 1
        return Ok(tokens)

    def release(
        self, team: TeamName, charged: float, tokens: float | None, now: float
    ) -> None:
        """Release a request and replace the charged tokens by the tokens used.

        `tokens` is None for a request that was not answered, which costs nothing.
        """
        usage = self._usage(team, now)
        usage.in_flight -= 1
        usage.tokens.take((tokens or 0.0) - charged, now)
        if tokens is None:
            usage.requests.take(-1.0, now)
        elif charged:
            usage.tokens_per_answer += TOKENS_PER_ANSWER_GAIN * (
                tokens - usage.tokens_per_answer
            )

    def demand(self, team: TeamName, now: float) -> Amounts:
        """Return the team's recent demand at this host."""
        usage = self._usage(team, now)
        return Amounts(
            usage.recent_requests / DEMAND_WINDOW_SECONDS,
            usage.recent_tokens / DEMAND_WINDOW_SECONDS,
            usage.in_flight + usage.recent_in_flight_refusals,
        )

    def in_use(self, team: TeamName) -> Amounts:
        """Return the amounts that the team holds and cannot release immediately."""
        usage = self._usages.get(team)
        return Amounts(in_flight=float(usage.in_flight) if usage else 0.0)

    def _usage(self, team: TeamName, now: float) -> _Usage:
        usage = self._usages.get(team)
        if usage is None:
            buckets = (TokenBucket(BURST_SECONDS, 1.0), TokenBucket(BURST_SECONDS, 1.0))
            usage = self._usages[team] = _Usage(*buckets, decayed_at=now)
        decay = math.exp(-max(0.0, now - usage.decayed_at) / DEMAND_WINDOW_SECONDS)
        usage.recent_requests *= decay
        usage.recent_tokens *= decay
        usage.recent_in_flight_refusals *= decay
        usage.decayed_at = max(usage.decayed_at, now)
        return usage


def _estimate(usage: _Usage, max_tokens: float | None) -> float:
    if max_tokens is None:
        return usage.tokens_per_answer
    return min(max_tokens, usage.tokens_per_answer)


def _refusal(usage: _Usage, ready: float, spacing: float, now: float) -> Refusal:
    """Return a refusal with a retry time at least `spacing` after the previous one.

    It is at most `MAX_RETRY_AFTER_SECONDS` ahead.
    """
    retry_at = min(
        max(ready, usage.last_retry_at + spacing), now + MAX_RETRY_AFTER_SECONDS
    )
    usage.last_retry_at = retry_at
    message = "the team has reached its limit"
    return Refusal(Reason.LIMIT_REACHED, message, retry_at=Deadline(retry_at))
