"""Delete expired claims, one page at a time, on the host that has the duty."""

import threading
from collections.abc import Callable

import logbook
from result import Err

from masticfork.core.deadlines import Deadline
from masticfork.daemon.duties import DutyLeases
from masticfork.ledger.claim_sweep import sweep_claims
from masticfork.platform.client import ObjectStore

DUTY = "claim-sweep"
SWEEP_SECONDS = 30.0
PAGE_SECONDS = 10.0

_log = logbook.Logger("claims")


class ClaimSweeper:
    """Sweeps on a thread of its own, since each page waits on the platform."""

    def __init__(
        self, store: ObjectStore, duties: DutyLeases, now: Callable[[], float]
    ) -> None:
        self._store = store
        self._duties = duties
        self._now = now
        self._after = ""
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="sweep", daemon=True)

    def start(self) -> None:
        """Sweep in the background."""
        self._thread.start()

    def stop(self) -> None:
        """End after the page under way."""
        self._stopped.set()

    def step(self) -> None:
        """Sweep one page where this host has the duty."""
        if self._duties.hold(DUTY) is None:
            return
        now = self._now()
        deadline = Deadline.after(now, PAGE_SECONDS)
        swept = sweep_claims(self._store, now, self._after, deadline)
        if isinstance(swept, Err):
            _log.warning("claims are not swept", error=swept.err_value.message)
            return
        self._after = swept.ok_value.after
        if swept.ok_value.deleted:
            _log.info("expired claims deleted", count=swept.ok_value.deleted)

    def _run(self) -> None:
        while not self._stopped.wait(SWEEP_SECONDS):
            try:
                self.step()
            except Exception:
                _log.exception("sweep failed")
