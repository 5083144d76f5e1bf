"""Load and rollout digests that entry hosts exchange."""

import attrs

from masticfork.core.backend_servers import HostRequests
from masticfork.core.crash_reports import CrashReport
from masticfork.core.store_position import StorePosition


@attrs.frozen
class HostLoad:
    """One host's contribution to the load of one backend server."""

    running: int
    # Running calls, each weighted by the model's relative token cost.
    weighted_running: float
    # Prompt tokens not yet processed by the server, weighted likewise.
    pending_work: float


@attrs.frozen
class NewAnswers:
    """Answers of one server of a new version, on one route, within one second."""

    # CRC-32 of the server's ID and of the route's name.
    server: int
    route: int
    # Whole seconds since the order.
    second: int
    good: int
    bad: int
    # Slow answers, which count as good or bad as well.
    slow: int
    # Whether the requests were sent while the version got all of its service.
    loaded: bool = False


@attrs.frozen
class OldAnswers:
    """Exponentially decayed counts of an old version's answers on one route."""

    # CRC-32 of the route's name.
    route: int
    good: float
    bad: float
    # Slow answers, which count as good or bad as well.
    slow: float

    @property
    def total(self) -> float:
        """Return the decayed number of answers."""
        return self.good + self.bad


@attrs.frozen
class RolloutEvidence:
    """One host's counts of responses of both versions during a rollout."""

    service: str
    # Store revision at which the rollout was ordered; identifies it.
    created: int
    new: tuple[NewAnswers, ...]
    old: tuple[OldAnswers, ...]
    # The host's usual times to first byte of the old version by model size, relative to
    # the expected ones.
    usual_times: dict[int, float] = attrs.field(factory=dict)
    # Its usual times between the events of streams, in seconds, by a key of the model
    # size and the load.
    usual_paces: dict[int, float] = attrs.field(factory=dict)
    # Whether the host has judged the new version bad.
    judged_bad: bool = False
    # Seconds since the order by a steady clock, None if the host has only the time of
    # day to tell them by.
    age: float | None = None
    # What the host has sent since the order, None from hosts that do not tell it.
    requests: HostRequests | None = None
    # Requests a second that it expects to send.
    rate: float = 0.0
    # Requests that the new version may still get from it once the calls on the old
    # version were repeated.
    left: float = 0.0


@attrs.frozen
class LimitReport:
    """What a host knows of the limit of one incarnation of a server."""

    # Identifies the incarnation on all hosts.
    key: int
    # Requests a second, 0 if the limit was lifted.
    rate: float
    # Seconds since the response that told it.
    age: float


@attrs.frozen
class BrittleReport:
    """What a host knows of a server that falls over if it refuses too many requests."""

    # Identifies the incarnation on all hosts.
    key: int
    # Refusals within a second that the server bears; None if it bears any number again.
    tolerated: int | None
    # Seconds since the response that told it.
    age: float
    # Requests of the reporting host that the server has refused within a second.
    refusals: int


@attrs.frozen
class PaceReport:
    """What a host knows of a server that has just started or recovered."""

    # Identifies the incarnation on all hosts.
    key: int
    # Seconds since the latest late or failed answer to the reporting host.
    late_age: float


@attrs.frozen
class TeamWork:
    """The work of one team on one service that a host has received.

    Both sums decay, the recent one within seconds.
    """

    # CRC-32 of the service's name, and of the names of the service and the team.
    service: int
    team: int
    recent: float
    usual: float


@attrs.frozen
class SpeedReport:
    """One host's evidence on the speed of one incarnation of a server."""

    # Identifies the incarnation on all hosts.
    server: int
    # Sum of the logarithms of the ratios of measured to expected times, and their
    # number; both decay.
    total: float
    answers: float


@attrs.frozen
class KindState:
    """What a host knows of one kind of store objects."""

    position: StorePosition
    # Hash of the objects; equal for hosts that know the same ones.
    fingerprint: int


@attrs.frozen
class KindUpdate:
    """Changes of one kind that a host has read from the store."""

    # Index of the kind among those that hosts mirror.
    kind: int
    # The changes are all those after this position, up to the revision in its era.
    since: StorePosition
    revision: int
    # Compressed JSON.
    changes: bytes


# Version of what hosts tell each other; 0 for builds that tell none. See
# docs/INTERFACES.md for what each version has added.
PROTOCOL_VERSION = 4


@attrs.frozen
class Digest:
    """Snapshot of one host's load and rollout evidence."""

    host: str
    # Start time of the host's process in Unix milliseconds.
    incarnation: int
    sequence: int
    # Version of the host's current configuration, 0 for none.
    configuration: int
    # Position of the store up to which the host has applied changes to the servers.
    servers: StorePosition
    # Loads by CRC-32 of the server's ID.
    loads: dict[int, HostLoad]
    rollouts: tuple[RolloutEvidence, ...]
    # Version by session, both as CRC-32; sessions that ran since the last digests.
    sessions: dict[int, int] = attrs.field(factory=dict)
    # Hashes of the incarnations of servers that announced that they leave.
    leaving: frozenset[int] = frozenset()
    # Request rates that servers have named, or that were lifted recently.
    limits: tuple[LimitReport, ...] = ()
    # Servers that are brittle, or were until recently.
    brittle: tuple[BrittleReport, ...] = ()
    # Servers that have just started or recovered.
    paced: tuple[PaceReport, ...] = ()
    # Work by team, where hosts share scarce room among teams.
    team_work: tuple[TeamWork, ...] = ()
    speeds: tuple[SpeedReport, ...] = ()
    crashes: CrashReport = attrs.field(factory=CrashReport)
    # Port at which the host connects others to servers, 0 for none; and whether it
    # reaches no server itself.
    transit_port: int = 0
    cut_off: bool = False
    # Availability zone of the host; empty in partial digests.
    zone: str = ""
    # By index of the kind among those that hosts mirror.
    kinds: tuple[KindState, ...] = ()
    updates: tuple[KindUpdate, ...] = ()
    # Whether the host follows the store itself, and whether its calls fail.
    reading: bool = False
    store_failing: bool = False
    # Seconds until entries have returned that are missing since the store has failed;
    # None if the host does not tell.
    entries_return: float | None = None
    # Version of the sender's digests, see above.
    protocol: int = PROTOCOL_VERSION
    # Whether `loads` has only changed entries; all else is as in the digest before.
    partial: bool = False

    def updated_by(self, later: "Digest") -> "Digest":
        """Return what a later digest and this one tell, without loads and updates."""
        if not later.partial:
            return attrs.evolve(later, loads={}, updates=())
        if not later.kinds and later._host_state == self._host_state:
            # The usual case, many times a second.
            return self
        return attrs.evolve(
            self,
            configuration=later.configuration,
            servers=later.servers,
            leaving=later.leaving,
            kinds=later.kinds or self.kinds,
            reading=later.reading,
            store_failing=later.store_failing,
            transit_port=later.transit_port,
            cut_off=later.cut_off,
        )

    @property
    def _host_state(self) -> tuple[object, ...]:
        """Return the state of the host that rarely changes."""
        return (
            self.configuration,
            self.leaving,
            self.reading,
            self.store_failing,
            self.transit_port,
            self.cut_off,
        )
