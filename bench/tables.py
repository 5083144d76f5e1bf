"""Measure the ticks of one host at the plan's numbers of hosts and servers.

No links and no processes: the tables are filled, and the decisions of simulated
seconds are run over them.
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

# Hosts with backend servers; the last pair is the plan's.
SIZES = ((4, 15), (24, 68), (275, 775), (550, 1550), (1100, 3100))
SHORT_SIZES = ((4, 15), (1100, 3100))
ZONES = 14
REGIONS = 4
SECONDS = 12
SHORT_SECONDS = 6
FAR_SECONDS = 1e6
LIST_SECONDS = 1.0
ROUND_SECONDS = 1.0
DUTIES = ("limits", "rollout/one")
ADDRESS = "127.0.0.1:1"
KEY = PeerKey("bench", b"a key for the benchmark only")

Step = Callable[[float], object]


class TickCost:
    """Processor time of a second's ticks, and memory of the rows."""

    name = "tables"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for each size."""
        seconds = SHORT_SECONDS if short else SECONDS
        for hosts, servers in SHORT_SIZES if short else SIZES:
            figures = measure(hosts, servers, seconds)
            yield Point({"hosts": hosts, "servers": servers}, figures)


def measure(hosts: int, servers: int, seconds: int) -> dict[str, float]:
    """Return milliseconds of processor time a second, by part, and megabytes."""
    tables = Tables(SelfRow(HostName("me"), ZoneName("z0"), region=RegionName("r0")))
    text = _manifest(servers)
    tracemalloc.start()
    parsed, _ = parse_manifest(text, "bench").unwrap()
    fill(tables, hosts, Configuration(1, "bench", parsed))
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    figures = {
        "rows_mb": round(memory, 3),
        "manifest_bytes": len(text),
        "manifest_packed_bytes": len(pack_manifest(text)),
        "manifest_parse_ms": parse_milliseconds(text),
    }
    for name, (step, interval) in _steps(tables).items():
        figures[f"cpu_ms_a_second.{name}"] = _spent(step, interval, seconds)
    return figures


def _manifest(servers: int) -> str:
    """Return the text of a manifest with so many servers and a few more."""
    plain = [
        Server(f"server-{number}", group, "zilina", number + 1, 8)
        for number, group in enumerate((*POOLS, SERVICE))
    ]
    return json.dumps(with_servers(manifest_object(Secrets.new(), plain), servers))


def parse_milliseconds(text: str) -> float:
    """Return the processor time to parse and check a manifest."""
    begun = time.process_time()
    parse_manifest(text, "bench").unwrap()
    return round(1000 * (time.process_time() - begun), 1)


def fill(tables: Tables, hosts: int, configuration: Configuration) -> None:
    """Add live hosts and put a configuration in force."""
    far = Deadline(FAR_SECONDS)
    for number in range(1, hosts):
        name, zone = HostName(f"entry-{number}"), ZoneName(f"z{number % ZONES}")
        region = RegionName(f"r{number % REGIONS}")
        row = HostRow(name, zone, ADDRESS, 0.0, far, far, region=region, incarnation=1)
        tables.hosts[name] = row
    activate(tables, configuration)


def _steps(tables: Tables) -> Mapping[str, tuple[Step, float]]:
    """Return what is done, and how often in seconds."""
    node, health, drains = (
        _node(tables),
        OutlierEjection(CallResults()),
        CallFailureBackoff(CallResults()),
    )
    capacity = PoolCapacity(lambda server: 0, FairAdmission(Unlimited()).run_pools)
    keeper = LeaseManager(EmbeddedStore(time.time), tables.me.host, time.time)
    duties = DutyLeases(keeper, tables)
    listed = [
        ListedHost(row.host, row.zone, row.address) for row in tables.hosts.values()
    ]

    def take_list(now: float) -> None:
        node.listed(listed)
        node.run(tables, now)

    def hold(now: float) -> None:
        for duty in DUTIES:
            duties.hold(duty)

    return {
        "node": (lambda now: node.run(tables, now), TICK_INTERVAL_SECONDS),
        "health": (lambda now: health.run(tables, now), EVALUATION_INTERVAL_SECONDS),
        "drains": (lambda now: drains.run(tables, now), TICK_INTERVAL_SECONDS),
        "pool_capacity": (
            lambda now: capacity.run(tables, now),
            EVALUATION_INTERVAL_SECONDS,
        ),
        "duties": (hold, ROUND_SECONDS),
        "node_with_host_list": (take_list, LIST_SECONDS),
    }


def _spent(step: Step, interval: float, seconds: int) -> float:
    count = int(seconds / interval)
    # The first step takes in what is new, which later ones do not.
    step(0.0)
    begun = time.process_time()
    for number in range(1, count + 1):
        step(number * interval)
    return round(1000 * (time.process_time() - begun) / seconds, 3)


def _node(tables: Tables) -> PeerNode:
    me = tables.me
    link = LinkSettings(me.host, me.zone, ADDRESS, (KEY,), 1, ())
    settings = NodeSettings(link, ADDRESS, confirm_seconds=900.0)
    return PeerNode(settings, tables, _refuse, None, time.time)


def _refuse(number: int, text_id: str, text: str) -> Result[Configuration, Findings]:
    return Err(())
