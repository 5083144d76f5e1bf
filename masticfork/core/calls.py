"""Parsed and authenticated requests of callers."""

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import ModelName, RequestId
from masticfork.core.manifest import (
    Operation,
    Service,
    Team,
    WorkClass,
)


@attrs.frozen
class CallHead:
    """Metadata that every call has, whatever its content."""

    request_id: RequestId
    # Whether the caller chose the request ID (idempotency key), so that it may retry.
    has_caller_key: bool
    team: Team
    deadline: Deadline
    # Arrival time in seconds since the Unix epoch.
    received_at: float
    session_token: str | None = None
    traceparent: str | None = None


@attrs.frozen
class ChatCall:
    """A chat completion request to a model."""

    head: CallHead
    model: ModelName
    work_class: WorkClass
    stream: bool
    include_usage: bool
    # The JSON body as the caller sent it; forwarded to the engine.
    body: dict[str, object] = attrs.field(repr=False)


@attrs.frozen
class ServiceCall:
    """A request to a plain service, one that serves no model."""

    head: CallHead
    service: Service
    operation: Operation
    method: str
    # Path and query as forwarded to the service.
    path: str
    headers: tuple[tuple[str, str], ...] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
