"""Measure goodput, lookups' delay and fairness under overload, over seeds."""

import heapq
import itertools
import random
import statistics
from collections import defaultdict
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import attrs
import click
from result import Err

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import TeamName
from masticfork.core.manifest import WorkClass
from masticfork.core.refusals import Refusal
from masticfork.systems.admission import FairAdmission, FifoAdmission
from masticfork.systems.admission_records import Admission, AdmissionRequest, Ticket
from masticfork.systems.team_limits import Unlimited

POOL = "pool/p"
SLOTS = 16
SECONDS = 90.0
WARM_UP_SECONDS = 15.0
# Attempts of a caller that comes back when it is told to.
CALLER_TRIES = 2
PROCESSES = 2
LOADS = (1.0, 2.0, 5.0)
POLICIES: dict[str, Callable[[], Admission]] = {
    "fair": lambda: FairAdmission(Unlimited()),
    "fifo": FifoAdmission,
}


@attrs.frozen
class Kind:
    """Requests of one class: their share, service time and patience."""

    work_class: WorkClass
    share: float
    mean_seconds: float
    patience_seconds: float


KINDS = (
    Kind(WorkClass.LOOKUP, 0.5, 0.05, 1.0),
    Kind(WorkClass.RESERVATION, 0.1, 0.1, 2.0),
    Kind(WorkClass.DRAFTING, 0.4, 2.0, 10.0),
)
MEAN_SECONDS = sum(kind.share * kind.mean_seconds for kind in KINDS)
# Share of the load that the first of the four teams sends in a flood.
FLOOD_SHARE = 0.91


@attrs.frozen
class Scenario:
    """A load as a multiple of the capacity, and how it is spread over teams."""

    load: float
    flood: bool = False

    def weights(self) -> list[float]:
        """Return the four teams' shares of the load."""
        if not self.flood:
            return [0.25] * 4
        return [FLOOD_SHARE, *[(1 - FLOOD_SHARE) / 3] * 3]


@attrs.define
class Tally:
    """What became of the requests of one seed."""

    useful_seconds: float = 0.0
    asked: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    answered: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    lookup_seconds: list[float] = attrs.field(factory=list)
    lookups: int = 0

    @property
    def goodput(self) -> float:
        """Return the useful part of the capacity."""
        return self.useful_seconds / (SLOTS * (SECONDS - WARM_UP_SECONDS))

    @property
    def lookup_p99(self) -> float:
        """Return the 99th percentile of the answered lookups, in seconds."""
        if not self.lookup_seconds:
            return float("nan")
        in_order = sorted(self.lookup_seconds)
        return in_order[int(0.99 * (len(in_order) - 1))]

    @property
    def least_served(self) -> float:
        """Return the smallest answered part of the teams beside the first."""
        parts = [self.answered[t] / self.asked[t] for t in "bcd" if self.asked[t]]
        return min(parts, default=float("nan"))


