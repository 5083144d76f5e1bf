"""Records of runs, one JSON line each, and their comparison."""

import json
import os
import subprocess
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import attrs
import cattrs

ROOT = Path(__file__).parents[1]
UNKNOWN_COMMIT = "unknown"


@attrs.frozen
class Point:
    """What one setting of an experiment gave."""

    parameters: dict[str, Any]
    figures: dict[str, float]


@attrs.frozen
class Conditions:
    """What a run started from; the load is the machine's over one minute."""

    seed: int
    commit: str
    load_average: float


@attrs.frozen
class Record:
    """One line of a file of results."""

    experiment: str
    seed: int
    parameters: dict[str, Any]
    figures: dict[str, float]
    commit: str
    load_average: float

    @property
    def title(self) -> str:
        """Return the experiment with its parameters."""
        shown = " ".join(f"{name}={value}" for name, value in self.parameters.items())
        return f"{self.experiment} {shown}".strip()


@attrs.frozen
class Change:
    """One figure in two files; the ratio is new by old, none where old is 0."""

    title: str
    figure: str
    old: float
    new: float

    @property
    def ratio(self) -> float | None:
        """Return new by old."""
        return self.new / self.old if self.old else None


def conditions(seed: int) -> Conditions:
    """Return the conditions at this moment."""
    return Conditions(seed, _commit(), round(os.getloadavg()[0], 2))


def record(name: str, point: Point, at_start: Conditions) -> Record:
    """Return a point as a line of a file."""
    return Record(
        name,
        at_start.seed,
        point.parameters,
        point.figures,
        at_start.commit,
        at_start.load_average,
    )


def to_line(result: Record) -> str:
    """Return the JSON line of a record."""
    return json.dumps(cattrs.unstructure(result))


def read(path: Path) -> tuple[Record, ...]:
    """Return the records of a file; ValueError names the line that is none."""
    lines = path.read_text().splitlines()
    return tuple(_parse(path, n, line) for n, line in enumerate(lines, 1) if line)


def compare(old: Iterable[Record], new: Iterable[Record]) -> Iterator[Change]:
    """Yield the figures that both have; of repeated runs the last one counts."""
    before = {result.title: result for result in old}
    after = {result.title: result for result in new}
    for title in before.keys() & after.keys():
        first, second = before[title].figures, after[title].figures
        for figure in first.keys() & second.keys():
            yield Change(title, figure, first[figure], second[figure])


def flat(values: Mapping[str, Any], prefix: str = "") -> dict[str, float]:
    """Return the numbers of nested objects, their names joined by dots."""
    found: dict[str, float] = {}
    for name, value in values.items():
        if isinstance(value, Mapping):
            found |= flat(value, f"{prefix}{name}.")
        elif isinstance(value, int | float):
            found[f"{prefix}{name}"] = value
    return found


def _parse(path: Path, number: int, line: str) -> Record:
    try:
        return cattrs.structure(json.loads(line), Record)
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        raise ValueError(f"{path}:{number}: not a record") from error


def _commit() -> str:
    command = ["git", "-C", str(ROOT), "describe", "--always", "--dirty"]
    try:
        found = subprocess.run(command, capture_output=True, text=True, check=False)
    except OSError:
        return UNKNOWN_COMMIT
    return found.stdout.strip() or UNKNOWN_COMMIT
