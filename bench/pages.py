"""Plots and a one-page report of a file of results."""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path

import matplotlib as mpl

from bench.results import Record

mpl.use("Agg")

from matplotlib import pyplot as plt

# Figures that are plotted over a parameter, by experiment.
PLOTS = {
    "slopes": ("hosts", ("idle.cpu_percent", "idle.resident_mb")),
    "servers": ("servers", ("idle.cpu_percent", "idle.resident_mb")),
}
BYTES_PLOT = ("idle.peer_bytes_sent", "load.peer_bytes_sent")
SHOWN_FIGURES = 60


def write_report(records: Sequence[Record], folder: Path) -> list[Path]:
    """Write the plots and `report.md`; return the files."""
    folder.mkdir(parents=True, exist_ok=True)
    images: list[Path] = []
    for name, group in _groups(records).items():
        images += _plot(name, group, folder)
    page = folder / "report.md"
    page.write_text(_page(records, images))
    return [*images, page]


def _groups(records: Iterable[Record]) -> dict[str, list[Record]]:
    groups: dict[str, list[Record]] = defaultdict(list)
    for result in records:
        groups[result.experiment].append(result)
    return groups


def _plot(name: str, records: Sequence[Record], folder: Path) -> list[Path]:
    if name not in PLOTS:
        return []
    parameter, figures = PLOTS[name]
    shown = [figures, BYTES_PLOT]
    drawing, axes = plt.subplots(1, len(shown), figsize=(10, 4))
    for axis, lines in zip(axes, shown, strict=True):
        for figure in lines:
            points = [
                (r.parameters[parameter], r.figures.get(figure, math.nan))
                for r in records
            ]
            axis.plot(*zip(*sorted(points), strict=True), marker="o", label=figure)
        axis.set_xlabel(parameter)
        axis.set_ylim(bottom=0)
        axis.legend()
    drawing.suptitle(f"{name}: mean of a host")
    files = [folder / f"{name}.{suffix}" for suffix in ("png", "svg")]
    for file in files:
        drawing.savefig(file)
    plt.close(drawing)
    return files


def _page(records: Sequence[Record], images: Sequence[Path]) -> str:
    parts = ["# Results", "", "| experiment | commit | load average | points |"]
    parts.append("| --- | --- | --- | --- |")
    for name, group in _groups(records).items():
        first = group[0]
        cells = (name, first.commit, first.load_average, len(group))
        parts.append("| " + " | ".join(map(str, cells)) + " |")
    parts += [f"\n![{i.stem}]({i.name})" for i in images if i.suffix == ".png"]
    for result in records:
        parts += ["", f"## {result.title}", "", "| figure | value |", "| --- | --- |"]
        figures = list(result.figures.items())[:SHOWN_FIGURES]
        parts += [f"| {figure} | {value:g} |" for figure, value in figures]
    return "\n".join(parts) + "\n"
