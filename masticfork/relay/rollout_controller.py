"""Control of rollouts: collects evidence and writes progress to the store."""

import hashlib
import math
import time as clock
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

import attrs
from result import Err, Ok, Result

from masticfork.core.backend_servers import (
    BackendServer,
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.deadlines import Deadline
from masticfork.core.digests import NewAnswers, OldAnswers, RolloutEvidence
from masticfork.core.ids import short_key
from masticfork.platform import names
from masticfork.platform.objects import PlatformObject, PlatformObjects
from masticfork.platform.server_format import decode_rollout, encode_progress
from masticfork.relay.loop import Loop
from masticfork.relay.tables import ServerRow, Tables
from masticfork.store.client import PlatformError
from masticfork.systems.exposure import ExposureBudget, ExposureLimit, RolloutMoment
from masticfork.systems.stream_pace import PaceBaseline, StreamPace
from masticfork.systems.version_evidence import Assessment, assess
from masticfork.systems.version_shift import (
    FULL,
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
# Longest delay before a write that other hosts may make as well. Each host waits for a
# different fraction of it, so that usually only one host writes.
MAX_WRITE_DELAY_SECONDS = 0.4
# Time for which a host that starts during a rollout waits to hear from others how long
# ago it was ordered; full digests are sent at least once a second.
AGE_WAIT_SECONDS = 1.5
# Slow answers of one server at shorter intervals count as one: they may have waited in
# one queue, behind a single long prompt.
SAME_QUEUE_SECONDS = 0.5
# Records of a new version's answers that a host keeps and reports, and the last second
# that they name; routes of the old version's answers that it keeps apart.
MAX_ANSWER_RECORDS = 60
MAX_SECOND = 0xFFFF
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
    # Loop time at which the rollout was ordered, as estimated by this host.
    ordered_at: float
    # The same time in Unix seconds.
    ordered_unix_seconds: float
    budget: ExposureBudget
    # Whether the loop time is known from a host that has seen the order, not estimated
    # from the time of day, which may differ by seconds between hosts.
    is_age_sure: bool
    # Loop time until which no progress is written while it is not.
    wait_until: float
    # Answers of the new version by hashes of server and route, and second since the
    # order; the oldest are dropped.
    new: OrderedDict[tuple[int, int, int], NewAnswers] = attrs.field(
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

    def adopt_age(self, age: float, now: float) -> None:
        """Take over how long ago the rollout was ordered, in seconds, if not sure."""
        if not self.is_age_sure:
            self.ordered_at, self.is_age_sure = now - age, True

    def repeats_slow_answer(self, server: str, now: float) -> bool:
        """Record a slow answer; return whether it closely follows another one."""
        if now - self.slow_at.get(server, -math.inf) < SAME_QUEUE_SECONDS:
            return True
        self.slow_at[server] = now
        return False

    def add_new(
        self, server: str, route: str, failed: bool, slow: bool, now: float
    ) -> None:
        """Record an answer of the new version."""
        second = max(0, int(now - self.ordered_at))
        key = (short_key(server), short_key(route), min(second, MAX_SECOND))
        known = self.new.get(key, NewAnswers(*key, 0, 0, 0))
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
        now: float,
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
            age=now - self.ordered_at if self.is_age_sure else None,
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
    ) -> None:
        self._loop = loop
        self._peer_evidence = peer_evidence
        self._limit = limit
        self._host_count = host_count
        self._objects = objects
        self._tables = tables
        self._host = host
        self._log = log
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
            return (new or old) if record.budget.allows_all(moment) else (old or new)
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
        elapsed = self._loop.now - record.ordered_at
        return RolloutMoment(elapsed, rollout.duration, old_running, self._host_count())

    def record_call(self, server: BackendServer, route: str) -> None:
        """Count a call that is being sent."""
        rollout = self._tables.rollouts.get(server.service)
        if rollout is not None and not is_final(rollout.progress):
            record = self._record_of(rollout)
            elapsed = self._loop.now - record.ordered_at
            record.budget.count(route, server.version == rollout.target, elapsed)

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
        if slow and not failed and record.repeats_slow_answer(server.id, now):
            return
        if is_new:
            record.add_new(server.id, route, failed, slow, now)
        else:
            record.add_old(route, failed, slow, now)
        if failed or slow:
            self._judge_version(rollout, record, self._assess(rollout))

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
            record.add_new(server.id, STREAM_PACE, False, slow, now)
        else:
            record.add_old(STREAM_PACE, False, slow, now)
        if slow:
            self._judge_version(rollout, record, self._assess(rollout))

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

    def apply_ages(self, reported: Iterable[RolloutEvidence]) -> None:
        """Take over from another host how long ago unfinished rollouts were ordered."""
        for item in reported:
            rollout = self._tables.rollouts.get(item.service)
            if item.age is None or rollout is None or is_final(rollout.progress):
                continue
            if item.created == rollout.created:
                self._record_of(rollout).adopt_age(item.age, self._loop.now)

    def _own_evidence(self, rollout: VersionRollout) -> RolloutEvidence:
        service = rollout.service
        times = self.usual_times(service).usual_times
        paces = self._usual_paces_of(service).usual
        now = self._loop.now
        return self._record_of(rollout).evidence(service, times, paces, now)

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
        return self.usual_times(server.service).is_slow(time, elsewhere)

    def _has_new_servers(self, rollout: VersionRollout) -> bool:
        rows = self._tables.servers_of(rollout.service)
        return any(row.server.version == rollout.target for row in rows)

    def _assess(self, rollout: VersionRollout) -> Assessment:
        """Return what the evidence of all hosts says of the new version."""
        known = [*self._reported(rollout), self._own_evidence(rollout)]
        return assess(
            (answers for item in known for answers in item.new),
            (answers for item in known for answers in item.old),
        )

    def _judge_version(
        self, rollout: VersionRollout, record: _RolloutRecord, assessment: Assessment
    ) -> None:
        """Mark the new version as bad if the evidence shows it or a host judged so."""
        if record.bad:
            return
        judged = any(item.judged_bad for item in self._reported(rollout))
        if not judged and not assessment.is_bad:
            return
        record.bad = True
        self._log(
            "new version judged bad",
            service=rollout.service,
            target=rollout.target,
            judged_elsewhere=judged,
            **_assessment_fields(assessment),
        )

    def run(self, now: float) -> None:
        """Advance all unfinished rollouts and write their progress if it is due."""
        for rollout in list(self._tables.rollouts.values()):
            lost = rollout.stored_progress != rollout.progress
            if lost or not is_final(rollout.progress):
                self._advance(rollout, now)

    def _advance(self, rollout: VersionRollout, now: float) -> None:
        record = self._record_of(rollout)
        if record.writing or now < record.write_after:
            return
        if not record.is_age_sure and now < record.wait_until and not record.bad:
            return
        elapsed = now - record.ordered_at
        assessment = self._assess(rollout)
        if not is_final(rollout.progress):
            self._judge_version(rollout, record, assessment)
        has_servers = assessment.answers > 0 or self._has_new_servers(rollout)
        progress = next_progress(rollout, elapsed, assessment, has_servers)
        if record.bad and not is_final(progress):
            progress = attrs.evolve(progress, state=RolloutState.ROLLED_BACK)
        if progress == rollout.stored_progress:
            record.due_since = None
            return
        if record.due_since is None:
            record.due_since = now
        if now - record.due_since < self._write_delay(rollout):
            return
        progress = attrs.evolve(progress, ordered_at=record.ordered_unix_seconds)
        self._write(rollout, record, progress, assessment)

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
            elapsed=round(self._loop.now - record.ordered_at, 2),
            revision=rollout.position.revision,
            era=rollout.position.era,
        )
        status = encode_progress(rollout, progress)

        def write() -> None:
            deadline = Deadline.after(clock.monotonic(), WRITE_TIMEOUT_SECONDS)
            outcome = self._objects.replace_status(
                names.KIND_ROLLOUTS, rollout.service, status, rollout.position, deadline
            )
            self._loop.post(lambda: self._on_written(rollout, record, outcome))

        self._executor.submit(write)

    def _on_written(
        self,
        rollout: VersionRollout,
        record: _RolloutRecord,
        outcome: Result[PlatformObject, PlatformError],
    ) -> None:
        """Handle the result of a write; after a lost response, the watch reports it."""
        record.writing = False
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
        read it, for instance after a restart, until another host tells its age.
        """
        wall, now = clock.time(), self._loop.now
        ordered = rollout.progress.ordered_at
        rounding = hash_fraction(f"{self._host}/{rollout.created}")
        budget = ExposureBudget(self._limit, rounding)
        is_sure = rollout.progress.state is RolloutState.ORDERED or ordered <= 0.0
        age = 0.0 if is_sure else min(max(0.0, wall - ordered), rollout.duration)
        return _RolloutRecord(
            rollout.created,
            rollout.target,
            now - age,
            wall if is_sure else ordered,
            budget,
            is_sure,
            now + AGE_WAIT_SECONDS,
        )

    def _write_delay(self, rollout: VersionRollout) -> float:
        text = f"{self._host}/{rollout.position.revision}".encode()
        digest = hashlib.blake2b(text, digest_size=2).digest()
        return MAX_WRITE_DELAY_SECONDS * int.from_bytes(digest) / 65536.0


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
        "proven": assessment.proven,
    }
