"""How many requests a version that is not proven may get.

The bound on a deployment is a share of all requests of a service plus a fixed number.
A host takes that share of the requests that it sends itself and an equal part of the
fixed number, so the sum over the hosts keeps the bound whatever they know of each
other. A host that has started anew goes on with what it had left.
"""

import math
from collections import Counter, deque
from collections.abc import Iterable

import attrs

from masticfork.core.backend_servers import HostRequests
from masticfork.systems.rollout_plan import RolloutPlan

# Fraction of the bound that is used; requests may reach a server late or not at all.
USED_FRACTION = 0.92
# Fraction of the calls running on the old version that are expected to still run, and
# to be repeated on the new one, when the old servers stop; and the one for which
# requests are kept until then.
REPEATED_FRACTION, KEPT_FRACTION = 0.65, 0.75
# Requests of all hosts that are kept beyond the usual ones after the completion, since
# a burst may begin then.
BURST_REQUESTS = 7.0
# Fraction of the full load that the allowed requests suffice for on average that is
# planned: traffic is uneven between the hosts and in time.
PLANNED_FRACTION = 0.85
# Time before the completion for which a part of the requests of a full load is kept, so
# that there are answers until then.
LAST_SECONDS, LAST_SECONDS_FRACTION = 1.0, 0.5
# Time until hosts know of most of each other's answers.
TELLING_SECONDS = 0.3
# Recent answers under full load without which a version is not completed, and the
# fraction of the service's requests that is enough if they are few.
RECENT_ANSWERS, RECENT_FRACTION = 8, 0.4
# Time constant of the usual number of calls.
USUAL_LOAD_SECONDS = 5.0
# Bounds on the fraction of the allowed requests that the canary step uses, and the
# requests of all hosts that it gets at least unless they are more than a fraction.
MIN_CANARY_FRACTION, MAX_CANARY_FRACTION = 0.1, 0.6
MIN_CANARY_REQUESTS, MAX_MIN_CANARY_FRACTION = 14, 0.25
# Part of the canary's requests that is divided equally among the main routes, so that a
# rare route is tried as well; the rest follows the traffic.
EQUAL_PART = 0.75
# A route with a larger share of the requests is a main route.
MAIN_ROUTE_SHARE = 0.05
# Time over which the latest request rate of all hosts is taken, to notice a burst.
BURST_SECONDS = 0.3
# Time constant of the recent request rate, and the least time that it is taken over.
RATE_SECONDS = 2.0
MIN_RATE_SECONDS = 0.5


@attrs.frozen
class ExposureLimit:
    """Bound on the requests of a service that a version not yet proven may get."""

    share: float
    slack: float


@attrs.frozen
class RolloutMoment:
    """The state of a rollout, as a host sees it, in which it chooses a version."""

    # Time by a steady clock, in seconds.
    now: float
    # Seconds since the order as estimated, and at least.
    elapsed: float
    least_elapsed: float
    plan: RolloutPlan
    # Calls that this host runs on the old version, and how long they last in seconds.
    old_running: int
    call_seconds: float
    # Hosts among which the fixed number is divided.
    hosts: int

    @property
    def remaining(self) -> float:
        """Return the seconds left as estimated, 0 after the end."""
        return max(0.0, self.plan.ends_at - self.elapsed)

    @property
    def most_remaining(self) -> float:
        """Return the seconds left at most, 0 after the end."""
        return max(0.0, self.plan.ends_at - self.least_elapsed)

    @property
    def until_completion(self) -> float:
        """Return the seconds until the completion as estimated, 0 after it."""
        return max(0.0, self.plan.complete_from - self.elapsed)

    @property
    def old_running_at_completion(self) -> float:
        """Return the present calls on the old version that are repeated later."""
        left = self.until_completion
        return self.old_running * _unended_fraction(self.call_seconds, left)


