"""Attempts at one answer: identifiers, token usage and comparable content."""

import attrs

from masticfork.backends.engine import Usage
from masticfork.backends.engine_stream import ServerSentEvent
from masticfork.core.calls import ChatCall
from masticfork.core.ids import AttemptId, ServerName, digest
from masticfork.entry.routing import VersionChoice


@attrs.frozen
class AttemptUsage:
    """Token usage of one attempt, for the bill."""

    attempt: AttemptId
    server: ServerName
    usage: Usage


@attrs.frozen
class FinalFrames:
    """The last frames of an answer, withheld until its bill is durable."""

    finish: bytes
    usage: bytes


def attempt_id(call: ChatCall, choice: VersionChoice, number: int) -> AttemptId:
    """Return the attempt's identifier; deterministic, so all hosts derive the same."""
    head = call.head
    parts = (head.team.name, head.request_id, choice.version, str(number))
    return AttemptId(f"chatcmpl-{digest(*parts)}")


def comparable_content(frame: ServerSentEvent) -> bytes:
    """Return the part of a frame that is equal in all attempts at an answer."""
    # The fields before `choices` (id, time) differ between attempts.
    position = frame.raw.find(b'"choices"')
    return frame.raw[position:] if position >= 0 else frame.raw


def joined_message_text(body: dict[str, object]) -> str:
    """Return the concatenated string contents of a request's messages."""
    messages = body.get("messages")
    contents = (
        [m.get("content") for m in messages] if isinstance(messages, list) else []
    )
    return "".join(content for content in contents if isinstance(content, str))
