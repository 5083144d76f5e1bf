"""The reasons for which requests are refused, and their HTTP status codes."""

import enum

import attrs

from masticfork.core.deadlines import Deadline


class RunState(enum.Enum):
    """Whether a refused request ran, as far as is known."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was refused; the value is the code that callers see."""

    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body_too_large"
    KEY_MISSING = "key_missing"
    KEY_WRONG = "key_wrong"
    MODEL_UNKNOWN = "model_unknown"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    SERVICE_UNKNOWN = "service_unknown"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    SESSION_INVALID = "session_invalid"
    KEY_REUSED = "idempotency_key_reused"
    STILL_RUNNING = "still_running"
    DEADLINE_EXPIRED = "deadline_expired"
    LIMIT_REACHED = "limit_reached"
    OVERLOADED = "overloaded"
    NO_SERVER = "no_server"
    NO_CONFIGURATION = "no_configuration"
    CONFIGURATION_STALE = "configuration_stale"
    STOPPING = "stopping"
    PLATFORM_DOWN = "platform_down"
    BILL_NOT_KEPT = "bill_not_kept"
    BACKEND_FAILED = "backend_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


HTTP_STATUS: dict[Reason, int] = {
    Reason.MALFORMED: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_MISSING: 401,
    Reason.KEY_WRONG: 401,
    Reason.MODEL_UNKNOWN: 404,
    Reason.MODEL_NOT_ALLOWED: 403,
    Reason.SERVICE_UNKNOWN: 404,
    Reason.NOT_FOUND: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.SESSION_INVALID: 400,
    Reason.KEY_REUSED: 422,
    Reason.STILL_RUNNING: 409,
    Reason.DEADLINE_EXPIRED: 504,
    Reason.LIMIT_REACHED: 429,
    Reason.OVERLOADED: 503,
    Reason.NO_SERVER: 503,
    Reason.NO_CONFIGURATION: 503,
    Reason.CONFIGURATION_STALE: 503,
    Reason.STOPPING: 503,
    Reason.PLATFORM_DOWN: 503,
    Reason.BILL_NOT_KEPT: 503,
    Reason.BACKEND_FAILED: 502,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.INTERNAL: 500,
}


@attrs.frozen
class Refusal:
    """A final response without a result."""

    reason: Reason
    message: str
    run_state: RunState = RunState.NOT_RUN
    # When the caller should retry; None if a retry cannot succeed.
    retry_at: Deadline | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return HTTP_STATUS[self.reason]
