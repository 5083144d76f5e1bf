"""Parse WSGI requests into typed calls or refusals."""

import json
import math
import re
import urllib.parse
from typing import Any

import attrs
from result import Err, Ok, Result

from masticfork.core.calls import CallHead, ChatCall, ServiceCall
from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.ids import ModelName, RequestId, ServiceName, random_id
from masticfork.core.manifest import Operation, Team, WorkClass
from masticfork.core.refusals import Reason, Refusal

Environ = dict[str, Any]

DEFAULT_DEADLINE_SECONDS = 120.0
MAX_IDEMPOTENCY_KEY_LENGTH = 255
MAX_MESSAGES = 4096
SERVICES_PREFIX = "/services/"
# Methods that HTTP defines as safe, and thus idempotent.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]+")
# Hop-by-hop headers and those that the router itself sets are not forwarded.
_DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "masticfork-deadline",
        "masticfork-session",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen
class RequestLimits:
    """Size limits of a caller's request."""

    max_body_bytes: int
    max_header_count: int
    max_header_bytes: int


def header_names(environ: Environ) -> list[str]:
    """Return the WSGI names of the headers that the caller sent."""
    return [name for name in environ if name.startswith("HTTP_")]


def check_size(environ: Environ, limits: RequestLimits) -> Refusal | None:
    """Return a refusal if the body or the headers exceed the limits, else None."""
    if int(environ.get("CONTENT_LENGTH") or 0) > limits.max_body_bytes:
        message = f"the body is larger than {limits.max_body_bytes} bytes"
        return Refusal(Reason.BODY_TOO_LARGE, message)
    names = header_names(environ)
    if len(names) > limits.max_header_count:
        message = f"the request has more than {limits.max_header_count} headers"
        return Refusal(Reason.MALFORMED, message)
    if sum(len(name) + len(environ[name]) for name in names) > limits.max_header_bytes:
        message = f"the headers are larger than {limits.max_header_bytes} bytes"
        return Refusal(Reason.MALFORMED, message)
    return None


def bearer_key(environ: Environ) -> Result[str, Refusal]:
    """Return the caller's API key from the Authorization header."""
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        message = "send the team's key as `Authorization: Bearer KEY`"
        return Err(Refusal(Reason.KEY_MISSING, message))
    return Ok(key.strip())


def parse_head(environ: Environ, team: Team, now: float) -> Result[CallHead, Refusal]:
    """Parse the headers that all calls share."""
    deadline = _parse_deadline(environ, now)
    if isinstance(deadline, Err):
        return deadline
    key = environ.get("HTTP_IDEMPOTENCY_KEY")
    if key is not None and not _is_valid_idempotency_key(key):
        message = "Idempotency-Key must be 1 to 255 visible ASCII characters"
        return Err(Refusal(Reason.MALFORMED, message))
    head = CallHead(
        request_id=RequestId(key or random_id("req")),
        has_caller_key=key is not None,
        team=team,
        deadline=deadline.ok_value,
        received_at=now,
        session_token=environ.get("HTTP_MASTICFORK_SESSION"),
        traceparent=environ.get("HTTP_TRACEPARENT"),
    )
    return Ok(head)


