"""Which peers a host dials: all in a small fleet, a bounded few in a large one.

Hosts are ordered on two rings by their hashes, one a zone and one for the fleet, and
each dials its successors. So each host is dialled about as often as it dials, links
move little when hosts come and go, and the two orders, being independent, keep the
distances short. Rendezvous hashing was weighed: its choices are as stable, but some
hosts are dialled four times as often as others.
"""

from collections.abc import Iterable

import attrs

from masticfork.core.ids import HostName, ZoneName, rank

FULL_MESH_HOSTS = 8
OWN_ZONE_PEERS = 2
OTHER_ZONE_PEERS = 1


@attrs.frozen(order=True)
class PeerAddress:
    """Where a host listens for peers."""

    host: HostName
    zone: ZoneName
    address: str


def choose_peers(
    me: HostName, zone: ZoneName, peers: Iterable[PeerAddress]
) -> tuple[PeerAddress, ...]:
    """Return the peers that `me` dials."""
    others = [peer for peer in peers if peer.host != me]
    if len(others) < FULL_MESH_HOSTS:
        return tuple(others)
    in_zone = [peer for peer in others if peer.zone == zone]
    near = _successors(f"zone {zone}", me, in_zone)[:OWN_ZONE_PEERS]
    fleet = _successors("fleet", me, others)
    far = [peer for peer in fleet if peer.zone != zone][:OTHER_ZONE_PEERS]
    missing = OWN_ZONE_PEERS + OTHER_ZONE_PEERS - len(near) - len(far)
    rest = [peer for peer in fleet if peer not in near and peer not in far]
    return (*near, *far, *rest[:missing])


def _successors(
    ring: str, me: HostName, peers: Iterable[PeerAddress]
) -> list[PeerAddress]:
    """Return the peers in the order in which they follow `me` on a ring."""
    mine = rank(ring, me)
    ranked = sorted((rank(ring, peer.host), peer.address, peer) for peer in peers)
    after = [peer for rank, _, peer in ranked if rank > mine]
    before = [peer for rank, _, peer in ranked if rank <= mine]
    return after + before
