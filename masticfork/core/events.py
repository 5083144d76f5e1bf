"""Events in the life of a request; used by golden files and the `explain` command."""

import threading
from collections import OrderedDict

import attrs

from masticfork.core.ids import AttemptId, RequestId, ServerName, SessionId, VersionId


@attrs.frozen
class Candidate:
    """A version considered for a request, and the rule that excluded it, if any."""

    version: VersionId
    ruled_out_by: str | None = None
    expected_quality: float | None = None
    expected_cost: float | None = None


@attrs.frozen
class Received:
    """A request was parsed and authenticated."""

    at: float
    team: str
    work_class: str
    target: str


@attrs.frozen
class Decided:
    """A version was chosen for a session."""

    at: float
    session: SessionId
    version: VersionId
    reason: str
    candidates: tuple[Candidate, ...] = ()


@attrs.frozen
class Dispatched:
    """An attempt was sent to a backend server."""

    at: float
    attempt: AttemptId
    server: ServerName
    # Token count after which an earlier generation was resumed; None for a new one.
    resume_after: int | None = None


@attrs.frozen
class AttemptFailed:
    """An attempt ended without a complete response."""

    at: float
    attempt: AttemptId
    stage: str
    kind: str


@attrs.frozen
class Claimed:
    """The request's idempotency key was claimed at the platform."""

    at: float
    fencing: int


@attrs.frozen
class Replayed:
    """The stored response of an earlier run was returned to the caller."""

    at: float
    status: int


@attrs.frozen
class Relayed:
    """All chunks of a response except the last were sent to the caller."""

    at: float
    chunks: int


@attrs.frozen
class Billed:
    """The bill was stored durably: it survives the loss of this host."""

    at: float
    cost: float
    completion_tokens: int


@attrs.frozen
class Refused:
    """A request was refused; the refusal is its final response."""

    at: float
    reason: str
    run_state: str


@attrs.frozen
class Ended:
    """The response was sent completely, or the caller disconnected."""

    at: float
    outcome: str


Event = (
    Received
    | Decided
    | Dispatched
    | AttemptFailed
    | Claimed
    | Replayed
    | Relayed
    | Billed
    | Refused
    | Ended
)


class EventLog:
    """Thread-safe log of the events of this host's most recent requests."""

    def __init__(self, max_requests: int = 4096) -> None:
        self._max_requests = max_requests
        self._lock = threading.Lock()
        self._events: OrderedDict[RequestId, list[Event]] = OrderedDict()

    def add(self, request: RequestId, event: Event) -> None:
        """Record an event, evicting the oldest request when the log is full."""
        with self._lock:
            self._events.setdefault(request, []).append(event)
            if len(self._events) > self._max_requests:
                self._events.popitem(last=False)

    def events_of(self, request: RequestId) -> tuple[Event, ...]:
        """Return the events of a request, oldest first; empty for an unknown one."""
        with self._lock:
            return tuple(self._events.get(request, ()))
