"""Responses of the administration API; times are seconds since the Unix epoch."""

import enum
from typing import Any

import attrs


class RolloutAction(enum.Enum):
    """Action of an operator on a rollout."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    PROMOTE = "promote"
    WITHDRAW = "withdraw"


class HostHealth(enum.Enum):
    """Health of a host, as judged by the host that answers."""

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
    # Number of the configuration in force there, as last reported; 0 for none.
    configuration_number: int
    heard_at: float


@attrs.frozen
class PoolView:
    """Backend servers of a pool or service by state, with their load."""

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
    """State of one rollout."""

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
    """State of the whole system as known to one host."""

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
    """Token usage and cost of one attempt."""

    attempt_id: str
    version: str
    prompt_tokens: int
    completion_tokens: int
    cost: float


@attrs.frozen
class BillView:
    """The bill of one request."""

    request_id: str
    team: str
    work_class: str
    host: str
    at: float
    cost: float
    steps: tuple[BillStep, ...] = ()


@attrs.frozen
class BillPage:
    """A page of bills; `next` is an opaque cursor, None on the last page."""

    items: tuple[BillView, ...]
    next: str | None = None


@attrs.frozen
class Explanation:
    """Recorded events that explain how a request was routed."""

    request_id: str
    team: str
    # Each event is an object with `kind` and `at`.
    events: tuple[dict[str, Any], ...]


@attrs.frozen
class DrainView:
    """Drain of a server, host or zone, which gets no new work while it is active."""

    # One of `server`, `host` and `zone`, which stands for the servers of the zone.
    kind: str
    name: str
    active: bool
    by: str
    at: float
    submission_id: str


@attrs.frozen
class EvacuationList:
    """The availability zones whose servers get no new work."""

    items: tuple[DrainView, ...]
