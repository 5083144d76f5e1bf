"""Write plots and a one-page Markdown report of result records."""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path

import matplotlib as mpl

from bench.results import Record

mpl.use("Agg")

from matplotlib import pyplot as plt

# The parameter on the x-axis and the figures to plot, by experiment.
PLOTTED_FIGURES = {
    "slopes": ("hosts", ("idle.cpu_percent", "idle.resident_mb")),
    "servers": ("servers", ("idle.cpu_percent", "idle.resident_mb")),
}
PLOTTED_BYTES = ("idle.peer_bytes_sent", "load.peer_bytes_sent")
MAX_FIGURES = 60


def write_report(records: Sequence[Record], folder: Path) -> list[Path]:
    """Write the plots and `report.md` to a folder; return the paths."""
    folder.mkdir(parents=True, exist_ok=True)
    images: list[Path] = []
    for name, group in _by_experiment(records).items():
        images += _plot(name, group, folder)
    page = folder / "report.md"
    page.write_text(_page_text(records, images))
    return [*images, page]


def _by_experiment(records: Iterable[Record]) -> dict[str, list[Record]]:
    groups: dict[str, list[Record]] = defaultdict(list)
    for result in records:
        groups[result.experiment].append(result)
    return groups


def _plot(name: str, records: Sequence[Record], folder: Path) -> list[Path]:
    if name not in PLOTTED_FIGURES:
        return []
    parameter, figures = PLOTTED_FIGURES[name]
    plots = [figures, PLOTTED_BYTES]
    chart, axes = plt.subplots(1, len(plots), figsize=(10, 4))
    for axis, plotted in zip(axes, plots, strict=True):
        for figure in plotted:
            points = [
                (r.parameters[parameter], r.figures.get(figure, math.nan))
                for r in records
            ]
            axis.plot(*zip(*sorted(points), strict=True), marker="o", label=figure)
        axis.set_xlabel(parameter)
        axis.set_ylim(bottom=0)
        axis.legend()
    chart.suptitle(f"{name}: mean per host")
    files = [folder / f"{name}.{extension}" for extension in ("png", "svg")]
    for file in files:
        chart.savefig(file)
    plt.close(chart)
    return files


def _page_text(records: Sequence[Record], images: Sequence[Path]) -> str:
    parts = ["# Results", "", "| experiment | commit | load average | points |"]
    parts.append("| --- | --- | --- | --- |")
    for name, group in _by_experiment(records).items():
        first = group[0]
        cells = (name, first.commit, first.load_average, len(group))
        parts.append("| " + " | ".join(map(str, cells)) + " |")
    parts += [f"\n![{i.stem}]({i.name})" for i in images if i.suffix == ".png"]
    for result in records:
        parts += ["", f"## {result.title}", "", "| figure | value |", "| --- | --- |"]
        figures = list(result.figures.items())[:MAX_FIGURES]
        parts += [f"| {figure} | {value:g} |" for figure, value in figures]
    return "\n".join(parts) + "\n"
