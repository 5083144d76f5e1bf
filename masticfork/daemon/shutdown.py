"""Graceful shutdown of a host, in an order that loses no requests or records."""

import functools
import threading
from collections.abc import Callable

import attrs
import logbook

from masticfork.core.deadlines import Deadline
from masticfork.core.tables import Tables
from masticfork.entry.active import ActiveRequests
from masticfork.settings.settings import ShutdownSettings

# Time for the listener to send the buffered end of finished responses.
RESPONSE_FLUSH_SECONDS = 0.25

_log = logbook.Logger("shutdown")


@attrs.frozen
class ShutdownSteps:
    """Steps of the other components after all requests have ended, in order."""

    flush: tuple[Callable[[Deadline], None], ...]
    close: tuple[Callable[[], None], ...]


class Shutdown:
    """Takes this host out of service."""

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
        """Return whether the host is shutting down and must report itself not ready."""
        return self._leaving.is_set()

    def run(self, steps: ShutdownSteps) -> None:
        """Report not ready, refuse new requests, finish the rest, flush and close."""
        self._leaving.set()
        _log.info("shutting down: reporting not ready", active=self._active.count)
        # Serve the requests that the load balancer sends until it sees the host is not
        # ready.
        threading.Event().wait(self._settings.not_ready_seconds)
        self._tables.me = attrs.evolve(self._tables.me, stopping=True)
        deadline = Deadline.after(self._now(), self._settings.finish_seconds)
        finished = self._active.wait_idle(self._settings.finish_seconds)
        if not finished:
            _log.warning(
                "requests still active at the shutdown deadline",
                active=self._active.count,
            )
        threading.Event().wait(RESPONSE_FLUSH_SECONDS)
        for flush in steps.flush:
            self._run_step(functools.partial(flush, deadline))
        for close in steps.close:
            self._run_step(close)
        _log.info("stopped", finished=finished)

    def _run_step(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:
            # The remaining steps must still run.
            _log.exception("shutdown step failed")
