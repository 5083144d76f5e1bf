"""Requests and answers as the relay passes them on."""

import attrs

Header = tuple[bytes, bytes]


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@attrs.frozen
class CallerHead:
    """What the headers of a caller's request say."""

    # Identifies this attempt of the caller; empty if the caller sent none.
    attempt_id: bytes
    # Seconds that the caller waits, None if it did not say.
    wait: float | None
    key: str | None
    # None where the request names no model; `any_model` where the system names it.
    model: str | None
    any_model: bool
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    session: str | None
    # The event after which the caller wants its stream to go on.
    last_event_id: int | None
    # Headers that go to the server as they came.
    forwarded: tuple[Header, ...]


@attrs.frozen
class CallerRequest:
    """A whole request as it was read from a caller."""

    method: bytes
    # Path and query as they came.
    target: bytes
    host: str
    head: CallerHead
    body: bytes
    # Loop time in seconds at which its first byte was read.
    arrived_at: float

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


@attrs.frozen
class Dispatch:
    """What the system adds to a request that it sends to a server."""

    server_id: str
    # Seconds that the server may take.
    wait: float
    team: str | None
    model: str | None
    # 0 is the most urgent; None for plain services.
    urgency: int | None
    # The event after which the stream goes on, where that is the system's doing.
    resume_after: int | None


@attrs.frozen
class AnswerHead:
    """What the status line and headers of a server's answer say."""

    status: int
    reason: bytes
    attempt_id: bytes
    # Whether it carries the server's signature.
    signed: bool
    # Whether the server says that it did not run the request.
    not_run: bool
    # The model's opinion of its answer, from 0 to 100.
    confidence: int | None
    # Whether the body is compressed, which no caller asked for.
    encoded: bool
    # Whether the server closes the connection after the answer.
    closes: bool
    # Seconds that the server keeps an idle connection, if it says so.
    keep_alive: float | None
    content_length: int | None
    chunked: bool
    # Headers that go to the caller as they came.
    forwarded: tuple[Header, ...]
