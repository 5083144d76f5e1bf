"""Selection of known hosts for a heartbeat: changed ones first, then one in turn."""

from collections.abc import Iterable

import attrs

from masticfork.core.hosts import NO_REGION, HostReport, HostState
from masticfork.core.ids import HostName, ZoneName
from masticfork.core.tables import HostRow, Tables
from masticfork.peers.messages import KnownHost

CHANGES_PER_HEARTBEAT = 32
# Heartbeats that carry the same change: links are reliable, but neighbours change.
CHANGE_REPEATS = 3
REFRESHES_PER_HEARTBEAT = 1
# Added to a report's age at each hop, so that a report that circulates never makes a
# silent host look recently heard.
AGE_ADDED_PER_HOP_SECONDS = 0.5
_MILLISECONDS = 1000
_MAX_AGE_MILLISECONDS = 2**32 - 1

_HostStatus = tuple[int, HostState, bool, int]


class Gossip:
    """Tracks the status sent for each host, and how often to repeat a change."""

    def __init__(self) -> None:
        self._sent_statuses: dict[HostName, _HostStatus] = {}
        self._repeats_left: dict[HostName, int] = {}
        self._next_refresh = 0

    def digest(self, tables: Tables, now: float) -> tuple[KnownHost, ...]:
        """Return the entries on other hosts for the next heartbeat."""
        rows = {h: r for h, r in tables.hosts.items() if r.incarnation}
        self._find_changes(rows.values())
        for host in [host for host in self._sent_statuses if host not in rows]:
            del self._sent_statuses[host]
            self._repeats_left.pop(host, None)
        changed_hosts = list(self._repeats_left)[:CHANGES_PER_HEARTBEAT]
        for host in changed_hosts:
            self._repeats_left[host] -= 1
            if self._repeats_left[host] == 0:
                del self._repeats_left[host]
        refreshed_hosts = [
            host
            for host in self._next_in_turn(sorted(rows))
            if host not in changed_hosts
        ]
        return (
            *(known_host(rows[host], now) for host in changed_hosts),
            *(
                _without_location(known_host(rows[host], now))
                for host in refreshed_hosts
            ),
        )

    def _find_changes(self, rows: Iterable[HostRow]) -> None:
        for row in rows:
            host_status = (row.incarnation, row.state, row.leaving, row.disputes)
            if self._sent_statuses.get(row.host) != host_status:
                self._sent_statuses[row.host] = host_status
                self._repeats_left[row.host] = CHANGE_REPEATS

    def _next_in_turn(self, hosts: list[HostName]) -> list[HostName]:
        count = min(REFRESHES_PER_HEARTBEAT, len(hosts))
        chosen = [hosts[(self._next_refresh + n) % len(hosts)] for n in range(count)]
        self._next_refresh = (self._next_refresh + count) % max(1, len(hosts))
        return chosen


def _without_location(known: KnownHost) -> KnownHost:
    return attrs.evolve(known, address="", zone=ZoneName(""), region=NO_REGION)


def known_host(row: HostRow, now: float) -> KnownHost:
    """Return the entry that describes a row to peers."""
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
    """Convert a peer's entry to a report, with its time on this host's clock."""
    age = known.age_milliseconds / _MILLISECONDS + AGE_ADDED_PER_HOP_SECONDS
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
