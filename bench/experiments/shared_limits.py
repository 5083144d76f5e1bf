"""Measure a team limit shared by four hosts: under moving load and killed hosts."""

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
# Each host receives this many times the limit.
OVERLOAD_FACTOR = 2.0
SETTLE_SECONDS = 8.0
MEASURE_SECONDS = 8.0
LOOKUP_PATH = f"/services/{SERVICE}/stock/canvas-1"


def with_team_limit(manifest: Json) -> Json:
    """Return the manifest with the request limit of the team."""
    teams = [
        team | {"limits": {"requests_per_second": LIMIT}}
        if team["name"] == TEAM
        else team
        for team in manifest["teams"]
    ]
    return manifest | {"teams": teams}


class LookupLoad:
    """Sends lookups to some hosts at a constant rate, with one thread per host."""

    def __init__(self, cluster: Cluster, hosts: Sequence[int]) -> None:
        self._key = cluster.secrets.team_keys[TEAM]
        self._answered_at: list[float] = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._send, args=(cluster.entry_hosts[n].entry_port,)
            )
            for n in hosts
        ]

    def measure(self) -> float:
        """Return the answered requests per second, after the shares have settled."""
        for thread in self._threads:
            thread.start()
        time.sleep(SETTLE_SECONDS)
        started_at = time.monotonic()
        time.sleep(MEASURE_SECONDS)
        ended_at = time.monotonic()
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        count = sum(started_at <= at < ended_at for at in self._answered_at)
        return count / (ended_at - started_at)

    def _send(self, port: int) -> None:
        headers = {"Authorization": f"Bearer {self._key}"}
        interval = 1 / (OVERLOAD_FACTOR * LIMIT)
        due = time.monotonic()
        while not self._stopped.is_set():
            due = max(due + interval, time.monotonic())
            time.sleep(max(0.0, due - time.monotonic()))
            with suppress(OSError):
                status, _ = HttpClient(port)("GET", LOOKUP_PATH, headers=headers)
                if status == 200:
                    self._answered_at.append(time.monotonic())


@click.command()
def main() -> None:
    """Print the answered requests per second of each phase."""
    options = Options(engines_per_pool=1, change_manifest=with_team_limit)
    with start(options) as cluster:
        for title, hosts in (
            ("at host 1", [0]),
            ("at host 3", [2]),
            ("at all four", [0, 1, 2, 3]),
        ):
            _print_rate(title, LookupLoad(cluster, hosts).measure())
        for number in (0, 1):
            cluster.kill(cluster.hosts[number])
            title = f"at host 4, {number + 1} of 4 killed"
            _print_rate(title, LookupLoad(cluster, [3]).measure())


def _print_rate(title: str, rate: float) -> None:
    click.echo(f"{title:28} {rate:5.1f} of {LIMIT} requests/s answered")


if __name__ == "__main__":
    main()
