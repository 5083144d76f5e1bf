"""Choose the connections of callers that give up their places to new ones."""

from collections.abc import Iterable

import attrs

from masticfork.systems.request_memory import STALL_SECONDS


@attrs.frozen
class WaitingConnection:
    """A connection on which no request is handled."""

    # Identifies the connection on this host.
    connection: int
    # Whether a request has been answered on it, and no other one has begun.
    between_requests: bool
    # Time at which the caller last sent anything, in seconds.
    progressed_at: float


def choose_closed(
    connections: Iterable[WaitingConnection], most: int, now: float
) -> list[WaitingConnection]:
    """Return up to `most` connections to close, so that others get their places.

    Those go first that have never sent a whole request or have begun another one, and
    of them the ones that have waited longest.
    """
    stalled = (c for c in connections if now - c.progressed_at >= STALL_SECONDS)
    return sorted(stalled, key=lambda c: (c.between_requests, c.progressed_at))[:most]
