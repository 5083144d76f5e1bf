"""Calls of operators, and what hosts have in force, for proofs."""

import time
from typing import Any

from proofs.calling import new_key
from standins.testing import HttpClient
from tools.launch import Cluster

Json = dict[str, Any]
SUBMISSIONS_PATH = "/admin/v1/submissions"


def admin(
    cluster: Cluster,
    host: int,
    method: str,
    path: str,
    body: Any = None,
    **headers: str,
) -> tuple[int, Any]:
    """Make a call of the administration; a header's underscores mean hyphens."""
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    sent["Authorization"] = f"Bearer {cluster.secrets.admin_key}"
    return HttpClient(cluster.places[host].admin_port)(method, path, body, sent)


def submit(
    cluster: Cluster,
    manifest: Json,
    host: int = 0,
    submission_id: str | None = None,
    expected: int | None = None,
) -> tuple[int, Any]:
    """Submit a manifest at one host, once."""
    headers = {"Submission_Id": submission_id or new_key()}
    if expected is not None:
        headers["If_Match"] = str(expected)
    return admin(cluster, host, "POST", SUBMISSIONS_PATH, manifest, **headers)


def number_in_force(cluster: Cluster, host: int) -> int:
    """Return the configuration that a host itself has in force."""
    status, body = admin(cluster, host, "GET", "/admin/v1/status")
    assert status == 200, body
    name = cluster.hosts[host]
    own = (row for row in body["hosts"] if row["name"] == name)
    return int(next(own)["configuration_number"])


def numbers_in_force(cluster: Cluster) -> list[int]:
    """Return what each host has in force, in the order of the hosts."""
    return [number_in_force(cluster, host) for host in range(len(cluster.places))]


def seconds_until_everywhere(cluster: Cluster, number: int, limit: float) -> float:
    """Return how long it takes until no host has an older configuration."""
    begun = time.monotonic()
    while min(numbers_in_force(cluster)) < number:
        taken = time.monotonic() - begun
        assert taken < limit, numbers_in_force(cluster)
        time.sleep(0.02)
    return time.monotonic() - begun
