"""Cuts off callers who read too slowly while the host holds too much for them."""

from collections.abc import Callable, Collection

from masticfork.relay.caller import CallerConnection
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.systems.held_bytes import HeldResponse, choose_cut_off

# Fraction of the host's memory that unsent responses may take; the rest is for the
# process itself, requests and what the sockets hold.
HELD_MEMORY_SHARE = 0.125


class SlowReaders:
    """Checks the unsent bytes of all callers; `enabled` by the settings."""

    def __init__(
        self,
        loop: Loop,
        metrics: RelayMetrics,
        log: Callable[..., None],
        memory_bytes: int,
        enabled: bool,
    ) -> None:
        self._loop = loop
        self._metrics = metrics
        self._log = log
        self._limit = int(memory_bytes * HELD_MEMORY_SHARE)
        self._enabled = enabled

    def run(self, connections: Collection[CallerConnection]) -> None:
        """Cut off the slowest callers if the host holds too much."""
        if not self._enabled:
            return
        now = self._loop.now
        by_id = {id(connection): connection for connection in connections}
        held = [
            HeldResponse(
                key, connection.team, connection.unsent_bytes, connection.stalled_since
            )
            for key, connection in by_id.items()
        ]
        self._metrics.held_bytes.set(sum(response.size for response in held))
        for response in choose_cut_off(held, self._limit, now):
            self._metrics.slow_readers.labels(response.team).inc()
            self._log(
                "slow reader cut off",
                team=response.team,
                unsent_bytes=response.size,
                stalled=round(now - response.stalled_since, 3),
                limit=self._limit,
            )
            by_id[response.connection].cut_off()
