"""Selection of the peers to dial: all in a small fleet, a fixed few in a large one.

Hosts are ordered by hash on two kinds of ring, one per zone and one for the fleet, and
each host dials its successors. A host is thus dialled about as often as it dials, few
links change when hosts join or leave, and paths are short because the two orders are
independent. Rendezvous hashing gives equally stable selections, but with it some hosts
are dialled four times as often as others.
"""

from collections.abc import Iterable

import attrs

from masticfork.core.ids import HostName, ZoneName, stable_hash

FULL_MESH_HOSTS = 8
OWN_ZONE_PEERS = 2
OTHER_ZONE_PEERS = 1


@attrs.frozen(order=True)
class PeerAddress:
    """Address at which a host listens for peers."""

    host: HostName
    zone: ZoneName
    address: str


def choose_peers(
    local_host: HostName, zone: ZoneName, peers: Iterable[PeerAddress]
) -> tuple[PeerAddress, ...]:
    """Return the peers that the local host dials."""
    others = [peer for peer in peers if peer.host != local_host]
    if len(others) < FULL_MESH_HOSTS:
        return tuple(others)
    in_zone = [peer for peer in others if peer.zone == zone]
    same_zone = _successors(f"zone {zone}", local_host, in_zone)[:OWN_ZONE_PEERS]
    fleet = _successors("fleet", local_host, others)
    other_zone = [peer for peer in fleet if peer.zone != zone][:OTHER_ZONE_PEERS]
    missing = OWN_ZONE_PEERS + OTHER_ZONE_PEERS - len(same_zone) - len(other_zone)
    rest = [peer for peer in fleet if peer not in same_zone and peer not in other_zone]
    return (*same_zone, *other_zone, *rest[:missing])


def _successors(
    ring: str, local_host: HostName, peers: Iterable[PeerAddress]
) -> list[PeerAddress]:
    """Return the peers in ring order, starting after the local host."""
    own_rank = stable_hash(ring, local_host)
    ranked = sorted(
        (stable_hash(ring, peer.host), peer.address, peer) for peer in peers
    )
    after = [peer for rank, _, peer in ranked if rank > own_rank]
    before = [peer for rank, _, peer in ranked if rank <= own_rank]
    return after + before
