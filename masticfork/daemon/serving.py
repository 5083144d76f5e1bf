"""Serving components of a daemon: the callers' listener and its request handlers."""

import random
import secrets

import logbook

from masticfork.backends.connections import ConnectionPool
from masticfork.backends.engine import EngineClient
from masticfork.backends.service import ServiceClient
from masticfork.backends.stream_reader import StreamReader
from masticfork.core.deadlines import Deadline
from masticfork.daemon.answer_recorder import AnswerRecorder
from masticfork.daemon.claim_flusher import ClaimFlusher
from masticfork.daemon.control import ControlComponents
from masticfork.daemon.listener import Listener, ListenerSettings
from masticfork.daemon.load_reports import LoadReportPoller
from masticfork.daemon.shared_components import SharedComponents
from masticfork.daemon.shutdown import Shutdown
from masticfork.daemon.ticker import log_finding
from masticfork.entry.active import ActiveRequests
from masticfork.entry.adoption import LostHostAdoption
from masticfork.entry.app import EntryApp, EntryDependencies
from masticfork.entry.chat import ChatHandler
from masticfork.entry.chat_answer import ChatDependencies
from masticfork.entry.gate import AdmissionGate
from masticfork.entry.hedged import HedgedDispatch
from masticfork.entry.once import AtMostOnceHandler
from masticfork.entry.parsing import RequestLimits
from masticfork.entry.policy import SessionPolicy
from masticfork.entry.responses import REASON_HEADER, Response
from masticfork.entry.routing import Router
from masticfork.entry.services import (
    IdempotentHandler,
    ServiceDependencies,
    ServiceHandler,
)
from masticfork.ledger.claims import ClaimRegistry
from masticfork.settings.settings import Settings
from masticfork.systems.admission_records import AdmissionRequest
from masticfork.systems.hedging import PercentileHedges
from masticfork.systems.placement import LoadEstimator, PrefixLocality
from masticfork.systems.prefixes import PrefixTable
from masticfork.systems.retries import BudgetedRetries
from masticfork.systems.sessions import SessionSigner, SigningKey

SECONDS_PER_DAY = 86_400.0
EPHEMERAL_SECRET_BYTES = 32
# Ratio of the HTTP parser's size limits to the configured ones, so that the handler
# rejects a request before the parser does.
PARSER_LIMIT_FACTOR = 2

_log = logbook.Logger("daemon")


class ServingComponents:
    """Components that forward requests from callers to backend servers."""

    def __init__(self, shared: SharedComponents, control: ControlComponents) -> None:
        self._shared = shared
        self._control = control
        self._pool = ConnectionPool(shared.now)
        self._reader = StreamReader(shared.now)
        self.active = ActiveRequests()
        self.shutdown = Shutdown(
            shared.tables, self.active, shared.settings.shutdown, shared.now
        )
        self._claims = ClaimRegistry(
            shared.store,
            shared.tables.me.host,
            shared.now,
            shared.settings.retention_days * SECONDS_PER_DAY,
        )
        self.claim_flusher = ClaimFlusher(self._claims, shared.background)
        self._answer_recorder = AnswerRecorder(
            shared.tables,
            shared.metrics,
            shared.usage,
            control.quality,
            shared.ratings,
            shared.background,
        )
        self._engines = EngineClient(self._pool, self._reader, shared.now)
        self._prefixes = PrefixTable()
        self.load_reports = LoadReportPoller(
            self._engines, self._prefixes, shared.background, shared.now
        )
        self.listener = self._make_entry_listener()

    def ready(self) -> bool:
        """Return whether the load balancer may send requests to this host."""
        configured = self._shared.tables.configuration is not None
        return configured and self._control.limits_settled and not self.shutdown.leaving

    def flush(self, deadline: Deadline) -> None:
        """Write the claim outcomes that are not yet stored at the platform."""
        for finding in self._claims.flush():
            log_finding(finding)

    def stop(self) -> None:
        """Close the listener and all connections to backend servers."""
        self.listener.stop()
        self._reader.stop()
        self._pool.close()

    def _make_entry_listener(self) -> Listener:
        settings = self._shared.settings.entry
        router = self._make_router()
        engines = self._engines
        gate = AdmissionGate(
            self._control.admission, self._shared.now, self._record_queueing
        )
        chat = ChatDependencies(
            self._shared.tables,
            router,
            engines,
            self._make_lost_host_adoption(engines),
            gate,
            self._control.bills.writer,
            self._shared.event_log,
            self._answer_recorder,
            self._shared.background,
            self._shared.now,
        )
        service_client = ServiceClient(self._pool, self._shared.now)
        services = ServiceDependencies(
            router, service_client, gate, self._shared.event_log, self._shared.now
        )
        limits = RequestLimits(
            settings.max_body_bytes,
            settings.max_header_count,
            settings.max_header_bytes,
        )
        parts = EntryDependencies(
            tables=self._shared.tables,
            chat=ChatHandler(chat),
            services=ServiceHandler(
                services,
                IdempotentHandler(
                    services, HedgedDispatch(services, PercentileHedges())
                ),
                AtMostOnceHandler(services, self._claims),
            ),
            event_log=self._shared.event_log,
            limits=limits,
            active=self.active,
            ready=self.ready,
            observe=self._count_response,
            now=self._shared.now,
        )
        listener_settings = ListenerSettings(
            settings.host,
            settings.port,
            settings.threads,
            settings.max_body_bytes * PARSER_LIMIT_FACTOR,
            settings.max_header_bytes * PARSER_LIMIT_FACTOR,
            int(settings.idle_timeout_seconds),
        )
        return Listener(EntryApp(parts), listener_settings)

    def _make_lost_host_adoption(self, engines: EngineClient) -> LostHostAdoption:
        return LostHostAdoption(
            self._shared.tables,
            engines,
            lambda: self._control.node.link.linked,
            self._shared.background,
            self._shared.now,
        )

    def _make_router(self) -> Router:
        signer = SessionSigner(_signing_keys(self._shared.settings))
        policy = SessionPolicy(
            self._shared.tables,
            signer,
            self._shared.usage,
            self._control.quality,
            self._shared.rng,
        )
        return Router(
            self._shared.tables,
            policy,
            PrefixLocality(
                LoadEstimator(self._shared.in_flight, self._shared.now), self._prefixes
            ),
            self._shared.in_flight,
            BudgetedRetries(),
            self._control.call_outcomes,
            random.Random(self._shared.rng.getrandbits(64)),
            self._shared.now,
        )

    def _record_queueing(self, request: AdmissionRequest, seconds: float) -> None:
        labels = (request.team, request.work_class.value)
        self._shared.metrics.queueing.labels(*labels).observe(seconds)

    def _count_response(self, response: Response) -> None:
        self._shared.metrics.requests.labels(str(response.status)).inc()
        reason = dict(response.headers).get(REASON_HEADER)
        if reason is not None:
            self._shared.metrics.refusals.labels(reason).inc()


def _signing_keys(settings: Settings) -> tuple[SigningKey, ...]:
    if not settings.session_keys:
        _log.warning("no session keys configured: sessions end when this process exits")
        return (SigningKey("trial", secrets.token_bytes(EPHEMERAL_SECRET_BYTES)),)
    return tuple(SigningKey(key.id, key.secret) for key in settings.session_keys)
