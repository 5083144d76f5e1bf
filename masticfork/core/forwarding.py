"""Requests and responses as the relay forwards them."""

import attrs

Header = tuple[bytes, bytes]

_BODILESS_STATUSES = (204, 304)


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share, for prefix caching."""

    id: str
    tokens: int


def shared_parts(prompt: tuple[PromptPart, ...]) -> tuple[PromptPart, ...]:
    """Return the parts that other requests may share: all but the last."""
    return prompt[:-1]


@attrs.frozen
class CallerHead:
    """Parsed headers of a caller's request."""

    # The caller's ID of this attempt; empty if the caller sent none.
    attempt_id: bytes
    # Timeout of the caller in seconds; None if not stated.
    timeout: float | None
    key: str | None
    # None if the request names no model; `model_chosen_by_router` lets the router
    # choose one.
    model: str | None
    model_chosen_by_router: bool
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    session: str | None
    # The event after which the caller wants its stream to resume.
    last_event_id: int | None
    # Headers that are forwarded to the server unchanged.
    forwarded: tuple[Header, ...]


@attrs.frozen
class CallerRequest:
    """A complete request as read from a caller."""

    method: bytes
    # Path and query as received.
    target: bytes
    host: str
    head: CallerHead
    body: bytes
    # Event loop time in seconds at which the first byte was read.
    arrived_at: float

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def is_head_request(self) -> bool:
        """Return whether the response has no body, whatever its Content-Length."""
        return self.method == b"HEAD"


@attrs.frozen
class Dispatch:
    """What the router adds to a request when it sends it to a server."""

    server_id: str
    # Timeout for the server in seconds.
    timeout: float
    team: str | None
    model: str | None
    # Priority; 0 is the most urgent, None for plain services.
    priority: int | None
    # The event after which the stream resumes, if the router resumes it by itself.
    resume_after: int | None


@attrs.frozen
class ResponseHead:
    """Parsed status line and headers of a server's response."""

    status: int
    reason: bytes
    attempt_id: bytes
    # Whether the response carries the server's signature.
    signed: bool
    # Whether the server states that it did not run the request.
    not_run: bool
    # Whether another server than the expected one has refused the request.
    misdirected: bool
    # Whether the server announces that it is leaving.
    leaving: bool
    # Seconds for which a server that rejected the request wants no further calls from
    # this host, if it states any.
    pause: float | None
    # Requests a second that the server takes from all hosts together, None if it states
    # none; and whether it states any, also a malformed one.
    limit: float | None
    names_limit: bool
    # Refusals within a second beyond which the server falls over, None if it states
    # none; and whether it states any, also a malformed one.
    tolerated_refusals: int | None
    is_brittle: bool
    # Whether the server has refused the request for want of room.
    full: bool
    # The model's confidence in its answer, from 0 to 100.
    confidence: int | None
    # Whether the body has a content encoding, although none was requested.
    encoded: bool
    # Whether the server closes the connection after the response.
    closes: bool
    # Seconds for which the server keeps an idle connection open, if stated.
    keep_alive: float | None
    content_length: int | None
    chunked: bool
    # Headers that are forwarded to the caller unchanged.
    forwarded: tuple[Header, ...]


def may_have_body(status: int, is_head_request: bool) -> bool:
    """Return whether a final response may have a body, whatever its headers say."""
    return not is_head_request and status not in _BODILESS_STATUSES
