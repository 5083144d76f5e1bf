"""How many requests a version that is not proven may get, kept by each host alone.

The bound on a deployment is a share of all requests of a service plus a fixed number.
A host takes that share of the requests that it sends itself and an equal part of the
fixed number, so the sum over the hosts keeps the bound whatever they know of each
other.
"""

import math
from collections import Counter

import attrs

# Fraction of the bound that is used; requests may reach a server late or not at all.
USED_FRACTION = 0.92
# Time after the last step in which requests reach the new version before the rollout's
# time ends, at most.
SECONDS_AFTER_COMPLETION = 0.85
# Fraction of the calls running on the old version that are expected to still run, and
# to be repeated on the new one, when the old servers stop.
REPEATED_FRACTION = 0.5
# Duration of the last step for which the canary leaves requests.
FULL_STEP_SECONDS = 0.5
# Bounds on the fraction of the allowed requests that the canary step uses.
MIN_CANARY_FRACTION, MAX_CANARY_FRACTION = 0.1, 0.85
# Part of the canary's requests that is divided equally among the main routes, so that a
# rare route is tried as well; the rest follows the traffic.
EQUAL_PART = 0.75
# A route with a larger share of the requests is a main route.
MAIN_ROUTE_SHARE = 0.05
# Time constant of the mean request rate.
RATE_SECONDS = 2.0


@attrs.frozen
class ExposureLimit:
    """Bound on the requests of a service that a version not yet proven may get."""

    share: float
    slack: float


@attrs.frozen
class RolloutMoment:
    """The state of a rollout, as a host sees it, in which it chooses a version."""

    # Seconds since the order, and until the end of the time that it allows.
    elapsed: float
    duration: float
    # Calls that this host runs on the old version.
    old_running: int
    # Hosts that share the bound, including this one.
    hosts: int

    @property
    def remaining(self) -> float:
        """Return the seconds left, 0 after the end."""
        return max(0.0, self.duration - self.elapsed)


@attrs.define
class ExposureBudget:
    """Requests of one service that this host has sent since a rollout was ordered."""

    _limit: ExposureLimit
    # Number in [0, 1) at which the host rounds its allowances up: they are fractions of
    # a request, and the hosts' sum is to be exact on average.
    _rounding: float
    _all: Counter[str] = attrs.field(factory=Counter)
    _new: Counter[str] = attrs.field(factory=Counter)
    _recent: float = 0.0
    _recent_at: float = 0.0

    @property
    def sent(self) -> int:
        """Return the requests sent to either version."""
        return self._all.total()

    @property
    def sent_to_new(self) -> int:
        """Return the requests sent to the new version."""
        return self._new.total()

    def count(self, route: str, is_new: bool, elapsed: float) -> None:
        """Count a request that is sent `elapsed` seconds after the order."""
        self._recent = self._decayed(elapsed) + 1.0
        self._recent_at = elapsed
        self._all[route] += 1
        self._new[route] += is_new

    def allows_canary(self, route: str, moment: RolloutMoment) -> bool:
        """Return whether the canary step has a request left for a route."""
        rate = self._decayed(moment.elapsed) / RATE_SECONDS
        reserved = self._reserved(rate, moment) + rate * FULL_STEP_SECONDS
        fraction = USED_FRACTION - reserved / self._expected_bound(rate, moment)
        fraction = min(MAX_CANARY_FRACTION, max(MIN_CANARY_FRACTION, fraction))
        slack = self._limit.slack / moment.hosts
        passed = min(1.0, moment.elapsed / moment.duration)
        bound = self._limit.share * self.sent + slack * passed
        allowance = fraction * bound * self._weight(route)
        return self._new[route] + 1 <= allowance + self._rounding

    def allows_all(self, moment: RolloutMoment) -> bool:
        """Return whether the last step has a request left."""
        if moment.remaining <= 0.0:
            return True
        rate = self._decayed(moment.elapsed) / RATE_SECONDS
        used = self.sent_to_new + 1 + self._reserved(rate, moment)
        return used <= USED_FRACTION * self._expected_bound(rate, moment)

    def _expected_bound(self, rate: float, moment: RolloutMoment) -> float:
        """Return the bound at the end of the rollout if the traffic stays as it is."""
        sent = self.sent + rate * moment.remaining
        return self._limit.share * sent + self._limit.slack / moment.hosts

    def _reserved(self, rate: float, moment: RolloutMoment) -> float:
        """Return the requests that reach the new version once it serves alone."""
        seconds = min(moment.remaining, SECONDS_AFTER_COMPLETION)
        return rate * seconds + REPEATED_FRACTION * moment.old_running

    def _weight(self, route: str) -> float:
        """Return the part of the canary's requests that a route gets."""
        sent = self.sent
        share = (self._all[route] + 1) / (sent + 1)
        main = sum(count > MAIN_ROUTE_SHARE * sent for count in self._all.values())
        equal = 1.0 / max(1, main) if share > MAIN_ROUTE_SHARE else share
        return EQUAL_PART * equal + (1.0 - EQUAL_PART) * share

    def _decayed(self, elapsed: float) -> float:
        age = max(0.0, elapsed - self._recent_at)
        return self._recent * math.exp(-age / RATE_SECONDS)
