"""The parts of a service's work that teams ask for, now and usually, over all hosts.

A team that sends many times its usual takes the room of others where room is scarce.
Each host sums up the work that it receives, with a short and with a long memory, and
hosts tell each other their sums. The usual part of a team is its weight: a large team
is not over its share for being large, and what a team does not use is lent to others.
"""

import attrs

from masticfork.core.digests import TeamWork
from masticfork.core.ids import short_key

# Half-lives of the two memories. The short one spans some requests of a team on each
# host, the long one several bursts.
RECENT_HALF_LIFE_SECONDS, USUAL_HALF_LIFE_SECONDS = 2.0, 30.0
# A team is over its share beyond this multiple of its usual part.
OVER_SHARE_FACTOR = 1.5
# Part of the usual work that each team has at least, so that a team that rarely sends
# is not over its share with its first requests.
MIN_USUAL_PART = 0.05
# Time for which the sums of another host count.
REPORT_LIFETIME_SECONDS = 5.0


@attrs.define
class _DecayedSum:
    """A sum whose terms lose half of their weight in each half-life."""

    half_life: float
    total: float = 0.0
    at: float = 0.0

    def value(self, now: float) -> float:
        """Return the sum as of now."""
        return self.total * float(0.5 ** (max(0.0, now - self.at) / self.half_life))

    def add(self, amount: float, now: float) -> None:
        """Add a term."""
        self.total, self.at = self.value(now) + amount, now


@attrs.define
class _Work:
    # CRC-32 of the service's name.
    service: int
    recent: _DecayedSum = attrs.field(
        factory=lambda: _DecayedSum(RECENT_HALF_LIFE_SECONDS)
    )
    usual: _DecayedSum = attrs.field(
        factory=lambda: _DecayedSum(USUAL_HALF_LIFE_SECONDS)
    )


@attrs.frozen
class _Report:
    work: tuple[TeamWork, ...]
    until: float


class TeamShares:
    """Work by service and team of this host, and as reported by others."""

    def __init__(self) -> None:
        # By a key of the service and the team.
        self._own: dict[int, _Work] = {}
        self._reports: dict[str, _Report] = {}

    def record(self, service: str, team: str, amount: float, now: float) -> None:
        """Record a request; `amount` is its work, in one unit for each service."""
        key = _key(service, team)
        work = self._own.setdefault(key, _Work(short_key(service)))
        work.recent.add(amount, now)
        work.usual.add(amount, now)

    def report(self, now: float) -> tuple[TeamWork, ...]:
        """Return this host's sums for the others."""
        return tuple(
            TeamWork(work.service, key, work.recent.value(now), work.usual.value(now))
            for key, work in self._own.items()
        )

    def apply(self, host: str, work: tuple[TeamWork, ...], now: float) -> None:
        """Replace what is known of the sums of another host."""
        self._reports[host] = _Report(work, now + REPORT_LIFETIME_SECONDS)

    def is_over_share(self, service: str, team: str, now: float) -> bool:
        """Return whether a team sends far more than its usual part of the work."""
        wanted, key = short_key(service), _key(service, team)
        # What is recent is not usual, even if it has lasted for some seconds.
        recent = usual = recent_total = usual_total = 0.0
        for item in self._all_work(now):
            if item.service != wanted:
                continue
            recent_total += item.recent
            usual_total += item.usual - item.recent
            if item.team == key:
                recent += item.recent
                usual += item.usual - item.recent
        if recent_total <= 0.0 or usual_total <= 0.0:
            return False
        usual_part = max(MIN_USUAL_PART, usual / usual_total)
        return recent / recent_total > OVER_SHARE_FACTOR * usual_part

    def _all_work(self, now: float) -> list[TeamWork]:
        self._reports = {
            host: report for host, report in self._reports.items() if report.until > now
        }
        reported = (item for report in self._reports.values() for item in report.work)
        return [*self.report(now), *reported]


def _key(service: str, team: str) -> int:
    return short_key(f"{service}/{team}")
