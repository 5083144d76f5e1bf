"""Measure a team's limit over four real hosts: moved load, and a host killed."""

import threading
import time
from collections.abc import Sequence
from contextlib import suppress

import click

from standins.testing import HttpClient
from tools.launch import Cluster, start
from tools.launch_files import SERVICE
from tools.launch_options import Json, Options

TEAM = "warehouse"
LIMIT = 40
# Each host is asked for this many times the limit.
EXCESS = 2.0
SETTLE_SECONDS = 8.0
MEASURE_SECONDS = 8.0
PATH = f"/services/{SERVICE}/stock/canvas-1"


def limited(manifest: Json) -> Json:
    """Return the manifest with the team's limit."""
    teams = [
        team | {"limits": {"requests_per_second": LIMIT}}
        if team["name"] == TEAM
        else team
        for team in manifest["teams"]
    ]
    return manifest | {"teams": teams}


class Load:
    """Lookups at some hosts at an even pace, each on a thread of its own."""

    def __init__(self, cluster: Cluster, hosts: Sequence[int]) -> None:
        self._key = cluster.secrets.team_keys[TEAM]
        self._answered: list[float] = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(cluster.places[n].entry_port,))
            for n in hosts
        ]

    def measure(self) -> float:
        """Return the answered requests a second, once shares have settled."""
        for thread in self._threads:
            thread.start()
        time.sleep(SETTLE_SECONDS)
        begun = time.monotonic()
        time.sleep(MEASURE_SECONDS)
        end = time.monotonic()
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        count = sum(begun <= at < end for at in self._answered)
        return count / (end - begun)

    def _send(self, port: int) -> None:
        headers = {"Authorization": f"Bearer {self._key}"}
        pause = 1 / (EXCESS * LIMIT)
        due = time.monotonic()
        while not self._stopped.is_set():
            due = max(due + pause, time.monotonic())
            time.sleep(max(0.0, due - time.monotonic()))
            with suppress(OSError):
                status, _ = HttpClient(port)("GET", PATH, headers=headers)
                if status == 200:
                    self._answered.append(time.monotonic())


@click.command()
def main() -> None:
    """Print the answered requests a second of each phase."""
    options = Options(engines_per_pool=1, change_manifest=limited)
    with start(options) as cluster:
        for title, hosts in (
            ("at host 1", [0]),
            ("at host 3", [2]),
            ("at all four", [0, 1, 2, 3]),
        ):
            _report(title, Load(cluster, hosts).measure())
        for number in (0, 1):
            cluster.kill(cluster.hosts[number])
            title = f"at host 4, {number + 1} of 4 killed"
            _report(title, Load(cluster, [3]).measure())


def _report(title: str, rate: float) -> None:
    click.echo(f"{title:28} {rate:5.1f} of {LIMIT} requests/s answered")


if __name__ == "__main__":
    main()
