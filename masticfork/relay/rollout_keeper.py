"""Follows roll-outs, gathers evidence and writes their progress to the store."""

import hashlib
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
from masticfork.platform import names
from masticfork.platform.objects import PlatformObject, PlatformObjects
from masticfork.platform.server_format import decode_rollout, encode_progress
from masticfork.relay.loop import Loop
from masticfork.relay.session_versions import short_key
from masticfork.relay.tables import ServerRow, Tables
from masticfork.store.client import PlatformError
from masticfork.systems.version_shift import (
    Evidence,
    UsualTimes,
    advance,
    is_bad,
    is_final,
    takes_new_version,
)

# Time in seconds for one write to be answered, and the pause before the next one.
WRITE_TIMEOUT = 1.0
WRITE_PAUSE = 0.3
# Greatest delay in seconds with which a host writes what others may write too; each
# host waits for its own part of it, so that mostly one of them writes.
MOST_DELAY = 0.4


class Writers(Protocol):
    """Runs calls to the store, off the loop's thread."""

    def submit(self, call: Callable[[], None], /) -> object:
        """Run a call, now or soon."""


@attrs.frozen
class AnswerTime:
    """How long the first byte of an answer took, or the wait until it was given up."""

    size: int
    seconds: float


@attrs.define(eq=False)
class _Watched:
    """What this host knows of one order."""

    created: int
    target: str
    # Loop time at which the order was given, as far as this host can tell.
    ordered_at: float
    ordered_wall: float
    new: Evidence = attrs.field(factory=Evidence)
    old: Evidence = attrs.field(factory=Evidence)
    usual: UsualTimes = attrs.field(factory=UsualTimes)
    # Whether this host has seen that the version is bad.
    bad: bool = False
    due_since: float | None = None
    writing: bool = False
    write_after: float = 0.0


