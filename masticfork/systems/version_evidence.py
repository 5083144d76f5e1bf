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

# Additional share of failed or slow answers that the test tells from none, and a larger
# one that fewer answers tell where the old version often fails as well.
HARMFUL_SHARE, SEVERE_SHARE = 0.18, 0.5
# Shares of failed and of slow answers assumed for an old version without answers, and
# the number of answers that this assumption counts for; the share of all routes counts
# for fewer in that of one of them.
PRIOR_FAILED_SHARE, PRIOR_SLOW_SHARE = 0.02, 0.05
PRIOR_ANSWERS, ROUTE_PRIOR_ANSWERS = 20.0, 8.0
# Standard deviations by which the old version's share may be larger than the one
# observed where a version is about to be completed: it is that of few answers.
SHARE_DEVIATIONS = 0.5
# Lowest shares used for the old version, and that of failures where a version is about
# to be completed.
MIN_FAILED_SHARE, MIN_SLOW_SHARE = 0.02, 0.04
MIN_FAILED_SHARE_AT_COMPLETION = 0.01
# Sums of log likelihood ratios from which a version is bad, from which it does not get
# all requests, and from which it is not completed. More is needed of a single route,
# since there are several.
BAD_EVIDENCE = 4.7
SUSPICIOUS_EVIDENCE = 2.8
DOUBTFUL_EVIDENCE = 3.0
ROUTE_FACTOR = 1.3
# Fraction of either that must remain without the answers of the server that looks
# worst, if others have answered as well: one server's fault is not the version's.
FRACTION_WITHOUT_WORST_SERVER = 0.4
# Evidence in favour of the version, from its other servers, that makes a failure the
# fault of one server where a version is about to be completed.
CLEARING_EVIDENCE = 2.3
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
    # Answers to requests that were sent while the version got all of its service, and
    # those of the last `RECENT_SECONDS` among them.
    loaded: int = 0
    recent: int = 0
    # Present evidence against the version, as a multiple of what prevents completion.
    # That of one server counts unless the answers of the others clear the version.
    doubt: float = 0.0

    @property
    def is_bad(self) -> bool:
        """Return whether the version must be rolled back."""
        return self.harm >= 1.0

    @property
    def is_suspicious(self) -> bool:
        """Return whether the version may be bad, without conclusive evidence."""
        return self.harm >= 1.0 or self.suspicion >= 1.0


def assess(
    new: Iterable[NewAnswers],
    old: Iterable[OldAnswers],
    elapsed: float = 0.0,
    completing: bool = False,
) -> Assessment:
    """Return the assessment of a new version from the answers of all hosts.

    `elapsed` is the time in seconds since the order. The doubt is only determined for a
    version that is about to be completed.
    """
    answers = sorted(new, key=lambda item: item.second)
    reference = _sum_by_route(old)
    routes = {item.route for item in answers}
    groups = [(answers, 1.0)]
    if len(routes) > 1:
        groups += [
            ([item for item in answers if item.route == route], ROUTE_FACTOR)
            for route in routes
        ]
    judged = [
        (group, factor, measure) for group, factor in groups for measure in _MEASURES
    ]
    # Some versions fail under load only.
    judged.append(([item for item in answers if item.loaded], 1.0, _FAILURES))
    weights = {measure: _Weights(measure, reference) for measure in _MEASURES}
    completion_weights = {
        measure: measure.completion_weights(reference) if completing else ()
        for measure in _MEASURES
    }
    harm = suspicion = doubt = 0.0
    for group, factor, measure in judged:
        peak, last = _evidence(group, weights[measure])
        harm = max(harm, peak / BAD_EVIDENCE)
        suspicion = max(suspicion, last / SUSPICIOUS_EVIDENCE / factor)
        for strict_weights in completion_weights[measure]:
            remaining = _uncleared_evidence(group, strict_weights)
            doubt = max(doubt, remaining / DOUBTFUL_EVIDENCE / factor)
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
            if item.loaded and item.second >= int(elapsed - RECENT_SECONDS)
        ),
        doubt=doubt,
    )


