"""Resource usage and metrics of the hosts of a local cluster."""

import http.client
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor

import attrs
from prometheus_client.parser import text_string_to_metric_families

from bench import processes
from tools.launch import Cluster
from tools.launch_files import LOOPBACK

SCRAPE_THREADS = 4
TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.05
CONFIGURATION_NUMBER_METRIC = "masticfork_configuration_number"
PLATFORM_CALLS_METRIC = "masticfork_platform_calls"
PEER_BYTES_METRIC = "masticfork_peer_bytes"

# Sample values by metric name and label values, in the order of the label names.
Samples = dict[tuple[str, ...], float]


@attrs.frozen
class UsageSnapshot:
    """Totals over all hosts at one time.

    Peer bytes are keyed by direction and message kind, platform calls by kind, and
    resident bytes hold one value per host.
    """

    at: float
    cpu_seconds: float
    resident_bytes: tuple[int, ...]
    peer_bytes: dict[tuple[str, str], float]
    platform_calls: dict[str, float]


def parse_samples(text: str) -> Samples:
    """Parse the Prometheus text format."""
    found: Samples = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            key = (sample.name, *(labels[name] for name in sorted(labels)))
            found[key] = sample.value
    return found


def measure_usage(cluster: Cluster) -> UsageSnapshot:
    """Read the processor time, memory and metrics of all hosts."""
    pids = [cluster.pids[name] for name in cluster.hosts]
    cpu_seconds = sum(processes.cpu_seconds(pid) for pid in pids)
    at = time.monotonic()
    resident_bytes = tuple(processes.resident_bytes(pid) for pid in pids)
    peer_bytes: dict[tuple[str, str], float] = defaultdict(float)
    platform_calls: dict[str, float] = defaultdict(float)
    for host_samples in _scrape_hosts(cluster):
        for key, value in host_samples.items():
            if key[0] == PEER_BYTES_METRIC:
                # Label values are ordered by label name: kind, then way.
                peer_bytes[key[2], key[1]] += value
            elif key[0] == PLATFORM_CALLS_METRIC:
                platform_calls[key[1]] += value
    return UsageSnapshot(
        at, cpu_seconds, resident_bytes, dict(peer_bytes), dict(platform_calls)
    )


def per_host(before: UsageSnapshot, after: UsageSnapshot) -> dict[str, float]:
    """Return the mean usage of a host between two snapshots; rates per second."""
    hosts = len(after.resident_bytes)
    host_seconds = hosts * (after.at - before.at)
    figures = {
        "cpu_percent": 100 * (after.cpu_seconds - before.cpu_seconds) / host_seconds,
        "resident_mb": sum(after.resident_bytes) / hosts / 1e6,
    }
    for direction in ("sent", "received"):
        figures[f"peer_bytes_{direction}"] = (
            _bytes_moved(after, direction, before) / host_seconds
        )
    for (direction, kind), value in after.peer_bytes.items():
        if direction == "sent":
            rate = (
                value - before.peer_bytes.get((direction, kind), 0.0)
            ) / host_seconds
            figures[f"sent_bytes.{kind}"] = rate
    for kind, value in after.platform_calls.items():
        rate = (value - before.platform_calls.get(kind, 0.0)) / host_seconds
        figures[f"platform.{kind}"] = rate
    return {name: round(value, 4) for name, value in figures.items()}


def per_change(
    before: UsageSnapshot, after: UsageSnapshot, changes: int
) -> dict[str, float]:
    """Return the mean cost of one configuration change.

    Processor time and bytes sent are per host; platform calls are of all hosts.
    """
    hosts = len(after.resident_bytes)
    cpu_seconds = after.cpu_seconds - before.cpu_seconds
    figures = {
        "host_cpu_ms": 1000 * cpu_seconds / hosts / changes,
        "host_bytes_sent": _bytes_moved(after, "sent", before) / hosts / changes,
    }
    for kind, value in after.platform_calls.items():
        calls = value - before.platform_calls.get(kind, 0.0)
        figures[f"all_platform.{kind}"] = calls / changes
    return {name: round(value, 4) for name, value in figures.items()}


def seconds_until_applied(cluster: Cluster, number: int, since: float) -> float:
    """Wait until all hosts apply a configuration; return the seconds since `since`.

    Raise TimeoutError if that takes longer than TIMEOUT_SECONDS.
    """
    deadline = since + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if all(
            host_samples.get((CONFIGURATION_NUMBER_METRIC,), 0) >= number
            for host_samples in _scrape_hosts(cluster)
        ):
            return time.monotonic() - since
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"configuration {number} was not applied by all hosts in time")


def _bytes_moved(after: UsageSnapshot, direction: str, before: UsageSnapshot) -> float:
    bytes_after = sum(v for (w, _), v in after.peer_bytes.items() if w == direction)
    return bytes_after - sum(
        v for (w, _), v in before.peer_bytes.items() if w == direction
    )


def _scrape_hosts(cluster: Cluster) -> list[Samples]:
    ports = [place.admin_port for place in cluster.entry_hosts]
    with ThreadPoolExecutor(SCRAPE_THREADS) as pool:
        return list(pool.map(_scrape, ports))


def _scrape(port: int) -> Samples:
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=TIMEOUT_SECONDS)
    try:
        connection.request("GET", "/metrics")
        return parse_samples(connection.getresponse().read().decode())
    finally:
        connection.close()
