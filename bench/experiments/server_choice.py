"""Compare choosers of servers on engines with queues and prefix caches.

Routers see reports and cache events late and with gaps; the engines, their caches and
their queues are quick fakes, no sockets. One run is one seed.
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
EVENT_GAP_SHARE = 0.05
PROMPTS = 60
PROMPT_CHARACTERS = PREFIX_LENGTHS[-1]
CACHE_PREFIXES = 60
PREFILL_SECONDS = 0.2 * PROMPT_CHARACTERS / 1024
LEAST_PREFILL_SHARE = 0.1
TOKENS = 60
TOKEN_SECONDS = 0.057
VERSION = VersionId("linen@1")


@attrs.define
class Engine:
    """A fake engine: slots, a queue and a prefix cache."""

    server: BackendServer
    running: int = 0
    queue: deque["Request"] = attrs.field(factory=deque)
    cache: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    # Cache events that no router has seen yet: whether stored, and the prefix.
    events: list[tuple[bool, str]] = attrs.field(factory=list)

    def use(self, prompt: Prompt) -> int:
        """Hold the prompt; return how many characters were held before."""
        held = [p.characters for p in prompt.prefixes if p.hash in self.cache]
        for prefix in prompt.prefixes:
            if prefix.hash not in self.cache:
                self.events.append((True, prefix.hash))
            self.cache[prefix.hash] = None
            self.cache.move_to_end(prefix.hash)
        while len(self.cache) > CACHE_PREFIXES:
            self.events.append((False, self.cache.popitem(last=False)[0]))
        return max(held, default=0)


@attrs.define
class Request:
    """One request on its way."""

    router: "Router"
    arrived: float
    prompt: Prompt
    prefill: float = 0.0


@attrs.define
class Router:
    """One host with its own view."""

    tables: Tables
    in_flight: InFlight
    prefixes: PrefixTable
    chooser: ServerChooser


@attrs.frozen
class Figures:
    """What one run showed."""

    first_token_p95: float
    hits: float
    worst_queue: int


Make = Callable[[LoadEstimator, PrefixTable], ServerChooser]
CHOOSERS: dict[str, Make] = {
    "round robin": lambda load, table: RoundRobin(),
    "least loaded": lambda load, table: LeastLoaded(load),
    "two choices": lambda load, table: TwoChoices(load),
    "prefix locality": PrefixLocality,
    "sees everything": PrefixLocality,
}


class World:
    """One run of one chooser."""

    def __init__(self, name: str, seed: int) -> None:
        self._rng = random.Random(seed)
        self._sees_all = name == "sees everything"
        self._now = 0.0
        self._engines = [Engine(_server(n)) for n in range(ENGINES)]
        self._routers = [self._router(name) for _ in range(ROUTERS)]
        self._prompts = [
            prompt_of(VERSION, f"{n:05d}" * (PROMPT_CHARACTERS // 5 + 1))
            for n in range(PROMPTS)
        ]
        self._weights = [1.0 / (n + 1) for n in range(PROMPTS)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._first_tokens: list[float] = []
        self._held = 0
        self._asked = 0
        self._worst_queue = 0

    def run(self) -> Figures:
        """Run to the end of the arrivals and of the last answer."""
        at = 0.0
        while at < SECONDS:
            at += self._rng.expovariate(REQUESTS_PER_SECOND)
            self._at(at, self._arrive)
        for tick in range(int(SECONDS / REPORT_SECONDS)):
            self._at(tick * REPORT_SECONDS, self._report)
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()
        quantiles = statistics.quantiles(self._first_tokens, n=20)
        return Figures(quantiles[-1], self._held / self._asked, self._worst_queue)

    def _router(self, name: str) -> Router:
        tables = Tables(SelfRow(HostName("entry"), ZoneName("z")))
        for engine in self._engines:
            tables.servers[engine.server.name] = ServerRow(engine.server)
        in_flight, prefixes = InFlight(), PrefixTable()
        load = LoadEstimator(in_flight, lambda: self._now)
        return Router(tables, in_flight, prefixes, CHOOSERS[name](load, prefixes))

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _arrive(self) -> None:
        router = self._rng.choice(self._routers)
        prompt = self._rng.choices(self._prompts, self._weights)[0]
        if self._sees_all:
            self._show_all(router)
        servers = [engine.server for engine in self._engines]
        choice = ChoiceInputs(router.tables, servers, prompt, self._rng)
        chosen = router.chooser.choose(choice)
        engine = next(e for e in self._engines if e.server == chosen)
        router.in_flight.enter(chosen.name)
        request = Request(router, self._now, prompt)
        held = engine.use(prompt)
        self._asked += prompt.characters
        self._held += held
        share = max(LEAST_PREFILL_SHARE, 1.0 - held / prompt.characters)
        request.prefill = PREFILL_SECONDS * share
        engine.queue.append(request)
        self._worst_queue = max(self._worst_queue, len(engine.queue))
        self._start(engine)

    def _start(self, engine: Engine) -> None:
        while engine.queue and engine.running < SLOTS:
            request = engine.queue.popleft()
            engine.running += 1
            first = self._now + request.prefill
            self._first_tokens.append(first - request.arrived)
            end = first + TOKENS * TOKEN_SECONDS * self._rng.uniform(0.5, 1.5)
            self._at(end, functools.partial(self._end, engine, request))

    def _end(self, engine: Engine, request: Request) -> None:
        engine.running -= 1
        request.router.in_flight.leave(engine.server.name)
        self._start(engine)

    def _report(self) -> None:
        """Take a report now and show it to all routers a lag later."""
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
        self._at(self._now + REPORT_LAG_SECONDS, lambda: self._show(rows, events))

    def _show(
        self,
        rows: dict[ServerName, ServerRow],
        events: dict[ServerName, list[tuple[bool, str]]],
    ) -> None:
        for router in self._routers:
            router.tables.servers.update(rows)
            for name, seen in events.items():
                for stored, prefix in seen:
                    if self._rng.random() < EVENT_GAP_SHARE:
                        continue
                    note = router.prefixes.stored if stored else router.prefixes.removed
                    note(name, [prefix])

    def _show_all(self, router: Router) -> None:
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
    """Print one JSON line for each chooser, means over the seeds."""
    for name in CHOOSERS:
        runs = [World(name, seed).run() for seed in range(seeds)]
        figures = {
            "chooser": name,
            "seeds": seeds,
            "first_token_p95_s": _mean(run.first_token_p95 for run in runs),
            "prefix_hits": _mean(run.hits for run in runs),
            "worst_queue_mean": _mean(run.worst_queue for run in runs),
            "worst_queue_max": max(run.worst_queue for run in runs),
        }
        click.echo(json.dumps(figures))


def _mean(values: Iterable[float]) -> float:
    return round(statistics.mean(values), 3)


if __name__ == "__main__":
    main()
