"""Where a generation's tokens go: a stream's connection, or a waiting call."""

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from waitress.channel import ClientDisconnected

from standins.records import ConnectionDroppedError, Write

if TYPE_CHECKING:
    from standins.engine_batch import Generation


class Sink(Protocol):
    """A reader of a generation; called by the batch under its lock."""

    @property
    def streams(self) -> bool:
        """Tell whether tokens are written as they come."""

    def write(self, generation: "Generation") -> None:
        """Write the tokens that were not written yet."""

    def finish(self, generation: "Generation") -> None:
        """Write the end and release the waiting call."""

    def drop(self) -> None:
        """Release the waiting call so that it closes its connection."""

    def broken(self) -> bool:
        """Tell whether nobody reads any more."""


class WaitingSink:
    """A call that waits for the whole answer."""

    def __init__(self, disconnected: Callable[[], bool]) -> None:
        self._disconnected = disconnected
        self._released = threading.Event()
        self._dropped = False

    @property
    def streams(self) -> bool:
        """Tell whether tokens are written as they come."""
        return False

    def write(self, generation: "Generation") -> None:
        """Do nothing: the answer is written as a whole."""

    def finish(self, generation: "Generation") -> None:
        """Release the waiting call."""
        self._released.set()

    def drop(self) -> None:
        """Release the waiting call so that it closes its connection."""
        self._dropped = True
        self._released.set()

    def broken(self) -> bool:
        """Tell whether nobody reads any more."""
        return self._dropped or self._disconnected()

    def wait(self) -> None:
        """Wait for the end; ConnectionDroppedError where nobody reads it."""
        self._released.wait()
        if self._dropped:
            raise ConnectionDroppedError


class StreamSink(WaitingSink):
    """A connection to which the batch's own thread writes each token.

    Handing tokens to the call's thread would cost a wake-up each.
    """

    def __init__(
        self, write: Write, disconnected: Callable[[], bool], after: int = 0
    ) -> None:
        super().__init__(disconnected)
        self._write = write
        self._written = after

    @property
    def streams(self) -> bool:
        """Tell whether tokens are written as they come."""
        return True

    def write(self, generation: "Generation") -> None:
        """Write the tokens that were not written yet."""
        first, last = self._written + 1, generation.tokens
        if first <= last:
            token = generation.chunks.token
            self._send(b"".join(token(i) for i in range(first, last + 1)))
            self._written = last

    def finish(self, generation: "Generation") -> None:
        """Write the end and release the waiting call."""
        done = generation.state.value == "done"
        reason = generation.finish_reason if done else "cancelled"
        self._send(generation.chunks.finish(reason, generation.usage))
        super().finish(generation)

    def _send(self, data: bytes) -> None:
        if self._dropped:
            return
        try:
            self._write(data)
        except (OSError, ClientDisconnected):
            self.drop()
