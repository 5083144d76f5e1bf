"""Command line: run experiments, record, compare and report their results."""

from pathlib import Path

import click

from bench.registry import Experiment, experiments
from bench.results import (
    compare,
    current_conditions,
    make_record,
    read_records,
    to_json_line,
)

# Experiments of `make bench`; the simulated ones are run by their own commands.
SHORT_RUN = ("lookup", "reservation", "relay", "slopes", "servers", "tables", "mesh")
DEFAULT_SEED = 1
RESULTS_FILE = click.Path(path_type=Path, exists=True, dir_okay=False)
OUTPUT_FILE = click.Path(path_type=Path, dir_okay=False)


@click.group()
def main() -> None:
    """Measure masticfork on this machine against stand-in servers."""


@main.command()
@click.option("--seed", default=DEFAULT_SEED, show_default=True)
@click.option("--out", type=OUTPUT_FILE, help="Append the results to this file.")
def short(seed: int, out: Path | None) -> None:
    """Run all but the simulated experiments at reduced sizes, in a few minutes."""
    for name in SHORT_RUN:
        _run_experiment(experiments()[name], seed, out, small=True)


@main.command()
@click.argument("experiment", type=click.Choice(sorted(experiments())))
@click.option("--seed", default=DEFAULT_SEED, show_default=True)
@click.option("--out", type=OUTPUT_FILE, help="Append the results to this file.")
@click.option("--short", "small", is_flag=True, help="Use fewer and shorter runs.")
def run(experiment: str, seed: int, out: Path | None, small: bool) -> None:
    """Run one experiment."""
    _run_experiment(experiments()[experiment], seed, out, small=small)


@main.command("compare")
@click.argument("old", type=RESULTS_FILE)
@click.argument("new", type=RESULTS_FILE)
def compare_files(old: Path, new: Path) -> None:
    """Print the figures that two results files have in common."""
    for row in sorted(compare(read_records(old), read_records(new)), key=str):
        ratio = "-" if row.ratio is None else f"{row.ratio:.3f}"
        click.echo(
            f"{row.title} | {row.figure}: {row.old:g} -> {row.new:g} (x {ratio})"
        )


@main.command()
@click.argument("file", type=RESULTS_FILE)
@click.option(
    "-o", "--out", "folder", type=click.Path(path_type=Path), default=Path("report")
)
def report(file: Path, folder: Path) -> None:
    """Write plots and a Markdown page from a results file."""
    # Imported late: only the report needs the plotting library, which loads slowly.
    from bench.pages import write_report

    for path in write_report(read_records(file), folder):
        click.echo(str(path))


def _run_experiment(
    experiment: Experiment, seed: int, out: Path | None, *, small: bool
) -> None:
    run_conditions = current_conditions(seed)
    for point in experiment.run(seed, short=small):
        line = to_json_line(make_record(experiment.name, point, run_conditions))
        click.echo(line)
        if out is not None:
            with out.open("a") as file:
                file.write(line + "\n")


if __name__ == "__main__":
    main()
