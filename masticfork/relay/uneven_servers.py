"""Keeps the relative slowness of servers, by which calls are placed."""

from collections.abc import Callable

from masticfork.core.digests import SpeedReport
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.tables import ServerRow, Tables
from masticfork.systems.server_speed import ServerSpeeds

# Interval at which the slowness of all servers is computed anew.
UPDATE_SECONDS = 1.0


class UnevenServers:
    """Learns from answers to calls with a model; plain services have mean times."""

    def __init__(
        self,
        loop: Loop,
        tables: Tables,
        metrics: RelayMetrics,
        log: Callable[..., None],
    ) -> None:
        self._loop = loop
        self._tables = tables
        self._metrics = metrics
        self._log = log
        self._speeds = ServerSpeeds()
        self._next_update = 0.0

    def record_answer(self, row: ServerRow, seconds: float, expected: float) -> None:
        """Record the time to the first byte of an answer, and the expected one."""
        self._speeds.record(row.notice.key, seconds, expected, self._loop.now)

    @property
    def reports(self) -> tuple[SpeedReport, ...]:
        """Return this host's evidence for the others."""
        keys = (row.notice.key for row in self._tables.rows)
        return self._speeds.report(keys, self._loop.now)

    def apply(self, host: str, speeds: tuple[SpeedReport, ...]) -> None:
        """Apply another host's evidence."""
        if speeds:
            self._speeds.apply(host, speeds, self._loop.now)

    def run(self) -> None:
        """Set the slowness of each server's row."""
        now = self._loop.now
        if now < self._next_update:
            return
        self._next_update = now + UPDATE_SECONDS
        rows: dict[str, list[ServerRow]] = {}
        for row in self._tables.rows:
            rows.setdefault(row.server.service, []).append(row)
        uneven = 0
        for members in rows.values():
            by_key = self._speeds.slowness((row.notice.key for row in members), now)
            for row in members:
                uneven += self._set(row, by_key[row.notice.key])
        self._metrics.uneven_servers.set(uneven)

    def _set(self, row: ServerRow, slowness: float) -> bool:
        """Set the slowness of a server; return whether it differs from the others."""
        was_even, is_even = row.load.slowness == 1.0, slowness == 1.0
        row.load.slowness = slowness
        if was_even != is_even:
            self._log(
                "server as fast as others" if is_even else "server speed differs",
                server=row.server.id,
                slowness=round(slowness, 2),
            )
        return not is_even
