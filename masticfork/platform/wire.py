"""Translates HTTP headers of callers and servers to and from records."""

import contextlib

from masticfork.core.forwarding import (
    AnswerHead,
    CallerHead,
    CallerRequest,
    Dispatch,
    Header,
    PromptPart,
)
from masticfork.platform import names

# Headers that concern one connection only (RFC 9110, section 7.6.1), and the length,
# which is written anew.
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
# The value with which a caller leaves the choice of the model to the system.
_ANY_MODEL = "*"
_NOT_RUN_STATUS = 421


def decode_caller_head(headers: list[Header], keep_key: bool) -> CallerHead:
    """Return what a request's headers say; `keep_key` where keys mean nothing."""
    fields = dict(headers)
    model = _text(fields.get(names.MODEL))
    tokens_in, tokens_out = _token_usage(fields.get(names.TOKEN_USAGE))
    dropped = _CONNECTION_HEADERS | names.SYSTEM_HEADERS | _listed(fields)
    if not keep_key:
        dropped |= {names.AUTHORIZATION}
    wait_ms = _number(fields.get(names.DEADLINE_MS))
    event = _number(fields.get(names.LAST_EVENT_ID))
    return CallerHead(
        attempt_id=fields.get(names.ATTEMPT_ID, b""),
        wait=None if wait_ms is None else wait_ms / 1000.0,
        key=_key(fields.get(names.AUTHORIZATION)),
        model=model,
        any_model=model == _ANY_MODEL,
        prompt=_prompt(fields.get(names.PROMPT_PREFIX)),
        prompt_tokens=tokens_in,
        max_output_tokens=tokens_out,
        session=_text(fields.get(names.SESSION)),
        last_event_id=None if event is None else int(event),
        forwarded=tuple(row for row in headers if row[0] not in dropped),
    )


def encode_call(request: CallerRequest, dispatch: Dispatch) -> bytes:
    """Return the head of the request to a server."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    replaced: dict[bytes, bytes] = {}
    if dispatch.model is not None:
        replaced[names.MODEL] = dispatch.model.encode()
    if dispatch.resume_after is not None:
        replaced[names.LAST_EVENT_ID] = b"%d" % dispatch.resume_after
    for name, value in request.head.forwarded:
        if name not in replaced:
            lines.append(name + b": " + value)
    lines += (name + b": " + value for name, value in replaced.items())
    lines.append(names.DEADLINE_MS + b": %d" % max(1, int(dispatch.wait * 1000)))
    lines.append(names.EXPECT_INSTANCE + b": " + dispatch.server_id.encode())
    if dispatch.team is not None:
        lines.append(names.TEAM + b": " + dispatch.team.encode())
    if dispatch.urgency is not None:
        lines.append(names.REQUEST_PRIORITY + b": %d" % dispatch.urgency)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def decode_answer_head(status: int, reason: bytes, headers: list[Header]) -> AnswerHead:
    """Return what an answer's status and headers say."""
    fields = dict(headers)
    dropped = _CONNECTION_HEADERS | _listed(fields)
    confidence = _number(fields.get(names.CONFIDENCE))
    length = _number(fields.get(b"content-length"))
    return AnswerHead(
        status=status,
        reason=reason,
        attempt_id=fields.get(names.ATTEMPT_ID, b""),
        signed=names.SERVER_STAMP in fields,
        not_run=names.NOT_EXECUTED in fields or status == _NOT_RUN_STATUS,
        confidence=None if confidence is None else int(confidence),
        encoded=fields.get(b"content-encoding", b"identity") != b"identity",
        closes=b"close" in fields.get(b"connection", b"").lower(),
        keep_alive=_keep_alive(fields.get(b"keep-alive", b"")),
        content_length=None if length is None else int(length),
        chunked=b"chunked" in fields.get(b"transfer-encoding", b"").lower(),
        forwarded=tuple(row for row in headers if row[0] not in dropped),
    )


def encode_refusal(attempt_id: bytes, retry_after: float | None) -> list[Header]:
    """Return the headers of an answer of the system's own."""
    headers = [(names.ATTEMPT_ID, attempt_id)] if attempt_id else []
    if retry_after is not None:
        headers.append((names.RETRY_AFTER, b"%.3f" % retry_after))
    return headers


def _listed(fields: dict[bytes, bytes]) -> frozenset[bytes]:
    """Return the headers that `Connection` names, which concern one connection."""
    listed = fields.get(b"connection", b"").lower().split(b",")
    # A caller may not hide its own identity or its model this way.
    return frozenset(name.strip() for name in listed) - _NEVER_HIDDEN


_NEVER_HIDDEN = frozenset(
    {names.ATTEMPT_ID, names.MODEL, names.TOKEN_USAGE, names.PROMPT_PREFIX}
)


def _key(value: bytes | None) -> str | None:
    if value is None or not value.lower().startswith(names.KEY_SCHEME):
        return None
    return value[len(names.KEY_SCHEME) :].strip().decode("latin-1")


def _prompt(value: bytes | None) -> tuple[PromptPart, ...]:
    """Return the parts of ID:TOKENS entries; unreadable ones end the list."""
    parts: list[PromptPart] = []
    for entry in (value or b"").split(b","):
        name, _, tokens = entry.strip().partition(b":")
        if not name or not tokens.isdigit():
            break
        parts.append(PromptPart(name.decode("latin-1"), int(tokens)))
    return tuple(parts)


def _token_usage(value: bytes | None) -> tuple[int, int]:
    given, _, made = (value or b"").partition(b",")
    return int(_number(given) or 0), int(_number(made) or 0)


def _keep_alive(value: bytes) -> float | None:
    for entry in value.split(b","):
        name, _, seconds = entry.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _number(seconds)
    return None


def _number(value: bytes | None) -> float | None:
    """Return a number, None if there is none."""
    if value is not None:
        with contextlib.suppress(ValueError):
            return float(value)
    return None


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")