@attrs.frozen
class Traffic:
    """The traffic of a service, over all hosts."""

    # Requests a second.
    rate: float = 0.0
    # Mean length of calls and mean time until they are answered, in seconds; 0 if they
    # are unknown. Streams are answered before they end.
    call_seconds: float = 0.0
    answer_seconds: float = 0.0

    def full_load_seconds(self, limit: ExposureLimit, plan: RolloutPlan) -> float:
        """Return for how many seconds the limit allows a full load.

        What the canary uses, what comes after the completion, and the calls on the old
        version that have not ended by then are left out.
        """
        if self.rate <= 0.0:
            return plan.ends_at
        bound = limit.share * self.rate * plan.ends_at + limit.slack
        alone = _alone(self.rate * plan.alone_seconds, 1)
        used = USED_FRACTION * bound - _least_canary(bound)
        seconds = (used - alone) / self.rate
        return PLANNED_FRACTION * max(0.0, seconds - self._repeated_seconds(seconds))

    def recent_answers(self, plan: RolloutPlan, recent_seconds: float) -> int:
        """Return how many recent answers under full load complete a version."""
        seconds = self.answer_seconds or self.call_seconds
        answered = max(0.0, plan.full_seconds - seconds - TELLING_SECONDS)
        expected = self.rate * min(recent_seconds, answered)
        return math.floor(min(RECENT_ANSWERS, RECENT_FRACTION * expected))

    def _repeated_seconds(self, seconds: float) -> float:
        """Return the part of a full load that repeated calls take the place of."""
        unended = _unended_fraction(self.call_seconds, seconds)
        return KEPT_FRACTION * self.call_seconds * unended


def _unended_fraction(call_seconds: float, seconds: float) -> float:
    """Return the fraction of the running calls that still run after a time."""
    if call_seconds <= 0.0:
        return 0.0
    return math.exp(-max(0.0, seconds) / call_seconds)


def _least_canary(bound: float) -> float:
    """Return the requests that the canary step gets at least, by the bound on all."""
    least = min(MAX_MIN_CANARY_FRACTION * bound, MIN_CANARY_REQUESTS)
    return max(MIN_CANARY_FRACTION * bound, least)


def _alone(usual: float, hosts: int) -> float:
    """Return the requests to keep for a time for which there are `usual` ones."""
    return usual + min(usual, BURST_REQUESTS / hosts)


def host_part(
    limit: ExposureLimit, hosts: int, earlier: Iterable[HostRequests]
) -> float:
    """Return a host's part of the fixed number, by what its `earlier` starts have sent.

    A start may use what those before it have left of the host's part, and no more.
    """
    balance = sum(limit.share * item.sent - item.to_new for item in earlier)
    return limit.slack / hosts + balance


@attrs.define
class _RecentCount:
    """Exponentially decayed number of requests."""

    # Times by a steady clock at which the count begins, and up to which it is decayed.
    _since: float
    _decayed_at: float = attrs.field(
        default=attrs.Factory(lambda self: self._since, takes_self=True)
    )
    _count: float = 0.0

    def add(self, now: float) -> None:
        """Count a request."""
        self._count = self._decayed(now) + 1.0
        self._decayed_at = now

    def rate(self, now: float) -> float:
        """Return the recent requests a second."""
        seconds = max(MIN_RATE_SECONDS, now - self._since)
        weight = RATE_SECONDS * (1.0 - math.exp(-seconds / RATE_SECONDS))
        return self._decayed(now) / weight

    def _decayed(self, now: float) -> float:
        age = max(0.0, now - self._decayed_at)
        return self._count * math.exp(-age / RATE_SECONDS)


@attrs.define
class RequestSamples:
    """Samples of the number of requests that all hosts have sent."""

    # Times by a steady clock and numbers, oldest first.
    _samples: deque[tuple[float, int]] = attrs.field(factory=deque)

    def add(self, total: int, now: float) -> None:
        """Record how many requests have been sent so far."""
        while len(self._samples) > 1 and self._samples[1][0] <= now - BURST_SECONDS:
            self._samples.popleft()
        self._samples.append((now, total))

    @property
    def rate(self) -> float:
        """Return the latest requests a second, 0 if they are unknown."""
        if len(self._samples) < 2:
            return 0.0
        (since, before), (until, total) = self._samples[0], self._samples[-1]
        return max(0, total - before) / max(BURST_SECONDS, until - since)


@attrs.define
class UsualLoad:
    """Exponentially decayed mean of the calls that a service runs."""

    _sum: float = 0.0
    _weight: float = 0.0
    _sampled_at: float = -math.inf

    @property
    def mean(self) -> float:
        """Return the mean number of calls, 0 if it is unknown."""
        return self._sum / self._weight if self._weight else 0.0

    def call_seconds(self, rate: float) -> float:
        """Return how long calls last if so many begin each second, 0 if unknown."""
        return self.mean / rate if rate > 0.0 else 0.0

    def sample(self, running: int, now: float) -> None:
        """Record how many calls run."""
        decay = math.exp(-max(0.0, now - self._sampled_at) / USUAL_LOAD_SECONDS)
        self._sum = self._sum * decay + running
        self._weight = self._weight * decay + 1.0
        self._sampled_at = now


