"""One entry host: accepts callers, follows the store, serves until it is stopped."""

import http
import random
import selectors
import time
import traceback
from collections.abc import Sequence
from pathlib import Path

import attrs
from result import Err, Result

from masticfork.core.backend_servers import Address
from masticfork.core.digests import Digest, LoadShare
from masticfork.core.findings import Finding
from masticfork.core.forwarding import CallerHead, CallerRequest, Dispatch, Header
from masticfork.core.routes import CallerLimits, Route, RouteKind
from masticfork.platform import names, wire
from masticfork.platform.objects import PlatformObjects
from masticfork.platform.settings_file import EntrySettings
from masticfork.relay.caller import CallerConnection, CallerExchange, NoExchange
from masticfork.relay.channel import CALLER_UNACKNOWLEDGED_MS, Channel, listen
from masticfork.relay.exchange import CallRecord, Exchange
from masticfork.relay.followers import Follower, Lister
from masticfork.relay.loads_elsewhere import LoadsElsewhere
from masticfork.relay.logs import LogSink, entry_logger
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.own_loads import OwnLoads
from masticfork.relay.peers import Peers
from masticfork.relay.plain_page import PageListener
from masticfork.relay.registration import Registration
from masticfork.relay.rollout_keeper import AnswerTime, RolloutKeeper
from masticfork.relay.server_call import CallSink, ServerCall
from masticfork.relay.session_versions import SessionVersions
from masticfork.relay.store_view import MIRRORED, StoreView
from masticfork.relay.tables import ServerRow, Tables
from masticfork.systems.failed_calls import CallOutcome
from masticfork.systems.model_choice import ConfidenceCascade, ModelPolicy
from masticfork.systems.retry_budget import WindowedRepeats
from masticfork.systems.server_choice import (
    UNREACHABLE_SECONDS,
    ExpectedDelay,
    ServerPolicy,
    Work,
    expected_delay,
)

BACKLOG = 1024
# Pause in seconds between runs of the tick.
TICK = 0.25
# Outcomes of calls that tell something of the server's version.
TELLING = (
    None,
    CallOutcome.SERVER_ERROR,
    CallOutcome.DROPPED,
    CallOutcome.SILENT,
)
# Time in seconds that the platform needs to stop sending new callers to a host that is
# not ready: two questions, one a second, and the time they take.
NOTICE_TIME = 2.6
# Time in seconds before the end of the grace period at which all connections close.
STOP_MARGIN = 0.4
# Time in seconds that a stopping host leaves a stream; most end within it. One that may
# outlast the grace period is refused, since it would be cut.
STREAM_TIME = 5.0
# The same for other requests.
PLAIN_TIME = 0.5
# Time in seconds after which a caller may come back to another host.
RETURN_TO_ANOTHER = 0.05
# Descriptors left to the store, the listeners and the log.
RESERVED_DESCRIPTORS = 264
# Least and greatest time in seconds after which a caller may come back to a host that
# knows no configuration yet. Between them it is the time that the host has waited for
# one: an outage that has lasted for a while is likely to last as long again.
LEAST_UNREADY_PAUSE, MOST_UNREADY_PAUSE = 0.5, 4.0
# The hosts that share the slack of the budget until peers tell how many there are.
DEFAULT_HOSTS = 4
# The most urgent rank and the least urgent one that engines know.
LEAST_URGENCY, MOST_URGENCY = 0, 9


