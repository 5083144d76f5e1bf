"""Typed errors of the administration API and their problem details."""

import enum
import json
import math
from typing import Any

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.refusals import RunState
from masticfork.entry.responses import STATUS_TEXTS, Response

PROBLEM_TYPE_PREFIX = "urn:masticfork:admin:"


class ProblemCode(enum.Enum):
    """Kind of error; the value is the code that clients see."""

    MALFORMED = "malformed"
    KEY_MISSING = "key_missing"
    KEY_WRONG = "key_wrong"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    MANIFEST_REFUSED = "manifest_refused"
    SUBMISSION_ID_REUSED = "submission_id_reused"
    PLATFORM_DOWN = "platform_down"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


PROBLEM_STATUS: dict[ProblemCode, int] = {
    ProblemCode.MALFORMED: 400,
    ProblemCode.KEY_MISSING: 401,
    ProblemCode.KEY_WRONG: 401,
    ProblemCode.FORBIDDEN: 403,
    ProblemCode.NOT_FOUND: 404,
    ProblemCode.METHOD_NOT_ALLOWED: 405,
    ProblemCode.CONFLICT: 409,
    ProblemCode.TOO_LARGE: 413,
    ProblemCode.MANIFEST_REFUSED: 422,
    ProblemCode.SUBMISSION_ID_REUSED: 422,
    ProblemCode.PLATFORM_DOWN: 503,
    ProblemCode.OUTCOME_UNKNOWN: 504,
    ProblemCode.INTERNAL: 500,
}

_OUTCOME_UNKNOWN_CODES = frozenset({ProblemCode.OUTCOME_UNKNOWN, ProblemCode.INTERNAL})

# Retry-After in seconds where the platform gave no time of its own.
DEFAULT_RETRY_SECONDS = 1


@attrs.frozen
class Problem:
    """Why a call to the administration API failed."""

    code: ProblemCode
    detail: str
    retry_at: Deadline | None = None
    # Additional members of the response body, as JSON values.
    members: dict[str, Any] = attrs.field(factory=dict)

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return PROBLEM_STATUS[self.code]

    @property
    def run_state(self) -> RunState:
        """Return whether the call may have had an effect."""
        return (
            RunState.UNKNOWN
            if self.code in _OUTCOME_UNKNOWN_CODES
            else RunState.NOT_RUN
        )


def problem_response(problem: Problem, now: float) -> Response:
    """Return the HTTP response that carries the problem details of an error."""
    body = json.dumps(
        {
            "type": PROBLEM_TYPE_PREFIX + problem.code.value,
            "title": STATUS_TEXTS[problem.status],
            "status": problem.status,
            "detail": problem.detail,
            "code": problem.code.value,
            "run_state": problem.run_state.value,
            **problem.members,
        }
    ).encode()
    headers = [
        ("Content-Type", "application/problem+json"),
        ("Content-Length", str(len(body))),
    ]
    if problem.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    if problem.code is ProblemCode.PLATFORM_DOWN:
        headers.append(("Retry-After", str(_retry_seconds(problem, now))))
    return Response(problem.status, tuple(headers), (body,))


def _retry_seconds(problem: Problem, now: float) -> int:
    if problem.retry_at is None:
        return DEFAULT_RETRY_SECONDS
    return max(1, math.ceil(problem.retry_at.remaining(now)))
