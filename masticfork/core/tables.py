"""The tables of one host: rows are immutable, systems replace them each tick."""

from typing import Protocol

import attrs

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.core.hosts import NO_REGION, HostState, RegionName
from masticfork.core.ids import (
    HostName,
    RolloutName,
    ServerName,
    ZoneName,
)
from masticfork.core.manifest import BackendServer
from masticfork.core.quality import QualityKey, QualityRow
from masticfork.core.rollouts import RolloutRow


@attrs.frozen
class SelfRow:
    """This host."""

    host: HostName
    zone: ZoneName
    stopping: bool = False
    region: RegionName = NO_REGION
    # Grows with each start, and whenever others believe this host to be gone.
    incarnation: int = 0


@attrs.frozen
class ServerRow:
    """What this host knows of one backend server."""

    server: BackendServer
    leaving: bool = False
    # No new work before this deadline, after failures.
    ejected_until: Deadline | None = None
    failures_in_row: int = 0
    in_flight: int = 0
    # Load that the server last reported, with the time of the report.
    reported_running: int = 0
    reported_queued: int = 0
    reported_at: float = 0.0
    # Until when a server that came back gets less than its share.
    ramp_until: Deadline | None = None


@attrs.frozen
class HostRow:
    """What this host knows of another entry host."""

    host: HostName
    zone: ZoneName
    address: str
    heard_at: float
    suspect_at: Deadline
    dead_at: Deadline
    leaving: bool = False
    configuration_number: int = 0
    region: RegionName = NO_REGION
    # 0 where the host is only listed by the platform and was never heard of.
    incarnation: int = 0
    state: HostState = HostState.ALIVE
    # Whether the deadlines follow heartbeats that this host hears itself.
    direct: bool = False
    # How often others told of silence while this host knew better.
    disputes: int = 0


@attrs.frozen
class Drain:
    """An operator's order that something gets no new work."""

    # Either `server` or `host`.
    kind: str
    name: str


@attrs.define
class Tables:
    """All rows that decisions read; one instance a host."""

    me: SelfRow
    configuration: Configuration | None = None
    # Until when the configuration counts as confirmed by platform or peers.
    confirmed_until: Deadline | None = None
    servers: dict[ServerName, ServerRow] = attrs.field(factory=dict)
    hosts: dict[HostName, HostRow] = attrs.field(factory=dict)
    rollouts: dict[RolloutName, RolloutRow] = attrs.field(factory=dict)
    drains: frozenset[Drain] = frozenset()
    # Backend servers that the platform's list tells to be leaving.
    listed_leaving: frozenset[ServerName] = frozenset()
    # Until when versions that are not in roll-out may get new work without news.
    usable_until: Deadline | None = None
    quality: dict[QualityKey, QualityRow] = attrs.field(factory=dict)


class System(Protocol):
    """A transformation of the tables, run each tick."""

    def run(self, tables: Tables, now: float) -> Findings:
        """Replace rows that `now` makes stale and report what changed."""
