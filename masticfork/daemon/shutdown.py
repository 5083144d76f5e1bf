"""The graceful shutdown of a host, in the order in which nothing gets lost."""

import functools
import threading
from collections.abc import Callable

import attrs
import logbook

from masticfork.core.deadlines import Deadline
from masticfork.core.tables import Tables
from masticfork.entry.active import ActiveRequests
from masticfork.settings.settings import ShutdownSettings

# Time for the last bytes of finished answers to leave the listener's buffers.
LAST_BYTES_SECONDS = 0.25

_log = logbook.Logger("shutdown")


@attrs.frozen
class ShutdownSteps:
    """What the other parts do when all requests have ended, in order."""

    flush: tuple[Callable[[Deadline], None], ...]
    close: tuple[Callable[[], None], ...]


class Shutdown:
    """Takes a host out of service."""

    def __init__(
        self,
        tables: Tables,
        active: ActiveRequests,
        settings: ShutdownSettings,
        now: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._active = active
        self._settings = settings
        self._now = now
        self._leaving = threading.Event()

    @property
    def leaving(self) -> bool:
        """Tell whether the host wants no new work from the balancer."""
        return self._leaving.is_set()

    def run(self, steps: ShutdownSteps) -> None:
        """Stop being ready, then refuse, finish, flush and close."""
        self._leaving.set()
        _log.info("not ready", active=self._active.count)
        # The balancer still sends requests until it has seen that; they are served.
        threading.Event().wait(self._settings.not_ready_seconds)
        self._tables.me = attrs.evolve(self._tables.me, stopping=True)
        deadline = Deadline.after(self._now(), self._settings.finish_seconds)
        finished = self._active.wait_none(self._settings.finish_seconds)
        if not finished:
            _log.warning("requests given up", active=self._active.count)
        threading.Event().wait(LAST_BYTES_SECONDS)
        for flush in steps.flush:
            self._guarded(functools.partial(flush, deadline))
        for close in steps.close:
            self._guarded(close)
        _log.info("stopped", finished=finished)

    def _guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:
            # The steps after it matter as much.
            _log.exception("shutdown step failed")
