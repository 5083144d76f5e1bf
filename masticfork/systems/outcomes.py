"""Outcomes of calls, as evidence of the health of their backend servers."""

import collections
import enum
import threading

import attrs

from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.ids import ServerName


class Outcome(enum.Enum):
    """What the outcome of a call indicates about its server."""

    SUCCESS = "success"
    # The connection could not be made, so the request certainly did not run.
    UNREACHABLE = "unreachable"
    # The server stated that it accepts no requests.
    REFUSED = "refused"
    FAILED = "failed"


# Failures that indicate nothing about the health of the server.
_INCONCLUSIVE_FAILURES = frozenset(
    {FailureKind.CALLER_GONE, FailureKind.NOT_LOADED, FailureKind.UNKNOWN_REQUEST}
)


@attrs.frozen
class CallResult:
    """The outcome of one call, which ended at `at`, in seconds since the Unix epoch."""

    server: ServerName
    outcome: Outcome
    at: float


class CallResults:
    """Thread-safe buffer of call outcomes to be processed in the next tick.

    When it is full, the oldest outcomes are dropped.
    """

    MAX_PENDING = 100_000

    def __init__(self) -> None:
        self._pending: collections.deque[CallResult] = collections.deque(
            maxlen=self.MAX_PENDING
        )
        self._lock = threading.Lock()

    def add(self, server: ServerName, outcome: Outcome, at: float) -> None:
        """Record the outcome of a call that ended at `at`."""
        with self._lock:
            self._pending.append(CallResult(server, outcome, at))

    def take_all(self) -> tuple[CallResult, ...]:
        """Return and clear the recorded outcomes."""
        with self._lock:
            taken = tuple(self._pending)
            self._pending.clear()
        return taken


def outcome_of(failure: CallFailure | None) -> Outcome | None:
    """Return the outcome of a call, or None if it indicates nothing about the server.

    `failure` is None for a call that succeeded.
    """
    if failure is None:
        return Outcome.SUCCESS
    if failure.kind in _INCONCLUSIVE_FAILURES:
        return None
    if failure.kind is FailureKind.REFUSED:
        return Outcome.REFUSED
    unreachable = failure.stage is Stage.CONNECTING
    return Outcome.UNREACHABLE if unreachable else Outcome.FAILED
