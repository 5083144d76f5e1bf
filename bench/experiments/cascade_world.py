"""A quick fake of answers and ratings around the cascade decisions."""

import heapq
import itertools
import math
import random

import attrs

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.ids import VersionId
from masticfork.core.manifest import Manifest, Model, Team, Version, WorkClass
from masticfork.core.quality import AnswerPath, QualityKey, QualityRow, ServedAnswer
from masticfork.core.tables import SelfRow, Tables
from masticfork.systems.cascades import CascadePolicy, CascadeSystem, plan
from masticfork.systems.quality import SIGNALS, with_rating, with_served

GOOD, BAD = 0.95, 0.2
RATING_NOISE = 0.05
RATING_LEAST_SECONDS, RATING_MORE_SECONDS = 5.0, 25.0
FAR = Deadline(math.inf)


@attrs.frozen
class Kind:
    """A version's price and how often it is right."""

    version: VersionId
    cost: float
    easy: float
    hard: float
    prior: float


SMALL = Kind(VersionId("small@1"), 1.0, 0.96, 0.25, 0.6)
MEDIUM = Kind(VersionId("medium@1"), 4.0, 0.97, 0.65, 0.7)
LARGE = Kind(VersionId("large@1"), 20.0, 0.985, 0.93, 0.9)
KINDS = (SMALL, MEDIUM, LARGE)
CANDIDATES = tuple(kind.version for kind in KINDS)
TARGETS = {"canvas": 0.85, "medals": 0.88}
# Share of the requests and, among them, of hard ones.
CLASSES = {
    WorkClass.LOOKUP: (0.5, 0.1),
    WorkClass.RESERVATION: (0.2, 0.25),
    WorkClass.DRAFTING: (0.3, 0.45),
}
# Chances of each signal for good and bad answers.
SIGNAL_OF_GOOD = (0.03, 0.07, 0.25, 0.65)
SIGNAL_OF_BAD = (0.5, 0.25, 0.15, 0.1)


@attrs.frozen
class Scenario:
    """The faults of one experiment."""

    name: str
    rate: float = 10.0
    seconds: float = 3600.0
    rating_loss: float = 0.1
    # Share of ratings that say the opposite.
    flipped: float = 0.0
    ratings_stop_at: float = math.inf
    # From when on the smallest version fails all hard and half of easy requests.
    small_turns_bad_at: float = math.inf


@attrs.frozen
class Request:
    """One request with every version's answer, known to the oracles alone."""

    key: QualityKey
    at: float
    good: tuple[bool, ...]
    signals: tuple[int, ...]


@attrs.frozen
class Outcome:
    """The result of one request."""

    request: Request
    quality: float
    cost: float


def configuration() -> Configuration:
    """Return the manifest of the experiment."""
    models = tuple(
        Model(
            kind.version.split("@")[0],  # type: ignore[arg-type]
            (Version(kind.version, "p", kind.cost, None, kind.prior),),  # type: ignore[arg-type]
            kind.version,
        )
        for kind in KINDS
    )
    teams = tuple(Team(n, (), CANDIDATES, target) for n, target in TARGETS.items())  # type: ignore[arg-type]
    return Configuration(1, "bench", Manifest(teams, models, ()))


def requests_of(scenario: Scenario, seed: int) -> list[Request]:
    """Draw the requests of a run."""
    rng = random.Random(f"{scenario.name}/{seed}")
    classes = list(CLASSES)
    weights = [share for share, _ in CLASSES.values()]
    found: list[Request] = []
    at = 0.0
    while True:
        at += rng.expovariate(scenario.rate)
        if at >= scenario.seconds:
            return found
        work_class = rng.choices(classes, weights)[0]
        hard = rng.random() < CLASSES[work_class][1]
        good = []
        for kind in KINDS:
            chance = kind.hard if hard else kind.easy
            if kind is SMALL and at >= scenario.small_turns_bad_at:
                chance = 0.0 if hard else chance / 2.0
            good.append(rng.random() < chance)
        signals = [
            rng.choices(range(SIGNALS), SIGNAL_OF_GOOD if g else SIGNAL_OF_BAD)[0]
            for g in good
        ]
        key = QualityKey(rng.choice(list(TARGETS)), work_class)  # type: ignore[arg-type]
        found.append(Request(key, at, tuple(good), tuple(signals)))


def quality_of(good: bool) -> float:
    """Return the true rating of an answer."""
    return GOOD if good else BAD


class World:
    """One run of a policy over given requests."""

    def __init__(self, scenario: Scenario, policy: CascadePolicy, seed: int) -> None:
        self._scenario = scenario
        self._policy = policy
        self._system = CascadeSystem(policy)
        self._rng = random.Random(f"world/{scenario.name}/{seed}")
        self._tables = Tables(SelfRow("h1", "a"), configuration())  # type: ignore[arg-type]
        self._due: list[tuple[float, int, ServedAnswer, float]] = []
        self._numbers = itertools.count()

    def run(self, requests: list[Request]) -> list[Outcome]:
        """Answer all requests in turn."""
        outcomes, tick = [], 0.0
        for request in requests:
            self._take_ratings(request.at)
            if request.at >= tick + 1.0:
                tick = request.at
                self._system.run(self._tables, tick)
            outcomes.append(self._answer(request))
        return outcomes

    def _answer(self, request: Request) -> Outcome:
        key, now = request.key, request.at
        made = plan(
            self._tables,
            key.team,
            key.work_class,
            CANDIDATES,
            FAR,
            now,
            self._rng,
            self._policy,
        )
        cost, path = 0.0, None
        for step in made.steps:
            place = CANDIDATES.index(step.version)
            cost += KINDS[place].cost
            if path is None:
                path = AnswerPath(step.version, request.signals[place])
            else:
                path = AnswerPath(step.version, path.signal, path.version)
            if request.signals[place] in step.accepted:
                break
        assert path is not None
        good = request.good[CANDIDATES.index(path.version)]
        self._note(ServedAnswer(key, path, now), good)
        return Outcome(request, quality_of(good), cost)

    def _note(self, served: ServedAnswer, good: bool) -> None:
        row = self._tables.quality[served.key]
        self._tables.quality[served.key] = with_served(row, served)
        scenario, rng = self._scenario, self._rng
        lost = rng.random() < scenario.rating_loss
        if lost or served.at >= scenario.ratings_stop_at:
            return
        told = good if rng.random() >= scenario.flipped else not good
        # Within [0, 1], so that the noise adds no bias.
        score = quality_of(told) + rng.uniform(-RATING_NOISE, RATING_NOISE)
        wait = RATING_LEAST_SECONDS + rng.expovariate(1.0 / RATING_MORE_SECONDS)
        due = (served.at + wait, next(self._numbers), served, score)
        heapq.heappush(self._due, due)

    def _take_ratings(self, now: float) -> None:
        rows: dict[QualityKey, QualityRow] = self._tables.quality
        while self._due and self._due[0][0] <= now:
            _, _, served, score = heapq.heappop(self._due)
            rows[served.key] = with_rating(rows[served.key], served.path, score)