class World:
    """Callers, one pool and one host's admission, event by event."""

    def __init__(self, scenario: Scenario, policy: str, seed: int) -> None:
        self._rng = random.Random(f"{scenario}{seed}")
        self._scenario = scenario
        self._admission = POLICIES[policy]()
        self._admission.run_pools({POOL: SLOTS}, 0.0)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._settled: list[tuple[Ticket, Kind, int]] = []
        self._tally = Tally()

    def run(self) -> Tally:
        """Return what became of the requests after the warm-up."""
        self._at(0.0, self._arrive)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if now > SECONDS:
                break
            event(now)
            while self._settled:
                self._begin(*self._settled.pop(), now)
        return self._tally

    def _at(self, time: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), event))

    def _arrive(self, now: float) -> None:
        rate = self._scenario.load * SLOTS / MEAN_SECONDS
        self._at(now + self._rng.expovariate(rate), self._arrive)
        (kind,) = self._rng.choices(KINDS, [kind.share for kind in KINDS])
        (team,) = self._rng.choices("abcd", self._scenario.weights())
        if now >= WARM_UP_SECONDS:
            self._tally.asked[team] += 1
            self._tally.lookups += kind.work_class is WorkClass.LOOKUP
        self._ask(TeamName(team), kind, 1, now)

    def _ask(self, team: TeamName, kind: Kind, tries: int, now: float) -> None:
        deadline = Deadline.after(now, kind.patience_seconds)
        request = AdmissionRequest(team, kind.work_class, POOL, deadline)
        admitted = self._admission.admit(request, now)
        if isinstance(admitted, Err):
            self._refused(admitted.err_value, team, kind, tries)
            return
        ticket = admitted.ok_value
        ticket.verdict.add_done_callback(
            lambda _: self._settled.append((ticket, kind, tries))
        )
        if not ticket.verdict.done():
            self._at(ticket.start_by.at, partial(self._give_up, ticket))

    def _give_up(self, ticket: Ticket, now: float) -> None:
        if not ticket.verdict.done():
            self._admission.give_up(ticket, now)

    def _refused(
        self, refusal: Refusal, team: TeamName, kind: Kind, tries: int
    ) -> None:
        if refusal.retry_at is not None and tries < CALLER_TRIES:
            again = partial(self._ask, team, kind, tries + 1)
            self._at(refusal.retry_at.at, again)

    def _begin(self, ticket: Ticket, kind: Kind, tries: int, now: float) -> None:
        verdict = ticket.verdict.result()
        if isinstance(verdict, Err):
            self._refused(verdict.err_value, ticket.request.team, kind, tries)
            return
        # A minimum and an exponential part, so that the estimate has an error.
        seconds = kind.mean_seconds * (0.5 + 0.5 * self._rng.expovariate(1.0))
        end = now + seconds
        late = end > ticket.request.deadline.at
        end = min(end, max(now, ticket.request.deadline.at))
        self._at(end, partial(self._end, ticket, now, late))

    def _end(self, ticket: Ticket, began: float, late: bool, now: float) -> None:
        self._admission.finish(ticket, 0.0, now)
        if late or now < WARM_UP_SECONDS:
            return
        tally, request = self._tally, ticket.request
        tally.useful_seconds += now - max(began, WARM_UP_SECONDS)
        tally.answered[request.team] += 1
        if request.work_class is WorkClass.LOOKUP:
            tally.lookup_seconds.append(now - ticket.admitted_at)


def simulate(scenario: Scenario, policy: str, seed: int) -> Tally:
    """Run one seed."""
    return World(scenario, policy, seed).run()


def _mean(values: Sequence[float]) -> float:
    return statistics.fmean(values)


@click.command()
@click.option("--seeds", default=20, show_default=True)
def main(seeds: int) -> None:
    """Print goodput, lookups and fairness for each load and policy."""
    scenarios = [*map(Scenario, LOADS), Scenario(2.0, True), Scenario(5.0, True)]
    with ProcessPoolExecutor(PROCESSES) as pool:
        for policy in POLICIES:
            for scenario in scenarios:
                run = partial(simulate, scenario, policy)
                tallies = list(pool.map(run, range(seeds)))
                click.echo(_line(scenario, policy, tallies))


def _line(scenario: Scenario, policy: str, tallies: Sequence[Tally]) -> str:
    goodput = [tally.goodput for tally in tallies]
    p99 = [tally.lookup_p99 for tally in tallies]
    answered = [len(t.lookup_seconds) / t.lookups for t in tallies]
    served = [tally.least_served for tally in tallies]
    name = f"{scenario.load:g}x{' flood' if scenario.flood else ''}"
    return (
        f"{policy:5} {name:9} goodput {_mean(goodput):.3f} (least {min(goodput):.3f})"
        f"  lookups p99 {_mean(p99) * 1000:5.0f} ms, answered {_mean(answered):.3f}"
        f"  least served of teams b-d {_mean(served):.3f}"
    )


if __name__ == "__main__":
    main()
