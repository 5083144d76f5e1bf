"""Run soak tests with given or random seeds and print their findings."""

import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import attrs
import click

from masticfork.core.findings import Finding
from soak.environment import soak_environment, start_callers
from soak.fault_schedule import draw_faults
from soak.guarantees import check_guarantees
from soak.records import Fault, History
from tools.processes import ROOT

# Time for callers to finish their last requests; the longest route timeout is 4 s.
CALLER_STOP_SECONDS = 6.0
MAX_SEED = 999_999


@attrs.frozen
class Result:
    """History and findings of one soak."""

    seed: int
    history: History
    findings: list[Finding]

    def summary(self) -> str:
        """Return one line: seed, faults, findings and the count of each status."""
        statuses = Counter(a.status for a in self.history.attempts)
        answers = " ".join(f"{status}: {n}" for status, n in statuses.most_common())
        faults, findings = len(self.history.fault_intervals), len(self.findings)
        return f"seed {self.seed}: {faults} faults, {findings} findings; {answers}"


@attrs.frozen
class Size:
    """Duration of a soak in seconds, and the number of each participant."""

    seconds: float = 15.0
    hosts: int = 3
    servers: int = 6
    callers: int = 10


def run_soak(seed: int, size: Size, folder: Path) -> Result:
    """Run one soak; write the logs of the processes to `folder`."""
    faults = draw_faults(seed, size.seconds, size.hosts, size.servers)
    return play_faults(seed, size, folder, faults)


def play_faults(
    seed: int, size: Size, folder: Path, faults: list[Fault], build: Path = ROOT
) -> Result:
    """Run one soak with given faults.

    The hosts start with the sources in `build`; restarted ones run this build.
    """
    with soak_environment(folder, seed, size.hosts, size.servers, build) as environment:
        environment.wait_for_recovery()
        environment.use_build(ROOT)
        threads = start_callers(environment, size.callers, seed)
        environment.run(faults, size.seconds)
        environment.wait_for_recovery()
        environment.shared.stopped.set()
        until = time.monotonic() + CALLER_STOP_SECONDS
        for thread in threads:
            thread.join(max(0.0, until - time.monotonic()))
    return Result(
        seed,
        environment.history,
        environment.findings + check_guarantees(environment.history),
    )


@click.command()
@click.option(
    "--seed", "seeds", multiple=True, type=int, help="Seed to run; can be repeated."
)
@click.option("--fresh", default=0, help="Number of additional random seeds.")
@click.option(
    "--seconds", default=Size().seconds, help="Seconds of fault injection per seed."
)
@click.option("--hosts", default=Size().hosts, help="Number of entry hosts.")
@click.option(
    "--servers",
    default=Size().servers,
    help="Number of backend servers, half of each service.",
)
@click.option("--callers", default=Size().callers, help="Number of callers.")
@click.option(
    "--logs", type=click.Path(path_type=Path), help="Directory to keep the logs in."
)
def main(
    seeds: tuple[int, ...],
    fresh: int,
    seconds: float,
    hosts: int,
    servers: int,
    callers: int,
    logs: Path | None,
) -> None:
    """Run one soak per seed; exit with status 1 if there are findings."""
    size = Size(seconds, hosts, servers, callers)
    fresh_seeds = [random.randint(1, MAX_SEED) for _ in range(fresh)]
    violated = False
    for seed in [*seeds, *fresh_seeds]:
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch) if logs is None else logs / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            result = run_soak(seed, size, folder)
        click.echo(result.summary())
        for finding in result.findings:
            click.echo(f"  {finding}")
        violated = violated or bool(result.findings)
    sys.exit(1 if violated else 0)


if __name__ == "__main__":
    main()
