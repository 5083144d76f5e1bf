"""The serving parts of a daemon: the callers' listener and what answers it."""

import random
import secrets

import logbook

from masticfork.backends.connections import ConnectionPool
from masticfork.backends.engine import EngineClient
from masticfork.backends.pump import StreamPump
from masticfork.backends.service import ServiceClient
from masticfork.core.deadlines import Deadline
from masticfork.daemon.answers import Answers
from masticfork.daemon.base import Base
from masticfork.daemon.claims import ClaimFlusher
from masticfork.daemon.control import ControlParts
from masticfork.daemon.listener import Listener, ListenerSettings
from masticfork.daemon.load_reports import LoadReports
from masticfork.daemon.shutdown import Shutdown
from masticfork.daemon.ticker import log_finding
from masticfork.entry.active import ActiveRequests
from masticfork.entry.adoption import LostHostAdoption
from masticfork.entry.app import EntryApp, EntryParts
from masticfork.entry.chat import ChatHandler
from masticfork.entry.chat_answer import ChatParts
from masticfork.entry.gate import Gate
from masticfork.entry.hedged import HedgedDispatch
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
from masticfork.settings.settings import Settings
from masticfork.systems.admission_records import AdmissionRequest
from masticfork.systems.hedging import PercentileHedges
from masticfork.systems.placement import PrefixLocality, ServerLoad
from masticfork.systems.prefixes import PrefixTable
from masticfork.systems.retries import BudgetedRetries
from masticfork.systems.sessions import SessionSigner, SigningKey

SECONDS_PER_DAY = 86_400.0
TRIAL_SECRET_BYTES = 32
# The parser's own bounds lie above the checked ones, so that those answer first.
PARSER_MARGIN = 2

_log = logbook.Logger("daemon")


class ServingParts:
    """What takes requests from callers to backend servers."""

    def __init__(self, base: Base, control: ControlParts) -> None:
        self._base = base
        self._control = control
        self._pool = ConnectionPool(base.now)
        self._pump = StreamPump(base.now)
        self.active = ActiveRequests()
        self.shutdown = Shutdown(
            base.tables, self.active, base.settings.shutdown, base.now
        )
        self._claims = ClaimBook(
            base.store,
            base.tables.me.host,
            base.now,
            base.settings.retention_days * SECONDS_PER_DAY,
        )
        self.claim_flusher = ClaimFlusher(self._claims, base.background)
        self._answers = Answers(
            base.tables,
            base.metrics,
            base.usage,
            control.quality,
            base.ratings,
            base.background,
        )
        self._engines = EngineClient(self._pool, self._pump, base.now)
        self._prefixes = PrefixTable()
        self.load_reports = LoadReports(
            self._engines, self._prefixes, base.background, base.now
        )
        self.listener = self._make_entry()

    def ready(self) -> bool:
        """Tell whether the balancer may send work to this host."""
        known = self._base.tables.configuration is not None
        return known and self._control.settled and not self.shutdown.leaving

    def flush(self, deadline: Deadline) -> None:
        """Write the outcomes of claims that the platform has not taken yet."""
        for finding in self._claims.flush():
            log_finding(finding)

    def stop(self) -> None:
        """Close the listener and all connections to backend servers."""
        self.listener.stop()
        self._pump.stop()
        self._pool.close()

    def _make_entry(self) -> Listener:
        settings = self._base.settings.entry
        router = self._make_router()
        engines = self._engines
        gate = Gate(self._control.admission, self._base.now, self._waited)
        chat = ChatParts(
            self._base.tables,
            router,
            engines,
            self._make_adopter(engines),
            gate,
            self._control.bills.writer,
            self._base.journal,
            self._answers,
            self._base.background,
            self._base.now,
        )
        client = ServiceClient(self._pool, self._base.now)
        services = ServiceParts(
            router, client, gate, self._base.journal, self._base.now
        )
        limits = Limits(
            settings.max_body_bytes,
            settings.max_header_count,
            settings.max_header_bytes,
        )
        parts = EntryParts(
            tables=self._base.tables,
            chat=ChatHandler(chat),
            services=ServiceHandler(
                services,
                RepeatableHandler(
                    services, HedgedDispatch(services, PercentileHedges())
                ),
                OnceHandler(services, self._claims),
            ),
            journal=self._base.journal,
            limits=limits,
            active=self.active,
            ready=self.ready,
            observe=self._observe,
            now=self._base.now,
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

    def _make_adopter(self, engines: EngineClient) -> LostHostAdoption:
        return LostHostAdoption(
            self._base.tables,
            engines,
            lambda: self._control.node.link.linked,
            self._base.background,
            self._base.now,
        )

    def _make_router(self) -> Router:
        signer = SessionSigner(_signing_keys(self._base.settings))
        policy = SessionPolicy(
            self._base.tables,
            signer,
            self._base.usage,
            self._control.quality,
            self._base.rng,
        )
        return Router(
            self._base.tables,
            policy,
            PrefixLocality(
                ServerLoad(self._base.in_flight, self._base.now), self._prefixes
            ),
            self._base.in_flight,
            BudgetedRetries(),
            self._control.ends,
            random.Random(self._base.rng.getrandbits(64)),
            self._base.now,
        )

    def _waited(self, request: AdmissionRequest, seconds: float) -> None:
        labels = (request.team, request.work_class.value)
        self._base.metrics.queueing.labels(*labels).observe(seconds)

    def _observe(self, response: Response) -> None:
        self._base.metrics.requests.labels(str(response.status)).inc()
        reason = dict(response.headers).get(REASON_HEADER)
        if reason is not None:
            self._base.metrics.refusals.labels(reason).inc()


def _signing_keys(settings: Settings) -> tuple[SigningKey, ...]:
    if not settings.session_keys:
        _log.warning("no session keys: sessions end with this process")
        return (SigningKey("trial", secrets.token_bytes(TRIAL_SECRET_BYTES)),)
    return tuple(SigningKey(key.id, key.secret) for key in settings.session_keys)
