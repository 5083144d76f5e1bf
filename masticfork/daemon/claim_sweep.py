"""Delete expired claims page by page, on the host that holds the lease for it."""

from collections.abc import Callable

import logbook
from result import Err

from masticfork.core.deadlines import Deadline
from masticfork.daemon.duties import DutyLeases
from masticfork.daemon.loops import Loop
from masticfork.ledger.claim_sweep import sweep_claims
from masticfork.store.client import ObjectStore

DUTY = "claim-sweep"
SWEEP_INTERVAL_SECONDS = 30.0
PAGE_TIMEOUT_SECONDS = 10.0

_log = logbook.Logger("claims")


class ClaimSweeper:
    """Scans all claims repeatedly, one page per step."""

    def __init__(
        self, store: ObjectStore, duties: DutyLeases, now: Callable[[], float]
    ) -> None:
        self._store = store
        self._duties = duties
        self._now = now
        self._after = ""
        self.loop = Loop("sweep", SWEEP_INTERVAL_SECONDS, self.step)

    def step(self) -> None:
        """Sweep the next page if this host holds the lease of the duty."""
        if self._duties.acquire_or_renew(DUTY) is None:
            return
        now = self._now()
        deadline = Deadline.after(now, PAGE_TIMEOUT_SECONDS)
        swept = sweep_claims(self._store, now, self._after, deadline)
        if isinstance(swept, Err):
            _log.warning("claim sweep failed", error=swept.err_value.message)
            return
        self._after = swept.ok_value.after
        if swept.ok_value.deleted:
            _log.info("expired claims deleted", count=swept.ok_value.deleted)
