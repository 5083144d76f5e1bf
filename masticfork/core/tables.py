"""In-memory state of one host: immutable rows, replaced by systems on each tick."""

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
    """Identity and state of this host."""

    host: HostName
    zone: ZoneName
    stopping: bool = False
    region: RegionName = NO_REGION
    # Increases with each start, and when a peer wrongly reports this host as suspect,
    # dead or leaving.
    incarnation: int = 0


@attrs.frozen
class ServerRow:
    """This host's view of one backend server."""

    server: BackendServer
    leaving: bool = False
    # After failures, the server gets no new work before this deadline.
    ejected_until: Deadline | None = None
    consecutive_failures: int = 0
    in_flight: int = 0
    # Load in the server's last report, and the time of that report.
    reported_running: int = 0
    reported_queued: int = 0
    reported_at: float = 0.0
    # End of slow start: until then a recovered server gets reduced load.
    ramp_until: Deadline | None = None


@attrs.frozen
class HostRow:
    """This host's view of another entry host."""

    host: HostName
    zone: ZoneName
    address: str
    heard_at: float
    suspect_at: Deadline
    dead_at: Deadline
    leaving: bool = False
    configuration_number: int = 0
    region: RegionName = NO_REGION
    # 0 if the host is known from the platform's list only.
    incarnation: int = 0
    state: HostState = HostState.ALIVE
    # Whether the deadlines are based on heartbeats that this host receives itself.
    direct: bool = False
    # Reports of peers that the host is suspect or dead, refuted by newer evidence here.
    disputes: int = 0


@attrs.frozen
class Drain:
    """An operator's order to send no new work to a server, a host or a zone."""

    # One of `server`, `host` and `zone`, which stands for all servers of the zone.
    kind: str
    name: str


@attrs.define
class Tables:
    """All state that routing decisions read; one instance per host."""

    me: SelfRow
    configuration: Configuration | None = None
    # Until then the configuration counts as confirmed by the platform or by peers.
    confirmed_until: Deadline | None = None
    servers: dict[ServerName, ServerRow] = attrs.field(factory=dict)
    hosts: dict[HostName, HostRow] = attrs.field(factory=dict)
    rollouts: dict[RolloutName, RolloutRow] = attrs.field(factory=dict)
    drains: frozenset[Drain] = frozenset()
    # Backend servers that are marked as leaving in the platform's list.
    listed_leaving: frozenset[ServerName] = frozenset()
    # Until then versions outside rollouts may get new work without confirmation.
    usable_until: Deadline | None = None
    quality: dict[QualityKey, QualityRow] = attrs.field(factory=dict)


class System(Protocol):
    """A function of the tables that runs on each tick."""

    def run(self, tables: Tables, now: float) -> Findings:
        """Update the rows that are outdated at `now`, and report what changed."""
