"""Run a system less often than each tick."""

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.core.tables import System, Tables


class Paced:
    """Runs a system once in a while, and at once for a new configuration."""

    def __init__(self, system: System, seconds: float) -> None:
        self._system = system
        self._seconds = seconds
        self._next = Deadline(0.0)
        self._number = 0

    def run(self, tables: Tables, now: float) -> Findings:
        """Run the system where it is due."""
        configuration = tables.configuration
        number = configuration.number if configuration else 0
        if number == self._number and not self._next.expired(now):
            return ()
        self._number = number
        self._next = Deadline.after(now, self._seconds)
        return self._system.run(tables, now)
