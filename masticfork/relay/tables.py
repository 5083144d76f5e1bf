"""The routes, servers and rollouts that an entry host knows."""

from collections.abc import Callable, Iterable
from functools import partial

import attrs

from masticfork.core.backend_servers import BackendServer, VersionRollout
from masticfork.core.deadlines import Deadline
from masticfork.core.digests import BrittleReport, LimitReport
from masticfork.core.findings import Findings
from masticfork.core.ids import short_key
from masticfork.core.routes import RouteTable
from masticfork.relay.loop import Loop
from masticfork.relay.server_call import ServerConnectionPool
from masticfork.systems.evacuations import Evacuations
from masticfork.systems.server_choice import ServerLoad
from masticfork.systems.server_notices import (
    ServerNotice,
    ServerNotices,
    incarnation_key,
)
from masticfork.systems.version_shift import (
    rejected_versions,
    with_known_progress,
    with_known_rejections,
)

# Time after the return of the store for which a server stays usable though its entry is
# missing: entries of live servers are back within about 2 s. It ends before the store
# counts as stable, from when on a removal has to take effect within the drain time.
MISSING_GRACE_SECONDS = 2.3
# Time for which a server that had left gets no calls when a restored store lists it
# again: if it still lives, it writes its entry anew, otherwise its entry expires.
RESTORED_ENTRY_PAUSE_SECONDS = 5.0
# Time for which a server gets no calls after another one has answered at its address:
# by then its entry is removed, unless the answer was a fault.
MISDIRECTED_PAUSE_SECONDS = 2.0
# Time within which the operator writes orders again that a restored store has lost.
RESTORED_ORDER_GRACE_SECONDS = 8.0
# Servers whose start times are remembered, so that an outdated entry does not restore
# a dead server.
MAX_KNOWN_STARTS = 4096

Log = Callable[..., None]


@attrs.define(eq=False)
class ServerRow:
    """A backend server with its load and its connections."""

    load: ServerLoad
    connections: ServerConnectionPool
    notice: ServerNotice
    # Loop time at which the row is removed unless its entry reappears.
    remove_at: float | None = None

    @property
    def server(self) -> BackendServer:
        """Return the server as described by its entry."""
        return self.load.server

    @property
    def leaving(self) -> bool:
        """Return whether the server is leaving, by its entry or its own responses."""
        return self.server.draining or self.notice.leaving

    def accepts_calls(self, now: float) -> bool:
        """Return whether new calls may be sent to the server."""
        load = self.load
        running = load.running + load.running_elsewhere
        return (
            not self.leaving
            and self.notice.accepts_calls(load.running, now)
            and self.notice.brittle.accepts_calls(
                load.running, running, self.server.slots, now
            )
        )


