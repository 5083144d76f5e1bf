"""Read the text out of the frames of an answer."""

import json
from collections.abc import Iterable

from result import Err, Ok, Result


def data_of(raw: bytes) -> bytes:
    """Return the bytes after `data: ` of a server-sent event."""
    return raw.partition(b"data: ")[2]


def text_of(frames: Iterable[bytes]) -> Result[str, str]:
    """Join the text of all frames, or tell that one is malformed."""
    parts = []
    for raw in frames:
        try:
            delta = json.loads(data_of(raw))["choices"][0]["delta"]
        except (ValueError, LookupError, TypeError):
            return Err("a frame is malformed")
        parts.append(delta.get("content") or "")
    return Ok("".join(parts))
