"""Backend servers as they register themselves, and version rollouts over them."""

import enum

import attrs

from masticfork.core.store_position import StorePosition


@attrs.frozen
class Address:
    """The address at which a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class BackendServer:
    """One run of a backend server's process, from start to exit."""

    id: str
    service: str
    address: Address
    zone: str
    # Version of the server's software.
    version: str
    # Requests that the server runs concurrently.
    slots: int
    draining: bool
    # Start time in Unix milliseconds; a different time means a restarted process.
    started_at_ms: int | None = None
    # Seconds for which the server stays cold, as of the writing of its entry.
    cold_remaining: float = 0.0


class RolloutState(enum.Enum):
    """State of a rollout; DONE and ROLLED_BACK are final."""

    ORDERED = "ordered"
    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "rolled_back"


@attrs.frozen
class HostRequests:
    """Requests of a service that one start of a host has sent during a rollout."""

    host: str
    # Random number that identifies the start of the host's process.
    start: int
    sent: int
    # Those of them that the new version got, or may get soon.
    to_new: int


@attrs.frozen
class RolloutProgress:
    """Progress of a rollout, as the hosts have written it to the store."""

    state: RolloutState = RolloutState.ORDERED
    # Current step, `CANARY` or `FULL` of `systems.version_shift`; earlier builds write
    # a further one.
    step: int = 0
    # Unix time in seconds of the order, by the time of day of the host that wrote.
    ordered_at: float = 0.0
    # Seconds since the order, at least, when this was written.
    elapsed: float = 0.0
    # What the hosts had sent by then.
    requests: tuple[HostRequests, ...] = ()
    # How long a write to the store took lately, in seconds.
    store_seconds: float = 0.0
    # The replaced version's usual times to first byte by model size, relative to the
    # expected ones.
    usual_times: tuple[tuple[int, float], ...] = ()


@attrs.frozen
class VersionRollout:
    """An order to move a service to the servers of one version."""

    service: str
    target: str
    # Seconds, counted from the order, within which the rollout must be complete.
    duration: float
    # Position of the object in the store; the next write is conditional on it.
    position: StorePosition
    # Store revision at which the order was created; identifies the order, also after
    # the store was restored and the object was created again.
    created: int
    # Store revision at which the present object was created.
    object_created: int
    # The furthest progress that this host knows of.
    progress: RolloutProgress
    # The progress that the store holds; behind the above after a restoration.
    stored_progress: RolloutProgress = attrs.field(
        default=attrs.Factory(lambda self: self.progress, takes_self=True)
    )
    # Versions of the service that earlier orders were rolled back from.
    rejected: frozenset[str] = frozenset()
