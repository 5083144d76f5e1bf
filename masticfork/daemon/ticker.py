"""Run every system over the tables each tick."""

import threading
from collections.abc import Callable, Sequence

import logbook

from masticfork.core.findings import Finding, Severity
from masticfork.core.tables import System, Tables

TICK_SECONDS = 0.25

_log = logbook.Logger("systems")
_LEVELS = {
    Severity.ERROR: logbook.ERROR,
    Severity.WARNING: logbook.WARNING,
    Severity.INFO: logbook.INFO,
}


class Ticker:
    """Runs the systems in order, on one thread."""

    def __init__(
        self, tables: Tables, systems: Sequence[System], now: Callable[[], float]
    ) -> None:
        self._tables = tables
        self._systems = systems
        self._now = now
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Tick in the background."""
        self._thread.start()

    def stop(self) -> None:
        """End after the tick under way."""
        self._stopped.set()
        self._thread.join()

    def tick(self) -> None:
        """Run each system once and log its findings."""
        now = self._now()
        for system in self._systems:
            try:
                findings = system.run(self._tables, now)
            except Exception:
                # One broken system must not stop the others.
                _log.exception("system failed", system=type(system).__name__)
                continue
            for finding in findings:
                log_finding(finding)

    def _run(self) -> None:
        while not self._stopped.wait(TICK_SECONDS):
            self.tick()


def log_finding(finding: Finding) -> None:
    """Write a finding as one log record."""
    _log.log(
        _LEVELS[finding.severity],
        finding.message,
        code=finding.code,
        place=str(finding.place),
    )
