"""Which peers a host dials: all in a small fleet, a bounded few in a large one.

Rendezvous hashing (Thaler and Ravishankar, 1998) gives each host its own few, so
that links spread evenly and move little when hosts come and go. Few undirected
random links a host keep the whole graph connected with high probability.
"""

import hashlib
from collections.abc import Iterable

import attrs

from masticfork.core.ids import HostName, ZoneName

FULL_MESH_HOSTS = 8
OWN_ZONE_PEERS = 2
OTHER_ZONE_PEERS = 2


@attrs.frozen
class PeerAddress:
    """Where a host listens for peers."""

    host: HostName
    zone: ZoneName
    address: str


def rank(subject: str, host: HostName) -> bytes:
    """Return the rendezvous weight of a host for a subject."""
    joined = f"{subject}\x1f{host}".encode()
    return hashlib.blake2b(joined, digest_size=8).digest()


def choose_peers(
    me: HostName, zone: ZoneName, peers: Iterable[PeerAddress]
) -> tuple[PeerAddress, ...]:
    """Return the peers that `me` dials."""
    others = sorted(
        (peer for peer in peers if peer.host != me),
        key=lambda peer: rank(me, peer.host),
    )
    if len(others) < FULL_MESH_HOSTS:
        return tuple(others)
    near = [peer for peer in others if peer.zone == zone][:OWN_ZONE_PEERS]
    far = [peer for peer in others if peer.zone != zone][:OTHER_ZONE_PEERS]
    missing = OWN_ZONE_PEERS + OTHER_ZONE_PEERS - len(near) - len(far)
    rest = [peer for peer in others if peer not in near and peer not in far]
    return (*near, *far, *rest[:missing])
