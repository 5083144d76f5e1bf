"""Accounts for the memory that the requests of all callers take on this host."""

from collections.abc import Callable

from masticfork.relay.byte_account import ByteAccount
from masticfork.relay.caller import CallerConnection
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.systems.request_memory import (
    IncompleteRequest,
    choose_refused,
    is_admitted,
)

# Fraction of the host's memory that requests may take; the rest is for the process
# itself, responses and what the sockets hold.
REQUEST_MEMORY_SHARE = 0.125


class CallerMemory:
    """Refuses requests before those of all callers take too much memory."""

    def __init__(
        self,
        loop: Loop,
        metrics: RelayMetrics,
        log: Callable[..., None],
        memory_bytes: int,
    ) -> None:
        self._loop = loop
        self._metrics = metrics
        self._log = log
        self._limit = int(memory_bytes * REQUEST_MEMORY_SHARE)
        self._account: ByteAccount[CallerConnection] = ByteAccount()
        # Whether requests are being refused, each of which changes what is held.
        self._relieving = False

    @property
    def held_bytes(self) -> int:
        """Return the bytes that the requests of all callers take."""
        return self._account.total

    def update(self, connection: CallerConnection, size: int) -> None:
        """Set what the requests of a connection take; refuse some if it is too much."""
        self._account.update(connection, size)
        self._relieve()

    def admits(self, connection: CallerConnection) -> bool:
        """Return whether the complete request of a connection is handled."""
        size = self._account.sizes.get(connection, 0)
        return is_admitted(size, self.held_bytes, self._limit)

    def run(self) -> None:
        """Refuse requests of callers who have stopped meanwhile, if it is too much."""
        self._metrics.request_bytes.set(self.held_bytes)
        self._relieve()

    def _relieve(self) -> None:
        if self.held_bytes <= self._limit or self._relieving:
            return
        self._relieving = True
        try:
            self._refuse_some()
        finally:
            self._relieving = False

    def _refuse_some(self) -> None:
        now = self._loop.now
        sizes = self._account.sizes
        by_id = {id(caller): caller for caller in sizes if caller.is_receiving}
        requests = [
            IncompleteRequest(key, sizes[caller], caller.progressed_at)
            for key, caller in by_id.items()
        ]
        for request in choose_refused(requests, self.held_bytes, self._limit, now):
            self._metrics.refused_requests.inc()
            self._log(
                "incomplete request refused",
                size=request.size,
                stalled=round(now - request.progressed_at, 3),
                held=self.held_bytes,
                limit=self._limit,
            )
            by_id[request.connection].refuse_incomplete()
