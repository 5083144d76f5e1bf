"""What the hosts of a local cluster have used and counted."""

import http.client
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor

import attrs
from prometheus_client.parser import text_string_to_metric_families

from bench import processes
from tools.launch import Cluster
from tools.launch_files import LOOPBACK

READERS = 4
CALL_SECONDS = 10.0
POLL_SECONDS = 0.05
NUMBER = "masticfork_configuration_number"
CALLS = "masticfork_platform_calls"
BYTES = "masticfork_peer_bytes"

# Values by a sample's name and the values of its labels.
Samples = dict[tuple[str, ...], float]


@attrs.frozen
class Usage:
    """Sums over all hosts at one time; bytes by way and kind, calls by kind."""

    at: float
    cpu_seconds: float
    resident_bytes: tuple[int, ...]
    peer_bytes: dict[tuple[str, str], float]
    platform_calls: dict[str, float]


def samples(text: str) -> Samples:
    """Return the samples of a Prometheus text."""
    found: Samples = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            key = (sample.name, *(labels[name] for name in sorted(labels)))
            found[key] = sample.value
    return found


def usage(cluster: Cluster) -> Usage:
    """Return what the hosts have used so far."""
    pids = [cluster.pids[name] for name in cluster.hosts]
    cpu = sum(processes.cpu_seconds(pid) for pid in pids)
    at = time.monotonic()
    resident = tuple(processes.resident_bytes(pid) for pid in pids)
    moved: dict[tuple[str, str], float] = defaultdict(float)
    calls: dict[str, float] = defaultdict(float)
    for host in _scrape_all(cluster):
        for key, value in host.items():
            if key[0] == BYTES:
                # Labels in the order of their names: kind, way.
                moved[key[2], key[1]] += value
            elif key[0] == CALLS:
                calls[key[1]] += value
    return Usage(at, cpu, resident, dict(moved), dict(calls))


def per_host(before: Usage, after: Usage) -> dict[str, float]:
    """Return what a host used on average; rates are per second."""
    hosts = len(after.resident_bytes)
    share = hosts * (after.at - before.at)
    found = {
        "cpu_percent": 100 * (after.cpu_seconds - before.cpu_seconds) / share,
        "resident_mb": sum(after.resident_bytes) / hosts / 1e6,
    }
    for way in ("sent", "received"):
        found[f"peer_bytes_{way}"] = _way(after, way, before) / share
    for (way, kind), value in after.peer_bytes.items():
        if way == "sent":
            rate = (value - before.peer_bytes.get((way, kind), 0.0)) / share
            found[f"sent_bytes.{kind}"] = rate
    for kind, value in after.platform_calls.items():
        rate = (value - before.platform_calls.get(kind, 0.0)) / share
        found[f"platform.{kind}"] = rate
    return {name: round(value, 4) for name, value in found.items()}


def per_act(before: Usage, after: Usage, acts: int) -> dict[str, float]:
    """Return what one act cost each host, and all calls to the platform for it."""
    hosts = len(after.resident_bytes)
    cpu = after.cpu_seconds - before.cpu_seconds
    found = {
        "host_cpu_ms": 1000 * cpu / hosts / acts,
        "host_bytes_sent": _way(after, "sent", before) / hosts / acts,
    }
    for kind, value in after.platform_calls.items():
        calls = value - before.platform_calls.get(kind, 0.0)
        found[f"all_platform.{kind}"] = calls / acts
    return {name: round(value, 4) for name, value in found.items()}


def in_force_seconds(cluster: Cluster, number: int, since: float) -> float:
    """Wait until all hosts have a configuration's number; return the time it took."""
    give_up_at = since + CALL_SECONDS
    while time.monotonic() < give_up_at:
        if all(host.get((NUMBER,), 0) >= number for host in _scrape_all(cluster)):
            return time.monotonic() - since
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"configuration {number} is not in force everywhere")


def _way(total: Usage, way: str, before: Usage) -> float:
    now = sum(v for (w, _), v in total.peer_bytes.items() if w == way)
    return now - sum(v for (w, _), v in before.peer_bytes.items() if w == way)


def _scrape_all(cluster: Cluster) -> list[Samples]:
    ports = [place.admin_port for place in cluster.places]
    with ThreadPoolExecutor(READERS) as pool:
        return list(pool.map(_scrape, ports))


def _scrape(port: int) -> Samples:
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=CALL_SECONDS)
    try:
        connection.request("GET", "/metrics")
        return samples(connection.getresponse().read().decode())
    finally:
        connection.close()
