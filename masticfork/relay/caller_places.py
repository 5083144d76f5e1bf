"""Gives the places of connections that wait for nothing to new callers."""

from collections.abc import Callable

from masticfork.core.deadlines import Deadline
from masticfork.relay.caller import CallerConnection
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.systems.caller_places import WaitingConnection, choose_closed

# Fraction of the places that are given up at a time, so that not each new connection
# makes the host look at all others.
GIVEN_UP_SHARE = 1 / 16
# Pause after no connection could be closed.
RETRY_SECONDS = 0.05


class CallerPlaces:
    """The connections of callers; at most `limit` at a time."""

    def __init__(
        self, loop: Loop, metrics: RelayMetrics, log: Callable[..., None], limit: int
    ) -> None:
        self._loop = loop
        self._metrics = metrics
        self._log = log
        self._limit = limit
        self._connections: set[CallerConnection] = set()
        self._next_try = Deadline(float("-inf"))

    @property
    def connections(self) -> set[CallerConnection]:
        """Return the open connections."""
        return self._connections

    def has_place(self) -> bool:
        """Return whether there is a place, after closing connections for it."""
        if len(self._connections) >= self._limit:
            self._close_some()
        return len(self._connections) < self._limit

    def add(self, connection: CallerConnection) -> None:
        """Add a new connection."""
        self._connections.add(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def _close_some(self) -> None:
        now = self._loop.now
        if not self._next_try.expired(now):
            return
        by_id = {id(caller): caller for caller in self._connections if not caller.busy}
        waiting = (
            WaitingConnection(key, caller.is_between_requests, caller.progressed_at)
            for key, caller in by_id.items()
        )
        most = max(1, int(GIVEN_UP_SHARE * self._limit))
        closed = choose_closed(waiting, most, now)
        if not closed:
            self._next_try = Deadline.after(now, RETRY_SECONDS)
            return
        self._metrics.given_up_places.inc(len(closed))
        self._log("places given up", connections=len(closed), limit=self._limit)
        for item in closed:
            by_id[item.connection].give_up_place()
