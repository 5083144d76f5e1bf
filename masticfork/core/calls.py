"""What callers ask for, parsed and authenticated."""

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
    """What every call carries besides its content."""

    request_id: RequestId
    # Whether the caller named the request itself and so may send it again.
    named_by_caller: bool
    team: Team
    deadline: Deadline
    # When the request arrived, in seconds since the Unix epoch.
    received_at: float
    session_token: str | None = None
    traceparent: str | None = None


@attrs.frozen
class ChatCall:
    """A request for a model's answer."""

    head: CallHead
    model: ModelName
    work_class: WorkClass
    stream: bool
    include_usage: bool
    # The JSON body as the caller sent it, for the engine.
    body: dict[str, object] = attrs.field(repr=False)


@attrs.frozen
class ServiceCall:
    """A request to a plain service."""

    head: CallHead
    service: Service
    operation: Operation
    method: str
    # Path and query as the service gets them.
    path: str
    headers: tuple[tuple[str, str], ...] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
