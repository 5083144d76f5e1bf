"""The pace of requests to a server that has just started or recovered.

A cold server falls over if it gets more requests than it tolerates, and no host knows
what the others send to it. So while the server is cold, the hosts together send it the
rate that the configuration names, divided as in `rate_share`. Then each host has some
calls in progress at most: one at first, one more for each answer in time, and half as
many after a late or failed one. Hosts tell each other of late answers, so that none
sends more to a server that is slow for the others.
"""

import attrs

from masticfork.core.digests import PaceReport
from masticfork.systems.rate_share import RateShare, rank_hosts

# Time without a late answer to any host after which a warm server is no longer paced,
# however many calls it gets: callers may ask for less than the pace allows.
PROBATION_SECONDS = 3.0
# Fraction of the server's slots that the first calls of all hosts may take together.
FIRST_SLOT_SHARE = 0.5
# Longest time for which a server is believed to be cold, so that a faulty entry does
# not exclude it for good.
MAX_COLD_SECONDS = 60.0
# Age that an entry may have when it is read; a cold time seems longer by as much.
ENTRY_AGE_SECONDS = 1.5


@attrs.frozen
class ColdLimits:
    """What the configuration tells of cold servers of one service."""

    # Requests a second that a cold server tolerates from all hosts; 0 if servers of the
    # service need no pace.
    rate: float = 0.0
    # Seconds for which a server that has started is cold.
    seconds: float = 0.0

    @property
    def paced(self) -> bool:
        """Return whether servers of the service are to be paced."""
        return self.rate > 0.0


@attrs.define(eq=False)
class ServerPace:
    """The pace of one incarnation of a server; times in seconds of the loop's clock."""

    # When the server has started or recovered, None while it is not paced.
    begun_at: float | None = None
    cold_until: float = 0.0
    # Calls that this host may have in progress once the server is warm.
    window: int = 0
    # Requests a second of all hosts while the server is cold.
    _cold_rate: float = 0.0
    _slots: int = 1
    _late_at: float | None = None
    _probation_until: float = 0.0
    _share: RateShare = attrs.field(factory=RateShare)

    @property
    def paced(self) -> bool:
        """Return whether the server gets requests at a limited pace."""
        return self.begun_at is not None

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold, as far as is known."""
        return self.paced and now < self.cold_until

    def begin(
        self, limits: ColdLimits, slots: int, cold_seconds: float, now: float
    ) -> bool:
        """Pace a server that has started or recovered; return whether that is new.

        `cold_seconds` is the time for which it stays cold, 0 if it may be warm.
        """
        if not limits.paced:
            return False
        cold_until = now + min(cold_seconds, MAX_COLD_SECONDS)
        is_colder = cold_seconds > 0.0 and (
            cold_until > self.cold_until + ENTRY_AGE_SECONDS
        )
        if self.paced and not is_colder:
            return False
        self.begun_at = now
        if cold_seconds > 0.0:
            self.cold_until = cold_until
        self._cold_rate, self._slots = limits.rate, slots
        self._late_at = None
        self._probation_until = max(self.cold_until, now) + PROBATION_SECONDS
        self.exclude()
        return True

    def record_answer(self, timely: bool, sent_at: float, now: float) -> None:
        """Widen the window for an answer in time; narrow it for another one."""
        if self.begun_at is None or sent_at < self.begun_at:
            return
        if timely:
            self.window = min(self._slots, self.window + 1)
        else:
            self.window = max(1, self.window // 2)
            self._late_at = now
            self._extend_probation(now)

    def run(self, now: float) -> bool:
        """End the pace of a server that bears its load; return whether it ended."""
        if not self.paced or now < self._probation_until:
            return False
        self.begun_at = None
        return True

    def divide(
        self, key: int, own_host: str, hosts: frozenset[str], now: float
    ) -> None:
        """Set the part of this host; `hosts` are the names of all known ones."""
        if self.is_cold(now):
            self._share.divide(self._cold_rate, key, own_host, hosts, now)
        elif self.paced and not self.window:
            first_hosts = max(1, int(FIRST_SLOT_SHARE * self._slots))
            self.window = int(own_host in rank_hosts(key, hosts)[:first_hosts])

    def exclude(self) -> None:
        """Take no part in the pace for now."""
        self._share.interval = None
        self.window = 0

    def accepts_calls(self, running: int, now: float) -> bool:
        """Return whether a request may be sent; `running` are this host's calls."""
        if not self.paced:
            return True
        if self.is_cold(now):
            return self._share.accepts_calls(now)
        return running < self.window

    def accepts_at(self, now: float) -> float:
        """Return when a host is expected to accept a request for the server."""
        return self._share.accepts_at(now) if self.is_cold(now) else now

    def take(self, now: float) -> None:
        """Count a request that is being sent."""
        if self.is_cold(now):
            self._share.take(now)

    def report(self, key: int, now: float) -> PaceReport | None:
        """Return what other hosts are to know, None if no answer was late."""
        if not self.paced or self._late_at is None:
            return None
        return PaceReport(key, max(0.0, now - self._late_at))

    def apply(self, report: PaceReport, now: float) -> None:
        """Apply that an answer to another host was late."""
        late_at = now - report.late_age
        if self.begun_at is not None and late_at > self.begun_at:
            self._extend_probation(late_at)

    def _extend_probation(self, late_at: float) -> None:
        until = late_at + PROBATION_SECONDS
        self._probation_until = max(self._probation_until, until)
