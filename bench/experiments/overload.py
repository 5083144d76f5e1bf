"""Simulate overload: goodput, lookup latency and fairness between teams."""

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
# Attempts of a caller, which retries at the time that a refusal names.
CALLER_ATTEMPTS = 2
PROCESSES = 2
LOADS = (1.0, 2.0, 5.0)
POLICIES: dict[str, Callable[[], Admission]] = {
    "fair": lambda: FairAdmission(Unlimited()),
    "fifo": FifoAdmission,
}


@attrs.frozen
class RequestKind:
    """Requests of one class: their share, mean service time and time to deadline."""

    work_class: WorkClass
    share: float
    mean_service_seconds: float
    deadline_seconds: float


REQUEST_KINDS = (
    RequestKind(WorkClass.LOOKUP, 0.5, 0.05, 1.0),
    RequestKind(WorkClass.RESERVATION, 0.1, 0.1, 2.0),
    RequestKind(WorkClass.DRAFTING, 0.4, 2.0, 10.0),
)
MEAN_SERVICE_SECONDS = sum(
    kind.share * kind.mean_service_seconds for kind in REQUEST_KINDS
)
# Share of the load that the first of the four teams sends when it floods the host.
FLOOD_SHARE = 0.91


@attrs.frozen
class Scenario:
    """The load as a multiple of the capacity, and its distribution over teams."""

    load: float
    flood: bool = False

    def weights(self) -> list[float]:
        """Return the share of the load of each of the four teams."""
        if not self.flood:
            return [0.25] * 4
        return [FLOOD_SHARE, *[(1 - FLOOD_SHARE) / 3] * 3]


@attrs.define
class RunCounts:
    """Counts and latencies of one seed, after the warm-up."""

    useful_seconds: float = 0.0
    requested: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    answered: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    lookup_seconds: list[float] = attrs.field(factory=list)
    lookups: int = 0

    @property
    def goodput(self) -> float:
        """Return the share of the capacity used by requests answered in time."""
        return self.useful_seconds / (SLOTS * (SECONDS - WARM_UP_SECONDS))

    @property
    def lookup_p99(self) -> float:
        """Return the 99th percentile latency of answered lookups, in seconds."""
        if not self.lookup_seconds:
            return float("nan")
        in_order = sorted(self.lookup_seconds)
        return in_order[int(0.99 * (len(in_order) - 1))]

    @property
    def least_served(self) -> float:
        """Return the lowest answered share of the teams that do not flood."""
        shares = [
            self.answered[t] / self.requested[t] for t in "bcd" if self.requested[t]
        ]
        return min(shares, default=float("nan"))


