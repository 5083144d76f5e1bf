"""Admin API calls, and the configuration active on each host, for system tests."""

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
    """Call the admin API of one host; return the status and the JSON body.

    Underscores in the names of `headers` are sent as hyphens.
    """
    request_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    request_headers["Authorization"] = f"Bearer {cluster.secrets.admin_key}"
    return HttpClient(cluster.entry_hosts[host].admin_port)(
        method, path, body, request_headers
    )


def submit(
    cluster: Cluster,
    manifest: Json,
    host: int = 0,
    submission_id: str | None = None,
    expected_number: int | None = None,
) -> tuple[int, Any]:
    """Submit a manifest to one host without retries; return the status and the body.

    `expected_number` is the configuration number that the manifest must replace.
    """
    headers = {"Submission_Id": submission_id or new_key()}
    if expected_number is not None:
        headers["If_Match"] = str(expected_number)
    return admin(cluster, host, "POST", SUBMISSIONS_PATH, manifest, **headers)


def active_configuration_number(cluster: Cluster, host: int) -> int:
    """Return the number of the configuration that a host reports as its own."""
    status, body = admin(cluster, host, "GET", "/admin/v1/status")
    assert status == 200, body
    name = cluster.hosts[host]
    own_rows = (row for row in body["hosts"] if row["name"] == name)
    return int(next(own_rows)["configuration_number"])


def active_configuration_numbers(cluster: Cluster) -> list[int]:
    """Return the active configuration number of each host, in the order of hosts."""
    return [
        active_configuration_number(cluster, host)
        for host in range(len(cluster.entry_hosts))
    ]


def wait_until_propagated(cluster: Cluster, number: int, limit: float) -> float:
    """Wait until no host has an older configuration; return the seconds it took.

    Fails with AssertionError after `limit` seconds.
    """
    started_at = time.monotonic()
    while min(active_configuration_numbers(cluster)) < number:
        elapsed = time.monotonic() - started_at
        assert elapsed < limit, active_configuration_numbers(cluster)
        time.sleep(0.02)
    return time.monotonic() - started_at
