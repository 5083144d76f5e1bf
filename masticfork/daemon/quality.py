"""Learn the quality of versions from ratings and plan requests accordingly."""

import random
import threading
from collections.abc import Callable, Iterable

import attrs
import logbook
from result import Err

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.core.ids import TeamName, VersionId
from masticfork.core.manifest import WorkClass
from masticfork.core.quality import AnswerPath, QualityKey, QualityRow, ServedAnswer
from masticfork.core.ratings import Rating
from masticfork.core.tables import Tables
from masticfork.daemon.loops import Loop
from masticfork.store.ratings import RatingClient
from masticfork.systems.cascades import CascadePolicy, CascadeSystem, Plan, plan
from masticfork.systems.quality import with_rating, with_seconds, with_served

POLL_INTERVAL_SECONDS = 1.0
# Engines report no quality signal with an answer, so all answers share this value.
NO_QUALITY_SIGNAL = 0

_log = logbook.Logger("quality")


@attrs.frozen
class CompletedAnswer:
    """A complete answer, and whether its rating was requested."""

    key: QualityKey
    version: VersionId
    seconds: float
    at: float
    rating_requested: bool


class QualityRecorder:
    """The only writer of the quality table; thread-safe."""

    def __init__(self, policy: CascadePolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._system = CascadeSystem(policy)
        self._lock = threading.Lock()
        self._answered: list[CompletedAnswer] = []
        self._ratings: list[Rating] = []

    def plan(
        self,
        tables: Tables,
        team: TeamName,
        work_class: WorkClass,
        candidates: tuple[VersionId, ...],
        deadline: Deadline,
        now: float,
    ) -> Plan:
        """Return the plan for one request: the versions to try, in order."""
        with self._lock:
            return plan(
                tables,
                team,
                work_class,
                candidates,
                deadline,
                now,
                self._rng,
                self._policy,
            )

    def record_answer(self, answer: CompletedAnswer) -> None:
        """Queue a complete answer for the next tick."""
        with self._lock:
            self._answered.append(answer)

    def record_ratings(self, ratings: Iterable[Rating]) -> None:
        """Queue ratings for the next tick; the caller passes each rating once."""
        with self._lock:
            self._ratings += ratings

    def run(self, tables: Tables, now: float) -> Findings:
        """Add queued answers and ratings to the table and update the plans."""
        with self._lock:
            for answer in self._answered:
                _add_answer(tables, answer)
            for rating in self._ratings:
                _add_rating(tables, rating)
            self._answered, self._ratings = [], []
            return self._system.run(tables, now)


class RatingPoller:
    """Polls the rating service for new ratings."""

    def __init__(
        self, client: RatingClient, on_ratings: Callable[[Iterable[Rating]], None]
    ) -> None:
        self._client = client
        self._on_ratings = on_ratings
        self._after = 0
        self.loop = Loop("ratings", POLL_INTERVAL_SECONDS, self._step)

    def _step(self) -> None:
        read = self._client.read(self._after)
        if isinstance(read, Err):
            _log.debug("reading ratings failed", error=read.err_value.message)
            return
        if read.ok_value:
            self._after = read.ok_value[-1].seq
            self._on_ratings(read.ok_value)


def _add_answer(tables: Tables, answer: CompletedAnswer) -> None:
    row = tables.quality.get(answer.key, QualityRow(answer.key))
    row = with_seconds(row, answer.version, answer.seconds)
    if answer.rating_requested:
        path = AnswerPath(answer.version, NO_QUALITY_SIGNAL)
        row = with_served(row, ServedAnswer(answer.key, path, answer.at))
    tables.quality[answer.key] = row


def _add_rating(tables: Tables, rating: Rating) -> None:
    key = QualityKey(rating.team, rating.work_class)
    row = tables.quality.get(key, QualityRow(key))
    path = AnswerPath(rating.version, NO_QUALITY_SIGNAL)
    tables.quality[key] = with_rating(row, path, rating.score)
