"""Receivers of a generation's tokens: a stream or a waiting request."""

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from waitress.channel import ClientDisconnected

from standins.records import ConnectionDroppedError, Write

if TYPE_CHECKING:
    from standins.engine_batch import Generation


class Sink(Protocol):
    """A reader of a generation; called by the batch while holding its lock."""

    @property
    def streams(self) -> bool:
        """Return whether tokens are written as they are produced."""

    def write(self, generation: "Generation") -> None:
        """Write the tokens that have not been written yet."""

    def finish(self, generation: "Generation") -> None:
        """Write the end of the response and release the waiting request thread."""

    def drop(self) -> None:
        """Release the waiting request thread so that it closes the connection."""

    def is_disconnected(self) -> bool:
        """Return whether the client is gone."""


class WaitingSink:
    """A request that waits for the complete response."""

    def __init__(self, disconnected: Callable[[], bool]) -> None:
        self._disconnected = disconnected
        self._released = threading.Event()
        self._dropped = False

    @property
    def streams(self) -> bool:
        """Return whether tokens are written as they are produced."""
        return False

    def write(self, generation: "Generation") -> None:
        """Do nothing; the response is sent once it is complete."""

    def finish(self, generation: "Generation") -> None:
        """Release the waiting request thread."""
        self._released.set()

    def drop(self) -> None:
        """Release the waiting request thread so that it closes the connection."""
        self._dropped = True
        self._released.set()

    def is_disconnected(self) -> bool:
        """Return whether the client is gone."""
        return self._dropped or self._disconnected()

    def wait(self) -> None:
        """Wait for the end; raise ConnectionDroppedError if the sink was dropped."""
        self._released.wait()
        if self._dropped:
            raise ConnectionDroppedError


class StreamSink(WaitingSink):
    """A connection to which the batch's thread writes each token directly.

    Passing tokens to the request's thread would cost a wake-up for each.
    """

    def __init__(
        self, write: Write, disconnected: Callable[[], bool], after: int = 0
    ) -> None:
        super().__init__(disconnected)
        self._write = write
        self._written = after

    @property
    def streams(self) -> bool:
        """Return whether tokens are written as they are produced."""
        return True

    def write(self, generation: "Generation") -> None:
        """Write the tokens that have not been written yet."""
        first, last = self._written + 1, generation.tokens
        if first <= last:
            token = generation.encoder.token
            self._send(b"".join(token(i) for i in range(first, last + 1)))
            self._written = last

    def finish(self, generation: "Generation") -> None:
        """Write the end of the response and release the waiting request thread."""
        done = generation.state.value == "done"
        reason = generation.finish_reason if done else "cancelled"
        self._send(generation.encoder.finish(reason, generation.usage))
        super().finish(generation)

    def _send(self, data: bytes) -> None:
        if self._dropped:
            return
        try:
            self._write(data)
        except (OSError, ClientDisconnected):
            self.drop()
