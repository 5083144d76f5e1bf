"""Measure the cost per host as the number of hosts or backend servers grows."""

import json
import time
from collections.abc import Iterator
from typing import Any

from bench.fleet import measure_usage, per_change, per_host, seconds_until_applied
from bench.load import StreamLoad, StreamLoader
from bench.results import Point, flatten
from tools.launch import Cluster, start
from tools.launch_files import ZONES
from tools.launch_options import Json, Options

HOSTS = (2, 4, 8, 16, 24)
SHORT_HOSTS = (2, 4, 8)
ADDED_SERVERS = (0, 1000, 3100)
SHORT_ADDED_SERVERS = (0, 1000)
SERVER_SCALING_HOSTS = 2
ENTRY_THREADS = 8
IDLE_SECONDS = 6.0
LOAD_SECONDS = 6.0
# Until surplus startup links are pruned and the initial state is propagated.
SETTLE_SECONDS = 4.0
LARGE_FLEET_SETTLE_SECONDS = 15.0
LARGE_FLEET_HOSTS = 9
# At each host.
CHATS_PER_SECOND = 2.0
CHAT_TOKENS = 16
TOKEN_SECONDS = 0.01
CHANGE_COUNT = 3
# As at the planned size, where a host may write only once every few seconds.
BILL_INTERVAL_SECONDS = 4.0
TEAM = "order-desk"
MODEL = "linen-small"
POOL = "drafting-small"
# No process listens at this port.
CLOSED_PORT = 9


class HostScaling:
    """Experiment: cost per host, idle and under light load, by number of hosts."""

    name = "slopes"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for each number of hosts."""
        for count in SHORT_HOSTS if short else HOSTS:
            with start(_options(count)) as cluster:
                time.sleep(settle_seconds(count))
                figures = {
                    "idle": measure_idle(cluster),
                    "load": measure_load(cluster, seed),
                    "change": measure_changes(cluster),
                }
            parameters = {"hosts": count, "chats_a_host": CHATS_PER_SECOND}
            yield Point(parameters, flatten(figures))


class ServerScaling:
    """Experiment: cost of an idle host, by number of servers in the manifest."""

    name = "servers"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for each number of added servers."""
        for count in SHORT_ADDED_SERVERS if short else ADDED_SERVERS:
            options = _options(SERVER_SCALING_HOSTS, count)
            with start(options) as cluster:
                time.sleep(SETTLE_SECONDS)
                figures: dict[str, Any] = {
                    "idle": measure_idle(cluster),
                    "change": measure_changes(cluster),
                }
            yield Point(
                {"servers": count, "hosts": SERVER_SCALING_HOSTS}, flatten(figures)
            )


def settle_seconds(hosts: int) -> float:
    """Return the wait before measuring; a partial mesh takes longer to settle."""
    return LARGE_FLEET_SETTLE_SECONDS if hosts >= LARGE_FLEET_HOSTS else SETTLE_SECONDS


def measure_idle(cluster: Cluster) -> dict[str, float]:
    """Return the mean usage of a host without requests."""
    before = measure_usage(cluster)
    time.sleep(IDLE_SECONDS)
    return per_host(before, measure_usage(cluster))


def measure_load(cluster: Cluster, seed: int) -> dict[str, float]:
    """Return the mean usage of a host while chats are streamed."""
    ports = tuple(place.entry_port for place in cluster.entry_hosts)
    load = StreamLoad(
        ports,
        MODEL,
        CHATS_PER_SECOND * len(ports),
        LOAD_SECONDS,
        CHAT_TOKENS,
        cluster.secrets.team_keys[TEAM],
    )
    before = measure_usage(cluster)
    results = StreamLoader(load).run()
    figures = per_host(before, measure_usage(cluster))
    return figures | {"answers": results.answers, "errors": len(results.errors)}


def measure_changes(cluster: Cluster) -> dict[str, float]:
    """Submit changed manifests; return the seconds until applied and the mean cost."""
    seconds = []
    before = measure_usage(cluster)
    for number in range(CHANGE_COUNT):
        manifest = with_changed_quality(cluster.manifest, number)
        submitted_at = time.monotonic()
        accepted = cluster.submit(manifest)
        seconds.append(
            seconds_until_applied(cluster, int(accepted["number"]), submitted_at)
        )
    return {
        "in_force_seconds_max": round(max(seconds), 3),
        "in_force_seconds_min": round(min(seconds), 3),
        "manifest_bytes": len(json.dumps(cluster.manifest)),
    } | per_change(before, measure_usage(cluster), CHANGE_COUNT)


def with_changed_quality(manifest: Json, number: int) -> Json:
    """Return the manifest with a changed expected quality of the first version."""
    model, *models = manifest["models"]
    version, *versions = model["versions"]
    version = version | {"expected_quality": round(0.7 + 0.01 * (number + 1), 3)}
    model = model | {"versions": [version, *versions]}
    return manifest | {"models": [model, *models]}


def with_servers(manifest: Json, count: int) -> Json:
    """Return the manifest with `count` more servers in one pool; none of them runs."""
    added = [
        {
            "name": f"worker-{number}",
            # Addresses must be unique in a manifest.
            "host": f"127.1.{number // 250}.{number % 250 + 1}",
            "port": CLOSED_PORT,
            "zone": ZONES[number % len(ZONES)],
            "slots": 16,
        }
        for number in range(count)
    ]
    pools = [
        pool | {"servers": [*pool["servers"], *added]} if pool["name"] == POOL else pool
        for pool in manifest["pools"]
    ]
    return manifest | {"pools": pools}


def _options(hosts: int, added_servers: int = 0) -> Options:
    return Options(
        hosts=hosts,
        engines_per_pool=1,
        service_servers=1,
        slots=64,
        token_seconds=TOKEN_SECONDS,
        first_token_seconds=TOKEN_SECONDS,
        settings={
            "entry": {"threads": ENTRY_THREADS},
            "platform": {"bill_interval_seconds": BILL_INTERVAL_SECONDS},
            "log_level": "warning",
        },
        change_manifest=lambda manifest: with_servers(manifest, added_servers),
    )
