"""Notices that backend servers give about themselves in their responses.

A server that leaves gets no new calls in that incarnation, whatever the store or other
hosts say later: their information is older. A server that asks for a pause gets none
until it is over. One that names a request rate gets no more than that from all hosts,
and one that is brittle no more than it has room for. One that has just started or
recovered is paced.
"""

from collections import OrderedDict

import attrs

from masticfork.core.backend_servers import BackendServer
from masticfork.core.ids import short_key
from masticfork.systems.brittle_servers import BrittleServer
from masticfork.systems.server_limits import ServerLimit
from masticfork.systems.server_pace import ServerPace

# Incarnations whose notices are remembered, the latest ones. Those of removed servers
# are kept as well, since an outdated copy of the store may list them again.
MAX_NOTICES = 16_384
# Longest pause that a server is granted, so that a faulty value does not exclude it for
# good.
MAX_PAUSE_SECONDS = 600.0


@attrs.define(eq=False)
class ServerNotice:
    """What one incarnation of a server has announced."""

    # Identifies the incarnation on all hosts.
    key: int
    leaving: bool = False
    # Loop time until which the server wants no calls from this host.
    paused_until: float = 0.0
    limit: ServerLimit = attrs.field(factory=ServerLimit)
    brittle: BrittleServer = attrs.field(factory=BrittleServer)
    # Not announced by the server, but to be kept for as long.
    pace: ServerPace = attrs.field(factory=ServerPace)

    def accepts_calls(self, running: int, now: float) -> bool:
        """Return whether nothing known of the server excludes new calls.

        `running` are this host's calls in progress there.
        """
        return (
            not self.leaving
            and self.paused_until <= now
            and self.limit.accepts_calls(now)
            and self.pace.accepts_calls(running, now)
        )

    def accepts_calls_at(self, now: float) -> float:
        """Return when the server is expected to accept calls unless it leaves."""
        return max(
            self.paused_until, self.limit.accepts_at(now), self.pace.accepts_at(now)
        )

    def pause(self, seconds: float, now: float) -> None:
        """Exclude the server for `seconds`; a pause is never shortened."""
        until = now + min(seconds, MAX_PAUSE_SECONDS)
        self.paused_until = max(self.paused_until, until)


class ServerNotices:
    """Notices by incarnation."""

    def __init__(self) -> None:
        self._notices: OrderedDict[int, ServerNotice] = OrderedDict()

    def knows(self, server: BackendServer) -> bool:
        """Return whether a server's incarnation is known."""
        return incarnation_key(server) in self._notices

    def of(self, server: BackendServer) -> ServerNotice:
        """Return the notice of a server's incarnation, which is empty at first."""
        key = incarnation_key(server)
        notice = self._notices.setdefault(key, ServerNotice(key))
        self._notices.move_to_end(key)
        while len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)
        return notice


def incarnation_key(server: BackendServer) -> int:
    """Return a hash of what identifies a server's incarnation on all hosts."""
    return short_key(f"{server.id}/{server.address}/{server.started_at_ms}")
