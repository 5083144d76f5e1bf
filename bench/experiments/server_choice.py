"""Simulate server choosers on engines with queues and prefix caches.

Routers receive load reports and cache events late, and some events are lost. The
engines, their caches and their queues are simulated, without sockets.
"""

import functools
import heapq
import itertools
import json
import random
import statistics
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

import attrs
import click

from masticfork.core.ids import HostName, ServerName, VersionId, ZoneName
from masticfork.core.manifest import BackendServer
from masticfork.core.tables import SelfRow, ServerRow, Tables
from masticfork.systems.placement import (
    ChoiceInputs,
    InFlight,
    LeastLoaded,
    LoadEstimator,
    PrefixLocality,
    RoundRobin,
    ServerChooser,
    TwoChoices,
)
from masticfork.systems.prefixes import PREFIX_LENGTHS, PrefixTable, Prompt, prompt_of

ENGINES = 9
SLOTS = 8
ROUTERS = 24
REQUESTS_PER_SECOND = 14.0
SECONDS = 120.0
REPORT_SECONDS = 1.0
REPORT_LAG_SECONDS = 0.5
LOST_EVENT_SHARE = 0.05
PROMPTS = 60
PROMPT_CHARACTERS = PREFIX_LENGTHS[-1]
CACHE_CAPACITY_PREFIXES = 60
PREFILL_SECONDS = 0.2 * PROMPT_CHARACTERS / 1024
MIN_PREFILL_SHARE = 0.1
TOKENS = 60
TOKEN_SECONDS = 0.057
VERSION = VersionId("linen@1")


@attrs.define
class Engine:
    """A simulated engine: slots, a queue and an LRU prefix cache."""

    server: BackendServer
    running: int = 0
    queue: deque["Request"] = attrs.field(factory=deque)
    cache: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    # Cache events since the last report: whether stored (or removed), and the prefix.
    events: list[tuple[bool, str]] = attrs.field(factory=list)

    def cache_prompt(self, prompt: Prompt) -> int:
        """Cache the prompt; return how many of its characters were cached before."""
        cached_lengths = [p.characters for p in prompt.prefixes if p.hash in self.cache]
        for prefix in prompt.prefixes:
            if prefix.hash not in self.cache:
                self.events.append((True, prefix.hash))
            self.cache[prefix.hash] = None
            self.cache.move_to_end(prefix.hash)
        while len(self.cache) > CACHE_CAPACITY_PREFIXES:
            self.events.append((False, self.cache.popitem(last=False)[0]))
        return max(cached_lengths, default=0)


@attrs.define
class Request:
    """One request at an engine."""

    router: "Router"
    arrived_at: float
    prompt: Prompt
    prefill_seconds: float = 0.0


@attrs.define
class Router:
    """One host with its own, possibly stale view of the servers."""

    tables: Tables
    in_flight: InFlight
    prefixes: PrefixTable
    chooser: ServerChooser


@attrs.frozen
class Figures:
    """The results of one run."""

    first_token_p95: float
    hit_share: float
    worst_queue: int


ChooserFactory = Callable[[LoadEstimator, PrefixTable], ServerChooser]
CHOOSERS: dict[str, ChooserFactory] = {
    "round robin": lambda load, table: RoundRobin(),
    "least loaded": lambda load, table: LeastLoaded(load),
    "two choices": lambda load, table: TwoChoices(load),
    "prefix locality": PrefixLocality,
    "sees everything": PrefixLocality,
}


