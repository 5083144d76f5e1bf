"""One daemon: builds its parts from the settings, starts and stops them."""

import random
import secrets
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import logbook
from result import Err, Ok, Result

from masticfork.admin.app import AdminApp
from masticfork.admin.drains import Drains
from masticfork.admin.submissions import Submissions
from masticfork.backends.connections import ConnectionPool
from masticfork.backends.engine import EngineClient
from masticfork.backends.pump import StreamPump
from masticfork.backends.service import ServiceClient
from masticfork.core.configuration import Configuration
from masticfork.core.events import Journal
from masticfork.core.findings import Findings
from masticfork.core.ids import HostName, ZoneName
from masticfork.core.tables import SelfRow, Tables
from masticfork.daemon.admin_backend import DaemonBackend
from masticfork.daemon.answers import Answers
from masticfork.daemon.bill_reader import BillReader
from masticfork.daemon.bills import BillService
from masticfork.daemon.claims import ClaimFlusher
from masticfork.daemon.duties import DutyLeases
from masticfork.daemon.host_list import HostListPoller
from masticfork.daemon.lease_views import lease_views
from masticfork.daemon.listener import Listener, ListenerSettings
from masticfork.daemon.metrics import Metrics
from masticfork.daemon.operations import OperationsApp
from masticfork.daemon.rollout_driver import USAGE_TOPIC, RolloutDriver
from masticfork.daemon.rollout_store import RolloutStore
from masticfork.daemon.shared import SharedTables
from masticfork.daemon.shutdown import Shutdown, ShutdownSteps
from masticfork.daemon.ticker import Ticker, log_finding
from masticfork.daemon.topics import Topics
from masticfork.entry.active import ActiveRequests
from masticfork.entry.app import EntryApp, EntryParts
from masticfork.entry.chat import ChatHandler
from masticfork.entry.chat_answer import ChatParts
from masticfork.entry.gate import Gate
from masticfork.entry.once import OnceHandler
from masticfork.entry.parsing import Limits
from masticfork.entry.policy import SessionPolicy
from masticfork.entry.responses import REASON_HEADER, Response
from masticfork.entry.routing import Router
from masticfork.entry.services import (
    RepeatableHandler,
    ServiceHandler,
    ServiceParts,
)
from masticfork.ledger.claims import ClaimBook
from masticfork.ledger.leases import LeaseKeeper
from masticfork.peers.authentication import PeerKey
from masticfork.peers.messages import BillsWritten, Evidence, KeepBills
from masticfork.peers.node import NodeSettings, PeerNode
from masticfork.peers.object_relay import NEWS_TOPIC, VERSIONS_TOPIC, ObjectRelay
from masticfork.peers.object_watch import ObjectWatch
from masticfork.peers.records import LinkSettings
from masticfork.platform.client import CallCounter, ObjectStore
from masticfork.platform.embedded import EmbeddedStore
from masticfork.platform.http import HttpObjectStore
from masticfork.platform.ratings import RatingClient
from masticfork.settings.manifest import parse_manifest
from masticfork.settings.settings import Settings
from masticfork.systems.admission import FairAdmission
from masticfork.systems.placement import InFlight, TwoChoices
from masticfork.systems.pool_capacity import PoolCapacity
from masticfork.systems.rollout_policies import SequentialPolicy
from masticfork.systems.rollout_usage import RolloutUsage
from masticfork.systems.rollouts import RolloutSystem
from masticfork.systems.sessions import SessionSigner, SigningKey
from masticfork.systems.team_limits import Unlimited
from masticfork.systems.watchers import watches

