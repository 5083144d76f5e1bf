"""Write outcomes of claims that the platform did not take at once."""

from concurrent.futures import Executor, Future

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.core.tables import Tables
from masticfork.daemon.ticker import log_finding
from masticfork.ledger.claims import ClaimBook

FLUSH_SECONDS = 0.5


class ClaimFlusher:
    """Tries again and again while outcomes are pending, off the ticker's thread."""

    def __init__(self, claims: ClaimBook, background: Executor) -> None:
        self._claims = claims
        self._background = background
        self._next_flush = Deadline(0.0)
        self._flushing: Future[None] | None = None

    def run(self, tables: Tables, now: float) -> Findings:
        """Start a flush where one is due and none is under way."""
        under_way = self._flushing is not None and not self._flushing.done()
        if self._claims.pending and not under_way and self._next_flush.expired(now):
            self._next_flush = Deadline.after(now, FLUSH_SECONDS)
            self._flushing = self._background.submit(self._flush)
        return ()

    def _flush(self) -> None:
        for finding in self._claims.flush():
            log_finding(finding)
