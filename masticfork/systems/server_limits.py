"""Request rates that backend servers name for all hosts together."""

from collections.abc import Collection

import attrs

from masticfork.core.digests import LimitReport
from masticfork.systems.rate_share import RateShare

# Lowest rate, in requests per second, that is applied: a server that names less is
# still asked at this rate, as only its responses tell when the limit is lifted.
MIN_RATE = 0.1
# Time for which a lifted limit is reported to other hosts.
REPORT_SECONDS = 10.0


@attrs.define(eq=False)
class ServerLimit:
    """The request rate that one incarnation of a server has named, and its use."""

    # Requests a second from all hosts, None without a limit.
    rate: float | None = None
    # Time of the response that told the above, in seconds.
    told_at: float = 0.0
    _share: RateShare = attrs.field(factory=RateShare)

    @property
    def own_interval(self) -> float | None:
        """Return the seconds between two requests of this host, None for no part."""
        return self._share.interval

    def name(self, rate: float, told_at: float) -> bool:
        """Apply a named rate; return whether it is a change and not outdated."""
        if told_at < self.told_at and self.rate is not None:
            return False
        changed = self.rate != rate
        self.rate, self.told_at = rate, max(told_at, self.told_at)
        return changed

    def lift(self, sent_at: float, told_at: float) -> bool:
        """Lift the limit for a response without one; return whether there was one.

        A request sent before the limit was last named says nothing about it.
        """
        if self.rate is None or sent_at < self.told_at:
            return False
        self.rate, self.told_at = None, told_at
        return True

    def divide(
        self, key: int, own_host: str, hosts: Collection[str], now: float
    ) -> None:
        """Set the part of this host; `hosts` are the names of all known ones."""
        if self.rate is not None:
            rate = max(self.rate, MIN_RATE)
            self._share.divide(rate, key, own_host, hosts, now)

    def accepts_calls(self, now: float) -> bool:
        """Return whether this host may send a request now."""
        return self.rate is None or self._share.accepts_calls(now)

    def take(self, now: float) -> None:
        """Count a request that is being sent."""
        if self.rate is not None:
            self._share.take(now)

    def accepts_at(self, now: float) -> float:
        """Return when a host is expected to accept a request for the server."""
        return now if self.rate is None else self._share.accepts_at(now)

    def report(self, key: int, now: float) -> LimitReport | None:
        """Return what other hosts are to know, None if there is nothing."""
        age = max(0.0, now - self.told_at)
        if self.rate is not None:
            return LimitReport(key, self.rate, age)
        if self.told_at > 0.0 and age < REPORT_SECONDS:
            return LimitReport(key, 0.0, age)
        return None

    def apply(self, report: LimitReport, now: float) -> bool:
        """Apply what another host knows; return whether it is a change."""
        told_at = now - report.age
        if report.rate > 0.0:
            return told_at > self.told_at and self.name(report.rate, told_at)
        return self.lift(told_at, told_at)