class Tables:
    """The data by which requests are routed."""

    def __init__(
        self,
        loop: Loop,
        log: Log,
        evacuations: Evacuations | None = None,
        check: Callable[[RouteTable], Findings] = lambda _: (),
    ) -> None:
        self._loop = loop
        self._log = log
        self._evacuations = evacuations or Evacuations(known=True)
        self._check = check
        # Called with the row of a server whose entry was read, and whether the server
        # has started since this host knows the servers.
        self.on_server_read: Callable[[ServerRow, bool], None] = lambda *_: None
        self._routes: RouteTable | None = None
        self._rows: dict[str, ServerRow] = {}
        self._latest_start_ms: dict[str, int] = {}
        self._notices = ServerNotices()
        # This host and all known ones, among which limits of servers are divided.
        self._own_host = ""
        self._hosts = frozenset({""})
        # Incarnations of removed servers, the oldest first.
        self._removed: dict[int, None] = {}
        self._services: dict[str, list[ServerRow]] = {}
        self._rows_by_key: dict[int, ServerRow] = {}
        self._servers_known = False
        self._rollouts: dict[str, VersionRollout] = {}
        # The latest rollout of services whose order was deleted.
        self._removed_rollouts: dict[str, VersionRollout] = {}
        self._rollouts_known = False
        self._missing_orders = Deadline(float("-inf"))
        # By service, the orders that were given since then: their identifiers and the
        # loop times at which they were read.
        self._new_orders: dict[str, tuple[int, float]] = {}

    @property
    def routes(self) -> RouteTable | None:
        """Return the configuration in force, None before the first is known."""
        return self._routes

    @property
    def complete(self) -> bool:
        """Return whether routes, servers and rollouts have all been read."""
        return (
            self._routes is not None
            and self._servers_known
            and self._rollouts_known
            and self._evacuations.known
        )

    @property
    def rows(self) -> Iterable[ServerRow]:
        """Return the rows of all servers."""
        return self._rows.values()

    @property
    def rollouts(self) -> dict[str, VersionRollout]:
        """Return the rollouts by service."""
        return self._rollouts

    def rejected_versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service that were rolled back."""
        rollout = self._rollouts.get(service) or self._removed_rollouts.get(service)
        return frozenset() if rollout is None else rejected_versions(rollout)

    def adopt_routes(self, table: RouteTable, source: str, waited: float = 0.0) -> bool:
        """Put a configuration in force if it is newer; return whether it was.

        `waited` is the time in seconds since a peer first told of a newer one.
        """
        current = self._routes
        if current is not None and table.version <= current.version:
            return False
        self._routes = table
        self._log(
            "configuration in force",
            version=table.version,
            before=None if current is None else current.version,
            source=source,
            waited=round(waited, 3),
            routes=len(table.routes),
        )
        for finding in self._check(table):
            self._log(
                "configuration finding",
                code=finding.code,
                place=str(finding.place),
                error=finding.message,
            )
        return True

    def servers_of(self, service: str) -> list[ServerRow]:
        """Return the servers of a service that accept new calls."""
        rows = self._services.get(service, [])
        now = self._loop.now
        return [
            row for row in rows if not self.is_evacuated(row) and row.accepts_calls(now)
        ]

    def is_evacuated(self, row: ServerRow) -> bool:
        """Return whether the availability zone of a server is evacuated."""
        return row.server.zone in self._evacuations

    def seconds_until_resumption(self, service: str) -> float:
        """Return how long no server of a service that stays accepts calls.

        Servers may have asked for a pause or have named a request rate. 0 if one of
        them accepts calls now, or if there is none.
        """
        rows, now = self._services.get(service, []), self._loop.now
        times = (
            row.notice.accepts_calls_at(now)
            for row in rows
            if not row.leaving and not self.is_evacuated(row)
        )
        return max(0.0, min(times, default=0.0) - now)

    def record_leaving(self, row: ServerRow, source: str) -> None:
        """Send no more new calls to a server that has announced that it leaves."""
        if not row.notice.leaving:
            row.notice.leaving = True
            self._log("server leaving", server=row.server.id, source=source)

    def record_pause(self, row: ServerRow, seconds: float) -> None:
        """Send no calls to a server for the time that it has asked for."""
        row.notice.pause(seconds, self._loop.now)
        self._log("server paused", server=row.server.id, seconds=seconds)

    def record_misdirected(self, row: ServerRow) -> None:
        """Send no calls for a while to a server in whose place another one answers."""
        self.record_pause(row, MISDIRECTED_PAUSE_SECONDS)

    def share_limits(self, own_host: str, hosts: frozenset[str]) -> None:
        """Divide the request rates that servers have named among the known hosts."""
        self._own_host, self._hosts = own_host, hosts
        for row in self._rows.values():
            self._divide_limit(row)
            self._divide_slots(row)

    def _divide_limit(self, row: ServerRow) -> None:
        limit = row.notice.limit
        limit.divide(row.notice.key, self._own_host, self._hosts, self._loop.now)

    def record_limit(self, row: ServerRow, rate: float) -> None:
        """Apply the requests a second that a server has named in a response."""
        if row.notice.limit.name(rate, self._loop.now):
            self._on_limit_changed(row, "response")

    def record_no_limit(self, row: ServerRow, sent_at: float) -> None:
        """Lift the limit of a server whose response to a call names none."""
        if row.notice.limit.lift(sent_at, self._loop.now):
            self._on_limit_changed(row, "response")

    def apply_limits(self, reports: Iterable[LimitReport], source: str) -> None:
        """Apply the limits that another host knows of."""
        by_key = {report.key: report for report in reports}
        for row in self._rows.values() if by_key else ():
            report = by_key.get(row.notice.key)
            if report and row.notice.limit.apply(report, self._loop.now):
                self._on_limit_changed(row, source)

    def record_brittle(
        self, row: ServerRow, tolerated: int | None, sent_at: float
    ) -> None:
        """Apply how many refusals a server bears by a response, None for any number."""
        brittle = row.notice.brittle
        if brittle.announce(tolerated, sent_at, self._loop.now):
            self._on_brittle_changed(row, "response")

    def apply_brittle(self, reports: Iterable[BrittleReport], source: str) -> None:
        """Apply what another host knows of brittle servers."""
        by_key = {report.key: report for report in reports}
        for row in self._rows.values() if by_key else ():
            report = by_key.get(row.notice.key)
            brittle = row.notice.brittle
            if report and brittle.apply(report, source, self._loop.now):
                self._on_brittle_changed(row, source)

    def _divide_slots(self, row: ServerRow) -> None:
        brittle, slots = row.notice.brittle, row.server.slots
        brittle.divide(row.notice.key, slots, self._own_host, self._hosts)

    def _on_brittle_changed(self, row: ServerRow, source: str) -> None:
        self._divide_slots(row)
        self._log(
            "server brittle",
            server=row.server.id,
            tolerated=row.notice.brittle.tolerated,
            own_slots=row.notice.brittle.own_slots,
            age=round(self._loop.now - row.notice.brittle.told_at, 3),
            source=source,
        )

    @property
    def brittle_servers(self) -> tuple[BrittleReport, ...]:
        """Return what is known of the listed servers that are brittle."""
        now = self._loop.now
        notices = (row.notice for row in self._rows.values())
        reports = (notice.brittle.report(notice.key, now) for notice in notices)
        return tuple(report for report in reports if report is not None)

    def _on_limit_changed(self, row: ServerRow, source: str) -> None:
        self._divide_limit(row)
        limit = row.notice.limit
        self._log(
            "server limit lifted" if limit.rate is None else "server limit",
            server=row.server.id,
            rate=limit.rate,
            age=round(self._loop.now - limit.told_at, 3),
            hosts=len(self._hosts),
            own_interval=limit.own_interval,
            source=source,
        )

    @property
    def limits(self) -> tuple[LimitReport, ...]:
        """Return what is known of the limits of the listed servers."""
        now = self._loop.now
        notices = (row.notice for row in self._rows.values())
        reports = (notice.limit.report(notice.key, now) for notice in notices)
        return tuple(report for report in reports if report is not None)

    @property
    def leaving_incarnations(self) -> frozenset[int]:
        """Return the keys of the listed servers that announced that they leave."""
        notices = (row.notice for row in self._rows.values())
        return frozenset(notice.key for notice in notices if notice.leaving)

    def apply_leaving_incarnations(self, keys: frozenset[int], source: str) -> None:
        """Apply the announcements that another host has received."""
        for row in self._rows.values():
            if row.notice.key in keys:
                self.record_leaving(row, source)

    def row(self, server_id: str) -> ServerRow | None:
        """Return the row of a server, None if it is unknown."""
        return self._rows.get(server_id)

    def row_by_key(self, key: int) -> ServerRow | None:
        """Return the row of the server whose identifier has this `short_key`."""
        return self._rows_by_key.get(key)

    def list_servers(
        self,
        servers: Iterable[BackendServer],
        return_by: Deadline | None,
        restored: bool = False,
    ) -> None:
        """Replace all servers; missing ones stay until entries have returned, if any.

        `restored` tells that the store has come back from an older copy: an entry in
        it may be of a server that has left since.
        """
        listed = {server.id: server for server in servers}
        for server in listed.values():
            was_leaving = restored and self._has_left(server)
            self.put_server(server)
            if was_leaving:
                self.record_pause(self._rows[server.id], RESTORED_ENTRY_PAUSE_SECONDS)
        self._servers_known = True
        for server_id in [name for name in self._rows if name not in listed]:
            self.remove_server(server_id, return_by)

    def put_server(self, server: BackendServer) -> None:
        """Add or update a server, unless its entry is of an earlier process."""
        row = self._rows.get(server.id)
        known_start_ms = self._latest_start_ms.get(server.id)
        if (
            known_start_ms is not None
            and server.started_at_ms is not None
            and server.started_at_ms < known_start_ms
        ):
            self._log("outdated server entry ignored", server=server.id)
            return
        if row is not None and _same_incarnation(row.server, server):
            if row.server.draining != server.draining:
                self._log("server changed", server=server.id, draining=server.draining)
            row.load.server = server
            row.remove_at = None
            self._rebuild_index()
            self.on_server_read(row, False)
            return
        if row is not None:
            row.connections.close()
        connections = ServerConnectionPool(self._loop, server, self._log)
        started = self._servers_known and not self._notices.knows(server)
        row = ServerRow(ServerLoad(server), connections, self._notices.of(server))
        self._rows[server.id] = row
        self._record_start(server)
        self._log(
            "server added",
            server=server.id,
            service=server.service,
            version=server.version,
            draining=server.draining,
        )
        self._rebuild_index()
        self.on_server_read(row, started)

    def remove_server(self, server_id: str, return_by: Deadline | None) -> None:
        """Remove a server, at `return_by` if its entry may have returned until then."""
        row = self._rows.get(server_id)
        if row is None:
            return
        if return_by is not None and not return_by.expired(self._loop.now):
            if row.remove_at is None:
                row.remove_at = return_by.at
                self._loop.call_at(
                    return_by.at, lambda: self._remove_if_missing(server_id)
                )
                left = round(return_by.remaining(self._loop.now), 3)
                self._log("server missing", server=server_id, seconds=left)
            return
        row.connections.close()
        del self._rows[server_id]
        self._removed[row.notice.key] = None
        while len(self._removed) > MAX_KNOWN_STARTS:
            del self._removed[next(iter(self._removed))]
        self._log("server removed", server=server_id)
        self._rebuild_index()

    def _has_left(self, server: BackendServer) -> bool:
        """Return whether a server's incarnation was draining or gone when last read."""
        row = self._rows.get(server.id)
        if row is None or not _same_incarnation(row.server, server):
            return incarnation_key(server) in self._removed
        return row.server.draining and not server.draining

    def list_rollouts(
        self, rollouts: Iterable[VersionRollout], restored: bool = False
    ) -> None:
        """Replace all rollouts.

        If the store was `restored` from an older copy, missing ones stay for the time
        within which operators write them again.
        """
        listed = {rollout.service: rollout for rollout in rollouts}
        missing = [row for name, row in self._rollouts.items() if name not in listed]
        if restored:
            # A further restoration gives operators as much time again.
            self._missing_orders = Deadline.after(
                self._loop.now, RESTORED_ORDER_GRACE_SECONDS
            )
        for rollout in missing:
            if restored:
                self._loop.call_after(
                    RESTORED_ORDER_GRACE_SECONDS,
                    partial(self._remove_unless_updated, rollout),
                )
            else:
                self.remove_rollout(rollout.service)
        for rollout in listed.values():
            self.put_rollout(rollout)
        self._rollouts_known = True

    def ordered_at(self, rollout: VersionRollout) -> float | None:
        """Return the loop time at which an order was read.

        It is None if the order is older than this host's first listing of rollouts.
        """
        created, read_at = self._new_orders.get(rollout.service, (None, 0.0))
        return read_at if created == rollout.created else None

    def put_rollout(self, rollout: VersionRollout) -> bool:
        """Add or update a rollout if its position is newer; return whether it was."""
        current = self._rollouts.get(rollout.service)
        if current is not None:
            if rollout.position <= current.position:
                return False
            rollout = with_known_progress(rollout, current)
        known = current or self._removed_rollouts.pop(rollout.service, None)
        if known is not None:
            rollout = with_known_rejections(rollout, known)
        if self._rollouts_known and (
            current is None or current.created != rollout.created
        ):
            self._new_orders[rollout.service] = rollout.created, self._loop.now
        self._rollouts[rollout.service] = rollout
        self._log(
            "rollout updated",
            service=rollout.service,
            target=rollout.target,
            state=rollout.progress.state.value,
            step=rollout.progress.step,
            stored_state=rollout.stored_progress.state.value,
            revision=rollout.position.revision,
            era=rollout.position.era,
        )
        return True

    def remove_rollout(self, service: str) -> None:
        """Remove a rollout that was deleted."""
        rollout = self._rollouts.pop(service, None)
        if rollout is not None:
            self._removed_rollouts[service] = rollout
            self._log("rollout removed", service=service)

    def _remove_unless_updated(self, rollout: VersionRollout) -> None:
        is_due = self._missing_orders.expired(self._loop.now)
        if is_due and self._rollouts.get(rollout.service) is rollout:
            self.remove_rollout(rollout.service)

    def sweep(self) -> None:
        """Close idle connections of all servers."""
        for row in self._rows.values():
            row.connections.sweep()

    def _remove_if_missing(self, server_id: str) -> None:
        row = self._rows.get(server_id)
        is_missing = row is not None and row.remove_at is not None
        if is_missing and row is not None and row.remove_at <= self._loop.now:  # type: ignore[operator]
            self.remove_server(server_id, None)

    def _record_start(self, server: BackendServer) -> None:
        if server.started_at_ms is not None:
            self._latest_start_ms[server.id] = server.started_at_ms
        while len(self._latest_start_ms) > MAX_KNOWN_STARTS:
            del self._latest_start_ms[next(iter(self._latest_start_ms))]

    def _rebuild_index(self) -> None:
        services: dict[str, list[ServerRow]] = {}
        for row in self._rows.values():
            services.setdefault(row.server.service, []).append(row)
        self._services = services
        self._rows_by_key = {short_key(name): row for name, row in self._rows.items()}


def _same_incarnation(known: BackendServer, reported: BackendServer) -> bool:
    return (
        known.address == reported.address
        and known.started_at_ms == reported.started_at_ms
    )