def parse_chat(
    environ: Environ, head: CallHead, body: bytes
) -> Result[ChatCall, Refusal]:
    """Parse a chat completion request."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(Refusal(Reason.MALFORMED, f"the body is not JSON: {error}"))
    problem = _chat_error(value)
    if problem is not None:
        return Err(Refusal(Reason.MALFORMED, problem))
    work_class = _parse_work_class(environ, head.team)
    if isinstance(work_class, Err):
        return work_class
    options = value.get("stream_options") or {}
    call = ChatCall(
        head=head,
        model=ModelName(value["model"]),
        work_class=work_class.ok_value,
        stream=value.get("stream") or False,
        include_usage=bool(options.get("include_usage")),
        body=value,
    )
    return Ok(call)


def parse_service(
    environ: Environ, head: CallHead, configuration: Configuration, body: bytes
) -> Result[ServiceCall, Refusal]:
    """Parse a service call and match it to a declared service and operation."""
    rest = environ["PATH_INFO"][len(SERVICES_PREFIX) :]
    name, _, path = rest.partition("/")
    service = configuration.services.get(ServiceName(name))
    if service is None or name not in head.team.services:
        message = f"the team has no service {name!r}"
        return Err(Refusal(Reason.SERVICE_UNKNOWN, message))
    method = environ["REQUEST_METHOD"]
    operation = find_operation(service.operations, method, f"/{path}")
    query = environ.get("QUERY_STRING")
    call = ServiceCall(
        head=head,
        service=service,
        operation=operation,
        method=method,
        path=_requote(f"/{path}") + (f"?{query}" if query else ""),
        headers=_forwarded_headers(environ),
        body=body,
    )
    return Ok(call)


def find_operation(
    operations: tuple[Operation, ...], method: str, path: str
) -> Operation:
    """Return the declared operation, or a conservative default.

    An undeclared operation counts as idempotent only if its HTTP method is safe.
    """
    for operation in operations:
        if operation.method == method and _path_matches(operation.path, path):
            return operation
    safe = method in SAFE_METHODS
    work_class = WorkClass.LOOKUP if safe else WorkClass.RESERVATION
    return Operation(method, path, idempotent=safe, work_class=work_class)


def _requote(path: str) -> str:
    # WSGI provides the path unquoted and decoded as Latin-1; services get it quoted.
    return urllib.parse.quote(path, safe="/:@!$&'()*+,;=~", encoding="latin-1")


def _path_matches(pattern: str, path: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern


def _is_valid_idempotency_key(key: str) -> bool:
    fits = len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH
    return fits and _IDEMPOTENCY_KEY_PATTERN.fullmatch(key) is not None


def _parse_deadline(environ: Environ, now: float) -> Result[Deadline, Refusal]:
    text = environ.get("HTTP_MASTICFORK_DEADLINE")
    if text is None:
        return Ok(Deadline.after(now, DEFAULT_DEADLINE_SECONDS))
    try:
        at = float(text)
    except ValueError:
        at = math.nan
    if not math.isfinite(at):
        message = "Masticfork-Deadline must be seconds since the Unix epoch"
        return Err(Refusal(Reason.MALFORMED, message))
    deadline = Deadline(at)
    if deadline.expired(now):
        return Err(Refusal(Reason.DEADLINE_EXPIRED, "the deadline has passed"))
    return Ok(deadline)


def _parse_work_class(environ: Environ, team: Team) -> Result[WorkClass, Refusal]:
    text = environ.get("HTTP_MASTICFORK_CLASS", WorkClass.DRAFTING.value)
    allowed = {work_class.value: work_class for work_class in team.classes}
    if text not in allowed:
        message = f"the team may not use class {text!r}; it may use {sorted(allowed)}"
        return Err(Refusal(Reason.MALFORMED, message))
    return Ok(allowed[text])


def _chat_error(value: object) -> str | None:
    if not isinstance(value, dict):
        return "the body must be a JSON object"
    if not isinstance(value.get("model"), str) or not value["model"]:
        return "`model` must be a non-empty string"
    messages = value.get("messages")
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        return f"`messages` must be a list of 1 to {MAX_MESSAGES} messages"
    if not all(isinstance(m, dict) and "role" in m for m in messages):
        return "each message must be an object with a `role`"
    if not all(isinstance(m.get("content"), str | list | None) for m in messages):
        return "`content` must be a string or a list of parts"
    if not isinstance(value.get("stream", False), bool | None):
        return "`stream` must be true or false"
    if not isinstance(value.get("stream_options"), dict | None):
        return "`stream_options` must be an object"
    tokens = value.get("max_tokens")
    if tokens is not None and (type(tokens) is not int or tokens < 1):
        return "`max_tokens` must be a positive integer"
    if value.get("n", 1) not in (1, None):
        return "`n` must be 1"
    return None


def _forwarded_headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    named = {
        name[5:].replace("_", "-").lower(): environ[name]
        for name in header_names(environ)
    }
    if environ.get("CONTENT_TYPE"):
        named["content-type"] = environ["CONTENT_TYPE"]
    return tuple(
        (name, value) for name, value in named.items() if name not in _DROPPED_HEADERS
    )
