"""Measure what one host costs as hosts or backend servers become more."""

import json
import time
from collections.abc import Iterator
from typing import Any

from bench.fleet import in_force_seconds, per_act, per_host, usage
from bench.load import StreamLoad, StreamLoader
from bench.results import Point, flat
from tools.launch import Cluster, start
from tools.launch_files import ZONES
from tools.launch_options import Json, Options

HOSTS = (2, 4, 8, 16, 24)
SHORT_HOSTS = (2, 4, 8)
SERVERS = (0, 1000, 3100)
SHORT_SERVERS = (0, 1000)
SERVER_HOSTS = 2
ENTRY_THREADS = 8
IDLE_SECONDS = 6.0
LOAD_SECONDS = 6.0
# Links of the start are pruned and news is told before anything is measured.
SETTLE_SECONDS = 4.0
LARGE_SETTLE_SECONDS = 15.0
LARGE_HOSTS = 9
# Chats a second at each host.
CHAT_RATE = 2.0
CHAT_TOKENS = 16
TOKEN_SECONDS = 0.01
CHANGES = 3
# As at the size of the plan, where a host may write once in some seconds.
BILL_INTERVAL_SECONDS = 4.0
TEAM = "order-desk"
MODEL = "linen-small"
POOL = "drafting-small"
# Nothing listens there.
CLOSED_PORT = 9


class Slopes:
    """Cost of a host, idle and with a light load, by the number of hosts."""

    name = "slopes"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for each number of hosts."""
        for count in SHORT_HOSTS if short else HOSTS:
            with start(_options(count)) as cluster:
                time.sleep(settle_seconds(count))
                figures = {
                    "idle": idle(cluster),
                    "load": loaded(cluster, seed),
                    "change": changes(cluster),
                }
            parameters = {"hosts": count, "chats_a_host": CHAT_RATE}
            yield Point(parameters, flat(figures))


class Servers:
    """Cost of an idle host by the number of backend servers in the manifest."""

    name = "servers"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for each number of servers that are added."""
        for count in SHORT_SERVERS if short else SERVERS:
            options = _options(SERVER_HOSTS, count)
            with start(options) as cluster:
                time.sleep(SETTLE_SECONDS)
                figures: dict[str, Any] = {
                    "idle": idle(cluster),
                    "change": changes(cluster),
                }
            yield Point({"servers": count, "hosts": SERVER_HOSTS}, flat(figures))


def settle_seconds(hosts: int) -> float:
    """Return how long a fleet is left alone; a partial mesh takes longer."""
    return LARGE_SETTLE_SECONDS if hosts >= LARGE_HOSTS else SETTLE_SECONDS


def idle(cluster: Cluster) -> dict[str, float]:
    """Return what a host uses without requests."""
    before = usage(cluster)
    time.sleep(IDLE_SECONDS)
    return per_host(before, usage(cluster))


def loaded(cluster: Cluster, seed: int) -> dict[str, float]:
    """Return what a host uses while chats are streamed."""
    ports = tuple(place.entry_port for place in cluster.places)
    load = StreamLoad(
        ports,
        MODEL,
        CHAT_RATE * len(ports),
        LOAD_SECONDS,
        CHAT_TOKENS,
        cluster.secrets.team_keys[TEAM],
    )
    before = usage(cluster)
    results = StreamLoader(load).run()
    found = per_host(before, usage(cluster))
    return found | {"answers": results.answers, "errors": len(results.errors)}


def changes(cluster: Cluster) -> dict[str, float]:
    """Return the time until submissions were in force everywhere and their bytes."""
    times = []
    before = usage(cluster)
    for number in range(CHANGES):
        manifest = changed(cluster.manifest, number)
        since = time.monotonic()
        accepted = cluster.submit(manifest)
        times.append(in_force_seconds(cluster, int(accepted["number"]), since))
    return {
        "in_force_seconds_max": round(max(times), 3),
        "in_force_seconds_min": round(min(times), 3),
        "manifest_bytes": len(json.dumps(cluster.manifest)),
    } | per_act(before, usage(cluster), CHANGES)


def changed(manifest: Json, number: int) -> Json:
    """Return the manifest with another expected quality of the first version."""
    model, *models = manifest["models"]
    version, *versions = model["versions"]
    version = version | {"expected_quality": round(0.7 + 0.01 * (number + 1), 3)}
    model = model | {"versions": [version, *versions]}
    return manifest | {"models": [model, *models]}


def with_servers(manifest: Json, count: int) -> Json:
    """Return the manifest with so many more servers in a pool, none of which runs."""
    extra = [
        {
            "name": f"worker-{number}",
            # A manifest names each address once.
            "host": f"127.1.{number // 250}.{number % 250 + 1}",
            "port": CLOSED_PORT,
            "zone": ZONES[number % len(ZONES)],
            "slots": 16,
        }
        for number in range(count)
    ]
    pools = [
        pool | {"servers": [*pool["servers"], *extra]} if pool["name"] == POOL else pool
        for pool in manifest["pools"]
    ]
    return manifest | {"pools": pools}


def _options(hosts: int, servers: int = 0) -> Options:
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
        change_manifest=lambda manifest: with_servers(manifest, servers),
    )
