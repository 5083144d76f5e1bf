"""Counts kept by the stand-ins of a local cluster, and control of their faults."""

from typing import Any

from tools.launch import Cluster
from tools.launch_files import SERVICE

Json = dict[str, Any]


def server_names(cluster: Cluster, group: str) -> list[str]:
    """Return the names of the backend servers of a pool or of a service."""
    return [server.name for server in cluster.servers if server.group == group]


def engine_names(cluster: Cluster) -> list[str]:
    """Return the names of the engines of all pools."""
    return [server.name for server in cluster.servers if server.group != SERVICE]


def set_faults(cluster: Cluster, *standins: str, **faults: Any) -> None:
    """Set the same faults on several stand-ins."""
    for name in standins:
        status, body = cluster.client(name)("POST", "/_faults", faults)
        assert status == 200, body


def run_count(cluster: Cluster, key: str) -> int:
    """Return how often a key ran on the service's running servers in total."""
    counts = [
        cluster.client(name)("GET", "/_counts")[1]
        for name in server_names(cluster, SERVICE)
        if name in cluster.pids
    ]
    return sum(count["runs"].get(key, 0) for count in counts)


def generations(cluster: Cluster) -> list[Json]:
    """Return the generations of all running engines, each with its engine's name."""
    all_generations: list[Json] = []
    for name in engine_names(cluster):
        if name in cluster.pids:
            engine_generations = cluster.client(name)("GET", "/_counts")[1][
                "generations"
            ]
            all_generations += [
                generation | {"engine": name} for generation in engine_generations
            ]
    return all_generations
