"""Splits a server-sent event stream into complete events."""

import attrs

# A stream with a larger event is treated as invalid.
MAX_EVENT_BYTES = 1 << 20
_EVENT_END = b"\n\n"
# A larger id does not fit into 64 bits.
_MAX_ID_DIGITS = 18
_LOGGED_ID_BYTES = 32
# Ids count events from 0 or 1; a stream that begins with a larger one lacks events.
_MAX_FIRST_ID = 1
# Fields that may stand without a colon and a value.
_BARE_FIELDS = (b"", b"data", b"event", b"id", b"retry")


@attrs.frozen
class CompleteEvents:
    """Events that received data completes, and why what follows them is invalid."""

    data: bytes
    # None if all of the data was valid so far.
    error: str | None = None


class EventSplitter:
    """Buffers stream data and returns complete events with consecutive ids.

    `last_event_id` is the id that the first event must follow, None at the beginning of
    a stream.
    """

    def __init__(self, last_event_id: int | None) -> None:
        self._buffer = bytearray()
        self._last_event_id = last_event_id

    @property
    def last_event_id(self) -> int | None:
        """Return the id of the last event returned, None before the first."""
        return self._last_event_id

    @property
    def partial_event_bytes(self) -> int:
        """Return the number of buffered bytes of an incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> CompleteEvents:
        """Return the events that the data completes, up to the first invalid one."""
        buffer = self._buffer
        # The data before it holds no end of an event, except for a first line end.
        search_start = max(0, len(buffer) - 1)
        buffer += data
        valid_bytes = 0
        error = None
        while (event_end := buffer.find(_EVENT_END, search_start) + 2) > 1:
            error = self._accept_event(bytes(buffer[valid_bytes:event_end]))
            if error is not None:
                break
            valid_bytes = search_start = event_end
        events = bytes(buffer[:valid_bytes])
        del buffer[:valid_bytes]
        if error is None and len(buffer) > MAX_EVENT_BYTES:
            error = "event is larger than 1 MiB"
        return CompleteEvents(events, error)

    def _accept_event(self, event: bytes) -> str | None:
        """Advance the last event id; return why the event is invalid, if it is."""
        if not all(map(_is_field, event.split(b"\n"))):
            return "event with a line that is no field"
        id_value = _id_value(event)
        if not id_value.isdigit() or len(id_value) > _MAX_ID_DIGITS:
            return f"event id {id_value[:_LOGGED_ID_BYTES]!r} is no valid number"
        event_id = int(id_value)
        if self._last_event_id is None:
            if event_id > _MAX_FIRST_ID:
                return f"stream begins with event id {event_id}"
        elif event_id != self._last_event_id + 1:
            return f"event id {event_id} follows {self._last_event_id}"
        self._last_event_id = event_id
        return None


def _is_field(line: bytes) -> bool:
    """Return whether a line is a field, a comment or empty.

    The head of a response that a server sends within another one is not.
    """
    return b":" in line or line in _BARE_FIELDS


def _id_value(event: bytes) -> bytes:
    """Return the id of an event, b"" if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""
