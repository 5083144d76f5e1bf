"""Measure calls of a plain service directly and through a host, in turn."""

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
# The platform's stand-in takes a limited number of writes a second.
PAUSE_SECONDS = 0.01
CALL_SECONDS = 10.0
TEAM = "order-desk"
ENTRY_THREADS = 8


class Call(Protocol):
    """One request of a plain service."""

    method: str
    status: int

    def path(self, number: int) -> str:
        """Return the path at the service."""

    def key(self, way: str, number: int) -> str | None:
        """Return the idempotency key."""


class LookupCall:
    """A stock lookup."""

    method = "GET"
    status = 200

    def path(self, number: int) -> str:
        """Return the path of an item."""
        return f"/stock/item-{number}"

    def key(self, way: str, number: int) -> str | None:
        """Return none, since lookups may be repeated."""
        return None


class ReservationCall:
    """A reservation under a key of its own."""

    method = "POST"
    status = 201

    def path(self, number: int) -> str:
        """Return the path of reservations."""
        return "/reservations"

    def key(self, way: str, number: int) -> str | None:
        """Return a key that is used once."""
        return f"{way}-{number}"


@attrs.define
class Way:
    """One way to the service, with its latencies."""

    name: str
    connection: http.client.HTTPConnection
    prefix: str = ""
    team_key: str = ""
    times: Histogram = attrs.field(factory=Histogram)

    def ask(self, call: Call, number: int) -> None:
        """Make a call; RuntimeError where its status is another."""
        headers = {"Content-Type": "application/json"}
        if self.team_key:
            headers["Authorization"] = f"Bearer {self.team_key}"
        key = call.key(self.name, number)
        if key is not None:
            headers["Idempotency-Key"] = key
        body = json.dumps({"pallet": number}) if call.method == "POST" else None
        begun = time.perf_counter()
        self.connection.request(
            call.method, self.prefix + call.path(number), body, headers
        )
        answer = self.connection.getresponse()
        text = answer.read()
        taken = time.perf_counter() - begun
        if answer.status != call.status:
            raise RuntimeError(f"{self.name}: {answer.status} {text[:200]!r}")
        if number >= 0:
            self.times.add(taken)


class Added:
    """What a host adds to the latency of one kind of call."""

    def __init__(self, name: str, call: Call) -> None:
        self.name = name
        self._call = call

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield one point."""
        count = SHORT_CALLS if short else CALLS
        options = Options(
            hosts=1,
            engines_per_pool=1,
            service_servers=1,
            settings={"entry": {"threads": ENTRY_THREADS}, "log_level": "warning"},
        )
        with start(options) as cluster:
            yield Point({"calls": count}, self._measure(cluster, count))

    def _measure(self, cluster: Cluster, count: int) -> dict[str, float]:
        port = int(cluster.standins[f"{SERVICE}-1"].rsplit(":", 1)[1])
        direct = Way("direct", _connect(port))
        key = cluster.secrets.team_keys[TEAM]
        entry = cluster.places[0].entry_port
        through = Way("through", _connect(entry), f"/services/{SERVICE}", key)
        for number in range(-WARM_UP_CALLS, 0):
            self._both(direct, through, number)
        pid = cluster.pids[cluster.hosts[0]]
        used, begun = processes.cpu_seconds(pid), time.monotonic()
        for number in range(count):
            self._both(direct, through, number)
        figures = added(direct.times, through.times)
        used, elapsed = processes.cpu_seconds(pid) - used, time.monotonic() - begun
        figures["host_cpu_ms_a_call"] = round(1000 * used / count, 3)
        figures["calls_a_second"] = round(count / elapsed, 1)
        return figures

    def _both(self, direct: Way, through: Way, number: int) -> None:
        direct.ask(self._call, number)
        through.ask(self._call, number)
        time.sleep(PAUSE_SECONDS)


def added(direct: Histogram, through: Histogram) -> dict[str, float]:
    """Return the percentiles of both ways and their differences, in milliseconds."""
    figures = {}
    for percentile in (50, 99):
        first = direct.milliseconds(percentile)
        second = through.milliseconds(percentile)
        figures[f"direct_ms_p{percentile}"] = first
        figures[f"through_ms_p{percentile}"] = second
        figures[f"added_ms_p{percentile}"] = round(second - first, 3)
    return figures


def _connect(port: int) -> http.client.HTTPConnection:
    return http.client.HTTPConnection(LOOPBACK, port, timeout=CALL_SECONDS)
