"""Decodes and encodes the HTTP heads of callers' requests and servers' responses."""

import contextlib
import math

from masticfork.core.forwarding import (
    CallerHead,
    CallerRequest,
    Dispatch,
    Header,
    PromptPart,
    ResponseHead,
)
from masticfork.platform import names

# Hop-by-hop headers (RFC 9110, section 7.6.1), and Content-Length, which is written
# anew.
_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Value of the model header with which a caller lets the router choose the model.
_ANY_MODEL = "*"
# Misdirected Request: the server did not run the request.
_MISDIRECTED_STATUS = 421
# Service Unavailable: with Retry-After, the server asks for a pause.
_UNAVAILABLE_STATUS = 503


def decode_caller_head(
    headers: list[Header], forward_authorization: bool
) -> CallerHead:
    """Decode the headers of a caller's request.

    `forward_authorization` forwards `Authorization` to the server, for
    configurations where the router checks no keys.
    """
    fields = _joined_values(headers)
    model = _decode_text(fields.get(names.MODEL))
    prompt_tokens, max_output_tokens = _token_usage(fields.get(names.TOKEN_USAGE))
    dropped = _CONNECTION_HEADERS | names.SYSTEM_HEADERS | _connection_options(fields)
    if not forward_authorization:
        dropped |= {names.AUTHORIZATION}
    wait_ms = _parse_number(fields.get(names.DEADLINE_MS))
    event_id = _parse_number(fields.get(names.LAST_EVENT_ID))
    return CallerHead(
        attempt_id=fields.get(names.ATTEMPT_ID, b""),
        timeout=None if wait_ms is None else wait_ms / 1000.0,
        key=_bearer_key(fields.get(names.AUTHORIZATION)),
        model=model,
        model_chosen_by_router=model == _ANY_MODEL,
        prompt=_prompt_parts(fields.get(names.PROMPT_PREFIX)),
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        session=_decode_text(fields.get(names.SESSION)),
        last_event_id=None if event_id is None else int(event_id),
        forwarded=tuple(header for header in headers if header[0] not in dropped),
    )


def encode_request_head(request: CallerRequest, dispatch: Dispatch) -> bytes:
    """Encode the request line and headers of a request to a server."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    overrides: dict[bytes, bytes] = {}
    if dispatch.model is not None:
        overrides[names.MODEL] = dispatch.model.encode()
    if dispatch.resume_after is not None:
        overrides[names.LAST_EVENT_ID] = b"%d" % dispatch.resume_after
    for name, value in request.head.forwarded:
        if name not in overrides:
            lines.append(name + b": " + value)
    lines += (name + b": " + value for name, value in overrides.items())
    lines.append(names.DEADLINE_MS + b": %d" % max(1, int(dispatch.timeout * 1000)))
    lines.append(names.EXPECT_INSTANCE + b": " + dispatch.server_id.encode())
    if dispatch.team is not None:
        lines.append(names.TEAM + b": " + dispatch.team.encode())
    if dispatch.priority is not None:
        lines.append(names.REQUEST_PRIORITY + b": %d" % dispatch.priority)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def decode_response_head(
    status: int, reason: bytes, headers: list[Header]
) -> ResponseHead:
    """Decode the status and headers of a server's response."""
    fields = _joined_values(headers)
    dropped = _CONNECTION_HEADERS | _connection_options(fields)
    confidence = _parse_number(fields.get(names.CONFIDENCE))
    length = _parse_number(fields.get(b"content-length"))
    return ResponseHead(
        status=status,
        reason=reason,
        attempt_id=fields.get(names.ATTEMPT_ID, b""),
        signed=names.SERVER_STAMP in fields,
        not_run=names.NOT_EXECUTED in fields or status == _MISDIRECTED_STATUS,
        misdirected=status == _MISDIRECTED_STATUS,
        leaving=fields.get(names.SERVER_LEAVING, b"").strip() == b"1",
        pause=_pause_seconds(status, fields.get(names.RETRY_AFTER)),
        limit=_request_rate(fields.get(names.SERVER_LIMIT)),
        names_limit=names.SERVER_LIMIT in fields,
        tolerated_refusals=_whole_number(fields.get(names.SERVER_BRITTLE)),
        is_brittle=names.SERVER_BRITTLE in fields,
        full=names.NOT_EXECUTED in fields and status == _UNAVAILABLE_STATUS,
        confidence=None if confidence is None else int(confidence),
        encoded=fields.get(b"content-encoding", b"identity") != b"identity",
        closes=b"close" in fields.get(b"connection", b"").lower(),
        keep_alive=_keep_alive_timeout(fields.get(b"keep-alive", b"")),
        content_length=None if length is None else int(length),
        chunked=b"chunked" in fields.get(b"transfer-encoding", b"").lower(),
        forwarded=tuple(header for header in headers if header[0] not in dropped),
    )


