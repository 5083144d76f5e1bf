"""The registry of experiments, by name."""

import importlib
import importlib.util
import inspect
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Protocol

import attrs

from bench.calls import AddedLatency, LookupCall, ReservationCall
from bench.mesh import PeerMesh
from bench.relay import measure_relay
from bench.results import Point, flatten
from bench.slopes import HostScaling, ServerScaling
from bench.tables import TickCosts

RELAY_RATE = 36.0
SHORT_RELAY_RATE = 10.0
RELAY_SECONDS = 25.0
SHORT_RELAY_SECONDS = 8.0
RELAY_TOKENS = 227
SHORT_RELAY_TOKENS = 64
SEED_COUNT = 20
SHORT_SEED_COUNT = 2
SIMULATED_EXPERIMENTS = ("rollouts", "cascades", "overload")


class Experiment(Protocol):
    """A measurement that can be run by name."""

    @property
    def name(self) -> str:
        """Return the name on the command line and in results files."""

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for each set of parameters."""


class RelayComparison:
    """Experiment: streamed answers directly and through a host."""

    name = "relay"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for the direct and for the relayed run."""
        rate = SHORT_RELAY_RATE if short else RELAY_RATE
        seconds = SHORT_RELAY_SECONDS if short else RELAY_SECONDS
        tokens = SHORT_RELAY_TOKENS if short else RELAY_TOKENS
        for row in measure_relay(rate, seconds, tokens):
            parameters = {"way": row.pop("way"), "rate": rate, "tokens": tokens}
            yield Point(parameters, flatten(row))


@attrs.frozen
class SimulatedExperiment:
    """A simulation of the decision code without processes, repeated over seeds."""

    name: str

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield the means over seeds for each scenario and policy."""
        module = importlib.import_module(module_name(self.name))
        seeds = range(seed, seed + (SHORT_SEED_COUNT if short else SEED_COUNT))
        for scenario in _scenarios(module):
            for policy in module.POLICIES:
                outcomes = [
                    module.simulate(scenario, policy, seed_number)
                    for seed_number in seeds
                ]
                parameters = {"scenario": str(scenario), "policy": policy}
                yield Point(parameters | {"seeds": len(seeds)}, means(outcomes))


class RetrySimulation:
    """Experiment: attempts at a dead pool, by retry policy."""

    name = "retries"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield the means over seeds for each policy, with all or one server dead."""
        module = importlib.import_module(module_name(self.name))
        seeds = range(seed, seed + (SHORT_SEED_COUNT if short else SEED_COUNT))
        for policy, make_policy in module.RETRY_POLICIES.items():
            for dead_servers in (module.SERVERS, 1):
                outcomes = [
                    module.simulate_dead_pool(make_policy(), dead_servers, seed_number)
                    for seed_number in seeds
                ]
                yield Point({"policy": policy, "dead": dead_servers}, means(outcomes))


def module_name(name: str) -> str:
    """Return the module name of a simulated experiment."""
    return f"bench.experiments.{name}"


def experiments() -> dict[str, Experiment]:
    """Return all experiments whose modules exist, by name."""
    found: list[Experiment] = [
        RelayComparison(),
        AddedLatency("lookup", LookupCall()),
        AddedLatency("reservation", ReservationCall()),
        HostScaling(),
        ServerScaling(),
        TickCosts(),
        PeerMesh(),
    ]
    found += [
        SimulatedExperiment(name)
        for name in SIMULATED_EXPERIMENTS
        if _module_exists(name)
    ]
    if _module_exists(RetrySimulation.name):
        found.append(RetrySimulation())
    return {experiment.name: experiment for experiment in found}


def _module_exists(name: str) -> bool:
    return importlib.util.find_spec(module_name(name)) is not None


def means(outcomes: Sequence[Any]) -> dict[str, float]:
    """Return the mean of every numeric attribute and property of the outcomes."""
    values: dict[str, list[float]] = defaultdict(list)
    for outcome in outcomes:
        for name, value in _numeric_values(outcome):
            values[name].append(float(value))
    return {
        name: round(statistics.fmean(numbers), 4) for name, numbers in values.items()
    }


def _numeric_values(outcome: Any) -> Iterator[tuple[str, float]]:
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
    make_scenario: Callable[[float], Any] = module.Scenario
    return [make_scenario(load) for load in module.LOADS]