class OverloadSimulation:
    """Discrete-event simulation of callers, one pool and the admission of a host."""

    def __init__(self, scenario: Scenario, policy: str, seed: int) -> None:
        self._rng = random.Random(f"{scenario}{seed}")
        self._scenario = scenario
        self._admission = POLICIES[policy]()
        self._admission.set_slots({POOL: SLOTS}, 0.0)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self._decided: list[tuple[Ticket, RequestKind, int]] = []
        self._counts = RunCounts()

    def run(self) -> RunCounts:
        """Run all events and return the counts after the warm-up."""
        self._schedule(0.0, self._arrive)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if now > SECONDS:
                break
            event(now)
            while self._decided:
                self._start_service(*self._decided.pop(), now)
        return self._counts

    def _schedule(self, time: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), event))

    def _arrive(self, now: float) -> None:
        rate = self._scenario.load * SLOTS / MEAN_SERVICE_SECONDS
        self._schedule(now + self._rng.expovariate(rate), self._arrive)
        (kind,) = self._rng.choices(
            REQUEST_KINDS, [kind.share for kind in REQUEST_KINDS]
        )
        (team,) = self._rng.choices("abcd", self._scenario.weights())
        if now >= WARM_UP_SECONDS:
            self._counts.requested[team] += 1
            self._counts.lookups += kind.work_class is WorkClass.LOOKUP
        self._request_admission(TeamName(team), kind, 1, now)

    def _request_admission(
        self, team: TeamName, kind: RequestKind, attempt: int, now: float
    ) -> None:
        deadline = Deadline.after(now, kind.deadline_seconds)
        request = AdmissionRequest(team, kind.work_class, POOL, deadline)
        admitted = self._admission.admit(request, now)
        if isinstance(admitted, Err):
            self._handle_refusal(admitted.err_value, team, kind, attempt)
            return
        ticket = admitted.ok_value
        ticket.verdict.add_done_callback(
            lambda _: self._decided.append((ticket, kind, attempt))
        )
        if not ticket.verdict.done():
            self._schedule(ticket.start_by.at, partial(self._cancel_unstarted, ticket))

    def _cancel_unstarted(self, ticket: Ticket, now: float) -> None:
        if not ticket.verdict.done():
            self._admission.cancel(ticket, now)

    def _handle_refusal(
        self, refusal: Refusal, team: TeamName, kind: RequestKind, attempt: int
    ) -> None:
        if refusal.retry_at is not None and attempt < CALLER_ATTEMPTS:
            retry = partial(self._request_admission, team, kind, attempt + 1)
            self._schedule(refusal.retry_at.at, retry)

    def _start_service(
        self, ticket: Ticket, kind: RequestKind, attempt: int, now: float
    ) -> None:
        verdict = ticket.verdict.result()
        if isinstance(verdict, Err):
            self._handle_refusal(verdict.err_value, ticket.request.team, kind, attempt)
            return
        # A fixed and an exponential part, so that service time estimates have an error.
        service_seconds = kind.mean_service_seconds * (
            0.5 + 0.5 * self._rng.expovariate(1.0)
        )
        end = now + service_seconds
        late = end > ticket.request.deadline.at
        end = min(end, max(now, ticket.request.deadline.at))
        self._schedule(end, partial(self._finish_service, ticket, now, late))

    def _finish_service(
        self, ticket: Ticket, started: float, late: bool, now: float
    ) -> None:
        self._admission.finish(ticket, 0.0, now)
        if late or now < WARM_UP_SECONDS:
            return
        counts, request = self._counts, ticket.request
        counts.useful_seconds += now - max(started, WARM_UP_SECONDS)
        counts.answered[request.team] += 1
        if request.work_class is WorkClass.LOOKUP:
            counts.lookup_seconds.append(now - ticket.admitted_at)


def simulate(scenario: Scenario, policy: str, seed: int) -> RunCounts:
    """Run one seed of a scenario with a policy."""
    return OverloadSimulation(scenario, policy, seed).run()


def _mean(values: Sequence[float]) -> float:
    return statistics.fmean(values)


@click.command()
@click.option("--seeds", default=20, show_default=True)
def main(seeds: int) -> None:
    """Print goodput, lookup latency and fairness for each load and policy."""
    scenarios = [*map(Scenario, LOADS), Scenario(2.0, True), Scenario(5.0, True)]
    with ProcessPoolExecutor(PROCESSES) as pool:
        for policy in POLICIES:
            for scenario in scenarios:
                simulate_seed = partial(simulate, scenario, policy)
                runs = list(pool.map(simulate_seed, range(seeds)))
                click.echo(_summary_line(scenario, policy, runs))


def _summary_line(scenario: Scenario, policy: str, runs: Sequence[RunCounts]) -> str:
    goodput = [run.goodput for run in runs]
    p99 = [run.lookup_p99 for run in runs]
    answered = [len(t.lookup_seconds) / t.lookups for t in runs]
    least_served = [run.least_served for run in runs]
    name = f"{scenario.load:g}x{' flood' if scenario.flood else ''}"
    return (
        f"{policy:5} {name:9} goodput {_mean(goodput):.3f} (min {min(goodput):.3f})"
        f"  lookups p99 {_mean(p99) * 1000:5.0f} ms, answered {_mean(answered):.3f}"
        f"  least served of teams b-d {_mean(least_served):.3f}"
    )


if __name__ == "__main__":
    main()
