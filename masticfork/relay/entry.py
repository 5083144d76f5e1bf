"""Entry host: accepts callers, follows the store and forwards requests to servers."""

import http
import random
import selectors
import time
import traceback
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import attrs
from result import Err, Result

from masticfork.core.backend_servers import Address
from masticfork.core.findings import Finding
from masticfork.core.forwarding import (
    CallerHead,
    CallerRequest,
    Dispatch,
    Header,
    ResponseHead,
)
from masticfork.core.ids import stable_hash
from masticfork.core.request_identity import RequestIdentity
from masticfork.core.routes import CallerLimits, Route
from masticfork.platform import names, wire
from masticfork.platform.objects import PlatformObjects
from masticfork.platform.settings_file import EntrySettings
from masticfork.relay.call_evidence import CallEvidence
from masticfork.relay.caller import (
    MEMORY_RETRY_AFTER_SECONDS,
    CallerConnection,
    CallerExchange,
    NoExchange,
)
from masticfork.relay.caller_memory import CallerMemory
from masticfork.relay.caller_places import CallerPlaces
from masticfork.relay.channel import CALLER_USER_TIMEOUT_MS, Channel, listen
from masticfork.relay.exchange import (
    ABORTED_STATUS,
    CALLER_GONE_STATUS,
    CallRecord,
    Exchange,
    HeldRequest,
)
from masticfork.relay.followers import Follower, Lister, StoreProbe
from masticfork.relay.host_digests import HostDigests
from masticfork.relay.logs import LogSink, relay_logger
from masticfork.relay.loop import TICK_SECONDS, Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.paced_servers import PacedServers
from masticfork.relay.page_listener import PageListener
from masticfork.relay.peers import Peers
from masticfork.relay.reader_duty import ReaderDuty
from masticfork.relay.registration import Registration
from masticfork.relay.request_quarantine import RequestQuarantine
from masticfork.relay.response_memory import ResponseMemory
from masticfork.relay.rollout_controller import RolloutController
from masticfork.relay.room import RoomGate
from masticfork.relay.server_call import CallSink, ServerCall, ServerConnectionPool
from masticfork.relay.server_trials import ServerTrials
from masticfork.relay.session_versions import SessionVersions
from masticfork.relay.slow_readers import SlowReaders
from masticfork.relay.store_view import StoreView
from masticfork.relay.tables import ServerRow, Tables
from masticfork.relay.transit_calls import TransitConnections
from masticfork.relay.transit_hosts import TransitHosts
from masticfork.relay.transit_listener import TransitListener
from masticfork.relay.uneven_servers import UnevenServers
from masticfork.relay.zone_evacuations import ZoneEvacuations
from masticfork.systems.evacuations import Evacuations, ZoneChange
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.graceful_stop import GracefulStop
from masticfork.systems.homes import ZoneRegions, check_homes, home_regions
from masticfork.systems.model_choice import ConfidenceCascade, ModelPolicy
from masticfork.systems.response_times import ResponseTimes
from masticfork.systems.retry_budget import WindowedRetryBudget
from masticfork.systems.scarce_room import Admission, RoomRefusal
from masticfork.systems.server_choice import (
    LowestExpectedDelay,
    ServerLoad,
    ServerPolicy,
    Work,
    expected_delay_seconds,
    expected_first_token_seconds,
    loads_beside_suspects,
    loads_for_suspect,
)

LISTEN_BACKLOG = 1024
# Retry-After from a stopping host; the caller is expected to reach another host.
OTHER_HOST_RETRY_AFTER_SECONDS = 0.05
# File descriptors reserved for the store, the listeners and the log.
RESERVED_DESCRIPTORS = 264
# Bounds on the Retry-After of a host that has no configuration yet. Between them it is
# the time that the host has waited for one: an outage that has lasted for some time is
# likely to last as long again.
MIN_UNREADY_RETRY_AFTER_SECONDS, MAX_UNREADY_RETRY_AFTER_SECONDS = 0.5, 4.0
# Minimum number of hosts among which limits of the deployment are divided, also used
# until the peers are known.
MIN_HOST_COUNT = 4
# Range of priorities that engines accept; 0 is the most urgent.
HIGHEST_PRIORITY, LOWEST_PRIORITY = 0, 9
# Statuses of requests whose end tells nothing of how long their route's responses take.
UNTIMED_STATUSES = (
    ABORTED_STATUS,
    CALLER_GONE_STATUS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)

