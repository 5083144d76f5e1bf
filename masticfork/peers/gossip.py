"""Which known hosts a heartbeat tells of: news first, then one in turn."""

from collections.abc import Iterable

import attrs

from masticfork.core.hosts import NO_REGION, HostReport, HostState
from masticfork.core.ids import HostName, ZoneName
from masticfork.core.tables import HostRow, Tables
from masticfork.peers.messages import KnownHost

NEWS_PER_HEARTBEAT = 32
# Heartbeats that carry the same news; the links are reliable, and neighbours change.
NEWS_REPEATS = 3
REFRESHED_PER_HEARTBEAT = 1
# Taken off the time a host was heard at each relay, so that reports that go round
# never make a silent host look fresher.
RELAY_DELAY_SECONDS = 0.5
_MILLISECONDS = 1000
_MAX_AGE_MILLISECONDS = 2**32 - 1

_Stand = tuple[int, HostState, bool, int]


class Gossip:
    """Remembers what was told, so that news is told first and a few times."""

    def __init__(self) -> None:
        self._told: dict[HostName, _Stand] = {}
        self._repeats: dict[HostName, int] = {}
        self._next = 0

    def digest(self, tables: Tables, now: float) -> tuple[KnownHost, ...]:
        """Return what the next heartbeat tells of other hosts."""
        rows = {h: r for h, r in tables.hosts.items() if r.incarnation}
        self._find_news(rows.values())
        for host in [host for host in self._told if host not in rows]:
            del self._told[host]
            self._repeats.pop(host, None)
        news = list(self._repeats)[:NEWS_PER_HEARTBEAT]
        for host in news:
            self._repeats[host] -= 1
            if self._repeats[host] == 0:
                del self._repeats[host]
        refreshed = [host for host in self._in_turn(sorted(rows)) if host not in news]
        return (
            *(known_host(rows[host], now) for host in news),
            *(_short(known_host(rows[host], now)) for host in refreshed),
        )

    def _find_news(self, rows: Iterable[HostRow]) -> None:
        for row in rows:
            stand = (row.incarnation, row.state, row.leaving, row.disputes)
            if self._told.get(row.host) != stand:
                self._told[row.host] = stand
                self._repeats[row.host] = NEWS_REPEATS

    def _in_turn(self, hosts: list[HostName]) -> list[HostName]:
        count = min(REFRESHED_PER_HEARTBEAT, len(hosts))
        chosen = [hosts[(self._next + n) % len(hosts)] for n in range(count)]
        self._next = (self._next + count) % max(1, len(hosts))
        return chosen


def _short(known: KnownHost) -> KnownHost:
    return attrs.evolve(known, address="", zone=ZoneName(""), region=NO_REGION)


def known_host(row: HostRow, now: float) -> KnownHost:
    """Return what is told of a row."""
    age = max(0.0, now - row.heard_at) * _MILLISECONDS
    return KnownHost(
        host=row.host,
        zone=row.zone,
        region=row.region,
        address=row.address,
        incarnation=row.incarnation,
        state=row.state,
        leaving=row.leaving,
        age_milliseconds=min(int(age) + 1, _MAX_AGE_MILLISECONDS),
        configuration_number=row.configuration_number,
    )


def report_of(known: KnownHost, now: float) -> HostReport:
    """Return a peer's statement with its age counted on this host's clock."""
    age = known.age_milliseconds / _MILLISECONDS + RELAY_DELAY_SECONDS
    return HostReport(
        host=known.host,
        zone=known.zone,
        region=known.region,
        address=known.address,
        incarnation=known.incarnation,
        heard_at=now - age,
        state=known.state,
        leaving=known.leaving,
        configuration_number=known.configuration_number,
    )
