"""Request rates that backend servers name, divided among the hosts.

A server names a rate for all hosts together. Some hosts, the same ones for all that
know each other, take an equal part each and space their requests evenly; so within any
time the hosts together send no more than the rate and one request each. The others
send none. No host saves up what it does not use.
"""

from collections.abc import Iterable

import attrs

from masticfork.core.digests import LimitReport
from masticfork.core.ids import stable_hash

# Hosts among which a rate is divided, beyond one for each request a second. Each adds
# one request to what the server may get in a short time.
MIN_SENDERS = 2
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
    # Time from which this host may send the next request.
    next_at: float = 0.0
    # Seconds between two requests of this host, None if it takes no part.
    _spacing: float | None = None

    @property
    def own_interval(self) -> float | None:
        """Return the seconds between two requests of this host, None for no part."""
        return self._spacing

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

    def divide(self, key: int, own_host: str, hosts: Iterable[str], now: float) -> None:
        """Set the part of this host; `hosts` are the names of all known ones."""
        if self.rate is None:
            return
        rate = max(self.rate, MIN_RATE)
        ranked = sorted(hosts, key=lambda host: stable_hash(str(key), host))
        senders = ranked[: MIN_SENDERS + int(rate)]
        spacing = len(senders) / rate if own_host in senders else None
        if spacing is not None and self._spacing is None:
            # Hosts that learn of a limit at the same time begin one after another.
            offset = (senders.index(own_host) + 1) / rate
            self.next_at = max(self.next_at, now + offset)
        self._spacing = spacing

    def accepts_calls(self, now: float) -> bool:
        """Return whether this host may send a request now."""
        if self.rate is None:
            return True
        return self._spacing is not None and self.next_at <= now

    def take(self, now: float) -> None:
        """Count a request that is being sent."""
        if self.rate is not None and self._spacing is not None:
            self.next_at = now + self._spacing

    def accepts_at(self, now: float) -> float:
        """Return when a host is expected to accept a request for the server."""
        if self.rate is None:
            return now
        if self._spacing is None:
            return now + 1.0 / max(self.rate, MIN_RATE)
        return max(now, self.next_at)

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
