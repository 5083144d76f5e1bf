"""Tell whether this host itself is cut off from the backend servers.

A server that cannot be reached is the server's fault. If a host that has lost a call
then reaches none of several other servers, its own link has failed: it sends its calls
through other hosts and tries from time to time whether it reaches a server again.
"""

from collections import defaultdict
from collections.abc import Sequence
from typing import Protocol, TypeVar

import attrs

from masticfork.core.backend_servers import BackendServer

# Servers that are tried before a host takes itself for cut off, and the number of them
# while it is.
PROBED_SERVERS, PROBED_SERVERS_WHILE_CUT_OFF = 4, 2
# Interval between trials while a host is cut off, and the least one while it is not.
PROBE_INTERVAL_SECONDS, MIN_TRIAL_INTERVAL_SECONDS = 0.4, 1.0
# Age up to which an established connection shows that the host is not cut off.
RECENT_CONTACT_SECONDS = 0.1
# The same for a host that is asked by another one whether a server fails.
SURE_CONTACT_SECONDS = 2.0


@attrs.define(eq=False)
class ServerContact:
    """What this host's trials tell of its link to the servers; times in seconds."""

    # Time since which the host is cut off, None if it is not.
    cut_off_since: float | None = None
    # Time at which a new connection to a server was last established.
    reached_at: float = float("-inf")
    # Time from which the next trial may begin.
    next_trial_at: float = float("-inf")
    _trial_began_at: float | None = None

    @property
    def cut_off(self) -> bool:
        """Return whether the host reaches no server."""
        return self.cut_off_since is not None

    @property
    def in_doubt(self) -> bool:
        """Return whether the host is cut off, or tries whether it is."""
        return self.cut_off or self._trial_began_at is not None

    def is_sure(self, now: float) -> bool:
        """Return whether a server that is not reached is known to be at fault."""
        return not self.in_doubt and now - self.reached_at < SURE_CONTACT_SECONDS

    def record_reached(self, now: float) -> None:
        """Record that a new connection to a server was established."""
        self.reached_at = now

    def begin_trial(self, now: float) -> bool:
        """Return whether servers are to be tried now; count the trial."""
        if self._trial_began_at is not None or now < self.next_trial_at:
            return False
        if now - self.reached_at < RECENT_CONTACT_SECONDS:
            return False
        self._trial_began_at = now
        return True

    def end_trial(self, reached: int, tried: int, now: float) -> bool:
        """Record how many of the tried servers were reached; return if it is news."""
        was_cut_off, began_at = self.cut_off, self._trial_began_at
        self._trial_began_at = None
        if reached:
            self.record_reached(now)
            self.cut_off_since = None
            self.next_trial_at = now + MIN_TRIAL_INTERVAL_SECONDS
        elif tried and not was_cut_off and began_at is not None:
            # A call may have reached a server in the meantime.
            self.cut_off_since = now if self.reached_at < began_at else None
        return self.cut_off != was_cut_off


class HasServer(Protocol):
    """Anything that belongs to a backend server."""

    @property
    def server(self) -> BackendServer:
        """Return the server."""


_Item = TypeVar("_Item", bound=HasServer)


def of_different_services(items: Sequence[_Item], count: int) -> list[_Item]:
    """Return up to `count` items of as many services as possible, the first of each."""
    by_service: defaultdict[str, list[_Item]] = defaultdict(list)
    for item in items:
        by_service[item.server.service].append(item)
    ranked = [
        (rank, item) for group in by_service.values() for rank, item in enumerate(group)
    ]
    ranked.sort(key=lambda pair: pair[0])
    return [item for _, item in ranked[:count]]
