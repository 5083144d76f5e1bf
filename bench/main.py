"""Run experiments, keep their results, compare and report them."""

from pathlib import Path

import click

from bench.registry import Experiment, experiments
from bench.results import compare, conditions, read, record, to_line

# What `make bench` runs; the simulated experiments have commands of their own.
SHORT = ("lookup", "reservation", "relay", "slopes", "servers", "tables", "mesh")
DEFAULT_SEED = 1
FILE = click.Path(path_type=Path, exists=True, dir_okay=False)
OUT = click.Path(path_type=Path, dir_okay=False)


@click.group()
def main() -> None:
    """Measure masticfork on this machine with small stand-ins."""


@main.command()
@click.option("--seed", default=DEFAULT_SEED, show_default=True)
@click.option("--out", type=OUT, help="Append the results to this file.")
def short(seed: int, out: Path | None) -> None:
    """Run the experiments with processes, in a few minutes."""
    for name in SHORT:
        _run(experiments()[name], seed, out, small=True)


@main.command()
@click.argument("experiment", type=click.Choice(sorted(experiments())))
@click.option("--seed", default=DEFAULT_SEED, show_default=True)
@click.option("--out", type=OUT, help="Append the results to this file.")
@click.option("--short", "small", is_flag=True, help="Fewer and shorter runs.")
def run(experiment: str, seed: int, out: Path | None, small: bool) -> None:
    """Run one experiment."""
    _run(experiments()[experiment], seed, out, small=small)


@main.command("compare")
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
def compare_files(old: Path, new: Path) -> None:
    """Print the figures that two files share."""
    for change in sorted(compare(read(old), read(new)), key=str):
        ratio = "-" if change.ratio is None else f"{change.ratio:.3f}"
        click.echo(
            f"{change.title} | {change.figure}: {change.old:g} -> {change.new:g}"
            f" (x {ratio})"
        )


@main.command()
@click.argument("file", type=FILE)
@click.option(
    "-o", "--out", "folder", type=click.Path(path_type=Path), default=Path("report")
)
def report(file: Path, folder: Path) -> None:
    """Write plots and a page of a file of results."""
    # Only the report needs the plotting library, which is slow to load.
    from bench.pages import write_report

    for written in write_report(read(file), folder):
        click.echo(str(written))


def _run(experiment: Experiment, seed: int, out: Path | None, *, small: bool) -> None:
    at_start = conditions(seed)
    for point in experiment.run(seed, short=small):
        line = to_line(record(experiment.name, point, at_start))
        click.echo(line)
        if out is not None:
            with out.open("a") as file:
                file.write(line + "\n")


if __name__ == "__main__":
    main()
