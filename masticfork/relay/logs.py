"""Logging of JSON lines to standard output, non-blocking and with bounded memory."""

import os
import sys
from collections import deque
from typing import Any, Protocol

import logbook

from masticfork.core.ids import HostName, ZoneName
from masticfork.daemon.logs import JsonLineHandler

# Lines queued while standard output is blocked; further ones are dropped and counted.
MAX_QUEUED_LINES = 2000
# Rate limit; a host at full load writes some hundreds of lines a second.
MAX_LINES_PER_SECOND = 1500


class LogSink(Protocol):
    """A buffered log output that may drop lines."""

    def flush(self) -> None:
        """Write as many queued lines as possible without blocking."""

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the previous call."""


class BoundedJsonHandler(JsonLineHandler):
    """Write records without blocking and count those that were dropped."""

    def __init__(self, host: str, zone: str) -> None:
        super().__init__(HostName(host), ZoneName(zone), "info")
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)
        self._queued: deque[bytes] = deque()
        self._dropped = 0
        self._current_second = 0
        self._lines_this_second = 0

    def emit(self, record: Any) -> None:
        """Queue a record and flush; drop it beyond the limits of queue and rate."""
        second = int(record.time.timestamp())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        queue_full = len(self._queued) >= MAX_QUEUED_LINES
        if queue_full or self._lines_this_second > MAX_LINES_PER_SECOND:
            self._dropped += 1
            return
        self._queued.append(self.format(record).encode() + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write as many queued lines as standard output accepts without blocking."""
        while self._queued:
            line = self._queued[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Standard output is closed; requests are served without a log.
                self._queued.clear()
                return
            if written < len(line):
                self._queued[0] = line[written:]
                return
            self._queued.popleft()

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the previous call."""
        dropped, self._dropped = self._dropped, 0
        return dropped


def relay_logger() -> logbook.Logger:
    """Return the logger of the relay."""
    return logbook.Logger("relay")
