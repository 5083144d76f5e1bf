"""Attempts at one answer: their identity, their use and their content."""

import attrs

from masticfork.backends.engine import Usage
from masticfork.backends.engine_stream import Frame
from masticfork.core.calls import ChatCall
from masticfork.core.ids import AttemptId, ServerName, digest
from masticfork.entry.routing import Placement


@attrs.frozen
class AttemptUse:
    """What one attempt used, for the bill."""

    attempt: AttemptId
    server: ServerName
    usage: Usage


@attrs.frozen
class AnswerEnd:
    """The last frames of an answer, held back until its bill is safe."""

    finish: bytes
    usage: bytes


def attempt_id(call: ChatCall, placement: Placement, number: int) -> AttemptId:
    """Return the attempt's identity, the same on every host that makes it."""
    head = call.head
    parts = (head.team.name, head.request_id, placement.version, str(number))
    return AttemptId(f"chatcmpl-{digest(*parts)}")


def content_of(frame: Frame) -> bytes:
    """Return the part of a frame that is the same in each attempt."""
    # Everything before the choices differs between attempts (id, time).
    position = frame.raw.find(b'"choices"')
    return frame.raw[position:] if position >= 0 else frame.raw


def text_of_messages(body: dict[str, object]) -> str:
    """Join the contents of a request's messages."""
    messages = body.get("messages")
    contents = (
        [m.get("content") for m in messages] if isinstance(messages, list) else []
    )
    return "".join(content for content in contents if isinstance(content, str))