@attrs.frozen
class _Measure:
    """A way in which answers can be worse than those of the old version."""

    count: Callable[[NewAnswers], int]
    old_count: Callable[[OldAnswers], float]
    prior_share: float
    min_share: float
    # The latter where a version is about to be completed, and the additional shares
    # that it must not have then.
    min_completion_share: float
    harmful_shares: tuple[float, ...]

    def share(
        self, reference: dict[int, OldAnswers], route: int, deviations: float
    ) -> float:
        """Return the old version's share on a route, smoothed by that of all routes.

        It is taken to be larger than observed by some standard `deviations`.
        """
        count = sum(self.old_count(item) for item in reference.values())
        total = sum(item.total for item in reference.values())
        mean = (count + self.prior_share * PRIOR_ANSWERS) / (total + PRIOR_ANSWERS)
        own = reference.get(route, OldAnswers(route, 0.0, 0.0, 0.0))
        own_count = self.old_count(own)
        own_count += deviations * math.sqrt(own_count)
        share = (own_count + mean * ROUTE_PRIOR_ANSWERS) / (
            own.total + ROUTE_PRIOR_ANSWERS
        )
        return min(max(share, self.min_share), 1.0 - 2.0 * self.min_share)

    def completion_weights(
        self, reference: dict[int, OldAnswers]
    ) -> tuple["_Weights", ...]:
        """Return the weights of answers of a version about to be completed."""
        strict = attrs.evolve(self, min_share=self.min_completion_share)
        return tuple(
            _Weights(strict, reference, share, SHARE_DEVIATIONS)
            for share in self.harmful_shares
        )


_FAILURES = _Measure(
    lambda item: item.bad,
    lambda item: item.bad,
    PRIOR_FAILED_SHARE,
    MIN_FAILED_SHARE,
    MIN_FAILED_SHARE_AT_COMPLETION,
    (HARMFUL_SHARE, SEVERE_SHARE),
)
_SLOWNESS = _Measure(
    lambda item: item.slow,
    lambda item: item.slow,
    PRIOR_SLOW_SHARE,
    MIN_SLOW_SHARE,
    MIN_SLOW_SHARE,
    (HARMFUL_SHARE,),
)
_MEASURES = (_FAILURES, _SLOWNESS)


def _evidence(
    answers: Sequence[NewAnswers], weights: "_Weights"
) -> tuple[float, float]:
    """Return the largest and the last evidence that one server does not explain."""
    sums = _cusum(answers, weights)
    worst = _worst_server(answers, weights.measure)
    if worst is None:
        return sums.peak, sums.last
    others = [item for item in answers if item.server != worst]
    other_sums = _cusum(others, weights)
    return (
        min(sums.peak, other_sums.peak / FRACTION_WITHOUT_WORST_SERVER),
        min(sums.last, other_sums.last / FRACTION_WITHOUT_WORST_SERVER),
    )


def _uncleared_evidence(answers: Sequence[NewAnswers], weights: "_Weights") -> float:
    """Return the last evidence, 0 if it is that of one server and the others are good.

    Answers before the evidence began to rise tell nothing of a version that has turned
    bad since.
    """
    sums = _cusum(answers, weights)
    worst = _worst_server(answers, weights.measure)
    if worst is None:
        return sums.last
    others = [item for item in answers[sums.rises_from :] if item.server != worst]
    cleared = sum(weights.of(item) for item in others) <= -CLEARING_EVIDENCE
    return 0.0 if cleared else sums.last


def _worst_server(answers: Sequence[NewAnswers], measure: _Measure) -> int | None:
    """Return the server with most counted answers, None if there is only one."""
    by_server: Counter[int] = Counter()
    for item in answers:
        by_server[item.server] += measure.count(item)
    if len(by_server) < 2:
        return None
    return max(by_server, key=lambda server: by_server[server])


@attrs.frozen
class _Sums:
    """The sums of log likelihood ratios of a series of answers."""

    peak: float
    last: float
    # Index from which on the last sum has risen from 0.
    rises_from: int


class _Weights:
    """Log likelihood ratios of answers, by route."""

    def __init__(
        self,
        measure: _Measure,
        reference: dict[int, OldAnswers],
        harmful_share: float = HARMFUL_SHARE,
        deviations: float = 0.0,
    ) -> None:
        self._measure = measure
        self._reference = reference
        self._harmful_share = harmful_share
        self._deviations = deviations
        self._by_route: dict[int, tuple[float, float]] = {}

    @property
    def measure(self) -> _Measure:
        """Return what the answers are counted by."""
        return self._measure

    def of(self, item: NewAnswers) -> float:
        """Return how much answers tell against the version."""
        if item.route not in self._by_route:
            usual = self._measure.share(self._reference, item.route, self._deviations)
            self._by_route[item.route] = _log_ratios(usual, self._harmful_share)
        against, in_favour = self._by_route[item.route]
        count = self._measure.count(item)
        return count * against + (item.good + item.bad - count) * in_favour


def _cusum(answers: Sequence[NewAnswers], weights: _Weights) -> _Sums:
    """Return the sums of log likelihood ratios."""
    total = peak = 0.0
    rises_from = 0
    for index, item in enumerate(answers):
        if total == 0.0:
            rises_from = index
        total = max(0.0, total + weights.of(item))
        peak = max(peak, total)
    return _Sums(peak, total, rises_from)


def _log_ratios(usual: float, harmful_share: float) -> tuple[float, float]:
    """Return the log likelihood ratios of a bad and of a good answer."""
    harmful = usual + harmful_share * (1.0 - usual)
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
