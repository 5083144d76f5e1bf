"""What the end of a call tells of its backend server."""

import collections
import enum
import threading

import attrs

from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.ids import ServerName


class Outcome(enum.Enum):
    """What a call's end tells of the server."""

    SUCCESS = "success"
    # The connection could not be made; surely nothing ran.
    UNREACHABLE = "unreachable"
    # The server said that it takes no work.
    REFUSED = "refused"
    FAILED = "failed"


# Ends of calls that tell nothing of the server.
_NOT_THE_SERVERS = frozenset(
    {FailureKind.CALLER_GONE, FailureKind.NOT_LOADED, FailureKind.UNKNOWN_REQUEST}
)


@attrs.frozen
class CallEnd:
    """One call's end, at a time in seconds since the Unix epoch."""

    server: ServerName
    outcome: Outcome
    at: float


class CallEnds:
    """Ends of calls that wait for the next tick, safe for threads."""

    MAX_WAITING = 100_000

    def __init__(self) -> None:
        self._waiting: collections.deque[CallEnd] = collections.deque(
            maxlen=self.MAX_WAITING
        )
        self._lock = threading.Lock()

    def add(self, server: ServerName, outcome: Outcome, at: float) -> None:
        """Record the end of a call."""
        with self._lock:
            self._waiting.append(CallEnd(server, outcome, at))

    def take(self) -> tuple[CallEnd, ...]:
        """Return what was recorded since the last call."""
        with self._lock:
            taken = tuple(self._waiting)
            self._waiting.clear()
        return taken


def outcome_of(failure: CallFailure | None) -> Outcome | None:
    """Return what a call's failure, or its success, tells; none if nothing."""
    if failure is None:
        return Outcome.SUCCESS
    if failure.kind in _NOT_THE_SERVERS:
        return None
    if failure.kind is FailureKind.REFUSED:
        return Outcome.REFUSED
    unreachable = failure.stage is Stage.CONNECTING
    return Outcome.UNREACHABLE if unreachable else Outcome.FAILED
