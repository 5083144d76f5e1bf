"""Routes of the relay: which services serve a request, within which limits."""

import enum

import attrs


class RouteKind(enum.Enum):
    """How far a request may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen
class ServiceShare:
    """A service of a route with its relative weight."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Rules for the requests to one host name below one path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    # Maximum time in seconds that a caller waits for a response.
    timeout: float
    # Latency target in seconds for the response, or for a stream's first event.
    target: float
    # Maximum number of servers to which one request may be sent.
    max_attempts: int
    # 0 is the most urgent.
    priority: int
    # Whether requests are accepted without a key.
    public: bool
    # Whether a stream may resume on another server after its last event.
    resumable: bool
    # Model names, smallest first; empty where the caller names the model.
    models: tuple[str, ...]
    services: tuple[ServiceShare, ...]
    # Target in seconds for the longest pause between two events of a stream.
    max_gap: float | None = None
    # Regions whose servers may serve the route, None for all.
    regions: frozenset[str] | None = None

    @property
    def retryable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class EngineTraits:
    """Properties shared by the engines of one service."""

    # Requests that one engine runs concurrently.
    slots: int
    kv_capacity_tokens: int
    # Price of 1,000 generated tokens by model.
    model_costs: dict[str, float]


@attrs.frozen
class RoutedService:
    """A service that routes refer to."""

    name: str
    # Maximum number of connections that one server accepts, from all callers together.
    max_connections: int
    # None for plain services.
    engine: EngineTraits | None = None
    # Requests a second that a server bears while it is cold, from all hosts together; 0
    # if it bears any number.
    cold_rate: float = 0.0
    # Seconds for which a server is cold after its start.
    cold_seconds: float = 0.0


@attrs.frozen
class RoutedTeam:
    """A team and the keys that authenticate its requests."""

    name: str
    keys: tuple[str, ...]
    # Overrides the priority of routes if set.
    priority: int | None = None
    # Regions whose servers may serve the team, None for all.
    regions: frozenset[str] | None = None


@attrs.frozen
class CallerLimits:
    """Size limits for requests, and timeouts in seconds for callers' connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@attrs.frozen(eq=False)
class RouteTable:
    """A route configuration with indexes by host name and key."""

    # Version number set by the operator; a greater number is always newer.
    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    teams: tuple[RoutedTeam, ...]
    limits: CallerLimits
    # Whether requests to routes that are not public need a key.
    keys_required: bool
    _by_host: dict[str, tuple[Route, ...]] = attrs.field(init=False)
    _by_key: dict[str, RoutedTeam] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        grouped: dict[str, list[Route]] = {}
        for route in self.routes:
            grouped.setdefault(route.host, []).append(route)
        by_host = {
            host: tuple(sorted(rows, key=lambda row: -len(row.path_prefix)))
            for host, rows in grouped.items()
        }
        by_key = {key: team for team in self.teams for key in team.keys}
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_by_key", by_key)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        rows = self._by_host.get(host, ())
        return next((row for row in rows if path.startswith(row.path_prefix)), None)

    def team_of(self, key: str) -> RoutedTeam | None:
        """Return the team that the key belongs to, or None."""
        return self._by_key.get(key)
