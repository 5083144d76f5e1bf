"""Evidence from answers on whether a service's new version is as good as the old one.

The answers of the new version are taken in their order in time. A sum of log
likelihood ratios (CUSUM, Page 1954) compares "as often as the old version" with "more
often by `HARMFUL_SHARE`"; it never falls below zero, so that good answers in the past
do not hide a version that turns bad. Failed and slow answers are judged apart, for all
routes together and for each route: one route's failures are few among all answers.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence

import attrs

from masticfork.core.digests import NewAnswers, OldAnswers

# Additional share of failed or slow answers that the test tells from none.
HARMFUL_SHARE = 0.18
# Shares of failed and of slow answers assumed for an old version without answers, and
# the number of answers that this assumption counts for.
PRIOR_FAILED_SHARE, PRIOR_SLOW_SHARE = 0.02, 0.05
PRIOR_ANSWERS = 20.0
# Lowest shares used for the old version.
MIN_FAILED_SHARE, MIN_SLOW_SHARE = 0.02, 0.04
# Sums of log likelihood ratios from which a version is bad, and from which it gets no
# further requests and is not completed.
BAD_EVIDENCE = 4.4
SUSPICIOUS_EVIDENCE = 2.3
# Fraction of either that must remain without the answers of the server that looks
# worst, if others have answered as well: one server's fault is not the version's.
FRACTION_WITHOUT_WORST_SERVER = 0.4
# Answers, over all routes and of each main route, without which a version is not
# proven; fewer are enough where the old version had little to answer.
MIN_ANSWERS, MIN_ROUTE_ANSWERS = 10, 3
MIN_ANSWER_SHARE = 0.06
# A route with a larger share of the old version's answers is a main route.
MAIN_ROUTE_SHARE = 0.08
# Age up to which answers are recent; they are counted by whole seconds.
RECENT_SECONDS = 1.0


@attrs.frozen
class Assessment:
    """What the evidence says of a new version."""

    answers: int
    failed: int
    slow: int
    # Evidence against the version, as a multiple of what is conclusive: the largest so
    # far, and the present one as a multiple of what is suspicious.
    harm: float
    suspicion: float
    # Whether the version has answered enough on each main route.
    proven: bool
    # Answers under the usual load of the service.
    loaded: int = 0
    # Answers of the last `RECENT_SECONDS`.
    recent: int = 0

    @property
    def is_bad(self) -> bool:
        """Return whether the version must be rolled back."""
        return self.harm >= 1.0

    @property
    def is_suspicious(self) -> bool:
        """Return whether the version may be bad, without conclusive evidence."""
        return self.harm >= 1.0 or self.suspicion >= 1.0


def assess(
    new: Iterable[NewAnswers], old: Iterable[OldAnswers], elapsed: float = 0.0
) -> Assessment:
    """Return the assessment of a new version from the answers of all hosts.

    `elapsed` is the time in seconds since the order.
    """
    answers = sorted(new, key=lambda item: item.second)
    reference = _sum_by_route(old)
    routes = {item.route for item in answers}
    groups = [answers]
    if len(routes) > 1:
        groups += [
            [item for item in answers if item.route == route] for route in routes
        ]
    judged = [(group, measure) for group in groups for measure in _MEASURES]
    # Some versions fail under load only.
    judged.append(([item for item in answers if item.loaded], _FAILURES))
    harm = suspicion = 0.0
    for group, measure in judged:
        peak, last = _evidence(group, measure, reference)
        harm = max(harm, peak / BAD_EVIDENCE)
        suspicion = max(suspicion, last / SUSPICIOUS_EVIDENCE)
    return Assessment(
        answers=sum(item.good + item.bad for item in answers),
        failed=sum(item.bad for item in answers),
        slow=sum(item.slow for item in answers),
        harm=harm,
        suspicion=suspicion,
        proven=_is_proven(answers, reference),
        loaded=sum(item.good + item.bad for item in answers if item.loaded),
        recent=sum(
            item.good + item.bad
            for item in answers
            if item.second >= int(elapsed - RECENT_SECONDS)
        ),
    )


@attrs.frozen
class _Measure:
    """A way in which answers can be worse than those of the old version."""

    count: Callable[[NewAnswers], int]
    old_count: Callable[[OldAnswers], float]
    prior_share: float
    min_share: float

    def share(self, reference: dict[int, OldAnswers], route: int) -> float:
        """Return the old version's share on a route, smoothed by that of all routes."""
        count = sum(self.old_count(item) for item in reference.values())
        total = sum(item.total for item in reference.values())
        mean = (count + self.prior_share * PRIOR_ANSWERS) / (total + PRIOR_ANSWERS)
        own = reference.get(route, OldAnswers(route, 0.0, 0.0, 0.0))
        share = (self.old_count(own) + mean * PRIOR_ANSWERS) / (
            own.total + PRIOR_ANSWERS
        )
        return min(max(share, self.min_share), 1.0 - 2.0 * self.min_share)