class RolloutKeeper:
    """Decides which versions calls go to, and moves roll-outs on."""

    def __init__(
        self,
        loop: Loop,
        objects: PlatformObjects,
        tables: Tables,
        host: str,
        log: Callable[..., None],
        elsewhere: Callable[[str, int], list[RolloutEvidence]],
        writers: Writers | None = None,
    ) -> None:
        self._loop = loop
        self._elsewhere = elsewhere
        self._objects = objects
        self._tables = tables
        self._host = host
        self._log = log
        self._watched: dict[str, _Watched] = {}
        self._writers = writers or ThreadPoolExecutor(1, "rollout-writer")

    def eligible(
        self,
        service: str,
        session: str,
        earlier: int | None,
        rows: Sequence[ServerRow],
    ) -> Sequence[ServerRow]:
        """Return the servers whose version a session may run on."""
        rollout = self._tables.rollouts.get(service)
        if rollout is None:
            return rows
        new = [row for row in rows if row.server.version == rollout.target]
        old = [row for row in rows if row.server.version != rollout.target]
        if rollout.progress.state is RolloutState.DONE:
            return new or old
        if rollout.progress.state is RolloutState.ROLLED_BACK:
            return old
        watched = self._watch(rollout)
        was_on_new = None if earlier is None else earlier == short_key(rollout.target)
        if watched.bad or not takes_new_version(rollout, session, was_on_new):
            return old
        return new or old

    def note_answer(
        self, server: BackendServer, failed: bool, time: AnswerTime, now: float
    ) -> None:
        """Take in one answer as evidence."""
        rollout = self._tables.rollouts.get(server.service)
        if rollout is None or is_final(rollout.progress):
            return
        watched = self._watch(rollout)
        is_new = server.version == rollout.target
        evidence = watched.new if is_new else watched.old
        slow = watched.usual.is_slow(time.size, time.seconds)
        if not is_new:
            watched.usual.add(time.size, time.seconds)
        evidence.add(failed, slow, now)
        if failed or slow:
            self._judge(rollout, watched)

    def is_slow(self, server: BackendServer, time: AnswerTime) -> bool:
        """Tell whether a call that still waits is slow already."""
        rollout = self._tables.rollouts.get(server.service)
        if rollout is None or is_final(rollout.progress):
            return False
        return self._watch(rollout).usual.is_slow(time.size, time.seconds)

    def evidence(self) -> tuple[RolloutEvidence, ...]:
        """Return this host's evidence of all roll-outs under way."""
        rows = []
        for rollout in self._tables.rollouts.values():
            if is_final(rollout.progress):
                continue
            watched = self._watch(rollout)
            rows.append(
                RolloutEvidence(
                    service=rollout.service,
                    created=rollout.created,
                    new_good=watched.new.good,
                    new_bad=watched.new.bad,
                    old_good=watched.old.good,
                    old_bad=watched.old.bad,
                    old_running=self._old_running(rollout),
                    new_slow=watched.new.slow,
                    old_slow=watched.old.slow,
                )
            )
        return tuple(rows)

    def _old_running(self, rollout: VersionRollout) -> int:
        return sum(
            row.load.running
            for row in self._tables.rows
            if row.server.service == rollout.service
            and row.server.version != rollout.target
        )

    def _combined(
        self, rollout: VersionRollout, watched: _Watched
    ) -> tuple[Evidence, Evidence, int]:
        """Return the evidence of all hosts, and the requests on the old version."""
        told = self._elsewhere(rollout.service, rollout.created)
        new = Evidence(
            watched.new.good + sum(row.new_good for row in told),
            watched.new.bad + sum(row.new_bad for row in told),
            watched.new.slow + sum(row.new_slow for row in told),
        )
        old = Evidence(
            watched.old.good + sum(row.old_good for row in told),
            watched.old.bad + sum(row.old_bad for row in told),
            watched.old.slow + sum(row.old_slow for row in told),
        )
        running = self._old_running(rollout) + sum(row.old_running for row in told)
        return new, old, running

    def _judge(self, rollout: VersionRollout, watched: _Watched) -> None:
        """Stop sending to a version that all hosts' answers show as bad."""
        new, old, _ = self._combined(rollout, watched)
        if watched.bad or not is_bad(new, old, rollout.progress.step):
            return
        watched.bad = True
        self._log(
            "version found bad",
            service=rollout.service,
            target=rollout.target,
            bad=round(new.bad, 2),
            good=round(new.good, 2),
            slow=round(new.slow, 2),
            old_bad_share=round(old.bad_share, 3),
            old_slow_share=round(old.slow_share, 3),
        )

    def run(self, now: float) -> None:
        """Write what is due."""
        for rollout in list(self._tables.rollouts.values()):
            if not is_final(rollout.progress):
                self._move_on(rollout, now)

    def _move_on(self, rollout: VersionRollout, now: float) -> None:
        watched = self._watch(rollout)
        if watched.writing or now < watched.write_after:
            return
        elapsed = now - watched.ordered_at
        self._judge(rollout, watched)
        new, old, old_running = self._combined(rollout, watched)
        due = advance(rollout, elapsed, new, old, old_running)
        if watched.bad:
            due = attrs.evolve(due, state=RolloutState.ROLLED_BACK)
        if due == rollout.progress:
            watched.due_since = None
            return
        if watched.due_since is None:
            watched.due_since = now
        if now - watched.due_since < self._delay(rollout):
            return
        due = attrs.evolve(due, ordered_at=watched.ordered_wall)
        self._write(rollout, watched, due)

    def _write(
        self, rollout: VersionRollout, watched: _Watched, due: RolloutProgress
    ) -> None:
        watched.writing = True
        new, old, _ = self._combined(rollout, watched)
        self._log(
            "roll-out step",
            service=rollout.service,
            target=rollout.target,
            state=due.state.value,
            step=due.step,
            answers=round(new.total, 2),
            bad_share=round(new.bad_share, 3),
            slow_share=round(new.slow_share, 3),
            old_bad_share=round(old.bad_share, 3),
            old_slow_share=round(old.slow_share, 3),
            elapsed=round(self._loop.now - watched.ordered_at, 2),
            revision=rollout.revision,
        )
        status = encode_progress(rollout.target, due)

        def write() -> None:
            deadline = Deadline.after(clock.monotonic(), WRITE_TIMEOUT)
            outcome = self._objects.replace_status(
                names.KIND_ROLLOUTS, rollout.service, status, rollout.revision, deadline
            )
            self._loop.post(lambda: self._written(rollout, watched, outcome))

        self._writers.submit(write)

    def _written(
        self,
        rollout: VersionRollout,
        watched: _Watched,
        outcome: Result[PlatformObject, PlatformError],
    ) -> None:
        """Take in the answer of a write; the watch tells what came of a lost one."""
        watched.writing = False
        watched.write_after = self._loop.now + WRITE_PAUSE
        if isinstance(outcome, Err):
            self._log(
                "roll-out not written",
                service=rollout.service,
                error=outcome.err_value.message,
            )
            return
        decoded = decode_rollout(outcome.ok_value)
        if isinstance(decoded, Ok):
            self._tables.put_rollout(decoded.ok_value)

    def _watch(self, rollout: VersionRollout) -> _Watched:
        watched = self._watched.get(rollout.service)
        known = watched is not None and watched.created == rollout.created
        if watched is None or not known or watched.target != rollout.target:
            watched = self._begin(rollout)
            self._watched[rollout.service] = watched
        return watched

    def _begin(self, rollout: VersionRollout) -> _Watched:
        """Return a new record; the wall clock counts only for an order seen late."""
        wall, now = clock.time(), self._loop.now
        ordered = rollout.progress.ordered_at
        if rollout.progress.state is RolloutState.ORDERED or ordered <= 0.0:
            return _Watched(rollout.created, rollout.target, now, wall)
        age = min(max(0.0, wall - ordered), rollout.duration)
        return _Watched(rollout.created, rollout.target, now - age, ordered)

    def _delay(self, rollout: VersionRollout) -> float:
        text = f"{self._host}/{rollout.revision}".encode()
        digest = hashlib.blake2b(text, digest_size=2).digest()
        return MOST_DELAY * int.from_bytes(digest) / 65536.0
