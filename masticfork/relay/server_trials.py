"""Trials whether this host reaches backend servers, by connections alone."""

import random
from collections.abc import Callable

import attrs

from masticfork.relay.channel import Channel
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.tables import ServerRow, Tables
from masticfork.systems.server_contact import (
    PROBE_INTERVAL_SECONDS,
    PROBED_SERVERS,
    PROBED_SERVERS_WHILE_CUT_OFF,
    ServerContact,
    of_different_services,
)

# Timeout of the connection that tries a server.
CONNECT_TIMEOUT_SECONDS = 0.25
# Time for which it must stay open: a link may accept connections and reset them.
OPEN_SECONDS = 0.05


class _Probe:
    """One connection that tries a server."""

    def __init__(
        self, loop: Loop, channel: Channel, on_end: Callable[[bool], None]
    ) -> None:
        self._loop = loop
        self._channel = channel
        self._on_end = on_end
        channel.owner = self
        self._timer = loop.call_after(
            CONNECT_TIMEOUT_SECONDS, lambda: self._end(reached=False)
        )

    def on_connected(self) -> None:
        """Wait whether the connection stays open."""
        self._timer.cancel()
        self._timer = self._loop.call_after(
            OPEN_SECONDS, lambda: self._end(reached=True)
        )

    def on_data(self, data: bytes) -> None:
        """Do nothing: a server that sends anything is reached."""

    def on_drained(self) -> None:
        """Do nothing: nothing is sent."""

    def on_closed(self, error: OSError | None) -> None:
        """End the trial of this server."""
        self._end(reached=False)

    def _end(self, reached: bool) -> None:
        self._timer.cancel()
        self._channel.close()
        self._on_end(reached)


@attrs.define
class _Trial:
    """The servers that are being tried."""

    tried: int
    reached: int = 0
    ended: int = 0


class ServerTrials:
    """Tries servers when calls fail, and while this host is cut off."""

    def __init__(
        self,
        loop: Loop,
        tables: Tables,
        metrics: RelayMetrics,
        on_change: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        self._loop = loop
        self._tables = tables
        self._metrics = metrics
        # Called when the host is cut off, and when it reaches servers again.
        self._on_change = on_change
        self._log = log
        self._contact = ServerContact()

    @property
    def cut_off(self) -> bool:
        """Return whether this host reaches no server."""
        return self._contact.cut_off

    @property
    def in_doubt(self) -> bool:
        """Return whether this host is cut off, or tries whether it is."""
        return self._contact.in_doubt

    @property
    def is_sure(self) -> bool:
        """Return whether a server that is not reached is known to be at fault."""
        return self._contact.is_sure(self._loop.now)

    def record_reached(self) -> None:
        """Record that a new connection to a server was established."""
        self._contact.record_reached(self._loop.now)

    def begin(self) -> None:
        """Try some servers, unless that was done just now."""
        if not self._contact.begin_trial(self._loop.now):
            return
        rows = list(self._tables.rows)
        random.shuffle(rows)
        count = PROBED_SERVERS_WHILE_CUT_OFF if self.cut_off else PROBED_SERVERS
        chosen = of_different_services(rows, count)
        trial = _Trial(len(chosen))
        for row in chosen:
            self._try(row, trial)
        if not chosen:
            self._end(trial)

    def _try(self, row: ServerRow, trial: _Trial) -> None:
        def on_end(reached: bool) -> None:
            trial.ended += 1
            trial.reached += reached
            if trial.ended == trial.tried:
                self._end(trial)

        try:
            channel, _ = row.connections.open(require_new=True)
        except OSError:
            # Not at once: the other servers of the trial are still to be added.
            self._loop.call_after(0.0, lambda: on_end(False))
            return
        _Probe(self._loop, channel, on_end)

    def _end(self, trial: _Trial) -> None:
        if self._contact.end_trial(trial.reached, trial.tried, self._loop.now):
            self._log(
                "servers unreachable" if self.cut_off else "servers reached",
                tried=trial.tried,
                reached=trial.reached,
            )
            self._metrics.cut_off.set(self.cut_off)
            self._on_change()
        if self.cut_off:
            self._loop.call_after(PROBE_INTERVAL_SECONDS, self.begin)