class EntryHost:
    """Wires listeners, tables, decisions and the store's followers."""

    def __init__(self, settings: EntrySettings, log_sink: LogSink) -> None:
        self._settings = settings
        self._log_sink = log_sink
        self._logger = entry_logger()
        self._loop = Loop()
        self._metrics = RelayMetrics()
        self._tables = Tables(self._loop, self.log)
        self._models: ModelPolicy = ConfidenceCascade()
        self._servers: ServerPolicy = ExpectedDelay()
        bounds = settings.bounds
        self._repeats = WindowedRepeats(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window
        )
        self._repeats.hosts = DEFAULT_HOSTS
        self._sessions = SessionVersions(bounds.session)
        self._objects = PlatformObjects(settings.store, time.monotonic)
        self._peers = Peers(
            self._loop,
            self._peer_address,
            settings.seeds,
            settings.host,
            self._count_load,
            self._take_sessions,
            self.log,
        )
        self._view = StoreView(
            self._loop, self._tables, self._peers, self._metrics, self.log
        )
        self._keeper = RolloutKeeper(
            self._loop,
            self._objects,
            self._tables,
            settings.host,
            self.log,
            self._peers.evidence,
        )
        self._registration = Registration(
            self._objects, settings.host, self._peer_address
        )
        self._callers: set[CallerConnection] = set()
        self._exchanges: set[Exchange] = set()
        self._elsewhere = LoadsElsewhere(self._tables)
        self._own_loads = OwnLoads(self._tables, self._plan_change)
        self._change_planned = False
        self._started_at = self._loop.now
        self._stop_at: float | None = None
        self._quiet_at = 0.0
        self._front = listen(settings.front, BACKLOG)

    # Running.

    def run(self) -> None:
        """Serve until stopped."""
        self._loop.register(self._front, selectors.EVENT_READ, self)
        PageListener(self._loop, self._settings.ready, self._ready_page)
        PageListener(self._loop, self._peer_address, self._view.copy_page)
        for kind in MIRRORED:
            Follower(kind, self._objects, self._loop, self._view).start()
        Lister(names.KIND_HOSTS, self._objects, self._loop, self._view).start()
        self._registration.start()
        self._loop.call_after(TICK, self._tick)
        self.log("started", zone=self._settings.zone, store=self._settings.store)
        self._loop.on_error = self._on_error
        self._loop.run()
        self.log("stopped", open_requests=len(self._exchanges))

    def _on_error(self, error: Exception) -> None:
        """Tell of a fault in this program; the request that met it times out."""
        frames = traceback.extract_tb(error.__traceback__)
        places = [f"{Path(f.filename).name}:{f.lineno}" for f in frames[-4:]]
        self._metrics.faults.inc()
        self.log("internal error", error=repr(error), places=places)

    def serve_metrics(self, address: Address) -> None:
        """Serve metrics on an address."""
        PageListener(self._loop, address, lambda _: (200, self._metrics.exposition()))

    def request_stop(self) -> None:
        """Stop gracefully; safe in a signal handler."""
        self._loop.post(self._begin_stop)

    def request_reload(self, loaded: Result[EntrySettings, Finding]) -> None:
        """Take new bounds from settings; safe in a signal handler.

        Addresses hold for the life of the process.
        """
        self._loop.post(lambda: self._reload(loaded))

    def _reload(self, loaded: Result[EntrySettings, Finding]) -> None:
        if isinstance(loaded, Err):
            self.log("reload failed", error=str(loaded.err_value))
            return
        bounds = loaded.ok_value.bounds
        self._settings = attrs.evolve(self._settings, bounds=bounds)
        self.log("reloaded", grace=bounds.grace, drain=bounds.drain)

    def _begin_stop(self) -> None:
        if self._stop_at is not None:
            return
        now = self._loop.now
        self._stop_at = now + self._settings.bounds.grace - STOP_MARGIN
        self._quiet_at = now + NOTICE_TIME
        self.log("stopping", open_requests=len(self._exchanges))

    def _tick(self) -> None:
        self._loop.call_after(TICK, self._tick)
        self._tables.sweep()
        self._sessions.sweep(self._loop.now)
        self._note_waiting()
        self._keeper.run(self._loop.now)
        self._repeats.hosts = max(DEFAULT_HOSTS, self._peers.sharing_hosts)
        self._elsewhere.refresh()
        if self._peers.is_due():
            self._peers.tell(self._digest())
        self._view.run(self._loop.now)
        self._log_sink.flush()
        self._metrics.dropped_lines.inc(self._log_sink.take_dropped())
        self._metrics.connections.set(len(self._callers))
        if self._stop_at is not None:
            self._continue_stop()

    def _continue_stop(self) -> None:
        """Close connections once no new request comes, and end in time."""
        now = self._loop.now
        if now >= self._quiet_at:
            for caller in list(self._callers):
                caller.close_idle()
        idle = not self._callers and now >= self._quiet_at
        if idle or (self._stop_at is not None and now >= self._stop_at):
            self._loop.stop()

    def _ready_page(self, path: bytes) -> tuple[int, bytes]:
        ready = self._tables.complete and self._stop_at is None
        return (200 if ready else 503), b""

    # Peers.

    @property
    def peers_heard(self) -> int:
        """Return the other hosts that were heard lately."""
        return len(self._peers.live)

    def running_elsewhere(self, server_id: str) -> int:
        """Return the calls that other hosts have at a server, as told last."""
        row = self._tables.row(server_id)
        return 0 if row is None else row.load.running_elsewhere

    @property
    def _peer_address(self) -> Address:
        return Address(self._settings.front.host, self._settings.peer_ports[0])

    def _outline(self) -> Digest:
        """Return what every digest holds."""
        table = self._tables.routes
        return Digest(
            host=self._settings.host,
            incarnation=0,
            sequence=0,
            configuration=0 if table is None else table.version,
            servers=self._view.servers_revision,
            loads={},
            rollouts=(),
        )

    def _digest(self) -> Digest:
        return attrs.evolve(
            self._outline(),
            loads=self._own_loads.take_all(),
            rollouts=self._keeper.evidence(),
            sessions=self._sessions.tell(),
        )

    def _plan_change(self) -> None:
        """See that changed loads are told soon."""
        if not self._change_planned:
            self._change_planned = True
            self._loop.call_after(self._peers.change_pause, self._tell_change)

    def _tell_change(self) -> None:
        self._change_planned = False
        changed = self._own_loads.take_changed()
        if changed:
            self._peers.tell(attrs.evolve(self._outline(), loads=changed, partial=True))

    def _count_load(self, server: int, share: LoadShare, sign: int) -> None:
        """Add a peer's calls at a server, or take them back."""
        self._elsewhere.count(server, share, sign)

    def _take_sessions(self, told: dict[int, int]) -> None:
        self._sessions.take(told, self._loop.now)

    # Callers.

    @property
    def loop(self) -> Loop:
        """Return the event loop."""
        return self._loop

    @property
    def models(self) -> ModelPolicy:
        """Return the policy of model sizes."""
        return self._models

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        table = self._tables.routes
        return CallerLimits() if table is None else table.limits

    @property
    def stopping(self) -> bool:
        """Tell whether connections close after their answers."""
        return self._stop_at is not None

    def on_events(self, events: int) -> None:
        """Accept callers."""
        most = self._settings.file_descriptors - RESERVED_DESCRIPTORS
        while True:
            try:
                sock, _ = self._front.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                self.log("accept failed", error=str(error))
                return
            if len(self._callers) >= most // 2:
                sock.close()
                continue
            channel = Channel(
                self._loop, sock, CALLER_UNACKNOWLEDGED_MS, connecting=False
            )
            self._callers.add(CallerConnection(self._loop, channel, self))

    def forget(self, caller: CallerConnection) -> None:
        """Drop a connection that is closed."""
        self._callers.discard(caller)

    def decode_head(self, headers: list[Header]) -> CallerHead:
        """Return what the headers of a request say."""
        table = self._tables.routes
        return wire.decode_caller_head(
            headers, keep_key=table is not None and not table.keys_required
        )

    def refusal_headers(
        self, attempt_id: bytes, retry_after: float | None = None
    ) -> list[Header]:
        """Return the headers of an answer of our own."""
        spread = None if retry_after is None else retry_after * random.uniform(0.6, 1.6)
        return wire.encode_refusal(attempt_id, spread)

    def begin(self, caller: CallerConnection, request: CallerRequest) -> CallerExchange:
        """Start to carry a request, or refuse it."""
        exchange = self._admit(caller, request)
        if isinstance(exchange, http.HTTPStatus):
            return self._turn_away(caller, request, exchange)
        self._exchanges.add(exchange)
        exchange.start()
        return exchange

    def _admit(
        self, caller: CallerConnection, request: CallerRequest
    ) -> Exchange | http.HTTPStatus:
        table = self._tables.routes
        if table is None or not self._tables.complete:
            return http.HTTPStatus.SERVICE_UNAVAILABLE
        route = table.match(request.host, request.path)
        if route is None:
            return http.HTTPStatus.NOT_FOUND
        team = None if request.head.key is None else table.team_of(request.head.key)
        if table.keys_required and team is None and not route.public:
            return http.HTTPStatus.UNAUTHORIZED
        if not request.head.attempt_id:
            return http.HTTPStatus.BAD_REQUEST
        if self._stops_before(route):
            return http.HTTPStatus.SERVICE_UNAVAILABLE
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        wait = route.timeout
        if request.head.wait is not None:
            wait = min(wait, request.head.wait)
        return Exchange(
            host=self,
            reply=caller,
            request=request,
            route=route,
            service=_share(route, request.head.session),
            team=None if team is None else team.name,
            urgency=min(MOST_URGENCY, max(LEAST_URGENCY, priority)),
            deadline=request.arrived_at + wait,
        )

    def _stops_before(self, route: Route) -> bool:
        """Tell whether the host may stop before a request of the route has ended."""
        now, stop_at = self._loop.now, self._stop_at
        if stop_at is None or now < self._quiet_at:
            return False
        streams = route.kind is RouteKind.STREAM
        return now + (STREAM_TIME if streams else PLAIN_TIME) > stop_at

    def _turn_away(
        self, caller: CallerConnection, request: CallerRequest, status: http.HTTPStatus
    ) -> CallerExchange:
        attempt_id = request.head.attempt_id
        unready = status is http.HTTPStatus.SERVICE_UNAVAILABLE
        pause = RETURN_TO_ANOTHER if self.stopping else self._unready_pause
        headers = self.refusal_headers(attempt_id, pause if unready else None)
        table = self._tables.routes
        self.log(
            "refused",
            request=attempt_id.decode("latin-1"),
            status=status.value,
            asked_host=request.host,
            path=request.path,
            version=None if table is None else table.version,
        )
        self._metrics.requests.labels("", status.value).inc()
        caller.refuse(status, headers)
        return NoExchange()

    @property
    def _unready_pause(self) -> float:
        """Return the time after which a caller may come back to a host not ready."""
        waited = self._loop.now - self._started_at
        return min(MOST_UNREADY_PAUSE, max(LEAST_UNREADY_PAUSE, waited))

    # Servers.

    def choose(
        self, service: str, work: Work, session: str, tried: set[str]
    ) -> ServerRow | None:
        """Return the server for a call."""
        rows = self._eligible(service, session)
        untried = [row for row in rows if row.server.id not in tried]
        by_load = {id(row.load): row for row in untried}
        load = self._servers.choose(
            work, [row.load for row in untried], self._settings.zone, self._loop.now
        )
        if load is None:
            return None
        version = load.server.version
        self._sessions.note(service, session, version, self._loop.now)
        return by_load[id(load)]

    def least_delay(self, work: Work, session: str) -> float:
        """Return the expected seconds to the first byte at the best server."""
        rows = self._eligible(work.service, session)
        delays = (self.expected_delay(row, work) for row in rows)
        return min(delays, default=float("inf"))

    def expected_delay(self, row: ServerRow, work: Work) -> float:
        """Return the expected seconds to the first byte at a server."""
        zone, now = self._settings.zone, self._loop.now
        return expected_delay(row.load, work, zone, now)

    def _eligible(self, service: str, session: str) -> Sequence[ServerRow]:
        version = self._sessions.version(service, session, self._loop.now)
        rows = self._tables.servers_of(service)
        return self._keeper.eligible(service, session, version, rows)

    def open_call(
        self, row: ServerRow, sink: CallSink, request: CallerRequest, call: Dispatch
    ) -> ServerCall:
        """Return a call that is on its way."""
        opened = ServerCall(
            self._loop,
            row.connections,
            wire.decode_answer_head,
            sink,
            request.method == b"HEAD",
        )
        fresh = not (isinstance(sink, Exchange) and sink.route.repeatable)
        opened.start(wire.encode_call(request, call) + request.body, fresh)
        return opened

    def may_repeat(self, service: str, reserve: float) -> bool:
        """Tell whether a request may be sent once more; count it if so."""
        return self._repeats.again(service, self._loop.now, reserve)

    def note_first(self, service: str) -> None:
        """Count a request to a service."""
        self._repeats.first(service, self._loop.now)

    def note_sent(self, record: CallRecord) -> None:
        """Take in that a call is sent."""
        self._own_loads.begin(record)

    def note_head(self, record: CallRecord) -> None:
        """Take in that an answer has begun."""
        self._own_loads.read(record)

    def note_call(self, record: CallRecord) -> None:
        """Take in the outcome of a call."""
        load, now = record.row.load, self._loop.now
        self._own_loads.end(record)
        outcome = record.outcome
        service = record.row.server.service
        label = "gone" if record.failed is None else "answered"
        self._metrics.calls.labels(service, outcome.value if outcome else label).inc()
        if record.head_at is not None:
            seconds = record.head_at - record.started_at
            self._metrics.first_byte.labels(service).observe(seconds)
            if record.work.model is not None:
                load.remember(record.work.model, record.work.prompt, now)
            load.record_time(seconds)
        if outcome is CallOutcome.UNSENT:
            load.avoid_until = now + UNREACHABLE_SECONDS
        if record.failed is not None:
            load.record(record.failed, now)
        self._note_version(record)

    def _note_version(self, record: CallRecord) -> None:
        """Take in a call as evidence for or against its version.

        A crashed server or a lost connection tells nothing of its version.
        """
        if record.counted or record.failed is None or record.outcome not in TELLING:
            return
        until = record.head_at or record.ended_at or self._loop.now
        taken = AnswerTime(record.work.size, until - record.started_at)
        failed = record.outcome in (None, CallOutcome.SERVER_ERROR) and record.failed
        self._keeper.note_answer(record.row.server, failed, taken, self._loop.now)

    def _note_waiting(self) -> None:
        """Take in calls that already wait too long.

        Slow answers end late, so a version would seem good until they do.
        """
        for exchange in self._exchanges:
            record = exchange.waiting_call
            if record is None or record.counted:
                continue
            waited = AnswerTime(record.work.size, self._loop.now - record.started_at)
            if self._keeper.is_slow(record.row.server, waited):
                record.counted = True
                server, now = record.row.server, self._loop.now
                self._keeper.note_answer(server, False, waited, now)

    def note_end(self, exchange: Exchange, status: int, why: str) -> None:
        """Take in the end of an exchange."""
        self._exchanges.discard(exchange)
        seconds = self._loop.now - exchange.request.arrived_at
        self._metrics.requests.labels(exchange.route.name, status).inc()
        self._metrics.total.labels(exchange.team or "").observe(seconds)
        self.log(
            "end",
            request=exchange.attempt_id,
            route=exchange.route.name,
            team=exchange.team,
            status=status,
            why=why,
            attempts=exchange.history.sent,
            seconds=round(seconds, 3),
        )

    def log(self, message: str, **fields: object) -> None:
        """Write one line of the log."""
        self._logger.info(message, **fields)


def _share(route: Route, session: str | None) -> str:
    """Return the service of a request, the same one for all of a session."""
    shares = route.services
    if len(shares) == 1:
        return shares[0].service
    source = random.Random(session) if session else random
    weights = [share.weight for share in shares]
    return source.choices(shares, weights)[0].service
