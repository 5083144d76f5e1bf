"""Measure the cost of the ticks of one host, up to the planned size.

There are no links and no processes: the tables are filled in memory, and the
periodic steps of some simulated seconds are run over them.
"""

import json
import time
import tracemalloc
from collections.abc import Callable, Iterator, Mapping

from result import Err, Result

from bench.results import Point
from bench.slopes import with_servers
from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.core.hosts import ListedHost, RegionName
from masticfork.core.ids import HostName, ZoneName
from masticfork.core.tables import HostRow, SelfRow, Tables
from masticfork.daemon.control import EVALUATION_INTERVAL_SECONDS
from masticfork.daemon.duties import DutyLeases
from masticfork.daemon.ticker import TICK_INTERVAL_SECONDS
from masticfork.ledger.leases import LeaseManager
from masticfork.peers.authentication import PeerKey
from masticfork.peers.manifest_copy import pack_manifest
from masticfork.peers.node import NodeSettings, PeerNode
from masticfork.peers.records import LinkSettings
from masticfork.settings.manifest import parse_manifest
from masticfork.store.embedded import EmbeddedStore
from masticfork.systems.admission import FairAdmission
from masticfork.systems.call_failure_backoff import CallFailureBackoff
from masticfork.systems.health import OutlierEjection
from masticfork.systems.outcomes import CallResults
from masticfork.systems.pool_capacity import PoolCapacity
from masticfork.systems.servers import activate
from masticfork.systems.team_limits import Unlimited
from tools.launch_files import POOLS, SERVICE, Secrets, Server, manifest_object

# Pairs of hosts and backend servers; the last pair is the planned size.
SIZES = ((4, 15), (24, 68), (275, 775), (550, 1550), (1100, 3100))
SHORT_SIZES = ((4, 15), (1100, 3100))
ZONES = 14
REGIONS = 4
SECONDS = 12
SHORT_SECONDS = 6
FAR_FUTURE_SECONDS = 1e6
HOST_LIST_INTERVAL_SECONDS = 1.0
LEASE_INTERVAL_SECONDS = 1.0
DUTIES = ("limits", "rollout/one")
ADDRESS = "127.0.0.1:1"
KEY = PeerKey("bench", b"a key for the benchmark only")

TickStep = Callable[[float], object]


class TickCosts:
    """Experiment: processor time of the ticks of a second, and memory of the rows."""

    name = "tables"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for each size."""
        seconds = SHORT_SECONDS if short else SECONDS
        for hosts, servers in SHORT_SIZES if short else SIZES:
            figures = measure_ticks(hosts, servers, seconds)
            yield Point({"hosts": hosts, "servers": servers}, figures)


def measure_ticks(hosts: int, servers: int, seconds: int) -> dict[str, float]:
    """Return the processor time in ms per second of each step, and the sizes."""
    tables = Tables(SelfRow(HostName("me"), ZoneName("z0"), region=RegionName("r0")))
    manifest_text = _manifest(servers)
    tracemalloc.start()
    manifest, _ = parse_manifest(manifest_text, "bench").unwrap()
    fill_tables(tables, hosts, Configuration(1, "bench", manifest))
    rows_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    figures = {
        "rows_mb": round(rows_mb, 3),
        "manifest_bytes": len(manifest_text),
        "manifest_packed_bytes": len(pack_manifest(manifest_text)),
        "manifest_parse_ms": parse_cpu_ms(manifest_text),
    }
    for name, (step, interval) in _steps(tables).items():
        figures[f"cpu_ms_a_second.{name}"] = _cpu_ms_per_second(step, interval, seconds)
    return figures


def _manifest(servers: int) -> str:
    """Return a manifest with one server per pool and `servers` more."""
    running_servers = [
        Server(f"server-{number}", group, "zilina", number + 1, 8)
        for number, group in enumerate((*POOLS, SERVICE))
    ]
    return json.dumps(
        with_servers(manifest_object(Secrets.generate(), running_servers), servers)
    )


def parse_cpu_ms(manifest_text: str) -> float:
    """Return the processor time to parse and check a manifest, in milliseconds."""
    started = time.process_time()
    parse_manifest(manifest_text, "bench").unwrap()
    return round(1000 * (time.process_time() - started), 1)


def fill_tables(tables: Tables, hosts: int, configuration: Configuration) -> None:
    """Add live hosts to the tables and apply a configuration."""
    far_future = Deadline(FAR_FUTURE_SECONDS)
    for number in range(1, hosts):
        name, zone = HostName(f"entry-{number}"), ZoneName(f"z{number % ZONES}")
        region = RegionName(f"r{number % REGIONS}")
        row = HostRow(
            name,
            zone,
            ADDRESS,
            0.0,
            far_future,
            far_future,
            region=region,
            incarnation=1,
        )
        tables.hosts[name] = row
    activate(tables, configuration)


def _steps(tables: Tables) -> Mapping[str, tuple[TickStep, float]]:
    """Return the periodic steps of a host with their intervals in seconds."""
    node, health, drains = (
        _peer_node(tables),
        OutlierEjection(CallResults()),
        CallFailureBackoff(CallResults()),
    )
    capacity = PoolCapacity(lambda server: 0, FairAdmission(Unlimited()).set_slots)
    manager = LeaseManager(EmbeddedStore(time.time), tables.me.host, time.time)
    duties = DutyLeases(manager, tables)
    host_list = [
        ListedHost(row.host, row.zone, row.address) for row in tables.hosts.values()
    ]

    def update_host_list(now: float) -> None:
        node.set_listed_hosts(host_list)
        node.run(tables, now)

    def renew_leases(now: float) -> None:
        for duty in DUTIES:
            duties.acquire_or_renew(duty)

    return {
        "node": (lambda now: node.run(tables, now), TICK_INTERVAL_SECONDS),
        "health": (lambda now: health.run(tables, now), EVALUATION_INTERVAL_SECONDS),
        "drains": (lambda now: drains.run(tables, now), TICK_INTERVAL_SECONDS),
        "pool_capacity": (
            lambda now: capacity.run(tables, now),
            EVALUATION_INTERVAL_SECONDS,
        ),
        "duties": (renew_leases, LEASE_INTERVAL_SECONDS),
        "node_with_host_list": (update_host_list, HOST_LIST_INTERVAL_SECONDS),
    }


def _cpu_ms_per_second(step: TickStep, interval: float, seconds: int) -> float:
    step_count = int(seconds / interval)
    # The first step also processes the new rows, so it is not measured.
    step(0.0)
    started = time.process_time()
    for number in range(1, step_count + 1):
        step(number * interval)
    return round(1000 * (time.process_time() - started) / seconds, 3)


def _peer_node(tables: Tables) -> PeerNode:
    self_row = tables.me
    link = LinkSettings(self_row.host, self_row.zone, ADDRESS, (KEY,), 1, ())
    settings = NodeSettings(link, ADDRESS, confirm_seconds=900.0)
    return PeerNode(settings, tables, _reject_configuration, None, time.time)


def _reject_configuration(
    number: int, text_id: str, text: str
) -> Result[Configuration, Findings]:
    return Err(())
