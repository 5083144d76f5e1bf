"""What the stand-ins of a local cluster have done, and their faults."""

from typing import Any

from tools.launch import Cluster
from tools.launch_files import SERVICE

Json = dict[str, Any]


def names(cluster: Cluster, group: str) -> list[str]:
    """Return the backend servers of a pool or of a service."""
    return [server.name for server in cluster.servers if server.group == group]


def engine_names(cluster: Cluster) -> list[str]:
    """Return the engines of all pools."""
    return [server.name for server in cluster.servers if server.group != SERVICE]


def set_faults(cluster: Cluster, *standins: str, **faults: Any) -> None:
    """Set the same faults at several stand-ins."""
    for name in standins:
        status, answer = cluster.ask(name)("POST", "/_faults", faults)
        assert status == 200, answer


def runs(cluster: Cluster, key: str) -> int:
    """Return how often the service ran a key, over all its live servers."""
    counts = [
        cluster.ask(name)("GET", "/_counts")[1]
        for name in names(cluster, SERVICE)
        if name in cluster.pids
    ]
    return sum(count["runs"].get(key, 0) for count in counts)


def generations(cluster: Cluster) -> list[Json]:
    """Return the generations of all engines that run, with their engine's name."""
    found: list[Json] = []
    for name in engine_names(cluster):
        if name in cluster.pids:
            counted = cluster.ask(name)("GET", "/_counts")[1]["generations"]
            found += [generation | {"engine": name} for generation in counted]
    return found
