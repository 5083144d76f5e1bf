"""Backend servers as they describe themselves, and the roll-outs over them."""

import enum

import attrs


@attrs.frozen
class Address:
    """Where a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class BackendServer:
    """One incarnation of a backend server."""

    id: str
    service: str
    address: Address
    zone: str
    # Version of its software.
    version: str
    # Requests that it runs at once.
    slots: int
    draining: bool
    # Unix time in milliseconds of its start; another number is another incarnation.
    born_ms: int | None = None


class RolloutState(enum.Enum):
    """How far a roll-out is; the last two are final."""

    ORDERED = "ordered"
    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "rolled_back"


@attrs.frozen
class RolloutProgress:
    """What the hosts have written of a roll-out."""

    state: RolloutState = RolloutState.ORDERED
    # Index of the step in force, see systems/version_shift.
    step: int = 0
    # Unix time in seconds at which the first host saw the order.
    ordered_at: float = 0.0


@attrs.frozen
class VersionRollout:
    """An order to move a service to the servers of one version."""

    service: str
    target: str
    # Seconds from the order in which it has to be done.
    duration: float
    # The store's revision of the object, the condition of the next write.
    revision: int
    # The store's revision of the order itself, its identity.
    created: int
    progress: RolloutProgress
