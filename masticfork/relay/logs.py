"""JSON lines on standard output that never block and never grow without bound."""

import os
import sys
from collections import deque
from typing import Any, Protocol

import logbook

from masticfork.core.ids import HostName, ZoneName
from masticfork.daemon.logs import JsonLineHandler

# Lines kept while standard output takes none; what comes beyond is counted and dropped.
MAX_WAITING_LINES = 2000
# Lines written in a second at most; a host at full load writes some hundreds.
MAX_LINES_PER_SECOND = 1500


class LogSink(Protocol):
    """Where lines wait until they are written."""

    def flush(self) -> None:
        """Write what can be written now."""

    def take_dropped(self) -> int:
        """Return the lines dropped since the last time."""


class BoundedJsonHandler(JsonLineHandler):
    """Write records without blocking; tell how many were dropped."""

    def __init__(self, host: str, zone: str) -> None:
        super().__init__(HostName(host), ZoneName(zone), "info")
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)
        self._waiting: deque[bytes] = deque()
        self._dropped = 0
        self._second = 0
        self._lines = 0

    def emit(self, record: Any) -> None:
        """Write a record, or drop it where too many wait."""
        second = int(record.time.timestamp())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        full = len(self._waiting) >= MAX_WAITING_LINES
        if full or self._lines > MAX_LINES_PER_SECOND:
            self._dropped += 1
            return
        self._waiting.append(self.format(record).encode() + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write what standard output takes now."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; serving goes on without it.
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()

    def take_dropped(self) -> int:
        """Return the lines dropped since the last time."""
        dropped, self._dropped = self._dropped, 0
        return dropped


def entry_logger() -> logbook.Logger:
    """Return the logger of the relay."""
    return logbook.Logger("relay")
