"""One daemon: builds its parts from the settings, starts and stops them."""

import random
import threading
from collections.abc import Callable

import logbook

from masticfork.admin.app import AdminApp
from masticfork.admin.drains import Drains
from masticfork.admin.submissions import Submissions
from masticfork.core.events import Journal
from masticfork.daemon.admin_backend import DaemonBackend
from masticfork.daemon.base import Base
from masticfork.daemon.bill_reader import BillReader
from masticfork.daemon.control import ControlParts
from masticfork.daemon.lease_views import lease_views
from masticfork.daemon.listener import Listener, ListenerSettings
from masticfork.daemon.operations import OperationsApp
from masticfork.daemon.serving import ServingParts
from masticfork.daemon.shutdown import ShutdownSteps
from masticfork.daemon.ticker import Ticker
from masticfork.settings.settings import Settings
from masticfork.store.client import ObjectStore

ADMIN_THREADS = 8
# How late a signal may be acted on.
SIGNAL_SECONDS = 0.5

_log = logbook.Logger("daemon")


class Daemon:
    """All parts of one entry host."""

    def __init__(
        self,
        settings: Settings,
        now: Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        self._base = Base(settings, now, rng or random.SystemRandom())
        self._control = ControlParts(self._base)
        self._serving = ServingParts(self._base, self._control)
        systems = (
            *self._control.systems,
            self._serving.claim_flusher,
            self._serving.load_reports,
        )
        self._ticker = Ticker(self._base.tables, systems, now)
        self._admin = self._make_admin()
        self._stopped = threading.Event()

    @property
    def journal(self) -> Journal:
        """Return the events of the last requests."""
        return self._base.journal

    @property
    def store(self) -> ObjectStore:
        """Return the platform's object API as this daemon sees it."""
        return self._base.store

    @property
    def entry_port(self) -> int:
        """Return the port for callers."""
        return self._serving.listener.port

    def run(self) -> None:
        """Serve until `stop` is called."""
        self._ticker.start()
        self._control.start()
        self._admin.start()
        self._serving.listener.start()
        _log.info("started", entry_port=self.entry_port, admin_port=self._admin.port)
        # A signal may reach another thread; its handler only runs once this one wakes.
        while not self._stopped.wait(SIGNAL_SECONDS):
            pass
        self._serving.shutdown.run(self._steps())

    def stop(self) -> None:
        """End `run`."""
        self._stopped.set()

    def _steps(self) -> ShutdownSteps:
        background = self._base.background
        return ShutdownSteps(
            flush=(
                self._serving.flush,
                self._control.bills.flush,
                lambda _: self._control.hand_back(),
            ),
            close=(
                self._serving.stop,
                self._admin.stop,
                self._ticker.stop,
                self._control.stop,
                lambda: background.shutdown(wait=False, cancel_futures=True),
            ),
        )

    def _make_admin(self) -> Listener:
        settings, entry = self._base.settings.admin, self._base.settings.entry
        backend = DaemonBackend(
            self._base.tables,
            self._base.journal,
            Drains(self._base.store, self._base.now),
            self._control.rollouts,
            BillReader(self._base.store, self._base.now),
            lambda: lease_views(self._base.store, self._base.now),
            self._base.advertised,
            self._base.now,
        )
        submissions = Submissions(self._base.store, self._base.now)
        keys = self._base.settings.admin_keys
        admin = AdminApp(backend, submissions, keys, self._base.now)
        app = OperationsApp(admin, self._exposition, self._serving.ready)
        listening = ListenerSettings(
            settings.host,
            settings.port,
            ADMIN_THREADS,
            entry.max_body_bytes,
            entry.max_header_bytes,
            int(entry.idle_timeout_seconds),
        )
        return Listener(app, listening)

    def _exposition(self) -> bytes:
        configuration = self._base.tables.configuration
        self._base.metrics.refresh(
            self._base.in_flight.total(),
            configuration.number if configuration else 0,
            {kind.value: count for kind, count in self._base.calls.calls().items()},
            self._control.node.link.counts,
        )
        return self._base.metrics.exposition()
