"""Compare the latency of plain service calls, direct and through a host.

Calls alternate between the two ways, so that both see the same machine load.
"""

import http.client
import json
import time
from collections.abc import Iterator
from typing import Protocol

import attrs

from bench import processes
from bench.load import Histogram
from bench.results import Point
from tools.launch import Cluster, start
from tools.launch_files import LOOPBACK, SERVICE
from tools.launch_options import Options

CALLS = 1000
SHORT_CALLS = 300
WARM_UP_CALLS = 30
# Keeps the calls below the write rate limit of the platform's stand-in.
PAUSE_SECONDS = 0.01
CALL_TIMEOUT_SECONDS = 10.0
TEAM = "order-desk"
ENTRY_THREADS = 8


class Call(Protocol):
    """A kind of request that a plain service answers, and the status it expects."""

    method: str
    status: int

    def path(self, number: int) -> str:
        """Return the request path for a call number."""

    def idempotency_key(self, client_name: str, number: int) -> str | None:
        """Return the idempotency key, or None if the call may be repeated."""


class LookupCall:
    """A stock lookup, which needs no idempotency key."""

    method = "GET"
    status = 200

    def path(self, number: int) -> str:
        """Return the path of an item."""
        return f"/stock/item-{number}"

    def idempotency_key(self, client_name: str, number: int) -> str | None:
        """Return None, since lookups may be repeated."""
        return None


class ReservationCall:
    """A reservation with a unique idempotency key."""

    method = "POST"
    status = 201

    def path(self, number: int) -> str:
        """Return the path of the reservations, the same for all calls."""
        return "/reservations"

    def idempotency_key(self, client_name: str, number: int) -> str | None:
        """Return a key unique to this client and call."""
        return f"{client_name}-{number}"


@attrs.define
class ServiceClient:
    """A connection to the service, direct or through a host, with its latencies."""

    name: str
    connection: http.client.HTTPConnection
    prefix: str = ""
    team_key: str = ""
    latencies: Histogram = attrs.field(factory=Histogram)

    def send(self, call: Call, number: int) -> None:
        """Make a call and record its latency, except for warm-up calls (number < 0).

        Raise RuntimeError if the status is not the expected one.
        """
        headers = {"Content-Type": "application/json"}
        if self.team_key:
            headers["Authorization"] = f"Bearer {self.team_key}"
        idempotency_key = call.idempotency_key(self.name, number)
        if idempotency_key is not None:
            headers["Idempotency-Key"] = idempotency_key
        body = json.dumps({"pallet": number}) if call.method == "POST" else None
        started = time.perf_counter()
        self.connection.request(
            call.method, self.prefix + call.path(number), body, headers
        )
        response = self.connection.getresponse()
        response_body = response.read()
        seconds = time.perf_counter() - started
        if response.status != call.status:
            raise RuntimeError(
                f"{self.name}: {response.status} {response_body[:200]!r}"
            )
        if number >= 0:
            self.latencies.add(seconds)


class AddedLatency:
    """Experiment: the latency that a host adds to one kind of call."""

    def __init__(self, name: str, call: Call) -> None:
        self.name = name
        self._call = call

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield one point with the latencies of both ways."""
        call_count = SHORT_CALLS if short else CALLS
        options = Options(
            hosts=1,
            engines_per_pool=1,
            service_servers=1,
            settings={"entry": {"threads": ENTRY_THREADS}, "log_level": "warning"},
        )
        with start(options) as cluster:
            yield Point({"calls": call_count}, self._measure(cluster, call_count))

    def _measure(self, cluster: Cluster, call_count: int) -> dict[str, float]:
        service_port = int(cluster.standins[f"{SERVICE}-1"].rsplit(":", 1)[1])
        direct = ServiceClient("direct", _connect(service_port))
        team_key = cluster.secrets.team_keys[TEAM]
        entry_port = cluster.entry_hosts[0].entry_port
        through_host = ServiceClient(
            "through", _connect(entry_port), f"/services/{SERVICE}", team_key
        )
        for number in range(-WARM_UP_CALLS, 0):
            self._call_both(direct, through_host, number)
        pid = cluster.pids[cluster.hosts[0]]
        cpu_used, started = processes.cpu_seconds(pid), time.monotonic()
        for number in range(call_count):
            self._call_both(direct, through_host, number)
        figures = added_latency(direct.latencies, through_host.latencies)
        cpu_used, elapsed = (
            processes.cpu_seconds(pid) - cpu_used,
            time.monotonic() - started,
        )
        figures["host_cpu_ms_a_call"] = round(1000 * cpu_used / call_count, 3)
        figures["calls_a_second"] = round(call_count / elapsed, 1)
        return figures

    def _call_both(
        self, direct: ServiceClient, through_host: ServiceClient, number: int
    ) -> None:
        direct.send(self._call, number)
        through_host.send(self._call, number)
        time.sleep(PAUSE_SECONDS)


def added_latency(direct: Histogram, through_host: Histogram) -> dict[str, float]:
    """Return p50 and p99 of both ways and their differences, in milliseconds."""
    figures = {}
    for percentile in (50, 99):
        direct_ms = direct.milliseconds(percentile)
        through_host_ms = through_host.milliseconds(percentile)
        figures[f"direct_ms_p{percentile}"] = direct_ms
        figures[f"through_ms_p{percentile}"] = through_host_ms
        figures[f"added_ms_p{percentile}"] = round(through_host_ms - direct_ms, 3)
    return figures


def _connect(port: int) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(LOOPBACK, port, timeout=CALL_TIMEOUT_SECONDS)