class PlacementSimulation:
    """Simulates one chooser with one seed."""

    def __init__(self, name: str, seed: int) -> None:
        self._rng = random.Random(seed)
        self._has_current_state = name == "sees everything"
        self._now = 0.0
        self._engines = [Engine(_server(n)) for n in range(ENGINES)]
        self._routers = [self._router(name) for _ in range(ROUTERS)]
        self._prompts = [
            prompt_of(VERSION, f"{n:05d}" * (PROMPT_CHARACTERS // 5 + 1))
            for n in range(PROMPTS)
        ]
        self._weights = [1.0 / (n + 1) for n in range(PROMPTS)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._first_tokens: list[float] = []
        self._cached_characters = 0
        self._prompt_characters = 0
        self._worst_queue = 0

    def run(self) -> Figures:
        """Run until all requests have arrived and been answered."""
        at = 0.0
        while at < SECONDS:
            at += self._rng.expovariate(REQUESTS_PER_SECOND)
            self._schedule(at, self._arrive)
        for report_number in range(int(SECONDS / REPORT_SECONDS)):
            self._schedule(report_number * REPORT_SECONDS, self._collect_report)
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            event()
        quantiles = statistics.quantiles(self._first_tokens, n=20)
        return Figures(
            quantiles[-1],
            self._cached_characters / self._prompt_characters,
            self._worst_queue,
        )

    def _router(self, name: str) -> Router:
        tables = Tables(SelfRow(HostName("entry"), ZoneName("z")))
        for engine in self._engines:
            tables.servers[engine.server.name] = ServerRow(engine.server)
        in_flight, prefixes = InFlight(), PrefixTable()
        load = LoadEstimator(in_flight, lambda: self._now)
        return Router(tables, in_flight, prefixes, CHOOSERS[name](load, prefixes))

    def _schedule(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), event))

    def _arrive(self) -> None:
        router = self._rng.choice(self._routers)
        prompt = self._rng.choices(self._prompts, self._weights)[0]
        if self._has_current_state:
            self._deliver_current_state(router)
        servers = [engine.server for engine in self._engines]
        choice = ChoiceInputs(router.tables, servers, prompt, self._rng)
        chosen = router.chooser.choose(choice)
        engine = next(e for e in self._engines if e.server == chosen)
        router.in_flight.enter(chosen.name)
        request = Request(router, self._now, prompt)
        cached_characters = engine.cache_prompt(prompt)
        self._prompt_characters += prompt.characters
        self._cached_characters += cached_characters
        prefill_share = max(
            MIN_PREFILL_SHARE, 1.0 - cached_characters / prompt.characters
        )
        request.prefill_seconds = PREFILL_SECONDS * prefill_share
        engine.queue.append(request)
        self._worst_queue = max(self._worst_queue, len(engine.queue))
        self._start(engine)

    def _start(self, engine: Engine) -> None:
        while engine.queue and engine.running < SLOTS:
            request = engine.queue.popleft()
            engine.running += 1
            first_token_at = self._now + request.prefill_seconds
            self._first_tokens.append(first_token_at - request.arrived_at)
            end_at = first_token_at + TOKENS * TOKEN_SECONDS * self._rng.uniform(
                0.5, 1.5
            )
            self._schedule(end_at, functools.partial(self._end, engine, request))

    def _end(self, engine: Engine, request: Request) -> None:
        engine.running -= 1
        request.router.in_flight.leave(engine.server.name)
        self._start(engine)

    def _collect_report(self) -> None:
        """Collect a report now and deliver it to all routers after the lag."""
        rows = {
            e.server.name: ServerRow(
                e.server,
                reported_running=e.running,
                reported_queued=len(e.queue),
                reported_at=self._now,
            )
            for e in self._engines
        }
        events = {e.server.name: e.events for e in self._engines}
        for engine in self._engines:
            engine.events = []
        self._schedule(
            self._now + REPORT_LAG_SECONDS, lambda: self._deliver_report(rows, events)
        )

    def _deliver_report(
        self,
        rows: dict[ServerName, ServerRow],
        events: dict[ServerName, list[tuple[bool, str]]],
    ) -> None:
        for router in self._routers:
            router.tables.servers.update(rows)
            for name, server_events in events.items():
                for stored, prefix in server_events:
                    if self._rng.random() < LOST_EVENT_SHARE:
                        continue
                    apply_event = (
                        router.prefixes.stored if stored else router.prefixes.removed
                    )
                    apply_event(name, [prefix])

    def _deliver_current_state(self, router: Router) -> None:
        table = PrefixTable()
        for engine in self._engines:
            row = ServerRow(
                engine.server,
                reported_running=engine.running,
                reported_queued=len(engine.queue),
            )
            router.tables.servers[engine.server.name] = row
            table.stored(engine.server.name, engine.cache)
        load = LoadEstimator(router.in_flight, lambda: self._now)
        router.chooser = PrefixLocality(load, table)


def _server(number: int) -> BackendServer:
    name = ServerName(f"drafting-{number}")
    return BackendServer(name, "127.0.0.1", 9000 + number, ZoneName("z"), SLOTS)


@click.command()
@click.option("--seeds", default=20)
def main(seeds: int) -> None:
    """Print one JSON line for each chooser, with means over the seeds."""
    for name in CHOOSERS:
        runs = [PlacementSimulation(name, seed).run() for seed in range(seeds)]
        figures = {
            "chooser": name,
            "seeds": seeds,
            "first_token_p95_s": _mean(run.first_token_p95 for run in runs),
            "prefix_hits": _mean(run.hit_share for run in runs),
            "worst_queue_mean": _mean(run.worst_queue for run in runs),
            "worst_queue_max": max(run.worst_queue for run in runs),
        }
        click.echo(json.dumps(figures))


def _mean(values: Iterable[float]) -> float:
    return round(statistics.mean(values), 3)


if __name__ == "__main__":
    main()
