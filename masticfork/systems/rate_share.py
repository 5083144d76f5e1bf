"""A request rate for all hosts together, divided among them without a coordinator.

Some hosts, the same ones for all that know each other, take an equal part each and
space their requests evenly. So within any time the hosts together send no more than the
rate and one request each. The others send none. No host saves up what it does not use.
"""

from collections.abc import Iterable

import attrs

from masticfork.core.ids import stable_hash

# Hosts among which a rate is divided, beyond one for each request a second. Each adds
# one request to what the server may get in a short time.
MIN_SENDERS = 2


def rank_hosts(key: int, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in the order in which they take parts of a server's room."""
    return sorted(hosts, key=lambda host: stable_hash(str(key), host))


@attrs.define(eq=False)
class RateShare:
    """This host's part of the request rate of one server, and its use."""

    # Time from which this host may send the next request, in seconds.
    next_at: float = 0.0
    # Seconds between two requests of this host, None if it takes no part.
    interval: float | None = None
    # Requests a second of all hosts.
    _rate: float = 0.0

    def divide(
        self, rate: float, key: int, own_host: str, hosts: Iterable[str], now: float
    ) -> None:
        """Set the part of this host of `rate`, in requests a second of all hosts."""
        self._rate = rate
        senders = rank_hosts(key, hosts)[: MIN_SENDERS + int(rate)]
        if own_host not in senders:
            self.interval = None
            return
        interval = len(senders) / rate
        if self.interval is None:
            # Hosts that learn of a rate at the same time begin one after another.
            offset = (senders.index(own_host) + 1) / rate
            self.next_at = max(self.next_at, now + offset)
        elif interval < self.interval:
            # A higher rate applies to the interval that has begun.
            self.next_at -= self.interval - interval
        self.interval = interval

    def accepts_calls(self, now: float) -> bool:
        """Return whether this host may send a request now."""
        return self.interval is not None and self.next_at <= now

    def accepts_at(self, now: float) -> float:
        """Return when a host is expected to accept a request for the server."""
        if self.interval is None:
            return now + 1.0 / self._rate if self._rate else now
        return max(now, self.next_at)

    def take(self, now: float) -> None:
        """Count a request that is being sent."""
        if self.interval is not None:
            self.next_at = now + self.interval
