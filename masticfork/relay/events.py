"""Splits a server-sent event stream into complete events."""

# A stream with a larger event is treated as invalid.
MAX_EVENT_BYTES = 1 << 20


class InvalidEventStreamError(Exception):
    """An event exceeds MAX_EVENT_BYTES, or event ids are not consecutive."""


class EventSplitter:
    """Buffers stream data and returns complete events with consecutive ids.

    `last_event_id` is the id that the first event must follow, None to accept any.
    """

    def __init__(self, last_event_id: int | None) -> None:
        self._buffer = b""
        self._last_event_id = last_event_id

    @property
    def last_event_id(self) -> int | None:
        """Return the id of the last complete event, None before the first."""
        return self._last_event_id

    @property
    def partial_event_bytes(self) -> int:
        """Return the number of buffered bytes of an incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Return the events that the data completes, b"" if there are none.

        Raise InvalidEventStreamError if an event is too large or out of sequence.
        """
        buffered = self._buffer + data
        end_of_last_event = buffered.rfind(b"\n\n")
        if end_of_last_event < 0:
            if len(buffered) > MAX_EVENT_BYTES:
                raise InvalidEventStreamError("event is larger than 1 MiB")
            self._buffer = buffered
            return b""
        complete_events, self._buffer = (
            buffered[: end_of_last_event + 2],
            buffered[end_of_last_event + 2 :],
        )
        for event in complete_events.split(b"\n\n")[:-1]:
            self._check_event_id(event)
        return complete_events

    def _check_event_id(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                self._advance_last_event_id(line[3:].strip())
                return

    def _advance_last_event_id(self, id_value: bytes) -> None:
        if not id_value.isdigit():
            return
        event_id = int(id_value)
        if self._last_event_id is not None and event_id != self._last_event_id + 1:
            raise InvalidEventStreamError(
                f"event id {event_id} follows {self._last_event_id}"
            )
        self._last_event_id = event_id
