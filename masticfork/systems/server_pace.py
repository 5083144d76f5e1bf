"""The pace of requests to a server that has just started or recovered.

A cold server falls over if it gets more requests than it tolerates, and no host knows
what the others send to it. So the pace is a rate for all hosts together, divided as in
`rate_share`. While the server is cold, it is the rate that the configuration names.
Then it rises with each answer in time, and loses half of what it has gained at each
late or failed one. Hosts tell each other what their own answers have added; a host that
hears no other goes by its own.
"""

import attrs

from masticfork.core.digests import PaceReport
from masticfork.systems.rate_share import RateShare

# Requests a second by which one answer in time raises the pace: a server that answers
# all in time gets twice as many after 0.7 s.
RATE_PER_TIMELY_ANSWER = 1.0
# Time without a late answer to any host after which a warm server is no longer paced,
# whatever the rate: callers may ask for less than the pace allows.
PROBATION_SECONDS = 5.0
# Time for which the report of another host counts: some digests of it.
REPORT_LIFETIME_SECONDS = 5.0
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


@attrs.frozen
class _Gain:
    """What answers to another host have added to the pace."""

    rate: float
    until: float


@attrs.define(eq=False)
class ServerPace:
    """The pace of one incarnation of a server; times in seconds of the loop's clock."""

    # When the server has started or recovered, None while it is not paced.
    begun_at: float | None = None
    cold_until: float = 0.0
    # Requests a second of all hosts while the server is cold, and the first ones after.
    _cold_rate: float = 0.0
    # Rate at which the server is no longer paced.
    _full_rate: float = 0.0
    # Requests a second that this host's answers have added.
    _gained: float = 0.0
    _gained_elsewhere: dict[str, _Gain] = attrs.field(factory=dict)
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
        self._gained, self._late_at = 0.0, None
        self._gained_elsewhere.clear()
        self.exclude()
        self._cold_rate, self._full_rate = limits.rate, max(limits.rate, slots)
        self._probation_until = max(self.cold_until, now) + PROBATION_SECONDS
        return True

    def rate(self, now: float) -> float:
        """Return the requests a second that all hosts may send together."""
        if self.is_cold(now):
            return self._cold_rate
        elsewhere = (g.rate for g in self._gained_elsewhere.values() if g.until > now)
        return self._cold_rate + self._gained + sum(elsewhere)

    def record_answer(self, timely: bool, sent_at: float, now: float) -> None:
        """Raise the pace for an answer in time; lower it for a late or failed one."""
        if self.begun_at is None or sent_at < self.begun_at:
            return
        if timely:
            self._gained = min(self._full_rate, self._gained + RATE_PER_TIMELY_ANSWER)
            return
        self._gained /= 2.0
        self._gained_elsewhere = {
            host: attrs.evolve(gain, rate=gain.rate / 2.0)
            for host, gain in self._gained_elsewhere.items()
        }
        self._record_late(now)

    def _record_late(self, at: float) -> None:
        self._late_at = at
        self._probation_until = max(self._probation_until, at + PROBATION_SECONDS)

    def run(self, now: float) -> bool:
        """End the pace of a server that bears its load; return whether it ended."""
        if not self.paced or self.is_cold(now):
            return False
        if self.rate(now) < self._full_rate and now < self._probation_until:
            return False
        self.begun_at = None
        return True

    def divide(
        self, key: int, own_host: str, hosts: frozenset[str], now: float
    ) -> None:
        """Set the part of this host; `hosts` are the names of all known ones."""
        if self.paced:
            self._share.divide(self.rate(now), key, own_host, hosts, now)

    def exclude(self) -> None:
        """Take no part in the pace for now."""
        self._share.interval = None

    def accepts_calls(self, now: float) -> bool:
        """Return whether this host may send a request now."""
        return not self.paced or self._share.accepts_calls(now)

    def accepts_at(self, now: float) -> float:
        """Return when a host is expected to accept a request for the server."""
        return self._share.accepts_at(now) if self.paced else now

    def take(self, now: float) -> None:
        """Count a request that is being sent."""
        if self.paced:
            self._share.take(now)

    def report(self, key: int, now: float) -> PaceReport | None:
        """Return what other hosts are to know, None if the server is not paced."""
        if not self.paced:
            return None
        late_age = None if self._late_at is None else max(0.0, now - self._late_at)
        return PaceReport(key, self._gained, late_age)

    def apply(self, report: PaceReport, host: str, now: float) -> None:
        """Apply what the answers to another host have added to the pace."""
        if self.paced:
            until = now + REPORT_LIFETIME_SECONDS
            self._gained_elsewhere[host] = _Gain(report.gained, until)
            if report.late_age is not None:
                late_until = now - report.late_age + PROBATION_SECONDS
                self._probation_until = max(self._probation_until, late_until)