BACKGROUND_THREADS = 16
ADMIN_THREADS = 8
# How late a signal may be acted on.
SIGNAL_SECONDS = 0.5
SECONDS_PER_DAY = 86_400.0
# A restarted host must carry a greater incarnation number than before.
INCARNATIONS_PER_SECOND = 1000
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
        self._active = ActiveRequests()
        self._shutdown = Shutdown(self._tables, self._active, settings.shutdown, now)
        self._pump = StreamPump(now)
        self._usage = RolloutUsage(me.host)
        self._objects = ObjectRelay(SharedTables(self._tables, self._usage))
        self._topics = Topics()
        self._leases = LeaseKeeper(self._store, me.host, now)
        self._bills = BillService(self._store, self._tables, self._background, now)
        self._node = self._make_node()
        self._bills.keeper.use(self._node.link)
        self._objects.use(self._node.link)
        self._object_watch = ObjectWatch(
            self._store, self._objects, lambda: watches(self._tables), now
        )
        self._claims = ClaimBook(
            self._store,
            HostName(settings.host),
            now,
            settings.retention_days * SECONDS_PER_DAY,
        )
        self._ratings = _make_ratings(settings, now)
        self._answers = Answers(
            self._tables, self._metrics, self._usage, self._ratings, self._background
        )
        self._host_list = self._make_host_list()
        self._driver = self._make_driver()
        self._register_topics()
        self._admission = FairAdmission(Unlimited())
        capacity = PoolCapacity(self._in_flight.at, self._admission.run_pools)
        flusher = ClaimFlusher(self._claims, self._background)
        systems = (self._node, self._objects, capacity, self._bills, flusher)
        self._ticker = Ticker(self._tables, systems, now)
        self._entry = self._make_entry()
        self._admin = self._make_admin()
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
        self._bills.start()
        started = self._node.start()
        if isinstance(started, Err):
            _log.error("the peer link cannot listen", error=str(started.err_value))
        self._object_watch.start()
        self._driver.start()
        if self._host_list is not None:
            self._host_list.start()
        self._admin.start()
        self._entry.start()
        _log.info("started", entry_port=self._entry.port, admin_port=self._admin.port)
        # A signal may reach another thread; its handler only runs once this one wakes.
        while not self._stopped.wait(SIGNAL_SECONDS):
            pass
        self._shutdown.run(self._steps())

    def _steps(self) -> ShutdownSteps:
        return ShutdownSteps(
            flush=(
                lambda _: self._flush_claims(),
                self._bills.flush,
                lambda _: self._driver.hand_back(),
            ),
            close=(
                self._object_watch.stop,
                self._entry.stop,
                self._admin.stop,
                self._ticker.stop,
                self._bills.stop,
                self._node.stop,
                self._pump.stop,
                lambda: self._background.shutdown(wait=False, cancel_futures=True),
                self._pool.close,
            ),
        )

    def _flush_claims(self) -> None:
        for finding in self._claims.flush():
            log_finding(finding)

    def stop(self) -> None:
        """End `run`."""
        self._stopped.set()

    def _make_entry(self) -> Listener:
        settings = self._settings.entry
        router = self._make_router()
        engines = EngineClient(self._pool, self._pump, self._now)
        gate = Gate(self._admission, self._now)
        chat = ChatParts(
            self._tables,
            router,
            engines,
            gate,
            self._bills.writer,
            self._journal,
            self._answers,
            self._background,
            self._now,
        )
        client = ServiceClient(self._pool, self._now)
        services = ServiceParts(router, client, gate, self._journal, self._now)
        limits = Limits(
            settings.max_body_bytes,
            settings.max_header_count,
            settings.max_header_bytes,
        )
        parts = EntryParts(
            tables=self._tables,
            chat=ChatHandler(chat),
            services=ServiceHandler(
                services,
                RepeatableHandler(services),
                OnceHandler(services, self._claims),
            ),
            journal=self._journal,
            limits=limits,
            active=self._active,
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

    def _make_admin(self) -> Listener:
        settings, entry = self._settings.admin, self._settings.entry
        backend = DaemonBackend(
            self._tables,
            self._journal,
            Drains(self._store, self._now),
            RolloutStore(self._store, self._objects, self._now),
            BillReader(self._store, self._now),
            lambda: lease_views(self._store, self._now),
            self._advertised,
            self._now,
        )
        submissions = Submissions(self._store, self._now)
        keys = self._settings.admin_keys
        admin = AdminApp(backend, submissions, keys, self._now)
        app = OperationsApp(admin, self._exposition, self._ready)
        listening = ListenerSettings(
            settings.host,
            settings.port,
            ADMIN_THREADS,
            entry.max_body_bytes,
            entry.max_header_bytes,
            int(entry.idle_timeout_seconds),
        )
        return Listener(app, listening)

    def _make_host_list(self) -> HostListPoller | None:
        url = self._settings.host_list_url
        if url is None:
            return None
        address = url.removeprefix("http://")
        return HostListPoller(address, self._tables, self._node.listed)

    def _make_driver(self) -> RolloutDriver:
        return RolloutDriver(
            self._tables,
            RolloutSystem(SequentialPolicy()),
            RolloutStore(self._store, self._objects, self._now),
            DutyLeases(self._leases, self._tables),
            self._usage,
            self._ratings,
            self._node.link,
            self._now,
        )

    def _register_topics(self) -> None:
        self._topics.register(NEWS_TOPIC, self._objects.on_news)
        self._topics.register(VERSIONS_TOPIC, self._objects.on_versions)
        self._topics.register(USAGE_TOPIC, self._driver.on_usage)

    def _make_node(self) -> PeerNode:
        settings = self._settings.peer
        link = LinkSettings(
            host=HostName(self._settings.host),
            zone=ZoneName(self._settings.zone),
            address=f"{settings.host}:{settings.port}",
            keys=tuple(PeerKey(key.id, key.secret) for key in settings.keys),
            incarnation=int(self._now() * INCARNATIONS_PER_SECOND),
            seeds=settings.seeds,
        )
        return PeerNode(
            NodeSettings(link, self._advertised, self._settings.confirm_seconds),
            self._tables,
            check_configuration,
            self._store,
            self._now,
            {
                KeepBills: self._bills.on_keep,
                BillsWritten: self._bills.on_written,
                Evidence: self._topics,
            },
        )

    @property
    def _advertised(self) -> str:
        peer = self._settings.peer
        return peer.advertise or f"{peer.host}:{peer.port}"

    def _make_router(self) -> Router:
        signer = SessionSigner(_signing_keys(self._settings))
        policy = SessionPolicy(self._tables, signer, self._usage, self._rng)
        return Router(
            self._tables,
            policy,
            TwoChoices(self._in_flight),
            self._in_flight,
            random.Random(self._rng.getrandbits(64)),
            self._now,
        )

    def _ready(self) -> bool:
        return self._tables.configuration is not None and not self._shutdown.leaving

    def _observe(self, response: Response) -> None:
        self._metrics.requests.labels(str(response.status)).inc()
        reason = dict(response.headers).get(REASON_HEADER)
        if reason is not None:
            self._metrics.refusals.labels(reason).inc()

    def _exposition(self) -> bytes:
        configuration = self._tables.configuration
        self._metrics.refresh(
            self._in_flight.total(),
            configuration.number if configuration else 0,
            {kind.value: count for kind, count in self._calls.calls().items()},
            self._node.link.counts,
        )
        return self._metrics.exposition()


def check_configuration(
    number: int, submission_id: str, text: str
) -> Result[Configuration, Findings]:
    """Check a manifest whole; findings where it may not be put in force."""
    parsed = parse_manifest(text, f"configuration {number}")
    if isinstance(parsed, Err):
        return parsed
    manifest, _ = parsed.ok_value
    return Ok(Configuration(number, submission_id, manifest))


def _make_store(
    settings: Settings, calls: CallCounter, now: Callable[[], float]
) -> ObjectStore:
    url = settings.platform.url
    if url is None:
        return EmbeddedStore(now, calls)
    return HttpObjectStore(url.removeprefix("http://"), now, calls)


def _make_ratings(settings: Settings, now: Callable[[], float]) -> RatingClient | None:
    if settings.rating_url is None:
        return None
    return RatingClient(settings.rating_url.removeprefix("http://"), now)


def _signing_keys(settings: Settings) -> tuple[SigningKey, ...]:
    if not settings.session_keys:
        _log.warning("no session keys: sessions end with this process")
        return (SigningKey("trial", secrets.token_bytes(TRIAL_SECRET_BYTES)),)
    return tuple(SigningKey(key.id, key.secret) for key in settings.session_keys)