@attrs.define
class ExposureBudget:
    """Requests of one service that this host has sent during a rollout."""

    _limit: ExposureLimit
    # Number in [0, 1) at which the host rounds its allowances up: they are fractions of
    # a request, and the hosts' sum is to be exact on average.
    _rounding: float
    # This host's part of the fixed number.
    part: float
    # Time by a steady clock from which on requests are counted.
    _since: float = 0.0
    _all: Counter[str] = attrs.field(factory=Counter)
    _new: Counter[str] = attrs.field(factory=Counter)
    _recent: _RecentCount = attrs.field(
        default=attrs.Factory(lambda self: _RecentCount(self._since), takes_self=True)
    )

    @property
    def sent(self) -> int:
        """Return the requests sent to either version."""
        return self._all.total()

    @property
    def sent_to_new(self) -> int:
        """Return the requests sent to the new version."""
        return self._new.total()

    def count(self, route: str, is_new: bool, now: float) -> None:
        """Count a request that is sent."""
        self._recent.add(now)
        self._all[route] += 1
        self._new[route] += is_new

    def _mean_rate(self, now: float) -> float:
        """Return the requests a second since the host counts them."""
        return self.sent / max(MIN_RATE_SECONDS, now - self._since)

    def allows_canary(self, route: str, moment: RolloutMoment) -> bool:
        """Return whether the canary step has a request left for a route."""
        rate = self.rate(moment.now)
        full_load = rate * moment.plan.full_seconds / PLANNED_FRACTION
        kept = self._reserved(rate, moment) + full_load
        expected = self._expected_bound(rate, moment)
        if expected <= 0.0:
            return False
        least = _least_canary(expected * moment.hosts) / (expected * moment.hosts)
        fraction = max(least, USED_FRACTION - kept / expected)
        fraction = min(MAX_CANARY_FRACTION, fraction)
        known = self._limit.share * (self.sent + 1) + self.part
        passed = min(1.0, moment.elapsed / moment.plan.full_from)
        allowance = min(fraction * expected * passed, USED_FRACTION * known)
        allowance *= self._weight(route)
        return self._new[route] + 1 <= allowance + self._rounding

    def allows_full_load(self, moment: RolloutMoment) -> bool:
        """Return whether the full load has a request left."""
        if moment.most_remaining <= 0.0:
            return True
        allowance = self._full_load_allowance(moment)
        kept_seconds = min(LAST_SECONDS, moment.until_completion)
        allowance -= LAST_SECONDS_FRACTION * kept_seconds * self._mean_rate(moment.now)
        return self.sent_to_new + 1 <= allowance + self._rounding

    def committed(self, moment: RolloutMoment, full_load: bool) -> int:
        """Return the requests that the new version may get from this host soon.

        A host that is lost has sent no more than it had told of.
        """
        allowance = self._full_load_allowance(moment) if full_load else 0.0
        return max(self.sent_to_new, math.floor(allowance + self._rounding))

    def left(self, moment: RolloutMoment) -> float:
        """Return the requests left once the old version's calls were repeated."""
        repeated = REPEATED_FRACTION * moment.old_running
        bound = self._limit.share * self.sent + self.part
        return bound - self.sent_to_new - repeated

    def rate(self, now: float) -> float:
        """Return the requests a second to expect: the mean, or more in a burst."""
        mean = self._mean_rate(now)
        deviation = math.sqrt(mean / (2.0 * RATE_SECONDS))
        return max(mean, self._recent.rate(now) - deviation)

    def _full_load_allowance(self, moment: RolloutMoment) -> float:
        rate = self.rate(moment.now)
        bound = self._limit.share * (self.sent + 1) + self.part
        expected = self._expected_bound(rate, moment)
        return min(
            USED_FRACTION * bound,
            USED_FRACTION * expected - self._reserved(rate, moment),
        )

    def _expected_bound(self, rate: float, moment: RolloutMoment) -> float:
        """Return the bound at the end of the rollout if the traffic stays as it is."""
        sent = self.sent + rate * moment.remaining
        return self._limit.share * sent + self.part

    def _reserved(self, rate: float, moment: RolloutMoment) -> float:
        """Return the requests to the new version after the full load."""
        seconds = min(moment.remaining, moment.plan.alone_seconds)
        alone = _alone(rate * seconds, moment.hosts)
        return alone + KEPT_FRACTION * moment.old_running_at_completion

    def _weight(self, route: str) -> float:
        """Return the part of the canary's requests that a route gets."""
        sent = self.sent
        share = (self._all[route] + 1) / (sent + 1)
        main = sum(count > MAIN_ROUTE_SHARE * sent for count in self._all.values())
        equal = 1.0 / max(1, main) if share > MAIN_ROUTE_SHARE else share
        return EQUAL_PART * equal + (1.0 - EQUAL_PART) * share
