"""One daemon: builds its parts from the settings, starts and stops them."""

import random
import secrets
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import logbook

from masticfork.backends.connections import ConnectionPool
from masticfork.backends.engine import EngineClient
from masticfork.backends.service import ServiceClient
from masticfork.core.events import Journal
from masticfork.core.ids import HostName, ZoneName
from masticfork.core.tables import SelfRow, Tables
from masticfork.daemon.configuration import ConfigurationWatch
from masticfork.daemon.listener import Listener, ListenerSettings
from masticfork.daemon.metrics import Metrics
from masticfork.daemon.ticker import Ticker
from masticfork.entry.app import EntryApp, EntryParts
from masticfork.entry.billing import VolatileBills
from masticfork.entry.chat import ChatHandler, ChatParts
from masticfork.entry.parsing import Limits
from masticfork.entry.policy import SessionPolicy
from masticfork.entry.routing import Router
from masticfork.entry.services import ServiceHandler, ServiceParts
from masticfork.platform.client import CallCounter, ObjectStore
from masticfork.platform.embedded import EmbeddedStore
from masticfork.platform.http import HttpObjectStore
from masticfork.settings.settings import Settings
from masticfork.systems.placement import InFlight, TwoChoices
from masticfork.systems.sessions import SessionSigner, SigningKey

BACKGROUND_THREADS = 16
TRIAL_SECRET_BYTES = 32
# The parser's own bounds lie above the checked ones, so that those answer first.
PARSER_MARGIN = 2

_log = logbook.Logger("daemon")


class Daemon:
    """All parts of one entry host."""

    def __init__(
        self,
        settings: Settings,
        now: Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._now = now
        self._rng = rng or random.SystemRandom()
        me = SelfRow(HostName(settings.host), ZoneName(settings.zone))
        self._tables = Tables(me)
        self._metrics = Metrics()
        self._journal = Journal()
        self._calls = CallCounter()
        self._store = _make_store(settings, self._calls, now)
        self._pool = ConnectionPool(now)
        self._background = ThreadPoolExecutor(BACKGROUND_THREADS, "background")
        self._in_flight = InFlight()
        self._ticker = Ticker(self._tables, (), now)
        self._watch = ConfigurationWatch(
            self._store, self._tables, settings.confirm_seconds, now
        )
        self._entry = self._make_entry()
        self._stopped = threading.Event()

    @property
    def journal(self) -> Journal:
        """Return the events of the last requests."""
        return self._journal

    @property
    def store(self) -> ObjectStore:
        """Return the platform's object API as this daemon sees it."""
        return self._store

    @property
    def entry_port(self) -> int:
        """Return the port for callers."""
        return self._entry.port

    def run(self) -> None:
        """Serve until `stop` is called."""
        self._ticker.start()
        self._watch.start()
        self._entry.start()
        _log.info("started", entry_port=self._entry.port)
        self._stopped.wait()
        self._entry.stop()
        self._watch.stop()
        self._ticker.stop()
        self._background.shutdown(wait=False, cancel_futures=True)
        self._pool.close()

    def stop(self) -> None:
        """End `run`."""
        self._stopped.set()

    def _make_entry(self) -> Listener:
        settings = self._settings.entry
        router = self._make_router()
        engines = EngineClient(self._pool, self._now)
        chat = ChatParts(
            self._tables,
            router,
            engines,
            VolatileBills(lambda _: None),
            self._journal,
            self._background,
            self._now,
        )
        client = ServiceClient(self._pool, self._now)
        services = ServiceParts(router, client, self._journal, self._now)
        limits = Limits(
            settings.max_body_bytes,
            settings.max_header_count,
            settings.max_header_bytes,
        )
        parts = EntryParts(
            tables=self._tables,
            chat=ChatHandler(chat),
            services=ServiceHandler(services),
            journal=self._journal,
            limits=limits,
            ready=self._ready,
            observe=self._observe,
            now=self._now,
        )
        listening = ListenerSettings(
            settings.host,
            settings.port,
            settings.threads,
            settings.max_body_bytes * PARSER_MARGIN,
            settings.max_header_bytes * PARSER_MARGIN,
            int(settings.idle_timeout_seconds),
        )
        return Listener(EntryApp(parts), listening)

    def _make_router(self) -> Router:
        signer = SessionSigner(_signing_keys(self._settings))
        policy = SessionPolicy(self._tables, signer, self._rng)
        return Router(
            self._tables,
            policy,
            TwoChoices(self._in_flight),
            self._in_flight,
            random.Random(self._rng.getrandbits(64)),
            self._now,
        )

    def _ready(self) -> bool:
        return self._tables.configuration is not None and not self._tables.me.stopping

    def _observe(self, method: str, path: str, status: int, started: float) -> None:
        self._metrics.requests.labels(str(status)).inc()


def _make_store(
    settings: Settings, calls: CallCounter, now: Callable[[], float]
) -> ObjectStore:
    url = settings.platform.url
    if url is None:
        return EmbeddedStore(now, calls)
    return HttpObjectStore(url.removeprefix("http://"), now, calls)


def _signing_keys(settings: Settings) -> tuple[SigningKey, ...]:
    if not settings.session_keys:
        _log.warning("no session keys: sessions end with this process")
        return (SigningKey("trial", secrets.token_bytes(TRIAL_SECRET_BYTES)),)
    return tuple(SigningKey(key.id, key.secret) for key in settings.session_keys)
