"""Run a system at a fixed interval instead of in each tick."""

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.core.tables import System, Tables


class PeriodicSystem:
    """Runs a system every `seconds`, and immediately for a new configuration."""

    def __init__(self, system: System, seconds: float) -> None:
        self._system = system
        self._interval_seconds = seconds
        self._next_run = Deadline(0.0)
        self._configuration_number = 0

    def run(self, tables: Tables, now: float) -> Findings:
        """Run the system if it is due."""
        configuration = tables.configuration
        number = configuration.number if configuration else 0
        if number == self._configuration_number and not self._next_run.expired(now):
            return ()
        self._configuration_number = number
        self._next_run = Deadline.after(now, self._interval_seconds)
        return self._system.run(tables, now)
