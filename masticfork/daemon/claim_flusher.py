"""Retry writes of claim outcomes that the platform did not store at first."""

from concurrent.futures import Executor, Future

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.core.tables import Tables
from masticfork.daemon.ticker import log_finding
from masticfork.ledger.claims import ClaimRegistry

FLUSH_INTERVAL_SECONDS = 0.5


class ClaimFlusher:
    """Retries pending outcomes on a background thread, which keeps ticks short."""

    def __init__(self, claims: ClaimRegistry, background: Executor) -> None:
        self._claims = claims
        self._background = background
        self._next_flush = Deadline(0.0)
        self._current_flush: Future[None] | None = None

    def run(self, tables: Tables, now: float) -> Findings:
        """Start a flush if one is due and none is running."""
        flush_running = (
            self._current_flush is not None and not self._current_flush.done()
        )
        if self._claims.pending and not flush_running and self._next_flush.expired(now):
            self._next_flush = Deadline.after(now, FLUSH_INTERVAL_SECONDS)
            self._current_flush = self._background.submit(self._flush)
        return ()

    def _flush(self) -> None:
        for finding in self._claims.flush():
            log_finding(finding)
