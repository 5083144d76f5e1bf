"""Splits a stream into whole events."""

# An event beyond this many bytes is taken as broken.
MAX_EVENT_BYTES = 1 << 20


class BrokenStreamError(Exception):
    """The bytes are no events, or their identifiers do not grow by one."""


class EventSplitter:
    """Collects bytes and returns events that are whole and in their order."""

    def __init__(self, after: int | None) -> None:
        self._rest = b""
        self._last = after

    @property
    def last_id(self) -> int | None:
        """Return the identifier of the last event returned."""
        return self._last

    @property
    def partial(self) -> bool:
        """Tell whether a part of an event is left."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Return the whole events among the bytes so far; raise BrokenStreamError."""
        rest = self._rest + data
        cut = rest.rfind(b"\n\n")
        if cut < 0:
            if len(rest) > MAX_EVENT_BYTES:
                raise BrokenStreamError("an event is too large")
            self._rest = rest
            return b""
        whole, self._rest = rest[: cut + 2], rest[cut + 2 :]
        for event in whole.split(b"\n\n")[:-1]:
            self._check(event)
        return whole

    def _check(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                self._advance(line[3:].strip())
                return

    def _advance(self, value: bytes) -> None:
        if not value.isdigit():
            return
        number = int(value)
        if self._last is not None and number != self._last + 1:
            raise BrokenStreamError(f"event {number} follows {self._last}")
        self._last = number
