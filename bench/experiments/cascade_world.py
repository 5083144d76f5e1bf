"""Simulated answers and ratings to run the cascade decisions against."""

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

GOOD_QUALITY, BAD_QUALITY = 0.95, 0.2
RATING_NOISE = 0.05
MIN_RATING_DELAY_SECONDS, MEAN_EXTRA_RATING_DELAY_SECONDS = 5.0, 25.0
NO_DEADLINE = Deadline(math.inf)


@attrs.frozen
class VersionProfile:
    """The cost of a version, its success rates on easy and hard requests, its prior."""

    version: VersionId
    cost: float
    easy_success: float
    hard_success: float
    prior: float


SMALL = VersionProfile(VersionId("small@1"), 1.0, 0.96, 0.25, 0.6)
MEDIUM = VersionProfile(VersionId("medium@1"), 4.0, 0.97, 0.65, 0.7)
LARGE = VersionProfile(VersionId("large@1"), 20.0, 0.985, 0.93, 0.9)
VERSION_PROFILES = (SMALL, MEDIUM, LARGE)
CANDIDATES = tuple(profile.version for profile in VERSION_PROFILES)
TARGETS = {"canvas": 0.85, "medals": 0.88}
# Share of all requests, and share of hard requests within the class.
CLASS_SHARES = {
    WorkClass.LOOKUP: (0.5, 0.1),
    WorkClass.RESERVATION: (0.2, 0.25),
    WorkClass.DRAFTING: (0.3, 0.45),
}
# Probability of each signal level for good and for bad answers.
GOOD_SIGNAL_WEIGHTS = (0.03, 0.07, 0.25, 0.65)
BAD_SIGNAL_WEIGHTS = (0.5, 0.25, 0.15, 0.1)


@attrs.frozen
class Scenario:
    """The load and the faults of one simulation."""

    name: str
    rate: float = 10.0
    seconds: float = 3600.0
    rating_loss: float = 0.1
    # Share of ratings that report the opposite.
    flipped: float = 0.0
    ratings_stop_at: float = math.inf
    # From this second on, the small version fails all hard requests, and its success
    # rate on easy ones is halved.
    small_turns_bad_at: float = math.inf


@attrs.frozen
class Request:
    """A request with whether each version answers well, which only oracles know."""

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
    """Return a configuration with one model per version."""
    models = tuple(
        Model(
            profile.version.split("@")[0],  # type: ignore[arg-type]
            (Version(profile.version, "p", profile.cost, None, profile.prior),),  # type: ignore[arg-type]
            profile.version,
        )
        for profile in VERSION_PROFILES
    )
    teams = tuple(Team(n, (), CANDIDATES, target) for n, target in TARGETS.items())  # type: ignore[arg-type]
    return Configuration(1, "bench", Manifest(teams, models, ()))


def draw_requests(scenario: Scenario, seed: int) -> list[Request]:
    """Draw the requests of a run, in order of arrival."""
    rng = random.Random(f"{scenario.name}/{seed}")
    work_classes = list(CLASS_SHARES)
    weights = [share for share, _ in CLASS_SHARES.values()]
    requests: list[Request] = []
    at = 0.0
    while True:
        at += rng.expovariate(scenario.rate)
        if at >= scenario.seconds:
            return requests
        work_class = rng.choices(work_classes, weights)[0]
        hard = rng.random() < CLASS_SHARES[work_class][1]
        good = []
        for profile in VERSION_PROFILES:
            success = profile.hard_success if hard else profile.easy_success
            if profile is SMALL and at >= scenario.small_turns_bad_at:
                success = 0.0 if hard else success / 2.0
            good.append(rng.random() < success)
        signals = [
            rng.choices(
                range(SIGNALS), GOOD_SIGNAL_WEIGHTS if g else BAD_SIGNAL_WEIGHTS
            )[0]
            for g in good
        ]
        key = QualityKey(rng.choice(list(TARGETS)), work_class)  # type: ignore[arg-type]
        requests.append(Request(key, at, tuple(good), tuple(signals)))


def true_quality(good: bool) -> float:
    """Return the true rating of an answer."""
    return GOOD_QUALITY if good else BAD_QUALITY


class CascadeSimulation:
    """Simulates one policy over given requests."""

    def __init__(self, scenario: Scenario, policy: CascadePolicy, seed: int) -> None:
        self._scenario = scenario
        self._policy = policy
        self._system = CascadeSystem(policy)
        self._rng = random.Random(f"world/{scenario.name}/{seed}")
        self._tables = Tables(SelfRow("h1", "a"), configuration())  # type: ignore[arg-type]
        self._pending_ratings: list[tuple[float, int, ServedAnswer, float]] = []
        self._sequence = itertools.count()

    def run(self, requests: list[Request]) -> list[Outcome]:
        """Answer all requests in turn, with a system tick after each second."""
        outcomes, tick = [], 0.0
        for request in requests:
            self._apply_due_ratings(request.at)
            if request.at >= tick + 1.0:
                tick = request.at
                self._system.run(self._tables, tick)
            outcomes.append(self._answer(request))
        return outcomes

    def _answer(self, request: Request) -> Outcome:
        key, now = request.key, request.at
        planned = plan(
            self._tables,
            key.team,
            key.work_class,
            CANDIDATES,
            NO_DEADLINE,
            now,
            self._rng,
            self._policy,
        )
        cost, path = 0.0, None
        for step in planned.steps:
            index = CANDIDATES.index(step.version)
            cost += VERSION_PROFILES[index].cost
            if path is None:
                path = AnswerPath(step.version, request.signals[index])
            else:
                path = AnswerPath(step.version, path.signal, path.version)
            if request.signals[index] in step.accepted:
                break
        assert path is not None
        good = request.good[CANDIDATES.index(path.version)]
        self._record_served(ServedAnswer(key, path, now), good)
        return Outcome(request, true_quality(good), cost)

    def _record_served(self, served: ServedAnswer, good: bool) -> None:
        row = self._tables.quality[served.key]
        self._tables.quality[served.key] = with_served(row, served)
        scenario, rng = self._scenario, self._rng
        rating_lost = rng.random() < scenario.rating_loss
        if rating_lost or served.at >= scenario.ratings_stop_at:
            return
        reported_good = good if rng.random() >= scenario.flipped else not good
        # The noise keeps the score within [0, 1]; clipping would add a bias.
        score = true_quality(reported_good) + rng.uniform(-RATING_NOISE, RATING_NOISE)
        delay = MIN_RATING_DELAY_SECONDS + rng.expovariate(
            1.0 / MEAN_EXTRA_RATING_DELAY_SECONDS
        )
        pending = (served.at + delay, next(self._sequence), served, score)
        heapq.heappush(self._pending_ratings, pending)

    def _apply_due_ratings(self, now: float) -> None:
        rows: dict[QualityKey, QualityRow] = self._tables.quality
        while self._pending_ratings and self._pending_ratings[0][0] <= now:
            _, _, served, score = heapq.heappop(self._pending_ratings)
            rows[served.key] = with_rating(rows[served.key], served.path, score)
