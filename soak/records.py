"""What a soak plans and what it has seen; times are in seconds of one steady clock."""

import enum

import attrs


class FaultKind(enum.Enum):
    """A disturbance from outside the processes."""

    HOST_KILLED = "host killed"
    HOST_PAUSED = "host paused"
    HOST_STOPPED = "host stopped"
    HOST_RELOADS = "host reloads"
    SERVER_DELAYED = "connections to a server delayed"
    SERVER_RESET = "connections to a server reset"
    SERVER_UNHEARD = "bytes from a server held"
    SERVER_UNREACHED = "bytes to a server held"
    SERVER_SILENT = "bytes of a server held both ways"
    SERVER_LEAVES = "server leaves and returns"
    STORE_CUT = "bytes of one host and the store held"
    STORE_RESET = "connections of one host to the store reset"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_LOSES = "answers of the store lost"
    STORE_FORGETS = "store forgets its history"
    CONFIGURED = "new configuration"


# Kinds that a host's process meets, and those that its link to the store does.
PROCESS_KINDS = frozenset(
    {
        FaultKind.HOST_KILLED,
        FaultKind.HOST_PAUSED,
        FaultKind.HOST_STOPPED,
        FaultKind.HOST_RELOADS,
    }
)
STORE_LINK_KINDS = frozenset({FaultKind.STORE_CUT, FaultKind.STORE_RESET})
# Kinds whose target is an entry host.
HOST_KINDS = PROCESS_KINDS | STORE_LINK_KINDS
# Kinds whose target is a backend server.
SERVER_KINDS = frozenset(
    {
        FaultKind.SERVER_DELAYED,
        FaultKind.SERVER_RESET,
        FaultKind.SERVER_UNHEARD,
        FaultKind.SERVER_UNREACHED,
        FaultKind.SERVER_SILENT,
        FaultKind.SERVER_LEAVES,
    }
)
# Kinds during which a host may miss bounds on time or leave a request unanswered.
HOST_OUTAGES = frozenset({FaultKind.HOST_KILLED, FaultKind.HOST_PAUSED})


@attrs.frozen
class Fault:
    """One planned disturbance."""

    # From the start of the soak.
    at: float
    kind: FaultKind
    # Index of a host or a server; 0 where the kind has no target.
    target: int
    # Time until it is taken back.
    until: float


@attrs.frozen
class Span:
    """A time in which something was disturbed."""

    kind: FaultKind
    target: int
    begun: float
    ended: float

    def meets(self, begun: float, ended: float) -> bool:
        """Tell whether the span has a moment in common with another."""
        return self.begun <= ended and begun <= self.ended


class RequestKind(enum.Enum):
    """The kind of a route; the values are those of the configuration."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "streaming"
    # A safe route that exists in one version of the configuration.
    EXTRA = "extra"


@attrs.frozen
class Attempt:
    """One request as its caller saw it."""

    id: str
    kind: RequestKind
    host: int
    # Starts of the host's process so far.
    boot: int
    sent_at: float
    ended_at: float
    # None where the connection ended without a status.
    status: int | None = None
    # Whether the answer was complete by its framing.
    whole: bool = False
    body: bytes = b""
    # When the caller closed its connection before the end.
    left_at: float | None = None
    # Version of the configuration that has the route, for EXTRA.
    version: int = 0


@attrs.define
class Run:
    """One request as a server saw it."""

    attempt_id: str
    server: int
    started_at: float
    ended_at: float | None = None
    # What the server did wrong on purpose.
    sabotage: str = ""


@attrs.frozen
class History:
    """All that was seen in one soak."""

    attempts: list[Attempt]
    runs: list[Run]
    spans: list[Span]
    # Times in which this machine did not run the soak itself in time.
    stalls: list[tuple[float, float]]
    # When each version of the configuration was written.
    configured: dict[int, float]
