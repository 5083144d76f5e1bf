"""Result records, stored as JSON lines, and the comparison of two files."""

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
    """The figures measured with one set of parameters."""

    parameters: dict[str, Any]
    figures: dict[str, float]


@attrs.frozen
class Conditions:
    """State at the start of a run; the load average is over one minute."""

    seed: int
    commit: str
    load_average: float


@attrs.frozen
class Record:
    """One line of a results file."""

    experiment: str
    seed: int
    parameters: dict[str, Any]
    figures: dict[str, float]
    commit: str
    load_average: float

    @property
    def title(self) -> str:
        """Return the experiment name with its parameters."""
        shown = " ".join(f"{name}={value}" for name, value in self.parameters.items())
        return f"{self.experiment} {shown}".strip()


@attrs.frozen
class FigureComparison:
    """The value of one figure in two results files."""

    title: str
    figure: str
    old: float
    new: float

    @property
    def ratio(self) -> float | None:
        """Return new divided by old, or None if old is 0."""
        return self.new / self.old if self.old else None


def current_conditions(seed: int) -> Conditions:
    """Return the commit and the load average at this moment."""
    return Conditions(seed, _git_commit(), round(os.getloadavg()[0], 2))


def make_record(experiment: str, point: Point, conditions: Conditions) -> Record:
    """Return the record of a point."""
    return Record(
        experiment,
        conditions.seed,
        point.parameters,
        point.figures,
        conditions.commit,
        conditions.load_average,
    )


def to_json_line(result: Record) -> str:
    """Return a record as a line of JSON, without the line end."""
    return json.dumps(cattrs.unstructure(result))


def read_records(path: Path) -> tuple[Record, ...]:
    """Return the records of a file.

    Raise ValueError with the line number for a line that is not a record.
    """
    lines = path.read_text().splitlines()
    return tuple(
        _parse_record(path, n, line) for n, line in enumerate(lines, 1) if line
    )


def compare(old: Iterable[Record], new: Iterable[Record]) -> Iterator[FigureComparison]:
    """Yield the figures that both have; of repeated runs the last one is used."""
    old_by_title = {result.title: result for result in old}
    new_by_title = {result.title: result for result in new}
    for title in old_by_title.keys() & new_by_title.keys():
        old_figures, new_figures = (
            old_by_title[title].figures,
            new_by_title[title].figures,
        )
        for figure in old_figures.keys() & new_figures.keys():
            yield FigureComparison(
                title, figure, old_figures[figure], new_figures[figure]
            )


def flatten(values: Mapping[str, Any], prefix: str = "") -> dict[str, float]:
    """Return the numbers of nested mappings, with keys joined by dots."""
    flattened: dict[str, float] = {}
    for name, value in values.items():
        if isinstance(value, Mapping):
            flattened |= flatten(value, f"{prefix}{name}.")
        elif isinstance(value, int | float):
            flattened[f"{prefix}{name}"] = value
    return flattened


def _parse_record(path: Path, number: int, line: str) -> Record:
    try:
        return cattrs.structure(json.loads(line), Record)
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        raise ValueError(f"{path}:{number}: not a record") from error


def _git_commit() -> str:
    command = ["git", "-C", str(ROOT), "describe", "--always", "--dirty"]
    try:
        described = subprocess.run(command, capture_output=True, text=True, check=False)
    except OSError:
        return UNKNOWN_COMMIT
    return described.stdout.strip() or UNKNOWN_COMMIT
