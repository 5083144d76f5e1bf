"""What the administration API shows; times are seconds since the Unix epoch."""

import enum
from typing import Any

import attrs


class RolloutAction(enum.Enum):
    """What an operator may do with a roll-out."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    PROMOTE = "promote"
    WITHDRAW = "withdraw"


class HostHealth(enum.Enum):
    """How the answering host sees another one."""

    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@attrs.frozen
class HostView:
    """One entry host."""

    name: str
    zone: str
    address: str
    health: HostHealth
    # Number of the configuration in force there, as last heard; 0 for none.
    configuration_number: int
    heard_at: float


@attrs.frozen
class PoolView:
    """How many backend servers of a pool or service can take work."""

    name: str
    servers: int
    ready: int
    ejected: int
    leaving: int
    slots: int
    in_flight: int


@attrs.frozen
class LeaseView:
    """One lease for a control duty."""

    name: str
    holder: str
    fencing: int
    expires_at: float


@attrs.frozen
class RolloutView:
    """Where one roll-out stands."""

    name: str
    model: str
    from_version: str
    to_version: str
    state: str
    step: int
    share: float
    reason: str = ""


@attrs.frozen
class Status:
    """What one host knows of the whole system."""

    host: str
    at: float
    # Number of the configuration in force at this host; 0 for none.
    configuration_number: int
    submission_id: str
    confirmed_until: float | None
    hosts: tuple[HostView, ...]
    pools: tuple[PoolView, ...] = ()
    services: tuple[PoolView, ...] = ()
    leases: tuple[LeaseView, ...] = ()
    rollouts: tuple[RolloutView, ...] = ()


@attrs.frozen
class BillStep:
    """What one attempt used and costs."""

    attempt_id: str
    version: str
    prompt_tokens: int
    completion_tokens: int
    cost: float


@attrs.frozen
class BillView:
    """The bill of one request, under the request's identity."""

    request_id: str
    team: str
    work_class: str
    host: str
    at: float
    cost: float
    steps: tuple[BillStep, ...] = ()


@attrs.frozen
class BillPage:
    """Some bills, ordered by an opaque cursor; no cursor on the last page."""

    items: tuple[BillView, ...]
    next: str | None = None


@attrs.frozen
class Explanation:
    """Why a request went where it did, event by event."""

    request_id: str
    team: str
    # Each event is an object with `kind` and `at`.
    events: tuple[dict[str, Any], ...]


@attrs.frozen
class DrainView:
    """Whether a backend server or an entry host is to get no new work."""

    # Either `server` or `host`.
    kind: str
    name: str
    active: bool
    by: str
    at: float
    submission_id: str
