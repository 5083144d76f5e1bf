"""Which requests are served, by which services, within which bounds."""

import enum

import attrs


class RouteKind(enum.Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen
class ServiceShare:
    """One service of a route with its weight among the others."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """What happens to requests of one host name below one path."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    # Greatest time in seconds that a caller is kept waiting.
    timeout: float
    # Time in seconds within which an answer, or its first event, is on time.
    target: float
    # Servers to which one request may be sent.
    max_attempts: int
    # 0 is the most urgent.
    priority: int
    # Whether requests need no key.
    public: bool
    # Whether a stream may go on at another server after its last event.
    resumable: bool
    # Model names, smallest first; empty where the caller names the model.
    models: tuple[str, ...]
    services: tuple[ServiceShare, ...]
    # Longest pause in seconds between two events of a stream that is on time.
    max_gap: float | None = None

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class EngineTraits:
    """What a service of model engines has in common."""

    slots: int
    kv_capacity_tokens: int
    # Price of 1,000 generated tokens by model.
    model_costs: dict[str, float]


@attrs.frozen
class RoutedService:
    """A service that routes name."""

    name: str
    # Connections that one server accepts from all callers together.
    max_connections: int
    # None for plain services.
    engine: EngineTraits | None = None


@attrs.frozen
class RoutedTeam:
    """A team that sends requests under its keys."""

    name: str
    keys: tuple[str, ...]
    # Goes before a route's priority where it is set.
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle, in seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@attrs.frozen(eq=False)
class RouteTable:
    """A configuration of routes, with indexes for requests."""

    # The operator's number; a greater number is always newer.
    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    teams: tuple[RoutedTeam, ...]
    limits: CallerLimits
    # Whether requests need a key unless their route is public.
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
        """Return the route with the longest prefix that begins the path."""
        rows = self._by_host.get(host, ())
        return next((row for row in rows if path.startswith(row.path_prefix)), None)

    def team_of(self, key: str) -> RoutedTeam | None:
        """Return the team that holds the key."""
        return self._by_key.get(key)