_FAILURES = _Measure(
    lambda item: item.bad, lambda item: item.bad, PRIOR_FAILED_SHARE, MIN_FAILED_SHARE
)
_SLOWNESS = _Measure(
    lambda item: item.slow, lambda item: item.slow, PRIOR_SLOW_SHARE, MIN_SLOW_SHARE
)
_MEASURES = (_FAILURES, _SLOWNESS)


def _evidence(
    answers: Sequence[NewAnswers], measure: _Measure, reference: dict[int, OldAnswers]
) -> tuple[float, float]:
    """Return the largest and the last evidence that one server does not explain."""
    peak, last = _cusum(answers, measure, reference)
    by_server: Counter[int] = Counter()
    for item in answers:
        by_server[item.server] += measure.count(item)
    if len(by_server) < 2:
        return peak, last
    worst = max(by_server, key=lambda server: by_server[server])
    others = [item for item in answers if item.server != worst]
    other_peak, other_last = _cusum(others, measure, reference)
    return (
        min(peak, other_peak / FRACTION_WITHOUT_WORST_SERVER),
        min(last, other_last / FRACTION_WITHOUT_WORST_SERVER),
    )


def _cusum(
    answers: Sequence[NewAnswers], measure: _Measure, reference: dict[int, OldAnswers]
) -> tuple[float, float]:
    """Return the largest and the last sum of log likelihood ratios."""
    weights = {}
    total = peak = 0.0
    for item in answers:
        if item.route not in weights:
            weights[item.route] = _log_ratios(measure.share(reference, item.route))
        against, in_favour = weights[item.route]
        count = measure.count(item)
        total += count * against + (item.good + item.bad - count) * in_favour
        total = max(0.0, total)
        peak = max(peak, total)
    return peak, total


def _log_ratios(usual: float) -> tuple[float, float]:
    """Return the log likelihood ratios of a bad and of a good answer."""
    harmful = usual + HARMFUL_SHARE * (1.0 - usual)
    return math.log(harmful / usual), math.log((1.0 - harmful) / (1.0 - usual))


def _sum_by_route(old: Iterable[OldAnswers]) -> dict[int, OldAnswers]:
    sums: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
    for item in old:
        counts = sums[item.route]
        counts[0] += item.good
        counts[1] += item.bad
        counts[2] += item.slow
    return {route: OldAnswers(route, *counts) for route, counts in sums.items()}


def _is_proven(answers: Sequence[NewAnswers], reference: dict[int, OldAnswers]) -> bool:
    by_route: Counter[int] = Counter()
    for item in answers:
        by_route[item.route] += item.good + item.bad
    total = sum(item.total for item in reference.values())
    if by_route.total() < min(MIN_ANSWERS, MIN_ANSWER_SHARE * total):
        return False
    return all(
        by_route[route]
        >= math.floor(min(MIN_ROUTE_ANSWERS, MIN_ANSWER_SHARE * item.total))
        for route, item in reference.items()
        if item.total > MAIN_ROUTE_SHARE * total
    )
