"""What the calls of this host tell about servers and their versions."""

import http
from collections.abc import Callable, Iterable

from masticfork.core.forwarding import ResponseHead
from masticfork.relay.exchange import CallRecord, Exchange
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.own_loads import OwnLoads
from masticfork.relay.paced_servers import (
    TIMELY_EXPECTED_FACTOR,
    TIMELY_TARGET_SHARE,
    PacedServers,
)
from masticfork.relay.request_quarantine import RequestQuarantine
from masticfork.relay.rollout_controller import RolloutController
from masticfork.relay.server_trials import ServerTrials
from masticfork.relay.tables import Tables
from masticfork.relay.uneven_servers import UnevenServers
from masticfork.systems.failed_calls import CallOutcome
from masticfork.systems.server_choice import UNREACHABLE_SECONDS
from masticfork.systems.stream_pace import MIN_EVENTS, StreamPace
from masticfork.systems.version_shift import ResponseTime

# Failures of one session at shorter intervals count as one.
REPEATED_FAILURE_SECONDS = 1.0
# Time before a host knows that it is cut off, for which its failed calls tell nothing
# of servers.
CUT_OFF_EVIDENCE_SECONDS = 3.0

_OUTCOMES_OF_SILENT_SERVERS = (CallOutcome.UNSENT, CallOutcome.SILENT)
_OUTCOMES_OF_FAILED_SERVERS = (CallOutcome.BROKEN, CallOutcome.SILENT)


