"""Learn the quality of versions from ratings and plan requests by it."""

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
from masticfork.core.quality import AnswerPath, QualityKey, QualityRow, Served
from masticfork.core.ratings import Rating
from masticfork.core.tables import Tables
from masticfork.daemon.loops import Loop
from masticfork.store.ratings import RatingClient
from masticfork.systems.cascades import CascadePolicy, CascadeSystem, Plan, plan
from masticfork.systems.quality import with_rating, with_seconds, with_served

POLL_SECONDS = 1.0
# Engines give no signal of an answer's quality, so all answers show the same one.
NO_SIGNAL = 0

_log = logbook.Logger("quality")


@attrs.frozen
class Answered:
    """A whole answer, and whether its rating was asked for."""

    key: QualityKey
    version: VersionId
    seconds: float
    at: float
    rated: bool


class QualityKeeper:
    """The only writer of the quality table; safe for threads."""

    def __init__(self, policy: CascadePolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._system = CascadeSystem(policy)
        self._lock = threading.Lock()
        self._answered: list[Answered] = []
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
        """Return the steps for one request."""
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

    def answered(self, answer: Answered) -> None:
        """Take in a whole answer."""
        with self._lock:
            self._answered.append(answer)

    def rated(self, ratings: Iterable[Rating]) -> None:
        """Take in ratings, each once."""
        with self._lock:
            self._ratings += ratings

    def run(self, tables: Tables, now: float) -> Findings:
        """Add what was learnt to the table and renew the plans."""
        with self._lock:
            for answer in self._answered:
                _add_answer(tables, answer)
            for rating in self._ratings:
                _add_rating(tables, rating)
            self._answered, self._ratings = [], []
            return self._system.run(tables, now)


class RatingFeed:
    """Reads the rating service's list as it grows."""

    def __init__(
        self, client: RatingClient, take: Callable[[Iterable[Rating]], None]
    ) -> None:
        self._client = client
        self._take = take
        self._after = 0
        self.loop = Loop("ratings", POLL_SECONDS, self._step)

    def _step(self) -> None:
        read = self._client.read(self._after)
        if isinstance(read, Err):
            _log.debug("ratings not read", error=read.err_value.message)
            return
        if read.ok_value:
            self._after = read.ok_value[-1].seq
            self._take(read.ok_value)


def _add_answer(tables: Tables, answer: Answered) -> None:
    row = tables.quality.get(answer.key, QualityRow(answer.key))
    row = with_seconds(row, answer.version, answer.seconds)
    if answer.rated:
        path = AnswerPath(answer.version, NO_SIGNAL)
        row = with_served(row, Served(answer.key, path, answer.at))
    tables.quality[answer.key] = row


def _add_rating(tables: Tables, rating: Rating) -> None:
    key = QualityKey(rating.team, rating.work_class)
    row = tables.quality.get(key, QualityRow(key))
    path = AnswerPath(rating.version, NO_SIGNAL)
    tables.quality[key] = with_rating(row, path, rating.score)
