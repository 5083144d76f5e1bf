"""Compute the mesh of peer links for a number of hosts: links per host and hops."""

import statistics
from collections import defaultdict, deque
from collections.abc import Iterator, Mapping

from bench.results import Point
from masticfork.core.ids import HostName, ZoneName
from masticfork.peers.selection import PeerAddress, choose_peers

SIZES = (4, 24, 1100)
ZONES = 14
# Hops are counted from this many hosts only.
SOURCE_COUNT = 40

PeerLinks = Mapping[HostName, set[HostName]]


class PeerMesh:
    """Experiment: the mesh that results from the choice of peers, without processes."""

    name = "mesh"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for each number of hosts."""
        for hosts in SIZES:
            links = peer_links(hosts)
            degrees = [len(neighbours) for neighbours in links.values()]
            distances = [
                hop_counts(links, source) for source in sorted(links)[:SOURCE_COUNT]
            ]
            figures = {
                "links_mean": round(statistics.fmean(degrees), 2),
                "links_max": max(degrees),
                "hops_max": max(max(row) for row in distances),
                "hops_mean": round(
                    statistics.fmean(map(statistics.fmean, distances)), 2
                ),
            }
            yield Point({"hosts": hosts, "zones": ZONES}, figures)


def peer_links(hosts: int) -> PeerLinks:
    """Return the neighbours of each host: those that it dials or that dial it."""
    addresses = [
        PeerAddress(HostName(f"entry-{n}"), ZoneName(f"z{n % ZONES}"), "127.0.0.1:1")
        for n in range(hosts)
    ]
    links: dict[HostName, set[HostName]] = defaultdict(set)
    for address in addresses:
        for dialled in choose_peers(address.host, address.zone, addresses):
            links[address.host].add(dialled.host)
            links[dialled.host].add(address.host)
    return links


def hop_counts(links: PeerLinks, source: HostName) -> list[int]:
    """Return the hop counts from a host to all others that it can reach."""
    distances, queue = {source: 0}, deque([source])
    while queue:
        host = queue.popleft()
        for neighbour in links[host]:
            if neighbour not in distances:
                distances[neighbour] = distances[host] + 1
                queue.append(neighbour)
    return [distance for host, distance in distances.items() if host != source]