# Estimates the delay of a call in seconds, by the server's load and the host's zone.
DelayEstimate = Callable[[ServerLoad, Work, str, float], float]


class EntryHost:
    """Connects the listeners, server tables, policies and store followers of a host."""

    def __init__(self, settings: EntrySettings, log_sink: LogSink) -> None:
        self._settings = settings
        self._log_sink = log_sink
        self._logger = relay_logger()
        self._loop = Loop()
        self._metrics = RelayMetrics()
        with_evacuations = settings.bounds.evacuate is not None
        evacuations = Evacuations(known=not with_evacuations)
        self._zones = zones = ZoneRegions(settings.zone_regions)
        self._tables = Tables(
            self._loop, self.log, evacuations, lambda table: check_homes(table, zones)
        )
        self._paced_servers = PacedServers(
            self._loop, self._tables, self._metrics, self.log
        )
        self._uneven_servers = UnevenServers(
            self._loop, self._tables, self._metrics, self.log
        )
        self._tables.on_server_read = self._paced_servers.on_server_read
        self._model_policy: ModelPolicy = ConfidenceCascade()
        self._server_policy: ServerPolicy = LowestExpectedDelay()
        bounds = settings.bounds
        self._retry_budget = WindowedRetryBudget(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window
        )
        self._retry_budget.hosts = MIN_HOST_COUNT
        self._session_versions = SessionVersions(bounds.session)
        self._quarantine = RequestQuarantine(
            self._loop,
            self._metrics,
            self.log,
            self._is_first_host_for,
            lambda: self._digests.schedule_news(),
        )
        self._trials = ServerTrials(
            self._loop, self._tables, self._metrics, self._on_contact_changed, self.log
        )
        self._room = RoomGate(self._loop, self._metrics, self.log, settings.scarce_room)
        self._slow_readers = SlowReaders(
            self._loop,
            self._metrics,
            self.log,
            settings.memory_mb << 20,
            settings.scarce_room,
        )
        self._caller_memory = CallerMemory(
            self._loop, self._metrics, self.log, settings.memory_mb << 20
        )
        self._response_memory = ResponseMemory(
            self._metrics, self.log, settings.memory_mb << 20
        )
        self._digests = HostDigests(
            self._loop,
            settings.host,
            settings.zone,
            self._tables,
            self._session_versions,
            self._quarantine,
            self._trials,
            self._paced_servers,
            self._room,
            self._uneven_servers,
            settings.peer_ports[1],
        )
        self._objects = PlatformObjects(settings.store, time.monotonic)
        self._peers = Peers(
            self._loop,
            self._peer_address,
            settings.seeds,
            settings.host,
            settings.zone,
            self._digests.count_peer_load,
            self._digests.apply,
            self.log,
        )
        self._transit_hosts = TransitHosts(self._loop, self._peers, self._zones)
        self._store_view = StoreView(
            self._loop,
            self._tables,
            self._peers,
            self._metrics,
            self.log,
            self._on_store_restored,
            self._digests.send_store_update,
            ZoneEvacuations(
                self._loop, evacuations, self._metrics, self._on_zone_change, self.log
            )
            if with_evacuations
            else None,
        )
        self._followers = [
            Follower(
                kind,
                self._objects,
                self._loop,
                self._store_view,
                partial(self._tolerated_silence, kind),
            )
            for kind in self._store_view.kinds
        ]
        self._reader_duty = ReaderDuty(
            self._loop,
            settings.host,
            settings.zone,
            self._tables,
            self._peers,
            self._store_view,
            self._followers,
            self.log,
            lambda: self._settings.bounds.shortest_change,
        )
        self._rollout_controller = RolloutController(
            self._loop,
            self._objects,
            self._tables,
            settings.host,
            self.log,
            self._peers.evidence,
            ExposureLimit(bounds.expose_share, bounds.expose_slack),
            self._sharing_host_count,
            on_evidence=lambda: self._digests.send_full_soon(),
        )
        self._registration = Registration(
            self._objects, settings.host, self._peer_address
        )
        self._response_times = ResponseTimes()
        # The other half of the available descriptors is for connections to servers.
        available = settings.file_descriptors - RESERVED_DESCRIPTORS
        self._places = CallerPlaces(
            self._loop, self._metrics, self.log, max(1, available // 2)
        )
        self._open_exchanges: set[Exchange] = set()
        self._digests.connect(
            self._peers, self._store_view, self._reader_duty, self._rollout_controller
        )
        self._call_evidence = CallEvidence(
            self._loop,
            self._tables,
            self._metrics,
            self._digests.own_loads,
            self._rollout_controller,
            self._quarantine,
            self._trials,
            self._paced_servers,
            self._uneven_servers,
            self._digests.schedule_news,
        )
        self._transit_listener = TransitListener(
            self._loop,
            Address(settings.front.host, settings.peer_ports[1]),
            self._tables,
            self._trials,
            self._metrics,
            self.log,
            settings.file_descriptors // 8,
        )
        self._started_at = self._loop.now
        self._stop: GracefulStop | None = None
        self._caller_listener = listen(settings.front, LISTEN_BACKLOG)

    # Lifecycle and periodic tasks.

    def run(self) -> None:
        """Serve requests until the host is stopped."""
        self._loop.register(self._caller_listener, selectors.EVENT_READ, self)
        PageListener(self._loop, self._settings.ready, self._readiness_response)
        PageListener(self._loop, self._peer_address, self._store_view.copy_page)
        for follower in self._followers:
            follower.start()
        Lister(
            names.KIND_HOSTS,
            self._objects,
            self._loop,
            self._store_view,
            lambda: self._reader_duty.list_interval_seconds,
        ).start()
        StoreProbe(
            names.KIND_HOSTS,
            self._settings.host,
            self._objects,
            self._loop,
            self._store_view,
            lambda: self._reader_duty.probe_silence,
        ).start()
        self._registration.start()
        self._loop.call_after(TICK_SECONDS, self._tick)
        self.log("started", zone=self._settings.zone, store=self._settings.store)
        self._loop.on_error = self._on_error
        self._loop.run()
        self.log("stopped", open_requests=len(self._open_exchanges))

    def _on_error(self, error: Exception) -> None:
        """Count and log an unexpected exception; the affected request times out."""
        frames = traceback.extract_tb(error.__traceback__)
        frame_locations = [f"{Path(f.filename).name}:{f.lineno}" for f in frames[-4:]]
        self._metrics.faults.inc()
        self.log("internal error", error=repr(error), places=frame_locations)

    def _tolerated_silence(self, kind: str) -> float:
        """Return the seconds from the store's return to the effect of a change."""
        bounds = self._settings.bounds
        if kind == names.KIND_EVACUATIONS and bounds.evacuate is not None:
            return bounds.contact + bounds.evacuate
        return bounds.contact + bounds.shortest_change

    def serve_metrics(self, address: Address) -> None:
        """Serve the metrics page on an address."""
        PageListener(self._loop, address, lambda _: (200, self._metrics.exposition()))

    def request_stop(self) -> None:
        """Start a graceful stop; safe in a signal handler."""
        self._loop.post(self._begin_stop)

    def request_reload(self, loaded: Result[EntrySettings, Finding]) -> None:
        """Apply the bounds of reloaded settings; safe in a signal handler.

        All other settings, such as addresses, keep their values until a restart.
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
        if self._stop is not None:
            return
        self._stop = GracefulStop.begun_at(self._loop.now, self._settings.bounds.grace)
        self._transit_listener.stop()
        self.log("stopping", open_requests=len(self._open_exchanges))

    def _tick(self) -> None:
        self._loop.call_after(TICK_SECONDS, self._tick)
        self._tables.sweep()
        own_host, known_hosts = self._settings.host, self._peers.known_hosts
        self._tables.share_limits(own_host, known_hosts)
        self._paced_servers.run(own_host, known_hosts)
        self._uneven_servers.run()
        self._session_versions.sweep(self._loop.now)
        self._response_times.sweep(self._loop.now)
        self._call_evidence.report_slow_calls(self._open_exchanges)
        if self._quarantine.run():
            for exchange in list(self._open_exchanges):
                exchange.on_quarantine()
        self._rollout_controller.run(self._loop.now)
        self._retry_budget.hosts = self._sharing_host_count()
        self._slow_readers.run(self._places.connections)
        self._caller_memory.run()
        self._digests.run()
        self._reader_duty.run()
        self._store_view.run(self._loop.now, self._reader_duty.reading)
        self._log_sink.flush()
        self._metrics.dropped_lines.inc(self._log_sink.take_dropped())
        self._metrics.connections.set(len(self._places.connections))
        if self._stop is not None:
            self._continue_stop(self._stop)

    def _continue_stop(self, stop: GracefulStop) -> None:
        """Close idle connections once no new callers arrive; stop by the deadline.

        Requests that are unanswered by then fail, so that their callers need not infer
        it from the end of the connection.
        """
        now = self._loop.now
        if stop.closes_idle_connections(now):
            for caller in list(self._places.connections):
                caller.close_idle()
        if stop.is_past_deadline(now):
            for exchange in list(self._open_exchanges):
                exchange.on_host_exit()
        if stop.is_over(
            now, bool(self._places.connections) or self._transit_listener.busy
        ):
            self._loop.stop()

    def _readiness_response(self, path: bytes) -> tuple[int, bytes]:
        ready = self._tables.complete and self._stop is None
        return (200 if ready else 503), b""

    # Peers.

    def _sharing_host_count(self) -> int:
        """Return how many hosts share the limits of the deployment."""
        return max(MIN_HOST_COUNT, self._peers.budget_sharing_host_count)

    @property
    def live_peer_count(self) -> int:
        """Return the number of peers heard from recently."""
        return len(self._peers.live_digests)

    @property
    def caller_connections(self) -> frozenset[CallerConnection]:
        """Return the connections of callers."""
        return frozenset(self._places.connections)

    @property
    def reads_the_store(self) -> bool:
        """Return whether this host follows the store itself."""
        return self._reader_duty.reading

    @property
    def cut_off(self) -> bool:
        """Return whether this host reaches no server."""
        return self._trials.cut_off

    def knows_server(self, server_id: str) -> bool:
        """Return whether a server is listed."""
        return self._tables.row(server_id) is not None

    def running_elsewhere(self, server_id: str) -> int:
        """Return the number of calls that peers last reported at a server."""
        row = self._tables.row(server_id)
        return 0 if row is None else row.load.running_elsewhere

    def _is_first_host_for(self, key: int) -> bool:
        """Return whether this host is the first of all live ones for a key."""
        own_host = self._settings.host
        hosts = {own_host, *(digest.host for digest in self._peers.live_digests)}
        return own_host == min(hosts, key=lambda host: stable_hash(str(key), host))

    @property
    def _peer_address(self) -> Address:
        return Address(self._settings.front.host, self._settings.peer_ports[0])

    def _on_store_restored(self) -> None:
        """Write this host's entry again; the restored store may lack it."""
        self._registration.start()

    def _on_zone_change(self, change: ZoneChange) -> None:
        """Move calls away from an evacuated zone; pace one that is taken back."""
        if not change.evacuated:
            self._paced_servers.on_zone_taken_back(change.zone)
            return
        for exchange in list(self._open_exchanges):
            exchange.on_evacuation(change.zone)

    def _on_contact_changed(self) -> None:
        """Adapt calls under way to the loss of all servers, and tell other hosts."""
        if self._trials.cut_off:
            self._call_evidence.on_cut_off()
            for exchange in list(self._open_exchanges):
                exchange.on_cut_off()
        self._digests.schedule_news()

    # Callers.

    @property
    def loop(self) -> Loop:
        """Return the event loop."""
        return self._loop

    @property
    def models(self) -> ModelPolicy:
        """Return the policy that selects the model size of a request."""
        return self._model_policy

    @property
    def limits(self) -> CallerLimits:
        """Return the limits of the configuration in force, or the defaults."""
        table = self._tables.routes
        return CallerLimits() if table is None else table.limits

    @property
    def stopping(self) -> bool:
        """Return whether the host is stopping: connections close after a response."""
        return self._stop is not None

    def on_events(self, events: int) -> None:
        """Accept pending connections of callers.

        Without a place for it, a connection is closed at once.
        """
        while True:
            try:
                sock, _ = self._caller_listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                self.log("accept failed", error=str(error))
                return
            if not self._places.has_place():
                sock.close()
                continue
            channel = Channel(
                self._loop, sock, CALLER_USER_TIMEOUT_MS, connecting=False
            )
            self._places.add(CallerConnection(self._loop, channel, self))

    def remove_connection(self, caller: CallerConnection) -> None:
        """Remove a closed connection."""
        self._places.remove(caller)

    def account(self, caller: CallerConnection, size: int) -> None:
        """Note the bytes that the requests of a connection take."""
        self._caller_memory.update(caller, size)

    def note_response(self, exchange: Exchange, size: int) -> None:
        """Note the bytes of a response that cannot be passed on yet."""
        self._response_memory.update(exchange, size)

    def decode_head(self, headers: list[Header]) -> CallerHead:
        """Decode the headers of a request."""
        table = self._tables.routes
        return wire.decode_caller_head(
            headers, forward_authorization=table is not None and not table.keys_required
        )

    def error_headers(
        self,
        attempt_id: bytes,
        retry_after: float | None = None,
        not_before: float = 0.0,
    ) -> list[Header]:
        """Return the headers of an error response.

        `retry_after` is in seconds; it is randomised from 0.6 to 1.6 times its value,
        so that callers do not all return at once, and `not_before` is added to it.
        """
        if retry_after is None:
            return wire.error_headers(attempt_id, None)
        delay = not_before + retry_after * random.uniform(0.6, 1.6)
        return wire.error_headers(attempt_id, delay)

    def begin_exchange(
        self, caller: CallerConnection, request: CallerRequest
    ) -> CallerExchange:
        """Start to handle a request, or refuse it."""
        if not self._caller_memory.admits(caller):
            return self._refuse(
                caller,
                request,
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                MEMORY_RETRY_AFTER_SECONDS,
            )
        exchange = self._admit(caller, request)
        if isinstance(exchange, http.HTTPStatus):
            return self._refuse(caller, request, exchange)
        self._open_exchanges.add(exchange)
        if request.head.session:
            self._session_versions.begin_request(
                exchange.service, request.head.session, self._loop.now
            )
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
        wait = route.timeout
        if request.head.timeout is not None:
            wait = min(wait, request.head.timeout)
        deadline = request.arrived_at + wait
        if self.may_cut_off(route, deadline):
            return http.HTTPStatus.SERVICE_UNAVAILABLE
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        return Exchange(
            host=self,
            caller=caller,
            request=request,
            route=route,
            service=_pick_service(route, request.head.session),
            team=None if team is None else team.name,
            priority=min(LOWEST_PRIORITY, max(HIGHEST_PRIORITY, priority)),
            deadline=deadline,
            regions=home_regions(route, team),
        )

    def _refuse(
        self,
        caller: CallerConnection,
        request: CallerRequest,
        status: http.HTTPStatus,
        retry_after: float | None = None,
    ) -> CallerExchange:
        attempt_id = request.head.attempt_id
        is_unavailable = status is http.HTTPStatus.SERVICE_UNAVAILABLE
        retry_delay = (
            OTHER_HOST_RETRY_AFTER_SECONDS
            if self.stopping
            else retry_after or self._unready_retry_after
        )
        headers = self.error_headers(
            attempt_id, retry_delay if is_unavailable else None
        )
        table = self._tables.routes
        self.log(
            "refused",
            request=attempt_id.decode("latin-1"),
            status=status.value,
            asked_host=request.host,
            path=request.path,
            version=None if table is None else table.version,
            stopping=self.stopping,
        )
        self._metrics.requests.labels("", status.value).inc()
        caller.send_error(status, headers)
        return NoExchange()

    @property
    def _unready_retry_after(self) -> float:
        """Return the Retry-After seconds of a host that is not ready."""
        wait_time = self._loop.now - self._started_at
        return min(
            MAX_UNREADY_RETRY_AFTER_SECONDS,
            max(MIN_UNREADY_RETRY_AFTER_SECONDS, wait_time),
        )

    # Servers.

    def choose_server(
        self,
        service: str,
        work: Work,
        session: str,
        tried_servers: set[str],
        alone: bool,
    ) -> ServerRow | None:
        """Return the server for a call, None if no untried one is eligible.

        `alone` asks for one where a crash tells of the call alone, if there is any.
        """
        if self._trials.cut_off and not self._transit_hosts.available:
            return None
        untried = self._untried_rows(work, session, tried_servers)
        row_by_load = {id(row.load): row for row in untried}
        now, loads = self._loop.now, [row.load for row in untried]
        if alone:
            choices: Sequence[ServerLoad] = loads_for_suspect(loads, now)
        else:
            choices = loads_beside_suspects(work, loads)
        load = self._server_policy.choose(work, choices, self._settings.zone, now)
        if load is None:
            return None
        version = load.server.version
        self._session_versions.record(service, session, version, now)
        return row_by_load[id(load)]

    def has_other_server(
        self, work: Work, session: str, tried_servers: set[str]
    ) -> bool:
        """Return whether an untried server is eligible and can be reached."""
        now = self._loop.now
        rows = self._untried_rows(work, session, tried_servers)
        return any(row.load.avoid_until <= now for row in rows)

    def _untried_rows(
        self, work: Work, session: str, tried_servers: set[str]
    ) -> list[ServerRow]:
        rows = self._eligible_rows(work, session)
        return [row for row in rows if row.server.id not in tried_servers]

    def min_expected_delay(self, work: Work, session: str) -> float:
        """Return the shortest expected delay of any eligible server, in seconds."""
        return self._shortest(expected_first_token_seconds, work, session)

    def _shortest(self, estimate: DelayEstimate, work: Work, session: str) -> float:
        """Return the shortest delay of any eligible server, infinity without one."""
        zone, now = self._settings.zone, self._loop.now
        rows = self._eligible_rows(work, session)
        delays = (estimate(row.load, work, zone, now) for row in rows)
        return min(delays, default=float("inf"))

    def expected_delay(self, row: ServerRow, work: Work) -> float:
        """Return the expected time in seconds to the first byte from a server."""
        zone, now = self._settings.zone, self._loop.now
        return expected_first_token_seconds(row.load, work, zone, now)

    def _eligible_rows(self, work: Work, session: str) -> Sequence[ServerRow]:
        service = work.service
        version = self._session_versions.version(service, session, self._loop.now)
        rows = self._tables.servers_of(service)
        if work.regions is not None:
            permits = self._zones.permits
            rows = [row for row in rows if permits(row.server.zone, work.regions)]
        return self._rollout_controller.eligible(
            service, work.route, session, version, rows
        )

    def open_call(
        self, row: ServerRow, sink: CallSink, request: CallerRequest, call: Dispatch
    ) -> ServerCall:
        """Send a request to a server and return the call.

        It leads through another host if this one reaches no server. A request that may
        not be repeated gets a new connection, since the server may close an idle one
        just as the request is sent.
        """
        host = None
        if self._trials.cut_off:
            regions = sink.regions if isinstance(sink, Exchange) else None
            host = self._transit_hosts.choose(regions)
        connections: ServerConnectionPool | TransitConnections = row.connections
        if host is not None:
            connections = TransitConnections(
                self._loop, host.address, row.server.id, self.log
            )
            self._transit_hosts.begin_call(host.name)
        server_call = ServerCall(
            self._loop,
            connections,
            wire.decode_response_head,
            sink,
            request.is_head_request,
            self._trials.record_reached,
            None if host is None else host.name,
        )
        require_new = not (isinstance(sink, Exchange) and sink.route.retryable)
        server_call.start(
            wire.encode_request_head(request, call) + request.body, require_new
        )
        return server_call

    def admit(self, exchange: Exchange, work: Work) -> Admission | RoomRefusal:
        """Decide on a new request by the room of its service."""
        decision = self._room.admit(
            exchange.attempt_id,
            work,
            exchange.team,
            exchange.priority,
            exchange.route.target,
            exchange.deadline - self._loop.now,
            lambda: self._shortest(expected_delay_seconds, work, exchange.session_key),
        )
        if isinstance(decision, RoomRefusal):
            return decision
        return attrs.evolve(decision, priority=min(LOWEST_PRIORITY, decision.priority))

    def take_retry(self, service: str, reserved_share: float) -> bool:
        """Take a retry from the service's retry budget; return whether one was left."""
        return self._retry_budget.try_retry(service, self._loop.now, reserved_share)

    def count_request(self, service: str) -> None:
        """Count a new request towards the service's retry budget."""
        self._retry_budget.count_request(service, self._loop.now)

    def on_call_sent(self, record: CallRecord) -> None:
        """Record that a call is being sent."""
        self._call_evidence.on_call_sent(record)

    def on_response_started(self, record: CallRecord, head: ResponseHead) -> None:
        """Record that the response to a call has begun."""
        self._call_evidence.on_response_started(record, head)

    def on_answered(self, record: CallRecord) -> None:
        """Record that a call has produced its first event."""
        self._call_evidence.on_answered(record)

    def on_own_response(self, record: CallRecord, session: str, failed: bool) -> None:
        """Record that a response has begun that belongs to its call."""
        self._call_evidence.on_own_response(record, session, failed)

    def on_stream_complete(self, record: CallRecord, last_event_id: int) -> None:
        """Record that all events of a stream have arrived."""
        self._call_evidence.on_stream_complete(record, last_event_id)

    def on_call_ended(self, record: CallRecord) -> None:
        """Record the outcome of a call."""
        if record.via is not None:
            self._transit_hosts.end_call(record.via)
        self._call_evidence.on_call_ended(record)

    def on_transit_failed(self, host: str) -> None:
        """Record that no server can be called through another host."""
        self._transit_hosts.record_failure(host)

    def seconds_until_resumption(self, service: str) -> float:
        """Return how long all servers of a service have asked to pause, or 0."""
        return self._tables.seconds_until_resumption(service)

    def may_cut_off(self, route: Route, deadline: float) -> bool:
        """Return whether the host may stop before a request sent now is answered.

        `deadline` is the loop time by which the request is answered at the latest.
        """
        if self._stop is None:
            return False
        now = self._loop.now
        slowest = self._response_times.slowest(route.name, now)
        return self._stop.may_cut_off(route, deadline, slowest, now)

    def held_request(self, identity: RequestIdentity) -> HeldRequest | None:
        """Return why a request must not reach servers now, None if it may."""
        return self._quarantine.held(identity)

    def admits_held_request(self, identity: RequestIdentity) -> bool:
        """Return whether a held request may be sent as a trial."""
        return self._quarantine.admits(identity)

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Return whether a request is suspected of crashing servers."""
        return self._quarantine.is_suspected(identity)

    def on_exchange_ended(self, exchange: Exchange, status: int, why: str) -> None:
        """Record the end of an exchange in metrics and log."""
        self._open_exchanges.discard(exchange)
        if session := exchange.request.head.session:
            self._session_versions.end_request(
                exchange.service, session, self._loop.now
            )
        seconds = self._loop.now - exchange.request.arrived_at
        if status not in UNTIMED_STATUSES:
            self._response_times.record(exchange.route.name, seconds, self._loop.now)
        self._metrics.requests.labels(exchange.route.name, status).inc()
        self._metrics.total.labels(exchange.team or "").observe(seconds)
        self._metrics.route_total.labels(exchange.route.name).observe(seconds)
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
        """Write one log line."""
        self._logger.info(message, **fields)


def _pick_service(route: Route, session: str | None) -> str:
    """Pick a service of the route by weight, always the same one for a session."""
    weighted_services = route.services
    if len(weighted_services) == 1:
        return weighted_services[0].service
    rng = random.Random(session) if session else random
    weights = [share.weight for share in weighted_services]
    return rng.choices(weighted_services, weights)[0].service
