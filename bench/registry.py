"""The experiments by their names."""

import importlib
import importlib.util
import inspect
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Protocol

import attrs

from bench.calls import Added, LookupCall, ReservationCall
from bench.mesh import Mesh
from bench.relay import measure
from bench.results import Point, flat
from bench.slopes import Servers, Slopes
from bench.tables import TickCost

RELAY_RATE = 36.0
SHORT_RELAY_RATE = 10.0
RELAY_SECONDS = 25.0
SHORT_RELAY_SECONDS = 8.0
RELAY_TOKENS = 227
SHORT_RELAY_TOKENS = 64
SEEDS = 20
SHORT_SEEDS = 2
SIMULATED = ("rollouts", "cascades", "overload")


class Experiment(Protocol):
    """Something that can be measured."""

    @property
    def name(self) -> str:
        """Return what it is asked for by."""

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for each of its settings."""


class Relay:
    """Streamed answers directly and through a host."""

    name = "relay"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for each way."""
        rate = SHORT_RELAY_RATE if short else RELAY_RATE
        seconds = SHORT_RELAY_SECONDS if short else RELAY_SECONDS
        tokens = SHORT_RELAY_TOKENS if short else RELAY_TOKENS
        for row in measure(rate, seconds, tokens):
            parameters = {"way": row.pop("way"), "rate": rate, "tokens": tokens}
            yield Point(parameters, flat(row))


@attrs.frozen
class Simulated:
    """An experiment on decisions alone, repeated over seeds."""

    name: str

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield the means over seeds for each scenario and policy."""
        module = importlib.import_module(module_of(self.name))
        seeds = range(seed, seed + (SHORT_SEEDS if short else SEEDS))
        for scenario in _scenarios(module):
            for policy in module.POLICIES:
                outcomes = [module.simulate(scenario, policy, n) for n in seeds]
                parameters = {"scenario": str(scenario), "policy": policy}
                yield Point(parameters | {"seeds": len(seeds)}, means(outcomes))


class Retries:
    """Attempts at a dead pool and the tail of lookups."""

    name = "retries"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield the means over seeds for each policy."""
        module = importlib.import_module(module_of(self.name))
        seeds = range(seed, seed + (SHORT_SEEDS if short else SEEDS))
        for policy, make in module.RETRIES.items():
            for dead in (module.SERVERS, 1):
                outcomes = [module.dead_pool(make(), dead, n) for n in seeds]
                yield Point({"policy": policy, "dead": dead}, means(outcomes))


def module_of(name: str) -> str:
    """Return the module of a simulated experiment."""
    return f"bench.experiments.{name}"


def experiments() -> dict[str, Experiment]:
    """Return all experiments whose modules exist."""
    found: list[Experiment] = [
        Relay(),
        Added("lookup", LookupCall()),
        Added("reservation", ReservationCall()),
        Slopes(),
        Servers(),
        TickCost(),
        Mesh(),
    ]
    found += [Simulated(name) for name in SIMULATED if _exists(name)]
    if _exists(Retries.name):
        found.append(Retries())
    return {experiment.name: experiment for experiment in found}


def _exists(name: str) -> bool:
    return importlib.util.find_spec(module_of(name)) is not None


def means(outcomes: Sequence[Any]) -> dict[str, float]:
    """Return the means of all numbers that the outcomes tell."""
    values: dict[str, list[float]] = defaultdict(list)
    for outcome in outcomes:
        for name, value in _numbers(outcome):
            values[name].append(float(value))
    return {name: round(statistics.fmean(all_), 4) for name, all_ in values.items()}


def _numbers(outcome: Any) -> Iterator[tuple[str, float]]:
    names = [field.name for field in attrs.fields(type(outcome))]
    names += [name for name, _ in inspect.getmembers(type(outcome), _is_property)]
    for name in names:
        value = getattr(outcome, name)
        if isinstance(value, int | float):
            yield name, value


def _is_property(member: object) -> bool:
    return isinstance(member, property)


def _scenarios(module: Any) -> list[Any]:
    if hasattr(module, "SCENARIOS"):
        return list(module.SCENARIOS)
    make: Callable[[float], Any] = module.Scenario
    return [make(load) for load in module.LOADS]
