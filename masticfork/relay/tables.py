"""What an entry host believes: routes, servers and roll-outs."""

from collections.abc import Callable, Iterable

import attrs

from masticfork.core.backend_servers import BackendServer, VersionRollout
from masticfork.core.routes import RouteTable
from masticfork.relay.loop import Loop
from masticfork.relay.server_call import ServerConnections
from masticfork.systems.server_choice import ServerLoad

# Seconds for which a server stays usable whose entry vanished while the store was in
# trouble: entries of living servers are back within two seconds, and a server that has
# left may get requests for as long.
LAPSE_GRACE = 1.7
# Incarnations remembered, so that an old entry does not bring back a dead server.
MAX_REMEMBERED = 4096

Note = Callable[..., None]


@attrs.define(eq=False)
class ServerRow:
    """One backend server with its load and its connections."""

    load: ServerLoad
    connections: ServerConnections
    # When the row is dropped, unless its entry comes back.
    lapses_at: float | None = None

    @property
    def server(self) -> BackendServer:
        """Return the server's own description."""
        return self.load.server

    @property
    def usable(self) -> bool:
        """Tell whether new calls may go to the server."""
        return not self.server.draining


class Tables:
    """The rows that requests are decided on."""

    def __init__(self, loop: Loop, note: Note) -> None:
        self._loop = loop
        self._note = note
        self._routes: RouteTable | None = None
        self._rows: dict[str, ServerRow] = {}
        self._born: dict[str, int] = {}
        self._services: dict[str, list[ServerRow]] = {}
        self._servers_known = False
        self._rollouts: dict[str, VersionRollout] = {}
        self._rollouts_known = False

    @property
    def routes(self) -> RouteTable | None:
        """Return the configuration in force, None before the first."""
        return self._routes

    @property
    def complete(self) -> bool:
        """Tell whether everything is known that a request needs."""
        return self._routes is not None and self._servers_known and self._rollouts_known

    @property
    def rows(self) -> Iterable[ServerRow]:
        """Return the rows of all servers."""
        return self._rows.values()

    @property
    def rollouts(self) -> dict[str, VersionRollout]:
        """Return the roll-outs by service."""
        return self._rollouts

    def adopt_routes(self, table: RouteTable, source: str) -> bool:
        """Put a configuration in force if it is newer; tell whether it was."""
        current = self._routes
        if current is not None and table.version <= current.version:
            return False
        self._routes = table
        self._note(
            "configuration in force",
            version=table.version,
            before=None if current is None else current.version,
            source=source,
            routes=len(table.routes),
        )
        return True

    def servers_of(self, service: str) -> list[ServerRow]:
        """Return the servers of a service that take new calls."""
        rows = self._services.get(service, [])
        return [row for row in rows if row.usable]

    def row(self, server_id: str) -> ServerRow | None:
        """Return the row of a server."""
        return self._rows.get(server_id)

    def list_servers(self, servers: Iterable[BackendServer], lenient: bool) -> None:
        """Replace the servers; with `lenient`, missing ones stay for a while."""
        listed = {server.id: server for server in servers}
        self._servers_known = True
        for server in listed.values():
            self.put_server(server)
        for server_id in [name for name in self._rows if name not in listed]:
            self.remove_server(server_id, lenient)

    def put_server(self, server: BackendServer) -> None:
        """Take in what a server says of itself."""
        row = self._rows.get(server.id)
        born = self._born.get(server.id)
        if born is not None and server.born_ms is not None and server.born_ms < born:
            self._note("old entry of a server ignored", server=server.id)
            return
        if row is not None and _same_incarnation(row.server, server):
            if row.server.draining != server.draining:
                self._note("server changed", server=server.id, draining=server.draining)
            row.load.server = server
            row.lapses_at = None
            self._index()
            return
        if row is not None:
            row.connections.close()
        connections = ServerConnections(self._loop, server)
        self._rows[server.id] = ServerRow(ServerLoad(server), connections)
        self._remember(server)
        self._note(
            "server added",
            server=server.id,
            service=server.service,
            version=server.version,
            draining=server.draining,
        )
        self._index()

    def remove_server(self, server_id: str, lenient: bool) -> None:
        """Drop a server, after a while if `lenient`."""
        row = self._rows.get(server_id)
        if row is None:
            return
        if lenient:
            if row.lapses_at is None:
                row.lapses_at = self._loop.now + LAPSE_GRACE
                self._loop.call_at(row.lapses_at, lambda: self._lapse(server_id))
                self._note("server missing", server=server_id)
            return
        row.connections.close()
        del self._rows[server_id]
        self._note("server removed", server=server_id)
        self._index()

    def list_rollouts(self, rollouts: Iterable[VersionRollout]) -> None:
        """Replace the roll-outs."""
        self._rollouts_known = True
        listed = {rollout.service: rollout for rollout in rollouts}
        for service in [name for name in self._rollouts if name not in listed]:
            del self._rollouts[service]
        for rollout in listed.values():
            self.put_rollout(rollout)

    def put_rollout(self, rollout: VersionRollout) -> bool:
        """Take in a roll-out if it is newer; tell whether it was."""
        current = self._rollouts.get(rollout.service)
        if current is not None and rollout.revision <= current.revision:
            return False
        self._rollouts[rollout.service] = rollout
        self._note(
            "roll-out",
            service=rollout.service,
            target=rollout.target,
            state=rollout.progress.state.value,
            step=rollout.progress.step,
            revision=rollout.revision,
        )
        return True

    def remove_rollout(self, service: str) -> None:
        """Drop a roll-out that was deleted."""
        if self._rollouts.pop(service, None) is not None:
            self._note("roll-out removed", service=service)

    def sweep(self) -> None:
        """Close idle connections of all servers."""
        for row in self._rows.values():
            row.connections.sweep()

    def _lapse(self, server_id: str) -> None:
        row = self._rows.get(server_id)
        due = row is not None and row.lapses_at is not None
        if due and row is not None and row.lapses_at <= self._loop.now:  # type: ignore[operator]
            self.remove_server(server_id, lenient=False)

    def _remember(self, server: BackendServer) -> None:
        if server.born_ms is not None:
            self._born[server.id] = server.born_ms
        while len(self._born) > MAX_REMEMBERED:
            del self._born[next(iter(self._born))]

    def _index(self) -> None:
        services: dict[str, list[ServerRow]] = {}
        for row in self._rows.values():
            services.setdefault(row.server.service, []).append(row)
        self._services = services


def _same_incarnation(known: BackendServer, told: BackendServer) -> bool:
    return known.address == told.address and known.born_ms == told.born_ms
