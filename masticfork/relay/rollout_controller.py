"""Control of rollouts: collects evidence and writes progress to the store."""

import hashlib
import itertools
import math
import random
import time as clock
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

import attrs
from result import Err, Ok, Result

from masticfork.core.backend_servers import (
    BackendServer,
    HostRequests,
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.deadlines import Deadline
from masticfork.core.digests import NewAnswers, OldAnswers, RolloutEvidence
from masticfork.core.ids import short_key
from masticfork.core.rollouts import Mean
from masticfork.platform import names
from masticfork.platform.objects import PlatformObject, PlatformObjects
from masticfork.platform.server_format import decode_rollout, encode_progress
from masticfork.relay.loop import TICK_SECONDS, Loop
from masticfork.relay.tables import ServerRow, Tables
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.systems.exposure import (
    ExposureBudget,
    ExposureLimit,
    RequestSamples,
    RolloutMoment,
    Traffic,
    UsualLoad,
    host_part,
)
from masticfork.systems.rollout_plan import RolloutPlan
from masticfork.systems.sequential_tests import update_mean
from masticfork.systems.stream_pace import PaceBaseline, StreamPace
from masticfork.systems.version_evidence import RECENT_SECONDS, Assessment, assess
from masticfork.systems.version_shift import (
    COLD_SLOW_MULTIPLE,
    FULL,
    SLOW_MULTIPLE,
    AnswerCounts,
    LatencyBaseline,
    ResponseTime,
    hash_fraction,
    is_canary_candidate,
    is_final,
    next_progress,
)

# Timeout of a write, and the interval before the next one.
WRITE_TIMEOUT_SECONDS = 1.0
WRITE_INTERVAL_SECONDS = 0.3
# Longest delay before a write that other hosts may make as well: of the order's first
# one, and of each later step. Each host waits for a different fraction of it, so that
# usually only one host writes.
MAX_WRITE_DELAY_SECONDS, MAX_STEP_DELAY_SECONDS = 0.4, 0.1
# Time for which a host that starts during a rollout waits to hear from others how long
# ago it was ordered; full digests are sent at least once a second.
AGE_WAIT_SECONDS = 1.5
# Interval at which the age of a rollout and what hosts have sent are stored, which is
# all that remains of them if all hosts are lost at once.
CHECKPOINT_SECONDS = 1.0
# Time before the end of a rollout in which only its steps are written, and the longest
# delay before the write of a checkpoint. A write that is under way holds up the next.
CHECKPOINT_FREE_SECONDS = 2.0
MAX_CHECKPOINT_DELAY_SECONDS = 1.2
# Mean length of calls from which on they are those of engines, which read prompts
# before they answer.
LONG_CALL_SECONDS = 0.5
# Time before the end at which a rollout whose age is sure is completed in any case.
LATEST_COMPLETION_SECONDS = 0.15
# Answers over which their mean time is taken.
ANSWER_SECONDS_WEIGHT = 30.0
# Times of writes to the store that are further back lose weight by this factor with
# each write, so that the slowest of the latest ones is known.
STORE_SECONDS_DECAY = 0.7
# Added to the time until a wake-up, since timers may be early by rounding.
WAKE_MARGIN_SECONDS = 0.001
# Requests that the new version got from hosts that were lost with its answers, as a
# fraction of the known answers, above which it is not confirmed.
MAX_UNHEARD_FRACTION = 0.35
# Slow answers of one server at shorter intervals count as one: they may have waited in
# one queue, behind a single long prompt. A queue lasts no longer than a call does.
SAME_QUEUE_SECONDS = 0.5
# Records of a new version's answers that a host keeps and reports, and the last second
# that they name; routes of the old version's answers that it keeps apart.
MAX_ANSWER_RECORDS = 60
MAX_SECOND = 0x7FFF
MAX_ROUTES = 16
# In place of a route, for the pace of complete streams of all routes.
STREAM_PACE = "stream pace"
# Key of the answers on all other routes.
OTHER_ROUTES = 0


class WriteExecutor(Protocol):
    """Runs calls to the store outside the loop's thread."""

    def submit(self, call: Callable[[], None], /) -> object:
        """Schedule a call."""


@attrs.define(eq=False)
class _RolloutRecord:
    """This host's evidence and state of one rollout."""

    created: int
    target: str
    # Loop times at which the rollout was ordered: as estimated by this host, and at the
    # latest.
    ordered_at: float
    ordered_by: float
    budget: ExposureBudget
    # Whether the loop time is known from a host that has seen the order, not estimated
    # from the time of day, which may differ by seconds between hosts.
    is_age_sure: bool
    # Loop time until which no progress is written while it is not.
    wait_until: float
    # What starts of hosts have sent, and the answers of the new version to those of
    # other hosts, by host and start.
    requests: dict[tuple[str, int], HostRequests]
    answers: dict[tuple[str, int], tuple[NewAnswers, ...]]
    # The most hosts among which the fixed number was divided.
    hosts: int
    plan: RolloutPlan
    usual_load: UsualLoad = attrs.field(factory=UsualLoad)
    traffic: Traffic = attrs.field(factory=Traffic)
    # Mean time until calls are answered.
    answer_seconds: Mean = attrs.field(factory=Mean)
    request_samples: RequestSamples = attrs.field(factory=RequestSamples)
    # Loop time at which this host has seen that the new version gets all requests.
    full_since: float = math.inf
    # The longest recent write that the store answered, in seconds.
    store_seconds: float = 0.0
    # Loop time of the next wake-up for this rollout.
    wake_at: float = math.inf
    # Answers of the new version by hashes of server and route, second since the order,
    # and whether they are loaded; the oldest are dropped.
    new: OrderedDict[tuple[int, int, int, bool], NewAnswers] = attrs.field(
        factory=OrderedDict
    )
    # Answers of the old version by hash of the route.
    old: dict[int, AnswerCounts] = attrs.field(factory=dict)
    # Loop time of the latest slow answer that was counted, by server.
    slow_at: dict[str, float] = attrs.field(factory=dict)
    # Whether this host has judged the new version bad.
    bad: bool = False
    # Loop time since which new progress waits to be written.
    due_since: float | None = None
    writing: bool = False
    write_after: float = 0.0

    @property
    def expected_rate(self) -> float:
        """Return the requests a second of all hosts, or those of a burst if more."""
        return max(self.traffic.rate, self.request_samples.rate)

    def adopt_age(self, age: float, now: float) -> None:
        """Take over how long ago the rollout was ordered, in seconds, if not sure."""
        if not self.is_age_sure:
            self.ordered_at = self.ordered_by = now - age
            self.is_age_sure = True

    def adopt_least_age(self, age: float, now: float) -> None:
        """Take over how long ago the rollout was ordered at least, in seconds."""
        if not self.is_age_sure:
            self.ordered_by = min(self.ordered_by, now - age)
            self.ordered_at = min(self.ordered_at, self.ordered_by)

    def add_evidence(self, evidence: RolloutEvidence) -> None:
        """Take over what another host has sent, and with which answers.

        They still count once the host is lost.
        """
        requests = evidence.requests
        if requests is not None:
            self.add_requests([requests])
            self.answers[requests.host, requests.start] = evidence.new

    def add_requests(self, items: Iterable[HostRequests]) -> None:
        """Take over what starts of hosts have sent."""
        for item in items:
            known = self.requests.get((item.host, item.start), item)
            self.requests[item.host, item.start] = attrs.evolve(
                item,
                sent=max(item.sent, known.sent),
                to_new=max(item.to_new, known.to_new),
            )

    def repeats_slow_answer(self, server: str, now: float) -> bool:
        """Record a slow answer; return whether it closely follows another one."""
        queue_seconds = SAME_QUEUE_SECONDS
        if self.traffic.call_seconds > 0.0:
            queue_seconds = min(queue_seconds, self.traffic.call_seconds)
        if now - self.slow_at.get(server, -math.inf) < queue_seconds:
            return True
        self.slow_at[server] = now
        return False

    def add_new(
        self,
        server: str,
        route: str,
        failed: bool,
        slow: bool,
        now: float,
        loaded: bool = False,
    ) -> None:
        """Record an answer of the new version."""
        second = max(0, int(now - self.ordered_at))
        group = (short_key(server), short_key(route), min(second, MAX_SECOND))
        key = (*group, loaded)
        known = self.new.get(key, NewAnswers(*group, 0, 0, 0, loaded))
        self.new[key] = attrs.evolve(
            known,
            good=known.good + (not failed),
            bad=known.bad + failed,
            slow=known.slow + slow,
        )
        while len(self.new) > MAX_ANSWER_RECORDS:
            self.new.popitem(last=False)

    def add_old(self, route: str, failed: bool, slow: bool, now: float) -> None:
        """Record an answer of the old version."""
        key = short_key(route)
        if key not in self.old and len(self.old) >= MAX_ROUTES:
            key = OTHER_ROUTES
        self.old.setdefault(key, AnswerCounts()).add(failed, slow, now)

    def evidence(
        self,
        service: str,
        usual_times: dict[int, float],
        usual_paces: dict[int, float],
        requests: HostRequests,
        moment: RolloutMoment,
    ) -> RolloutEvidence:
        """Return the evidence in the form in which other hosts get it."""
        return RolloutEvidence(
            service=service,
            created=self.created,
            new=tuple(self.new.values()),
            old=tuple(
                OldAnswers(route, counts.good, counts.bad, counts.slow)
                for route, counts in self.old.items()
            ),
            usual_times=usual_times,
            usual_paces=usual_paces,
            judged_bad=self.bad,
            age=moment.elapsed if self.is_age_sure else None,
            requests=requests,
            rate=self.budget.rate(moment.now),
            left=self.budget.left(moment),
        )


class RolloutController:
    """Selects the versions that calls may use and advances rollouts."""

    def __init__(
        self,
        loop: Loop,
        objects: PlatformObjects,
        tables: Tables,
        host: str,
        log: Callable[..., None],
        peer_evidence: Callable[[str, int], list[RolloutEvidence]],
        limit: ExposureLimit,
        host_count: Callable[[], int],
        executor: WriteExecutor | None = None,
        on_evidence: Callable[[], None] = lambda: None,
    ) -> None:
        self._loop = loop
        self._peer_evidence = peer_evidence
        self._limit = limit
        self._host_count = host_count
        self._objects = objects
        self._tables = tables
        self._host = host
        self._log = log
        # Called when other hosts should know at once what this one knows of a version:
        # that it is bad, or has failed under full load.
        self._on_evidence = on_evidence
        # Identifies this start of the host; 0 stands for none.
        self._start = random.randrange(1, 1 << 32)
        self._records: dict[str, _RolloutRecord] = {}
        # By service, also while no rollout runs: a new version is compared with them
        # from its first answer on.
        self._usual_times: dict[str, LatencyBaseline] = {}
        self._usual_paces: dict[str, PaceBaseline] = {}
        self._executor = executor or ThreadPoolExecutor(1, "rollout-writer")

    def eligible(
        self,
        service: str,
        route: str,
        session: str,
        earlier: int | None,
        rows: Sequence[ServerRow],
    ) -> Sequence[ServerRow]:
        """Return the servers whose version a request of the session may use.

        `earlier` is the short key of the version that it used last, if any.
        """
        rollout = self._tables.rollouts.get(service)
        rejected = self._tables.rejected_versions(service)
        if rollout is None:
            return _without_versions(rows, rejected) if rejected else rows
        new = [row for row in rows if row.server.version == rollout.target]
        old = [row for row in rows if row.server.version != rollout.target]
        if rejected:
            old = _without_versions(old, rejected)
        if rollout.progress.state is RolloutState.DONE:
            return new or old
        if rollout.progress.state is not RolloutState.RUNNING:
            return old
        record = self._record_of(rollout)
        if record.bad:
            return old
        was_on_new = None if earlier is None else earlier == short_key(rollout.target)
        if was_on_new:
            return new or old
        moment = self._moment(rollout, record, rows)
        if rollout.progress.step >= FULL:
            record.full_since = min(record.full_since, self._loop.now)
            allowed = record.budget.allows_full_load(moment)
            return (new or old) if allowed else (old or new)
        takes_canary = (
            was_on_new is None
            and is_canary_candidate(rollout, session)
            and record.budget.allows_canary(route, moment)
        )
        return (new or old) if takes_canary else old

    def _moment(
        self,
        rollout: VersionRollout,
        record: _RolloutRecord,
        rows: Sequence[ServerRow],
    ) -> RolloutMoment:
        old_running = sum(
            row.load.running for row in rows if row.server.version != rollout.target
        )
        now = self._loop.now
        return RolloutMoment(
            now,
            now - record.ordered_at,
            now - record.ordered_by,
            record.plan,
            old_running,
            record.traffic.call_seconds,
            record.hosts,
        )

    def record_call(self, server: BackendServer, route: str) -> None:
        """Count a call that is being sent."""
        rollout = self._tables.rollouts.get(server.service)
        if rollout is not None and not is_final(rollout.progress):
            record = self._record_of(rollout)
            is_new = server.version == rollout.target
            record.budget.count(route, is_new, self._loop.now)

    def record_answer(
        self,
        server: BackendServer,
        route: str,
        failed: bool,
        time: ResponseTime,
        now: float,
    ) -> None:
        """Record one response as evidence."""
        rollout = self._tables.rollouts.get(server.service)
        if self._is_rejected(server):
            return
        slow = self._is_slow(rollout, server, time)
        is_new = _is_on_trial(rollout, server)
        if not is_new:
            self.usual_times(server.service).add(time)
        if rollout is None or is_final(rollout.progress):
            return
        record = self._record_of(rollout)
        record.answer_seconds = update_mean(
            record.answer_seconds, time.seconds, 1, ANSWER_SECONDS_WEIGHT
        )
        if slow and not failed and record.repeats_slow_answer(server.id, now):
            return
        if is_new:
            loaded = now - time.seconds >= record.full_since
            record.add_new(server.id, route, failed, slow, now, loaded)
        else:
            record.add_old(route, failed, slow, now)
        if failed or slow:
            self._judge_version(rollout, record, self._assess(rollout))
            if is_new and rollout.progress.step >= FULL and not record.bad:
                self._on_evidence()

    def record_stream(
        self, server: BackendServer, pace: StreamPace, now: float
    ) -> None:
        """Record the pace of a complete stream as evidence."""
        rollout = self._tables.rollouts.get(server.service)
        if self._is_rejected(server):
            return
        baseline = self._usual_paces_of(server.service)
        is_new = _is_on_trial(rollout, server)
        elsewhere = [item.usual_paces for item in self._reported(rollout)]
        slow = baseline.is_slow(pace, elsewhere)
        if not is_new:
            baseline.add(pace)
        if rollout is None or is_final(rollout.progress) or slow is None:
            return
        record = self._record_of(rollout)
        if is_new:
            slow = slow and not self._is_slow_to_begin(rollout)
            record.add_new(server.id, STREAM_PACE, False, slow, now)
        else:
            record.add_old(STREAM_PACE, False, slow, now)
        if slow:
            self._judge_version(rollout, record, self._assess(rollout))

    def _is_slow_to_begin(self, rollout: VersionRollout) -> bool:
        """Return whether a good version may be slow under its first full load.

        Engines are until they have read what those of the old version keep.
        """
        if rollout.progress.step < FULL:
            return False
        return self._record_of(rollout).traffic.call_seconds >= LONG_CALL_SECONDS

    def usual_times(self, service: str) -> LatencyBaseline:
        """Return the response times of a service without those of a new version."""
        return self._usual_times.setdefault(service, LatencyBaseline())

    def is_slow(self, server: BackendServer, time: ResponseTime) -> bool:
        """Return whether a call that still waits for its response is already slow."""
        rollout = self._tables.rollouts.get(server.service)
        if rollout is None or is_final(rollout.progress):
            return False
        return self._is_slow(rollout, server, time)

    def evidence(self) -> tuple[RolloutEvidence, ...]:
        """Return this host's evidence on all unfinished rollouts."""
        return tuple(
            self._own_evidence(rollout)
            for rollout in self._tables.rollouts.values()
            if not is_final(rollout.progress)
        )

    def _is_rejected(self, server: BackendServer) -> bool:
        """Return whether a server's version was rolled back by an earlier order.

        Its answers belong to neither version of the present one.
        """
        rollout = self._tables.rollouts.get(server.service)
        return rollout is not None and server.version in rollout.rejected

    def apply_evidence(self, reported: Iterable[RolloutEvidence]) -> None:
        """Take over what another host has just told of unfinished rollouts.

        This is how long ago they were ordered, what the host has sent, and its
        judgement.
        """
        for item in reported:
            rollout = self._tables.rollouts.get(item.service)
            if rollout is None or is_final(rollout.progress):
                continue
            if item.created != rollout.created:
                continue
            record = self._record_of(rollout)
            if item.age is not None:
                record.adopt_age(item.age, self._loop.now)
            record.add_evidence(item)
            if item.judged_bad:
                self._set_bad(rollout, record, self._assess(rollout), elsewhere=True)

    def _own_evidence(self, rollout: VersionRollout) -> RolloutEvidence:
        service = rollout.service
        times = self.usual_times(service).usual_times
        paces = self._usual_paces_of(service).usual
        record = self._record_of(rollout)
        rows = self._tables.servers_of(service)
        moment = self._moment(rollout, record, rows)
        requests = self._own_requests(rollout, record, moment)
        return record.evidence(service, times, paces, requests, moment)

    def _own_requests(
        self, rollout: VersionRollout, record: _RolloutRecord, moment: RolloutMoment
    ) -> HostRequests:
        """Return what this host has sent, as other hosts and the store get it."""
        full_load = rollout.progress.step >= FULL and not record.bad
        committed = record.budget.committed(moment, full_load)
        return HostRequests(self._host, self._start, record.budget.sent, committed)

    def _usual_paces_of(self, service: str) -> PaceBaseline:
        return self._usual_paces.setdefault(service, PaceBaseline())

    def _reported(self, rollout: VersionRollout | None) -> list[RolloutEvidence]:
        """Return the evidence on a rollout that other hosts have reported."""
        if rollout is None:
            return []
        return self._peer_evidence(rollout.service, rollout.created)

    def _is_slow(
        self, rollout: VersionRollout | None, server: BackendServer, time: ResponseTime
    ) -> bool:
        elsewhere = [item.usual_times for item in self._reported(rollout)]
        if rollout is not None:
            elsewhere.append(dict(rollout.progress.usual_times))
        is_cold = (
            rollout is not None
            and _is_on_trial(rollout, server)
            and self._is_slow_to_begin(rollout)
        )
        multiple = COLD_SLOW_MULTIPLE if is_cold else SLOW_MULTIPLE
        return self.usual_times(server.service).is_slow(time, elsewhere, multiple)

    def _has_new_servers(self, rollout: VersionRollout) -> bool:
        rows = self._tables.servers_of(rollout.service)
        return any(row.server.version == rollout.target for row in rows)

    def _assess(self, rollout: VersionRollout) -> Assessment:
        """Return what the evidence of all hosts says of the new version."""
        reported = self._reported(rollout)
        record, own = self._record_of(rollout), self._own_evidence(rollout)
        new = [*own.new, *itertools.chain(*record.answers.values())]
        # Hosts of earlier builds do not tell which start of theirs has answers.
        earlier = (item.new for item in reported if item.requests is None)
        new.extend(itertools.chain(*earlier))
        old = (counts for item in [*reported, own] for counts in item.old)
        elapsed = self._loop.now - record.ordered_at
        return assess(new, old, elapsed, elapsed >= record.plan.complete_from)

    def _judge_version(
        self, rollout: VersionRollout, record: _RolloutRecord, assessment: Assessment
    ) -> None:
        """Mark the new version as bad if the evidence shows it or a host judged so."""
        if record.bad:
            return
        judged = any(item.judged_bad for item in self._reported(rollout))
        if judged or assessment.is_bad:
            self._set_bad(rollout, record, assessment, elsewhere=judged)

    def _set_bad(
        self,
        rollout: VersionRollout,
        record: _RolloutRecord,
        assessment: Assessment,
        elsewhere: bool,
    ) -> None:
        """Mark the new version as bad; tell other hosts unless one of them did so."""
        if record.bad:
            return
        record.bad = True
        self._log(
            "new version judged bad",
            service=rollout.service,
            target=rollout.target,
            judged_elsewhere=elsewhere,
            **_assessment_fields(assessment),
        )
        if not elsewhere:
            self._on_evidence()

    def run(self, now: float) -> None:
        """Advance all unfinished rollouts and write their progress if it is due."""
        for rollout in list(self._tables.rollouts.values()):
            lost = rollout.stored_progress != rollout.progress
            if lost or not is_final(rollout.progress):
                self._advance(rollout, now)

    def _advance(self, rollout: VersionRollout, now: float) -> None:
        record = self._record_of(rollout)
        self._update_part(rollout, record)
        self._update_plan(rollout, record, now)
        if record.writing or now < record.write_after:
            return
        elapsed = now - record.ordered_at
        assessment = self._assess(rollout)
        if not is_final(rollout.progress):
            self._judge_version(rollout, record, assessment)
        if not record.is_age_sure and now < record.wait_until and not record.bad:
            return
        has_servers = assessment.answers > 0 or self._has_new_servers(rollout)
        progress = next_progress(
            rollout,
            elapsed,
            assessment,
            record.plan,
            has_servers,
            self._is_confirmed(rollout, record, assessment),
            self._is_affordable(rollout, record),
        )
        if record.bad and not is_final(progress):
            progress = attrs.evolve(progress, state=RolloutState.ROLLED_BACK)
        max_delay = MAX_STEP_DELAY_SECONDS
        if rollout.progress.state is RolloutState.ORDERED and not is_final(progress):
            max_delay = MAX_WRITE_DELAY_SECONDS
        if progress == rollout.stored_progress:
            if not _is_checkpoint_due(rollout, now - record.ordered_by):
                record.due_since = None
                return
            max_delay = MAX_CHECKPOINT_DELAY_SECONDS
        if record.due_since is None:
            record.due_since = now
        write_at = record.due_since + max_delay * self._write_order(rollout)
        if now < write_at:
            self._wake_at(record, write_at)
            return
        self._write(
            rollout, record, self._stamped(rollout, record, progress), assessment
        )

    def _stamped(
        self, rollout: VersionRollout, record: _RolloutRecord, progress: RolloutProgress
    ) -> RolloutProgress:
        """Return progress with the rollout's age and what the hosts have sent."""
        rows = self._tables.servers_of(rollout.service)
        moment = self._moment(rollout, record, rows)
        record.add_requests([self._own_requests(rollout, record, moment)])
        return attrs.evolve(
            progress,
            ordered_at=clock.time() - moment.elapsed,
            elapsed=moment.least_elapsed,
            store_seconds=record.store_seconds,
            usual_times=self._known_usual_times(rollout),
            requests=tuple(record.requests.values()),
        )

    def _known_usual_times(
        self, rollout: VersionRollout
    ) -> tuple[tuple[int, float], ...]:
        """Return the usual times, those of this host before the stored ones."""
        own = self.usual_times(rollout.service).usual_times
        return tuple(sorted({**dict(rollout.progress.usual_times), **own}.items()))

    def _update_part(self, rollout: VersionRollout, record: _RolloutRecord) -> None:
        """Update this host's part of the fixed number of allowed requests."""
        for item in self._reported(rollout):
            record.add_evidence(item)
        record.add_requests(rollout.progress.requests)
        record.adopt_least_age(rollout.progress.elapsed, self._loop.now)
        hosts = {host for host, _ in record.requests} | {self._host}
        record.hosts = max(record.hosts, self._host_count(), len(hosts))
        earlier = [
            item
            for (host, start), item in record.requests.items()
            if host == self._host and start != self._start
        ]
        record.budget.part = host_part(self._limit, record.hosts, earlier)

    def _update_plan(
        self, rollout: VersionRollout, record: _RolloutRecord, now: float
    ) -> None:
        """Update the traffic of the service and the plan that follows from it.

        Hosts differ little in what they know, and the first to begin the full load
        begins it for all.
        """
        record.usual_load.sample(self._running(rollout), now)
        others = [
            item.sent
            for key, item in record.requests.items()
            if key != (self._host, self._start)
        ]
        record.request_samples.add(record.budget.sent + sum(others), now)
        reported = self._reported(rollout)
        rate = record.budget.rate(now) + sum(item.rate for item in reported)
        call_seconds = record.usual_load.call_seconds(rate)
        record.traffic = Traffic(rate, call_seconds, record.answer_seconds.value)
        seconds = record.traffic.full_load_seconds(self._limit, record.plan)
        store_seconds = max(record.store_seconds, rollout.progress.store_seconds)
        record.plan = RolloutPlan.of(rollout.duration, seconds, store_seconds)
        if rollout.progress.step >= FULL:
            record.full_since = min(record.full_since, now)
        elapsed = now - record.ordered_at
        for due in record.plan.times:
            if elapsed < due < elapsed + TICK_SECONDS:
                self._wake_at(record, record.ordered_at + due)

    def _wake_at(self, record: _RolloutRecord, at: float) -> None:
        """Advance the rollouts at a loop time unless an earlier wake-up is pending."""
        if self._loop.now < record.wake_at <= at:
            return
        record.wake_at = at
        seconds = max(0.0, at - self._loop.now) + WAKE_MARGIN_SECONDS
        self._loop.call_after(seconds, lambda: self.run(self._loop.now))

    def _running(self, rollout: VersionRollout) -> int:
        """Return the calls of the service that run, from all hosts."""
        rows = self._tables.servers_of(rollout.service)
        return sum(row.load.running + row.load.running_elsewhere for row in rows)

    def _is_confirmed(
        self, rollout: VersionRollout, record: _RolloutRecord, assessment: Assessment
    ) -> bool:
        """Return whether recent answers under full load, from most hosts, are known."""
        needed = record.traffic.recent_answers(record.plan, RECENT_SECONDS)
        if assessment.recent < needed:
            return False
        reported = [item.requests for item in self._reported(rollout)]
        live = {(item.host, item.start) for item in reported if item is not None}
        unheard = 0
        for key, item in record.requests.items():
            if key not in live and key != (self._host, self._start):
                known = record.answers.get(key, ())
                answers = sum(answer.good + answer.bad for answer in known)
                unheard += max(0, item.to_new - answers)
        return unheard <= MAX_UNHEARD_FRACTION * assessment.answers

    def _is_affordable(self, rollout: VersionRollout, record: _RolloutRecord) -> bool:
        """Return whether the new version may serve alone from now on."""
        seconds = max(0.0, rollout.duration - (self._loop.now - record.ordered_by))
        if record.is_age_sure and seconds <= LATEST_COMPLETION_SECONDS:
            # What is needed now was kept; calls that may be repeated vary.
            return True
        needed = (1.0 - self._limit.share) * record.expected_rate * seconds
        return self._left(rollout, record) >= needed

    def _left(self, rollout: VersionRollout, record: _RolloutRecord) -> float:
        """Return the requests that the new version may still get from all hosts."""
        rows = self._tables.servers_of(rollout.service)
        own = record.budget.left(self._moment(rollout, record, rows))
        return own + sum(item.left for item in self._reported(rollout))

    def _write(
        self,
        rollout: VersionRollout,
        record: _RolloutRecord,
        progress: RolloutProgress,
        assessment: Assessment,
    ) -> None:
        record.writing = True
        self._log(
            "writing rollout progress",
            service=rollout.service,
            target=rollout.target,
            state=progress.state.value,
            step=progress.step,
            sent=record.budget.sent,
            sent_to_new=record.budget.sent_to_new,
            **_assessment_fields(assessment),
            recent_needed=record.traffic.recent_answers(record.plan, RECENT_SECONDS),
            full_from=round(record.plan.full_from, 2),
            complete_from=round(record.plan.complete_from, 2),
            part=round(record.budget.part, 1),
            left=round(self._left(rollout, record), 1),
            rate=round(record.expected_rate, 1),
            store_seconds=round(record.store_seconds, 3),
            elapsed=round(self._loop.now - record.ordered_at, 2),
            least_elapsed=round(self._loop.now - record.ordered_by, 2),
            revision=rollout.position.revision,
            era=rollout.position.era,
        )
        status = encode_progress(rollout, progress)
        written_at = self._loop.now

        def write() -> None:
            deadline = Deadline.after(clock.monotonic(), WRITE_TIMEOUT_SECONDS)
            outcome = self._objects.replace_status(
                names.KIND_ROLLOUTS, rollout.service, status, rollout.position, deadline
            )
            self._loop.post(
                lambda: self._on_written(rollout, record, outcome, written_at)
            )

        self._executor.submit(write)

    def _on_written(
        self,
        rollout: VersionRollout,
        record: _RolloutRecord,
        outcome: Result[PlatformObject, PlatformError],
        written_at: float,
    ) -> None:
        """Handle the result of a write; after a lost response, the watch reports it."""
        record.writing = False
        if _is_answer(outcome):
            record.store_seconds = max(
                self._loop.now - written_at, STORE_SECONDS_DECAY * record.store_seconds
            )
        record.write_after = self._loop.now + WRITE_INTERVAL_SECONDS
        if isinstance(outcome, Err):
            self._log(
                "rollout progress not written",
                service=rollout.service,
                error=outcome.err_value.message,
            )
            return
        decoded = decode_rollout(outcome.ok_value, rollout.position.era)
        if isinstance(decoded, Ok):
            self._tables.put_rollout(decoded.ok_value)

    def _record_of(self, rollout: VersionRollout) -> _RolloutRecord:
        record = self._records.get(rollout.service)
        known = record is not None and record.created == rollout.created
        if record is None or not known or record.target != rollout.target:
            record = self._new_record(rollout)
            self._records[rollout.service] = record
        return record

    def _new_record(self, rollout: VersionRollout) -> _RolloutRecord:
        """Return a new record.

        The wall clock is used only for a rollout that had progressed before this host
        read it, for instance after a restart, until another host tells its age. An
        order without progress is new, unless this host has started since.
        """
        progress, now = rollout.progress, self._loop.now
        least_age = age = progress.elapsed
        read_at = self._tables.ordered_at(rollout)
        is_sure = progress.state is RolloutState.ORDERED and read_at is not None
        if is_sure and read_at is not None:
            least_age = age = now - read_at
        elif progress.ordered_at > 0.0:
            wall_age = clock.time() - progress.ordered_at
            age = max(least_age, min(wall_age, rollout.duration))
        rounding = hash_fraction(f"{self._host}/{rollout.created}")
        record = _RolloutRecord(
            rollout.created,
            rollout.target,
            now - age,
            now - least_age,
            ExposureBudget(self._limit, rounding, 0.0, now),
            is_sure,
            now + AGE_WAIT_SECONDS,
            {},
            {},
            self._host_count(),
            RolloutPlan.of(rollout.duration, 0.0, progress.store_seconds),
        )
        self._update_part(rollout, record)
        return record

    def _write_order(self, rollout: VersionRollout) -> float:
        """Return this host's place among those that may write, in [0, 1)."""
        text = f"{self._host}/{rollout.position.revision}".encode()
        digest = hashlib.blake2b(text, digest_size=2).digest()
        return int.from_bytes(digest) / 65536.0


def _is_answer(outcome: Result[PlatformObject, PlatformError]) -> bool:
    """Return whether the store answered; a timeout is no measure of its speed."""
    return isinstance(outcome, Ok) or outcome.err_value.kind is ErrorKind.CONFLICT


def _is_checkpoint_due(rollout: VersionRollout, elapsed: float) -> bool:
    """Return whether the age in the store is old; `elapsed` is the least age."""
    if is_final(rollout.progress):
        return False
    if rollout.duration - elapsed <= CHECKPOINT_FREE_SECONDS:
        return False
    return elapsed - rollout.progress.elapsed >= CHECKPOINT_SECONDS


def _without_versions(
    rows: Sequence[ServerRow], versions: frozenset[str]
) -> list[ServerRow]:
    """Return the servers of other versions, or all if there are none."""
    return [row for row in rows if row.server.version not in versions] or list(rows)


def _is_on_trial(rollout: VersionRollout | None, server: BackendServer) -> bool:
    """Return whether a server runs a new version that is not completed."""
    return (
        rollout is not None
        and rollout.progress.state is not RolloutState.DONE
        and server.version == rollout.target
    )


def _assessment_fields(assessment: Assessment) -> dict[str, object]:
    """Return the fields of a log line that tell an assessment."""
    return {
        "answers": assessment.answers,
        "failed": assessment.failed,
        "slow": assessment.slow,
        "harm": round(assessment.harm, 2),
        "suspicion": round(assessment.suspicion, 2),
        "doubt": round(assessment.doubt, 2),
        "proven": assessment.proven,
        "loaded": assessment.loaded,
        "recent": assessment.recent,
    }
