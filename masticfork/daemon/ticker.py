"""Run every system on the tables in each tick."""

import threading
from collections.abc import Callable, Sequence

import logbook

from masticfork.core.findings import Finding, Severity
from masticfork.core.tables import System, Tables

TICK_INTERVAL_SECONDS = 0.25

_log = logbook.Logger("systems")
_LEVELS = {
    Severity.ERROR: logbook.ERROR,
    Severity.WARNING: logbook.WARNING,
    Severity.INFO: logbook.INFO,
}


class Ticker:
    """Runs the systems periodically, in order, on one thread."""

    def __init__(
        self, tables: Tables, systems: Sequence[System], now: Callable[[], float]
    ) -> None:
        self._tables = tables
        self._systems = systems
        self._now = now
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current tick and wait for the thread to end."""
        self._stopped.set()
        self._thread.join()

    def tick(self) -> None:
        """Run each system once and log its findings."""
        now = self._now()
        for system in self._systems:
            try:
                findings = system.run(self._tables, now)
            except Exception:
                # A failing system must not stop the others.
                _log.exception("system failed", system=type(system).__name__)
                continue
            for finding in findings:
                log_finding(finding)

    def _run(self) -> None:
        while not self._stopped.wait(TICK_INTERVAL_SECONDS):
            self.tick()


def log_finding(finding: Finding) -> None:
    """Log a finding as one record."""
    _log.log(
        _LEVELS[finding.severity],
        finding.message,
        code=finding.code,
        place=str(finding.place),
    )
