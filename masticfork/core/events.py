"""What happens to a request, in order; read by golden files and by `explain`."""

import threading
from collections import OrderedDict

import attrs

from masticfork.core.ids import AttemptId, RequestId, ServerName, SessionId, VersionId


@attrs.frozen
class Candidate:
    """A version that a request could go to and what ruled it out."""

    version: VersionId
    ruled_out_by: str | None = None
    expected_quality: float | None = None
    expected_cost: float | None = None


@attrs.frozen
class Received:
    """A request passed authentication and parsing."""

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
    """An attempt left for a backend server."""

    at: float
    attempt: AttemptId
    server: ServerName
    # Tokens after which a known generation was resumed; none for a new one.
    resume_after: int | None = None


@attrs.frozen
class AttemptFailed:
    """An attempt ended without a whole answer."""

    at: float
    attempt: AttemptId
    stage: str
    kind: str


@attrs.frozen
class Claimed:
    """The request's key was claimed at the platform."""

    at: float
    fencing: int


@attrs.frozen
class Replayed:
    """The stored answer of an earlier run was handed out."""

    at: float
    status: int


@attrs.frozen
class Relayed:
    """All chunks of an answer but its end were handed out."""

    at: float
    chunks: int


@attrs.frozen
class Billed:
    """The bill would survive the loss of this host."""

    at: float
    cost: float
    completion_tokens: int


@attrs.frozen
class Refused:
    """A request got a refusal as its final answer."""

    at: float
    reason: str
    run_state: str


@attrs.frozen
class Ended:
    """A request got the end of its answer, or its caller went away."""

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


class Journal:
    """The events of the last requests of this host, bounded in number."""

    def __init__(self, max_requests: int = 4096) -> None:
        self._max_requests = max_requests
        self._lock = threading.Lock()
        self._events: OrderedDict[RequestId, list[Event]] = OrderedDict()

    def add(self, request: RequestId, event: Event) -> None:
        """Record an event, forgetting the oldest request when full."""
        with self._lock:
            self._events.setdefault(request, []).append(event)
            if len(self._events) > self._max_requests:
                self._events.popitem(last=False)

    def of(self, request: RequestId) -> tuple[Event, ...]:
        """Return the events of a request, oldest first."""
        with self._lock:
            return tuple(self._events.get(request, ()))
