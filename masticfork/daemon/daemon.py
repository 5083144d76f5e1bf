"""The daemon: builds its components from the settings, starts and stops them."""

import random
import threading
from collections.abc import Callable

import logbook

from masticfork.admin.app import AdminApp
from masticfork.admin.drains import Drains
from masticfork.admin.submissions import Submissions
from masticfork.core.events import EventLog
from masticfork.daemon.admin_backend import DaemonBackend
from masticfork.daemon.bill_reader import BillReader
from masticfork.daemon.control import ControlComponents
from masticfork.daemon.lease_views import lease_views
from masticfork.daemon.listener import Listener, ListenerSettings
from masticfork.daemon.operations import OperationsApp
from masticfork.daemon.serving import ServingComponents
from masticfork.daemon.shared_components import SharedComponents
from masticfork.daemon.shutdown import ShutdownSteps
from masticfork.daemon.ticker import Ticker
from masticfork.settings.settings import Settings
from masticfork.store.client import ObjectStore

ADMIN_THREADS = 8
# Maximum delay before a signal is handled.
SIGNAL_POLL_SECONDS = 0.5

_log = logbook.Logger("daemon")


class Daemon:
    """All components of one entry host."""

    def __init__(
        self,
        settings: Settings,
        now: Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        self._shared = SharedComponents(settings, now, rng or random.SystemRandom())
        self._control = ControlComponents(self._shared)
        self._serving = ServingComponents(self._shared, self._control)
        systems = (
            *self._control.systems,
            self._serving.claim_flusher,
            self._serving.load_reports,
        )
        self._ticker = Ticker(self._shared.tables, systems, now)
        self._admin = self._make_admin_listener()
        self._stopped = threading.Event()

    @property
    def event_log(self) -> EventLog:
        """Return the events of recent requests."""
        return self._shared.event_log

    @property
    def store(self) -> ObjectStore:
        """Return the client of the platform's object API."""
        return self._shared.store

    @property
    def entry_port(self) -> int:
        """Return the port on which callers are served."""
        return self._serving.listener.port

    def run(self) -> None:
        """Serve until `stop` is called, then shut down gracefully."""
        self._ticker.start()
        self._control.start()
        self._admin.start()
        self._serving.listener.start()
        _log.info("started", entry_port=self.entry_port, admin_port=self._admin.port)
        # The kernel may deliver a signal to another thread, but Python runs its handler
        # only in the main thread, which must wake for that.
        while not self._stopped.wait(SIGNAL_POLL_SECONDS):
            pass
        self._serving.shutdown.run(self._shutdown_steps())

    def stop(self) -> None:
        """Make `run` shut down and return."""
        self._stopped.set()

    def _shutdown_steps(self) -> ShutdownSteps:
        background = self._shared.background
        return ShutdownSteps(
            flush=(
                self._serving.flush,
                self._control.bills.flush,
                lambda _: self._control.release_duties(),
            ),
            close=(
                self._serving.stop,
                self._admin.stop,
                self._ticker.stop,
                self._control.stop,
                lambda: background.shutdown(wait=False, cancel_futures=True),
            ),
        )

    def _make_admin_listener(self) -> Listener:
        settings, entry = self._shared.settings.admin, self._shared.settings.entry
        backend = DaemonBackend(
            self._shared.tables,
            self._shared.event_log,
            Drains(self._shared.store, self._shared.now),
            self._control.rollouts,
            BillReader(self._shared.store, self._shared.now),
            lambda: lease_views(self._shared.store, self._shared.now),
            self._shared.advertised_address,
            self._shared.now,
        )
        submissions = Submissions(self._shared.store, self._shared.now)
        keys = self._shared.settings.admin_keys
        admin = AdminApp(backend, submissions, keys, self._shared.now)
        app = OperationsApp(admin, self._metrics_exposition, self._serving.ready)
        listener_settings = ListenerSettings(
            settings.host,
            settings.port,
            ADMIN_THREADS,
            entry.max_body_bytes,
            entry.max_header_bytes,
            int(entry.idle_timeout_seconds),
        )
        return Listener(app, listener_settings)

    def _metrics_exposition(self) -> bytes:
        configuration = self._shared.tables.configuration
        self._shared.metrics.refresh(
            self._shared.in_flight.total(),
            configuration.number if configuration else 0,
            {kind.value: count for kind, count in self._shared.calls.calls().items()},
            self._control.node.link.counts,
        )
        return self._shared.metrics.exposition()
