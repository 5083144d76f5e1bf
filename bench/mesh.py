"""Work out the mesh of links between hosts at a size: links a host and hops."""

import statistics
from collections import defaultdict, deque
from collections.abc import Iterator, Mapping

from bench.results import Point
from masticfork.core.ids import HostName, ZoneName
from masticfork.peers.selection import PeerAddress, choose_peers

SIZES = (4, 24, 1100)
ZONES = 14
# Sources that hops are counted from.
SOURCES = 40

Links = Mapping[HostName, set[HostName]]


class Mesh:
    """The links that the choice of peers makes."""

    name = "mesh"

    def run(self, seed: int, *, short: bool) -> Iterator[Point]:
        """Yield a point for each number of hosts."""
        for hosts in SIZES:
            links = mesh(hosts)
            degrees = [len(near) for near in links.values()]
            reach = [hops(links, source) for source in sorted(links)[:SOURCES]]
            figures = {
                "links_mean": round(statistics.fmean(degrees), 2),
                "links_max": max(degrees),
                "hops_max": max(max(found) for found in reach),
                "hops_mean": round(statistics.fmean(map(statistics.fmean, reach)), 2),
            }
            yield Point({"hosts": hosts, "zones": ZONES}, figures)


def mesh(hosts: int) -> Links:
    """Return each host's neighbours: those that it dials or that dial it."""
    peers = [
        PeerAddress(HostName(f"entry-{n}"), ZoneName(f"z{n % ZONES}"), "127.0.0.1:1")
        for n in range(hosts)
    ]
    links: dict[HostName, set[HostName]] = defaultdict(set)
    for peer in peers:
        for chosen in choose_peers(peer.host, peer.zone, peers):
            links[peer.host].add(chosen.host)
            links[chosen.host].add(peer.host)
    return links


def hops(links: Links, source: HostName) -> list[int]:
    """Return the distances from a host to all others that it can reach."""
    distances, waiting = {source: 0}, deque([source])
    while waiting:
        host = waiting.popleft()
        for near in links[host]:
            if near not in distances:
                distances[near] = distances[host] + 1
                waiting.append(near)
    return [distance for host, distance in distances.items() if host != source]
