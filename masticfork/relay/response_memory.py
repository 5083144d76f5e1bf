"""Bounds what incomplete responses of all servers take on this host."""

from collections.abc import Callable
from typing import Protocol

from masticfork.relay.byte_account import ByteAccount
from masticfork.relay.metrics import RelayMetrics

# Fraction of the host's memory that incomplete events and buffered bodies may take.
RESPONSE_MEMORY_SHARE = 0.125


class IncompleteResponse(Protocol):
    """A response of which a part cannot be passed on yet."""

    def on_too_much_held(self) -> None:
        """Hold less: the incomplete responses of all calls take too much."""


class ResponseMemory:
    """Has the largest incomplete responses hold less if all take too much."""

    def __init__(
        self, metrics: RelayMetrics, log: Callable[..., None], memory_bytes: int
    ) -> None:
        self._metrics = metrics
        self._log = log
        self._limit = int(memory_bytes * RESPONSE_MEMORY_SHARE)
        self._account: ByteAccount[IncompleteResponse] = ByteAccount()

    @property
    def held_bytes(self) -> int:
        """Return the bytes that incomplete responses take."""
        return self._account.total

    def update(self, response: IncompleteResponse, size: int) -> None:
        """Set what a response takes; relieve the largest ones if all take too much."""
        self._account.update(response, size)
        sizes = self._account.sizes
        while self.held_bytes > self._limit and len(sizes) > 1:
            largest = max(sizes, key=sizes.__getitem__)
            self._log("response relieved", size=sizes[largest], held=self.held_bytes)
            self._metrics.relieved_responses.inc()
            self._account.update(largest, 0)
            largest.on_too_much_held()