def error_headers(attempt_id: bytes, retry_after: float | None) -> list[Header]:
    """Return the headers of a response by the router itself.

    `retry_after` is in seconds.
    """
    headers = [(names.ATTEMPT_ID, attempt_id)] if attempt_id else []
    if retry_after is not None:
        headers.append((names.RETRY_AFTER, b"%.3f" % retry_after))
    return headers


def _joined_values(headers: list[Header]) -> dict[bytes, bytes]:
    """Return the value of each header, that of a repeated one with all its values.

    A value that is repeated as it is counts once.
    """
    fields = dict(headers)
    if len(fields) == len(headers):
        return fields
    values: dict[bytes, dict[bytes, None]] = {}
    for name, value in headers:
        values.setdefault(name, {})[value] = None
    return {name: b", ".join(distinct) for name, distinct in values.items()}


def _connection_options(fields: dict[bytes, bytes]) -> frozenset[bytes]:
    """Return the hop-by-hop headers that `Connection` lists."""
    options = fields.get(b"connection", b"").lower().split(b",")
    # A caller may not remove the identity or the model of its request this way.
    return frozenset(name.strip() for name in options) - _NEVER_DROPPED


_NEVER_DROPPED = frozenset(
    {names.ATTEMPT_ID, names.MODEL, names.TOKEN_USAGE, names.PROMPT_PREFIX}
)


def _bearer_key(value: bytes | None) -> str | None:
    if value is None or not value.lower().startswith(names.KEY_SCHEME):
        return None
    return value[len(names.KEY_SCHEME) :].strip().decode("latin-1")


def _prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    """Decode ID:TOKENS entries up to the first malformed one."""
    parts: list[PromptPart] = []
    for entry in (value or b"").split(b","):
        name, _, tokens = entry.strip().partition(b":")
        if not name or not tokens.isdigit():
            break
        parts.append(PromptPart(name.decode("latin-1"), int(tokens)))
    return tuple(parts)


def _token_usage(value: bytes | None) -> tuple[int, int]:
    prompt, _, output = (value or b"").partition(b",")
    return int(_parse_number(prompt) or 0), int(_parse_number(output) or 0)


def _keep_alive_timeout(value: bytes) -> float | None:
    for entry in value.split(b","):
        name, _, seconds = entry.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _parse_number(seconds)
    return None


def _pause_seconds(status: int, retry_after: bytes | None) -> float | None:
    """Return the pause that a rejecting server asks for; dates are not supported."""
    if status != _UNAVAILABLE_STATUS:
        return None
    seconds = _parse_number(retry_after)
    return seconds if seconds is not None and seconds > 0.0 else None


def _request_rate(value: bytes | None) -> float | None:
    """Return the requests a second that a server takes, None if malformed."""
    rate = _parse_number(value)
    return rate if rate is not None and rate >= 0.0 else None


def _whole_number(value: bytes | None) -> int | None:
    """Return a number that is not negative, rounded down, None if malformed."""
    number = _parse_number(value)
    return int(number) if number is not None and number >= 0.0 else None


def _parse_number(value: bytes | None) -> float | None:
    """Return a finite number, None where the value is missing or is not one."""
    if value is not None:
        with contextlib.suppress(ValueError):
            number = float(value)
            return number if math.isfinite(number) else None
    return None


def _decode_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")
