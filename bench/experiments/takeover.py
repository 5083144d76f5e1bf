"""Measure how long a control duty has no holder after its host is killed."""

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
TIMEOUT_SECONDS = 30.0
OPTIONS = Options(hosts=4, engines_per_pool=1, service_servers=1)


def duty_holder(cluster: Cluster, host_index: int) -> str | None:
    """Return the holder of the unexpired lease of the duty, as one host reports it."""
    status, body = admin(cluster, host_index, "GET", "/admin/v1/status")
    if status != 200:
        raise RuntimeError(f"/admin/v1/status answered {status}")
    for lease in body["leases"]:
        if lease["name"] == DUTY and lease["expires_at"] > time.time():
            return str(lease["holder"])
    return None


def measure_takeover(cluster: Cluster) -> float:
    """Kill the holder; return the seconds until another host holds the duty."""
    killed = str(wait_for(lambda: duty_holder(cluster, 0), TIMEOUT_SECONDS, "a holder"))
    host_index = 1 if killed == cluster.hosts[0] else 0
    cluster.kill(killed)
    killed_at = time.monotonic()
    wait_for(
        lambda: duty_holder(cluster, host_index) not in (None, killed),
        TIMEOUT_SECONDS,
        "another holder",
    )
    seconds = time.monotonic() - killed_at
    cluster.restart(killed)
    return seconds


@click.command()
@click.option("--repeats", default=8)
def main(repeats: int) -> None:
    """Print one JSON line with the median and maximum takeover time."""
    with launch.start(OPTIONS) as cluster:
        seconds = [measure_takeover(cluster) for _ in range(repeats)]
    figures = {
        "repeats": repeats,
        "seconds_p50": round(statistics.median(seconds), 2),
        "seconds_max": round(max(seconds), 2),
    }
    click.echo(json.dumps(figures))


if __name__ == "__main__":
    main()
