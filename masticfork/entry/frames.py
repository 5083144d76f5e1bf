"""Extract data and text from server-sent event frames."""

import json
from collections.abc import Iterable

from result import Err, Ok, Result

from masticfork.backends.engine_stream import event_data


def frames_text(frames: Iterable[bytes]) -> Result[str, str]:
    """Return the concatenated text of all frames, or an error if one is malformed."""
    parts = []
    for raw in frames:
        try:
            delta = json.loads(event_data(raw))["choices"][0]["delta"]
        except (ValueError, LookupError, TypeError):
            return Err("a frame is malformed")
        parts.append(delta.get("content") or "")
    return Ok("".join(parts))
