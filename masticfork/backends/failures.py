"""Failures of calls to backend servers, and whether a failed call has run."""

import enum

import attrs

from masticfork.core.refusals import RunState


class Stage(enum.Enum):
    """The last stage that a call reached."""

    CONNECTING = "connecting"
    SENDING = "sending"
    SENT = "sent"
    ANSWERING = "answering"


class FailureKind(enum.Enum):
    """What went wrong with a call."""

    CONNECTION = "connection"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    NOT_LOADED = "not_loaded"
    UNKNOWN_REQUEST = "unknown_request"
    ERROR_STATUS = "error_status"
    MALFORMED_ANSWER = "malformed_answer"
    # A repeated attempt generated other tokens than those already sent to the caller.
    DIFFERENT_ANSWER = "different_answer"
    # The caller's connection was lost; this is no failure of the backend server.
    CALLER_GONE = "caller_gone"


# Responses with which a server states that it did not run the call.
_NOT_RUN_KINDS = frozenset(
    {FailureKind.REFUSED, FailureKind.NOT_LOADED, FailureKind.UNKNOWN_REQUEST}
)


@attrs.frozen
class CallFailure:
    """A failed call with the stage that it reached."""

    stage: Stage
    kind: FailureKind
    message: str

    @property
    def run_state(self) -> RunState:
        """Return NOT_RUN if the server certainly did not run the call, else UNKNOWN."""
        if self.stage is Stage.CONNECTING or self.kind in _NOT_RUN_KINDS:
            return RunState.NOT_RUN
        return RunState.UNKNOWN
