"""Counters that a host keeps for each rollout and reports to its driver."""

import threading
from collections import Counter

import attrs

from masticfork.core.configuration import Configuration
from masticfork.core.ids import HostName, ModelName, RolloutName, VersionId
from masticfork.core.manifest import Rollout
from masticfork.core.rollouts import HostUsage, RolloutRow, RolloutState, VersionCounts
from masticfork.systems.rollout_permits import PermitCounter
from masticfork.systems.versions import Assignment

# An answer whose first token takes longer counts as slow.
SLOW_FIRST_TOKEN_SECONDS = 0.78


@attrs.frozen
class AnswerOutcome:
    """The result of one answer."""

    version: VersionId
    failed: bool
    # None if no token was received.
    first_token_seconds: float | None


class RolloutUsage:
    """Thread-safe counters of this host; each only grows until its rollout ends."""

    def __init__(self, host: HostName) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._permits = PermitCounter(host)
        self._sessions: Counter[RolloutName] = Counter()
        self._answers: dict[VersionId, VersionCounts] = {}

    def count_new_session(self, configuration: Configuration, model: ModelName) -> None:
        """Count a new session that is not pinned to a version of the model."""
        with self._lock:
            for rollout in configuration.manifest.rollouts:
                if rollout.model == model:
                    self._sessions[rollout.name] += 1

    def admit(
        self, row: RolloutRow, assignment: Assignment, pinned: bool, now: float
    ) -> VersionId | None:
        """Return the version for a session, using a permit where one is required.

        None if no permit is available and there is no other version to fall back to.
        """
        if pinned:
            self._permits.count_without_permit(row)
            return assignment.version
        if row.state is RolloutState.RUNNING and not row.capped:
            self._permits.count_without_permit(row)
            return assignment.version
        if self._permits.take(row, now):
            return assignment.version
        return assignment.without_permit

    def drop_if_ended(self, row: RolloutRow) -> None:
        """Drop the counts of the rollout if it has ended."""
        if not row.ended:
            return
        self._permits.forget(row.name)
        with self._lock:
            self._sessions.pop(row.name, None)

    def count_answer(self, outcome: AnswerOutcome) -> None:
        """Count a finished answer by its version."""
        first_token_seconds = outcome.first_token_seconds
        slow = (
            first_token_seconds is not None
            and first_token_seconds > SLOW_FIRST_TOKEN_SECONDS
        )
        with self._lock:
            counts = self._answers.get(outcome.version, VersionCounts())
            self._answers[outcome.version] = VersionCounts(
                counts.answered + 1,
                counts.failed + outcome.failed,
                counts.slow + slow,
            )

    def report(self, rollout: Rollout, now: float) -> HostUsage:
        """Return the counters of the rollout as reported to its driver at `now`."""
        with self._lock:
            return HostUsage(
                host=self._host,
                rollout=rollout.name,
                at=now,
                began=self._permits.first_report_time(now),
                sessions=self._sessions[rollout.name],
                started=self._permits.started(rollout.name),
                new=self._answers.get(rollout.to_version, VersionCounts()),
                old=self._answers.get(rollout.from_version, VersionCounts()),
            )
