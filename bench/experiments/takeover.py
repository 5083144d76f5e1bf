"""Measure how long a control duty has no holder after its host was killed."""

import json
import statistics
import time

import click

from proofs.admin_calling import admin
from proofs.calling import wait_for
from tools import launch
from tools.launch import Cluster
from tools.launch_options import Options

DUTY = "limits"
MOST_SECONDS = 30.0
OPTIONS = Options(hosts=4, engines_per_pool=1, service_servers=1)


def holder_of(cluster: Cluster, asked: int) -> str | None:
    """Return the live holder of the duty, as one host reads it at the platform."""
    status, body = admin(cluster, asked, "GET", "/admin/v1/status")
    if status != 200:
        raise RuntimeError(f"status answered {status}")
    for lease in body["leases"]:
        if lease["name"] == DUTY and lease["expires_at"] > time.time():
            return str(lease["holder"])
    return None


def take_over(cluster: Cluster) -> float:
    """Kill the holder; return the seconds until another host holds the duty."""
    first = str(wait_for(lambda: holder_of(cluster, 0), MOST_SECONDS, "a holder"))
    asked = 1 if first == cluster.hosts[0] else 0
    cluster.kill(first)
    killed_at = time.monotonic()
    wait_for(
        lambda: holder_of(cluster, asked) not in (None, first),
        MOST_SECONDS,
        "another holder",
    )
    seconds = time.monotonic() - killed_at
    cluster.restart(first)
    return seconds


@click.command()
@click.option("--repeats", default=8)
def main(repeats: int) -> None:
    """Print one JSON line."""
    with launch.start(OPTIONS) as cluster:
        seconds = [take_over(cluster) for _ in range(repeats)]
    figures = {
        "repeats": repeats,
        "seconds_p50": round(statistics.median(seconds), 2),
        "seconds_max": round(max(seconds), 2),
    }
    click.echo(json.dumps(figures))


if __name__ == "__main__":
    main()