class CallEvidence:
    """Records calls in loads, metrics, server notices and the evidence on rollouts."""

    def __init__(
        self,
        loop: Loop,
        tables: Tables,
        metrics: RelayMetrics,
        own_loads: OwnLoads,
        rollouts: RolloutController,
        quarantine: RequestQuarantine,
        trials: ServerTrials,
        paced_servers: PacedServers,
        uneven_servers: UnevenServers,
        on_news: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._tables = tables
        self._metrics = metrics
        self._own_loads = own_loads
        self._rollouts = rollouts
        self._quarantine = quarantine
        self._trials = trials
        self._paced_servers = paced_servers
        self._uneven_servers = uneven_servers
        # Called when the other hosts should be told at once.
        self._on_news = on_news
        # Loop time of the latest failure by service and session.
        self._failed_at: dict[tuple[str, str], float] = {}

    def on_call_sent(self, record: CallRecord) -> None:
        """Add a call that is being sent to the load of its server."""
        self._own_loads.begin(record)
        record.row.notice.limit.take(self._loop.now)
        record.row.notice.pace.take(self._loop.now)
        self._rollouts.record_call(record.row.server, record.work.route)
        if record.alone:
            record.row.load.suspects += 1
            self._quarantine.begin_run(record)

    def on_response_started(self, record: CallRecord, head: ResponseHead) -> None:
        """Remove the prompt of a call from the pending work: its response has begun.

        Apply what the server announces about itself in the response.
        """
        self._own_loads.read(record)
        if head.misdirected:
            self._tables.record_misdirected(record.row)
        else:
            record.row.load.record_heard(self._loop.now)
            self._quarantine.record_alive(record)
        if head.leaving:
            self._tables.record_leaving(record.row, "response")
        if head.pause is not None:
            self._tables.record_pause(record.row, head.pause)
        if head.limit is not None:
            self._tables.record_limit(record.row, head.limit)
        elif not head.names_limit:
            self._tables.record_no_limit(record.row, record.started_at)
        if head.tolerated_refusals is not None or not head.is_brittle:
            self._tables.record_brittle(
                record.row, head.tolerated_refusals, record.started_at
            )
        if head.full:
            self._record_full(record)
        if not head.misdirected:
            self._record_timeliness(record, head)

    def on_answered(self, record: CallRecord) -> None:
        """Record that the answer has begun: an event, or a head of a plain one."""
        record.row.load.record_heard(self._loop.now)
        self._quarantine.record_answer(record)
        self._end_lone_run(record)

    def on_own_response(self, record: CallRecord, session: str, failed: bool) -> None:
        """Report a response as evidence for or against the version of its server.

        What happens to a response that has begun well, such as the crash of its server
        or the loss of its connection, says nothing about the version.
        """
        if record.work.model is None:
            self.on_answered(record)
        elif not failed:
            seconds = self._loop.now - record.started_at
            self._uneven_servers.record_answer(
                record.row, seconds, record.expected_delay
            )
        if record.counted_as_slow:
            return
        if failed and self._repeats_failure(record.row.server.service, session):
            return
        self._record_answer(record, failed)

    def on_stream_complete(self, record: CallRecord, last_event_id: int) -> None:
        """Report the pace of a complete stream as evidence on its server's version."""
        events = last_event_id - record.first_event_id
        if not record.answered or events < MIN_EVENTS:
            return
        seconds = (self._loop.now - record.first_event_at) / events
        pace = StreamPace(record.work.size, record.running_at_first_event, seconds)
        self._rollouts.record_stream(record.row.server, pace, self._loop.now)

    def on_call_ended(self, record: CallRecord) -> None:
        """Record the outcome of a call in loads, metrics and rollout evidence."""
        load, now = record.row.load, self._loop.now
        self._own_loads.end(record)
        self._end_lone_run(record)
        outcome = record.outcome
        service = record.row.server.service
        label = "gone" if record.failed is None else "answered"
        self._metrics.calls.labels(service, outcome.value if outcome else label).inc()
        if record.head_received_at is not None:
            seconds = record.head_received_at - record.started_at
            self._metrics.first_byte.labels(service).observe(seconds)
            if record.work.model is not None:
                load.remember(record.work.model, record.work.prompt, now)
            load.record_time(seconds)
        if record.via is None and (
            record.connection_lost or outcome in _OUTCOMES_OF_SILENT_SERVERS
        ):
            self._trials.begin()
        if record.transit_failed or (record.via is None and self._trials.cut_off):
            return
        if outcome is CallOutcome.UNSENT:
            load.avoid_until = now + UNREACHABLE_SECONDS
            if self._trials.is_sure:
                self._paced_servers.on_unreachable(record.row)
        if outcome is CallOutcome.SILENT:
            load.record_silence(record.started_at, now)
        elif record.failed is not None:
            load.record(record.failed, now)
        if outcome in _OUTCOMES_OF_FAILED_SERVERS:
            self._paced_servers.record_answer(record.row, False, record.started_at)
        self._quarantine.record_end(record)

    def on_cut_off(self) -> None:
        """Drop what failed calls have told of servers: the link of this host failed."""
        for row in self._tables.rows:
            row.load.failures = row.load.avoid_until = 0.0
        self._quarantine.retract(self._loop.now - CUT_OFF_EVIDENCE_SECONDS)

    def report_slow_calls(self, exchanges: Iterable[Exchange]) -> None:
        """Report calls that have already waited too long as evidence of a slow version.

        Slow responses end late, so without this a slow version would look good until
        they do. A host that may be cut off from all servers reports none.
        """
        if self._trials.in_doubt:
            return
        for exchange in exchanges:
            record = exchange.unanswered_call
            if record is None or record.counted_as_slow:
                continue
            wait_time = self._time_so_far(record)
            if self._rollouts.is_slow(record.row.server, wait_time):
                record.counted_as_slow = True
                self._record_answer(record, failed=False)

    def _record_timeliness(self, record: CallRecord, head: ResponseHead) -> None:
        """Adapt the pace of the server to when and how its response has begun."""
        seconds = self._loop.now - record.started_at
        in_time = seconds <= max(
            TIMELY_TARGET_SHARE * record.target,
            TIMELY_EXPECTED_FACTOR * record.expected_delay,
        )
        failed = head.not_run or head.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        timely = in_time and not failed
        self._paced_servers.record_answer(record.row, timely, record.started_at)

    def _record_full(self, record: CallRecord) -> None:
        """Record that a server had no room for a call, which may make it fall over."""
        brittle = record.row.notice.brittle
        brittle.record_refusal(self._loop.now)
        if brittle.tolerated is not None:
            self._on_news()

    def _end_lone_run(self, record: CallRecord) -> None:
        """Let other calls share the server of a call that was suspected."""
        if record.alone:
            record.alone = False
            record.row.load.suspects -= 1
            self._quarantine.end_run(record)

    def _record_answer(self, record: CallRecord, failed: bool) -> None:
        self._rollouts.record_answer(
            record.row.server,
            record.work.route,
            failed,
            self._time_so_far(record),
            self._loop.now,
        )

    def _repeats_failure(self, service: str, session: str) -> bool:
        """Record a failure; return whether it follows one of the same session.

        A request that fails everywhere fails again when it is repeated, by this host
        or by its caller, which says no more about a version than once.
        """
        now, key = self._loop.now, (service, session)
        for known, failed_at in list(self._failed_at.items()):
            if now - failed_at >= REPEATED_FAILURE_SECONDS:
                del self._failed_at[known]
        repeated = key in self._failed_at
        self._failed_at[key] = now
        return repeated

    def _time_so_far(self, record: CallRecord) -> ResponseTime:
        seconds = self._loop.now - record.started_at
        return ResponseTime(record.work.size, seconds, record.expected_delay)
