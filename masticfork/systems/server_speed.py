"""Find how slow the servers of a service are relative to each other, by their answers.

Servers of one service may differ by several times in speed, which neither their entries
nor the numbers of their calls show. Each host compares the time to the first byte of an
answer with the one that the loads explain, and hosts tell each other their sums: with
many hosts, each sees too few answers of each server.
"""

import math
import statistics
from collections import OrderedDict
from collections.abc import Iterable

import attrs

from masticfork.core.digests import SpeedReport

HALF_LIFE_SECONDS = 10.0
# Answers to which nothing is known of a server's speed are equivalent.
PRIOR_ANSWERS = 4.0
# Servers that differ by less from the median are told apart by their loads alone.
MIN_DIFFERENCE = 1.5
# Largest difference that is believed.
MAX_DIFFERENCE = 4.0
# Bounds of a single ratio, so that one answer that was lost for long does not decide.
MAX_RATIO = 8.0
# Shortest expected time, in seconds, that is compared: below it the network decides.
MIN_EXPECTED_SECONDS = 0.02
# Servers in one report. Reports go to all hosts each second, and speeds rarely change.
MAX_SERVERS_PER_REPORT = 8
# Time for which the sums of another host count: some rounds of reports on 45 servers.
REPORT_LIFETIME_SECONDS = 20.0
# Fewest servers among which a median says anything.
MIN_SERVERS = 3


@attrs.define
class _Evidence:
    """Decayed sum of logarithms of ratios, and their number."""

    total: float = 0.0
    answers: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Let older answers count less."""
        factor = float(0.5 ** (max(0.0, now - self.at) / HALF_LIFE_SECONDS))
        self.total, self.answers, self.at = (
            self.total * factor,
            self.answers * factor,
            now,
        )


@attrs.frozen
class _Reported:
    speed: SpeedReport
    until: float


@attrs.define
class _Sum:
    """Sum of the evidence that other hosts have reported on one server."""

    total: float = 0.0
    answers: float = 0.0
    reports: int = 0

    def add(self, speed: SpeedReport, sign: float) -> None:
        """Add a report, or subtract it if `sign` is -1."""
        self.total += sign * speed.total
        self.answers += sign * speed.answers
        self.reports += int(sign)


class ServerSpeeds:
    """Evidence on the speeds of servers, of this host and as reported by others.

    Servers are named by the keys of their incarnations.
    """

    def __init__(self) -> None:
        self._own: dict[int, _Evidence] = {}
        # By host and server, the next one to expire first.
        self._reported: OrderedDict[tuple[str, int], _Reported] = OrderedDict()
        # Sums of the reported evidence by server: with many hosts there are too many
        # reports to add them up each time.
        self._sums: dict[int, _Sum] = {}
        # Servers that are due to be reported, the next one first.
        self._due: list[int] = []

    def record(self, server: int, seconds: float, expected: float, now: float) -> None:
        """Record the time to the first byte of an answer, and the expected one."""
        if expected < MIN_EXPECTED_SECONDS:
            return
        ratio = min(MAX_RATIO, max(1.0 / MAX_RATIO, seconds / expected))
        evidence = self._own.setdefault(server, _Evidence())
        evidence.decay(now)
        evidence.total += math.log(ratio)
        evidence.answers += 1.0

    def report(self, servers: Iterable[int], now: float) -> tuple[SpeedReport, ...]:
        """Return this host's evidence on some listed servers; forget that on others.

        Successive reports take turns over the servers.
        """
        listed = set(servers)
        self._own = {key: item for key, item in self._own.items() if key in listed}
        self._due = [key for key in self._due if key in self._own] or list(self._own)
        batch = self._due[:MAX_SERVERS_PER_REPORT]
        del self._due[:MAX_SERVERS_PER_REPORT]
        for key in batch:
            self._own[key].decay(now)
        return tuple(
            SpeedReport(key, self._own[key].total, self._own[key].answers)
            for key in batch
        )

    def apply(self, host: str, speeds: tuple[SpeedReport, ...], now: float) -> None:
        """Replace what is known of the evidence of another host on some servers."""
        until = now + REPORT_LIFETIME_SECONDS
        for speed in speeds:
            self._remove(host, speed.server)
            self._reported[host, speed.server] = _Reported(speed, until)
            self._sums.setdefault(speed.server, _Sum()).add(speed, 1.0)

    def _remove(self, host: str, server: int) -> None:
        reported = self._reported.pop((host, server), None)
        if reported is None:
            return
        total = self._sums[server]
        total.add(reported.speed, -1.0)
        if not total.reports:
            del self._sums[server]

    def _expire(self, now: float) -> None:
        while self._reported:
            (host, server), reported = next(iter(self._reported.items()))
            if reported.until > now:
                return
            self._remove(host, server)

    def slowness(self, servers: Iterable[int], now: float) -> dict[int, float]:
        """Return how many times as long each server of a service takes as the median.

        1.0 for servers that do not differ much.
        """
        keys = list(servers)
        if len(keys) < MIN_SERVERS:
            return dict.fromkeys(keys, 1.0)
        means = self._means(keys, now)
        median = statistics.median(means.values())
        return {key: _clamp(math.exp(mean - median)) for key, mean in means.items()}

    def _means(self, keys: list[int], now: float) -> dict[int, float]:
        self._expire(now)
        totals, answers = dict.fromkeys(keys, 0.0), dict.fromkeys(keys, 0.0)
        for key in keys:
            own, reported = self._own.get(key), self._sums.get(key)
            if own is not None:
                own.decay(now)
                totals[key] += own.total
                answers[key] += own.answers
            if reported is not None:
                totals[key] += reported.total
                answers[key] += reported.answers
        # Without answers a server counts as an average one.
        average = sum(totals.values()) / max(1.0, sum(answers.values()))
        return {
            key: (totals[key] + PRIOR_ANSWERS * average)
            / (answers[key] + PRIOR_ANSWERS)
            for key in keys
        }


def _clamp(ratio: float) -> float:
    if 1.0 / MIN_DIFFERENCE < ratio < MIN_DIFFERENCE:
        return 1.0
    return min(MAX_DIFFERENCE, max(1.0 / MAX_DIFFERENCE, ratio))
