"""Hold each team to its share of its limits at this host."""

import math
from typing import Protocol

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import TeamName
from masticfork.core.limits import Amounts
from masticfork.core.refusals import Reason, Refusal
from masticfork.systems.token_bucket import UNLIMITED, TokenBucket

BURST_SECONDS = 1.0
# Time over which the demand is averaged.
DEMAND_SECONDS = 2.0
# Estimate of an answer's tokens before the first answer of a team.
FIRST_TOKENS = 128.0
TOKENS_GAIN = 1 / 8
# Where it is unknown when an answer ends, callers come back after this.
IN_FLIGHT_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0


class ShareSource(Protocol):
    """Knows what this host may use of a team's limits."""

    def amounts(self, team: TeamName, now: float) -> Amounts:
        """Return the amounts that hold now; infinite where there is no limit."""


class Unlimited:
    """Limits no team."""

    def amounts(self, team: TeamName, now: float) -> Amounts:
        """Return infinite amounts."""
        return Amounts(UNLIMITED, UNLIMITED, UNLIMITED)


@attrs.define
class _Use:
    """One team's use of its limits at this host."""

    requests: TokenBucket
    tokens: TokenBucket
    in_flight: int = 0
    tokens_an_answer: float = FIRST_TOKENS
    # Averages with an exponential window; the in-flight demand counts refusals.
    asked_requests: float = 0.0
    asked_tokens: float = 0.0
    asked_at: float = 0.0
    refused_in_flight: float = 0.0
    # When the callers told to come back latest are due.
    last_return: float = 0.0


class TeamLimits:
    """The teams' use and demand; not safe for threads, its user locks."""

    def __init__(self, shares: ShareSource) -> None:
        self._shares = shares
        self._uses: dict[TeamName, _Use] = {}

    def enter(
        self, team: TeamName, max_tokens: float | None, uses_tokens: bool, now: float
    ) -> Result[float, Refusal]:
        """Count a request in and return the tokens charged for it."""
        use = self._use(team, now)
        tokens = _estimate(use, max_tokens) if uses_tokens else 0.0
        use.asked_requests += 1.0
        use.asked_tokens += tokens
        share = self._shares.amounts(team, now)
        use.requests.set_rate(share.requests_per_second, now)
        use.tokens.set_rate(share.tokens_per_second, now)
        ready = max(use.requests.ready_at(1.0, now), use.tokens.ready_at(tokens, now))
        if ready.at > now:
            gap = 1.0 / max(share.requests_per_second, 1.0 / MAX_RETRY_SECONDS)
            return Err(_refusal(use, ready.at, gap, now))
        if use.in_flight + 1 > share.in_flight:
            use.refused_in_flight += 1.0
            due = now + IN_FLIGHT_RETRY_SECONDS
            gap = IN_FLIGHT_RETRY_SECONDS / max(1.0, share.in_flight)
            return Err(_refusal(use, due, gap, now))
        use.requests.take(1.0, now)
        use.tokens.take(tokens, now)
        use.in_flight += 1
        return Ok(tokens)

    def leave(
        self, team: TeamName, charged: float, tokens: float | None, now: float
    ) -> None:
        """Count a request out and correct what was charged for it."""
        use = self._use(team, now)
        use.in_flight -= 1
        use.tokens.take((tokens or 0.0) - charged, now)
        if tokens is None:
            use.requests.take(-1.0, now)
        elif charged:
            use.tokens_an_answer += TOKENS_GAIN * (tokens - use.tokens_an_answer)

    def demand(self, team: TeamName, now: float) -> Amounts:
        """Return what the team's callers asked of this host lately."""
        use = self._use(team, now)
        return Amounts(
            use.asked_requests / DEMAND_SECONDS,
            use.asked_tokens / DEMAND_SECONDS,
            use.in_flight + use.refused_in_flight,
        )

    def in_use(self, team: TeamName) -> Amounts:
        """Return what cannot be given back at once."""
        use = self._uses.get(team)
        return Amounts(in_flight=float(use.in_flight) if use else 0.0)

    def _use(self, team: TeamName, now: float) -> _Use:
        use = self._uses.get(team)
        if use is None:
            buckets = (TokenBucket(BURST_SECONDS, 1.0), TokenBucket(BURST_SECONDS, 1.0))
            use = self._uses[team] = _Use(*buckets, asked_at=now)
        kept = math.exp(-max(0.0, now - use.asked_at) / DEMAND_SECONDS)
        use.asked_requests *= kept
        use.asked_tokens *= kept
        use.refused_in_flight *= kept
        use.asked_at = max(use.asked_at, now)
        return use


def _estimate(use: _Use, max_tokens: float | None) -> float:
    if max_tokens is None:
        return use.tokens_an_answer
    return min(max_tokens, use.tokens_an_answer)


def _refusal(use: _Use, ready: float, gap: float, now: float) -> Refusal:
    """Refuse, with a time to return that lies after those told before."""
    due = min(max(ready, use.last_return + gap), now + MAX_RETRY_SECONDS)
    use.last_return = due
    message = "the team has reached its limit"
    return Refusal(Reason.LIMIT_REACHED, message, retry_at=Deadline(due))
