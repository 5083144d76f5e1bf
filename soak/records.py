"""Records of a soak: planned faults and observed requests.

Times are in seconds of the monotonic clock.
"""

import enum

import attrs


class FaultKind(enum.Enum):
    """A fault injected from outside the processes."""

    HOST_KILLED = "host killed"
    HOST_PAUSED = "host paused"
    HOST_STOPPED = "host stopped"
    HOST_RELOADED = "host reloads"
    SERVER_TRAFFIC_DELAYED = "connections to a server delayed"
    SERVER_CONNECTIONS_RESET = "connections to a server reset"
    SERVER_ANSWERS_HELD = "bytes from a server held"
    SERVER_REQUESTS_HELD = "bytes to a server held"
    SERVER_TRAFFIC_HELD = "bytes of a server held both ways"
    SERVER_REPLACED = "server leaves and returns"
    SERVER_LIMITED = "server names a request rate"
    STORE_TRAFFIC_HELD = "bytes of one host and the store held"
    STORE_CONNECTIONS_RESET = "connections of one host to the store reset"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_ANSWERS_LOST = "answers of the store lost"
    STORE_HISTORY_LOST = "store forgets its history"
    CONFIGURATION_CHANGED = "new configuration"
    ZONE_EVACUATED = "availability zone evacuated"
    SERVER_COLD = "server becomes cold"


# Kinds that affect a host's process, and those that affect its store connections.
HOST_PROCESS_KINDS = frozenset(
    {
        FaultKind.HOST_KILLED,
        FaultKind.HOST_PAUSED,
        FaultKind.HOST_STOPPED,
        FaultKind.HOST_RELOADED,
    }
)
STORE_CONNECTION_KINDS = frozenset(
    {FaultKind.STORE_TRAFFIC_HELD, FaultKind.STORE_CONNECTIONS_RESET}
)
# Kinds whose target is an entry host.
HOST_KINDS = HOST_PROCESS_KINDS | STORE_CONNECTION_KINDS
# Kinds whose target is a backend server.
SERVER_KINDS = frozenset(
    {
        FaultKind.SERVER_TRAFFIC_DELAYED,
        FaultKind.SERVER_CONNECTIONS_RESET,
        FaultKind.SERVER_ANSWERS_HELD,
        FaultKind.SERVER_REQUESTS_HELD,
        FaultKind.SERVER_TRAFFIC_HELD,
        FaultKind.SERVER_REPLACED,
        FaultKind.SERVER_LIMITED,
        FaultKind.SERVER_COLD,
    }
)
# Kinds that are drawn for themselves, so that the other faults of a seed stay the same.
SEPARATE_KINDS = (FaultKind.ZONE_EVACUATED, FaultKind.SERVER_COLD)
# Kinds during which hosts may learn of an order late.
STORE_FAULTS = STORE_CONNECTION_KINDS | {
    FaultKind.STORE_DOWN,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_ANSWERS_LOST,
    FaultKind.STORE_HISTORY_LOST,
}
# Kinds during which a host may answer late or not at all.
HOST_OUTAGES = frozenset({FaultKind.HOST_KILLED, FaultKind.HOST_PAUSED})


@attrs.frozen
class Fault:
    """One planned fault."""

    # Start, in seconds from the start of the soak.
    at: float
    kind: FaultKind
    # Index of a host or a server; 0 where the kind has no target.
    target: int
    # End, when the fault is reverted; also from the start of the soak.
    until: float


@attrs.frozen
class FaultInterval:
    """The time during which a fault was in effect."""

    kind: FaultKind
    target: int
    started_at: float
    ended_at: float

    def overlaps(self, started_at: float, ended_at: float) -> bool:
        """Return whether the intervals overlap; both include their ends."""
        return self.started_at <= ended_at and started_at <= self.ended_at


class RequestKind(enum.Enum):
    """The kind of a route; the values are those that the configuration uses."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "streaming"
    # A safe route that exists only in one version of the configuration.
    EXTRA = "extra"


@attrs.frozen
class Attempt:
    """One request as observed by its caller."""

    id: str
    kind: RequestKind
    host: int
    # Restarts of the host's process when the request was sent.
    restarts: int
    sent_at: float
    ended_at: float
    # None if the connection was closed without a status.
    status: int | None = None
    # Whether the body was complete according to its HTTP framing.
    complete: bool = False
    body: bytes = b""
    # When the caller closed the connection before the end of the stream.
    disconnected_at: float | None = None
    # Version of the configuration that has the route, for EXTRA; else 0.
    version: int = 0


@attrs.define
class Run:
    """One execution of a request as observed by its backend server."""

    attempt_id: str
    server: int
    started_at: float
    ended_at: float | None = None
    # How the server deliberately broke its answer; empty if it did not.
    injected_fault: str = ""


@attrs.frozen
class History:
    """Everything observed in one soak."""

    attempts: list[Attempt]
    runs: list[Run]
    fault_intervals: list[FaultInterval]
    # Intervals in which this machine did not schedule the soak itself in time.
    stalls: list[tuple[float, float]]
    # When each version of the configuration was written.
    config_written_at: dict[int, float]
    # Times at which requests reached each server.
    arrivals: dict[int, list[float]] = attrs.field(factory=dict)
    # Times at which the request that crashes servers reached one.
    crashes: list[float] = attrs.field(factory=list)
