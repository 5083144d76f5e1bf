"""How a call to a backend server can fail, and what that tells of the run."""

import enum

import attrs

from masticfork.core.refusals import RunState


class Stage(enum.Enum):
    """How far a call had got."""

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
    # A second attempt began otherwise than what the caller already has.
    DIFFERENT_ANSWER = "different_answer"
    # The caller's connection broke; the backend server did nothing wrong.
    CALLER_GONE = "caller_gone"


# The server answered that it ran nothing, so its word settles the run state.
_REFUSALS_BEFORE_RUN = frozenset(
    {FailureKind.REFUSED, FailureKind.NOT_LOADED, FailureKind.UNKNOWN_REQUEST}
)


@attrs.frozen
class CallFailure:
    """A failed call with the stage that it had reached."""

    stage: Stage
    kind: FailureKind
    message: str

    @property
    def run_state(self) -> RunState:
        """Return what the failure tells of whether the call ran."""
        if self.stage is Stage.CONNECTING or self.kind in _REFUSALS_BEFORE_RUN:
            return RunState.NOT_RUN
        return RunState.UNKNOWN
