"""HTTP responses to callers, including error bodies for refusals."""

import json
import math
from collections.abc import Callable, Iterable

import attrs

from masticfork.core.refusals import Refusal, RunState

RUN_STATE_HEADER = "Masticfork-Run-State"
REASON_HEADER = "Masticfork-Reason"
PROBLEM_TYPE_PREFIX = "urn:masticfork:refusal:"
# Refusals with these statuses always carry a Retry-After header.
RETRY_STATUSES = frozenset({409, 429, 503})
DEFAULT_RETRY_SECONDS = 1

_OPENAI_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
}

STATUS_TEXTS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


# Sends a part of a body to the caller; raises OSError if the caller disconnected.
Write = Callable[[bytes], object]


@attrs.frozen
class Response:
    """A response to a caller, with a complete or a streamed body."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: Iterable[bytes] = ()
    # Writes the body as it is generated; used instead of `body` if set.
    stream: Callable[[Write], None] | None = None

    def with_headers(self, *headers: tuple[str, str]) -> "Response":
        """Return a copy of the response with additional headers."""
        return attrs.evolve(self, headers=(*self.headers, *headers))


def status_line(status: int) -> str:
    """Return the HTTP status line: the code and its reason phrase."""
    return f"{status} {STATUS_TEXTS.get(status, 'Unknown')}"


def json_response(status: int, value: object) -> Response:
    """Return a response with a JSON body of known length."""
    body = json.dumps(value).encode()
    headers = (
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    )
    return Response(status, headers, (body,))


def openai_error(refusal: Refusal) -> dict[str, object]:
    """Return the refusal as an OpenAI-style error body, for clients of `/v1`."""
    error_type = _OPENAI_TYPES.get(refusal.status, "server_error")
    error = {
        "type": error_type,
        "code": refusal.reason.value,
        "message": refusal.message,
        "run_state": refusal.run_state.value,
    }
    return {"error": error}


def refusal_response(refusal: Refusal, openai: bool, now: float) -> Response:
    """Return the error response for a refusal.

    The body is an OpenAI-style error, or else problem details (RFC 9457).
    """
    if openai:
        response = json_response(refusal.status, openai_error(refusal))
    else:
        response = _problem_response(refusal)
    retry = _retry_after_seconds(refusal, now)
    extra = [
        (RUN_STATE_HEADER, refusal.run_state.value),
        (REASON_HEADER, refusal.reason.value),
    ]
    if retry is not None:
        extra.append(("Retry-After", str(retry)))
    if openai and refusal.run_state is not RunState.NOT_RUN:
        # OpenAI client libraries retry server errors unless this header forbids it.
        extra.append(("x-should-retry", "false"))
    return response.with_headers(*extra)


def _problem_response(refusal: Refusal) -> Response:
    problem = {
        "type": PROBLEM_TYPE_PREFIX + refusal.reason.value,
        "title": STATUS_TEXTS.get(refusal.status, "Error"),
        "status": refusal.status,
        "detail": refusal.message,
        "code": refusal.reason.value,
        "run_state": refusal.run_state.value,
    }
    body = json.dumps(problem).encode()
    headers = (
        ("Content-Type", "application/problem+json"),
        ("Content-Length", str(len(body))),
    )
    return Response(refusal.status, headers, (body,))


def _retry_after_seconds(refusal: Refusal, now: float) -> int | None:
    if refusal.retry_at is not None:
        return max(1, math.ceil(refusal.retry_at.remaining(now)))
    if refusal.status in RETRY_STATUSES:
        return DEFAULT_RETRY_SECONDS
    return None
