"""Control of rollouts: collects evidence and writes progress to the store."""

import hashlib
import math
import time as clock
from collections.abc import Callable, Sequence
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
from masticfork.core.digests import RolloutEvidence
from masticfork.core.ids import short_key
from masticfork.platform import names
from masticfork.platform.objects import PlatformObject, PlatformObjects
from masticfork.platform.server_format import decode_rollout, encode_progress
from masticfork.relay.loop import Loop
from masticfork.relay.tables import ServerRow, Tables
from masticfork.store.client import PlatformError
from masticfork.systems.version_shift import (
    AnswerCounts,
    LatencyBaseline,
    ResponseTime,
    is_bad,
    is_final,
    next_progress,
    runs_on_new_version,
)

# Timeout of a write, and the interval before the next one.
WRITE_TIMEOUT_SECONDS = 1.0
WRITE_INTERVAL_SECONDS = 0.3
# Longest delay before a write that other hosts may make as well. Each host waits for a
# different fraction of it, so that usually only one host writes.
MAX_WRITE_DELAY_SECONDS = 0.4
# Slow answers of one server at shorter intervals count as one: they may have waited in
# one queue, behind a single long prompt.
SAME_QUEUE_SECONDS = 0.5


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
    new: AnswerCounts = attrs.field(factory=AnswerCounts)
    old: AnswerCounts = attrs.field(factory=AnswerCounts)
    # Loop time of the latest slow answer that was counted, by server.
    slow_at: dict[str, float] = attrs.field(factory=dict)
    # Whether this host has judged the new version bad.
    bad: bool = False

    def repeats_slow_answer(self, server: str, now: float) -> bool:
        """Record a slow answer; return whether it closely follows another one."""
        if now - self.slow_at.get(server, -math.inf) < SAME_QUEUE_SECONDS:
            return True
        self.slow_at[server] = now
        return False

    # Loop time since which new progress waits to be written.
    due_since: float | None = None
    writing: bool = False
    write_after: float = 0.0


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
        executor: WriteExecutor | None = None,
    ) -> None:
        self._loop = loop
        self._peer_evidence = peer_evidence
        self._objects = objects
        self._tables = tables
        self._host = host
        self._log = log
        self._records: dict[str, _RolloutRecord] = {}
        # By service, also while no rollout runs: a new version is compared with them
        # from its first answer on.
        self._usual_times: dict[str, LatencyBaseline] = {}
        self._executor = executor or ThreadPoolExecutor(1, "rollout-writer")

    def eligible(
        self,
        service: str,
        session: str,
        earlier: int | None,
        rows: Sequence[ServerRow],
    ) -> Sequence[ServerRow]:
        """Return the servers whose version the session may use.

        `earlier` is the short key of the version that it used last, if any.
        """
        rollout = self._tables.rollouts.get(service)
        if rollout is None:
            return rows
        new = [row for row in rows if row.server.version == rollout.target]
        old = [row for row in rows if row.server.version != rollout.target]
        if rollout.progress.state is RolloutState.DONE:
            return new or old
        if rollout.progress.state is RolloutState.ROLLED_BACK:
            return old
        record = self._record_of(rollout)
        was_on_new = None if earlier is None else earlier == short_key(rollout.target)
        if record.bad or not runs_on_new_version(rollout, session, was_on_new):
            return old
        return new or old

    def record_answer(
        self, server: BackendServer, failed: bool, time: ResponseTime, now: float
    ) -> None:
        """Record one response as evidence."""
        rollout = self._tables.rollouts.get(server.service)
        usual_times = self.usual_times(server.service)
        slow = usual_times.is_slow(time)
        is_new = (
            rollout is not None
            and rollout.progress.state is not RolloutState.DONE
            and server.version == rollout.target
        )
        if not is_new:
            usual_times.add(time)
        if rollout is None or is_final(rollout.progress):
            return
        record = self._record_of(rollout)
        if slow and not failed and record.repeats_slow_answer(server.id, now):
            return
        evidence = record.new if is_new else record.old
        evidence.add(failed, slow, now)
        if failed or slow:
            self._judge_version(rollout, record)

    def usual_times(self, service: str) -> LatencyBaseline:
        """Return the response times of a service without those of a new version."""
        return self._usual_times.setdefault(service, LatencyBaseline())

    def is_slow(self, server: BackendServer, time: ResponseTime) -> bool:
        """Return whether a call that still waits for its response is already slow."""
        rollout = self._tables.rollouts.get(server.service)
        if rollout is None or is_final(rollout.progress):
            return False
        return self.usual_times(server.service).is_slow(time)

    def evidence(self) -> tuple[RolloutEvidence, ...]:
        """Return this host's evidence on all unfinished rollouts."""
        evidence = []
        for rollout in self._tables.rollouts.values():
            if is_final(rollout.progress):
                continue
            record = self._record_of(rollout)
            evidence.append(
                RolloutEvidence(
                    service=rollout.service,
                    created=rollout.created,
                    new_good=record.new.good,
                    new_bad=record.new.bad,
                    old_good=record.old.good,
                    old_bad=record.old.bad,
                    old_running=self._old_running(rollout),
                    new_slow=record.new.slow,
                    old_slow=record.old.slow,
                    judged_bad=record.bad,
                )
            )
        return tuple(evidence)

    def _old_running(self, rollout: VersionRollout) -> int:
        return sum(
            row.load.running
            for row in self._tables.rows
            if row.server.service == rollout.service
            and row.server.version != rollout.target
        )

    def _has_new_servers(self, rollout: VersionRollout) -> bool:
        rows = self._tables.servers_of(rollout.service)
        return any(row.server.version == rollout.target for row in rows)

    def _combined_evidence(
        self, rollout: VersionRollout, record: _RolloutRecord
    ) -> tuple[AnswerCounts, AnswerCounts, int]:
        """Return the evidence of all hosts on the new and the old version.

        The third value is the number of requests that run on the old version.
        """
        reported = self._peer_evidence(rollout.service, rollout.created)
        new = AnswerCounts(
            record.new.good + sum(item.new_good for item in reported),
            record.new.bad + sum(item.new_bad for item in reported),
            record.new.slow + sum(item.new_slow for item in reported),
        )
        old = AnswerCounts(
            record.old.good + sum(item.old_good for item in reported),
            record.old.bad + sum(item.old_bad for item in reported),
            record.old.slow + sum(item.old_slow for item in reported),
        )
        running = self._old_running(rollout) + sum(
            item.old_running for item in reported
        )
        return new, old, running

    def _judge_version(self, rollout: VersionRollout, record: _RolloutRecord) -> None:
        """Mark the new version as bad if the evidence shows it or a host judged so."""
        if record.bad:
            return
        reported = self._peer_evidence(rollout.service, rollout.created)
        judged = any(item.judged_bad for item in reported)
        new, old, _ = self._combined_evidence(rollout, record)
        if not judged and not is_bad(new, old):
            return
        record.bad = True
        self._log(
            "new version judged bad",
            service=rollout.service,
            target=rollout.target,
            bad=round(new.bad, 2),
            good=round(new.good, 2),
            slow=round(new.slow, 2),
            old_bad_share=round(old.bad_share, 3),
            old_slow_share=round(old.slow_share, 3),
            judged_elsewhere=judged,
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
        elapsed = now - record.ordered_at
        if not is_final(rollout.progress):
            self._judge_version(rollout, record)
        new, old, old_running = self._combined_evidence(rollout, record)
        has_servers = new.total > 0 or self._has_new_servers(rollout)
        progress = next_progress(rollout, elapsed, new, old, old_running, has_servers)
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
        self._write(rollout, record, progress)

    def _write(
        self, rollout: VersionRollout, record: _RolloutRecord, progress: RolloutProgress
    ) -> None:
        record.writing = True
        new, old, _ = self._combined_evidence(rollout, record)
        self._log(
            "writing rollout progress",
            service=rollout.service,
            target=rollout.target,
            state=progress.state.value,
            step=progress.step,
            answers=round(new.total, 2),
            bad_share=round(new.bad_share, 3),
            slow_share=round(new.slow_share, 3),
            old_bad_share=round(old.bad_share, 3),
            old_slow_share=round(old.slow_share, 3),
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
        read it, for instance after a restart.
        """
        wall, now = clock.time(), self._loop.now
        ordered = rollout.progress.ordered_at
        if rollout.progress.state is RolloutState.ORDERED or ordered <= 0.0:
            return _RolloutRecord(rollout.created, rollout.target, now, wall)
        age = min(max(0.0, wall - ordered), rollout.duration)
        return _RolloutRecord(rollout.created, rollout.target, now - age, ordered)

    def _write_delay(self, rollout: VersionRollout) -> float:
        text = f"{self._host}/{rollout.position.revision}".encode()
        digest = hashlib.blake2b(text, digest_size=2).digest()
        return MAX_WRITE_DELAY_SECONDS * int.from_bytes(digest) / 65536.0
