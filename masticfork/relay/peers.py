"""Exchange between entry hosts: digests over UDP, store copies over HTTP."""

import contextlib
import selectors
import socket
import time
from collections.abc import Callable

import attrs
from result import Err

from masticfork.core.backend_servers import Address
from masticfork.core.digests import Digest, HostLoad, RolloutEvidence
from masticfork.platform.objects import Listing
from masticfork.relay.digest_codec import decode_digest, encode_digest
from masticfork.relay.loop import Loop
from masticfork.relay.store_copies import StoreCopies, ThreadedFetcher

# Interval between full digests, and the number of hosts beyond which it grows in
# proportion, so that a host sends only some kilobytes of digests a second.
DIGEST_INTERVAL_SECONDS = 0.3
DIGEST_SCALING_HOSTS = 8
MAX_DIGEST_INTERVAL_SECONDS = 1.0
# Time for which changes of loads are collected into one partial digest, and the number
# of hosts beyond which it grows in proportion, as the number of messages does. It is
# short because calls last about 1 s: hosts whose view of the loads is 1 s old all
# choose the same server.
CHANGE_BATCH_SECONDS = 0.05
CHANGE_SCALING_HOSTS = 12
# Number of hosts from which on datagrams are gathered before they are read, and for
# how long: a fraction of the time for which their senders collect changes.
GATHERING_HOSTS = 24
GATHER_SECONDS = 0.04
# Age beyond which a digest is ignored.
DIGEST_LIFETIME_SECONDS = 3.0
# Silence of a host after which no datagram of an earlier start of it is under way.
REORDERING_SECONDS = 0.5
# Silence after which a host no longer shares the retry budget.
BUDGET_SHARE_SECONDS = 20.0
RECEIVE_BUFFER_BYTES = 65536


@attrs.define
class _Peer:
    # The latest digest, without its loads.
    digest: Digest
    sequence: int
    heard_at: float
    loads: dict[int, HostLoad] = attrs.field(factory=dict)


class Peers:
    """Sends this host's digests and holds the latest one of every other host."""

    def __init__(
        self,
        loop: Loop,
        own_address: Address,
        seeds: tuple[str, ...],
        host: str,
        zone: str,
        on_load: Callable[[int, HostLoad, int], None],
        on_digest: Callable[[Digest], None],
        log: Callable[..., None],
    ) -> None:
        self._loop = loop
        self._own_address = own_address
        self._host = host
        # Called with a server's short key, a load, and 1 to add or -1 to subtract it.
        self._on_load = on_load
        self._on_digest = on_digest
        self._log = log
        self._incarnation = int(time.time() * 1000)
        self._sequence = 0
        # Configured addresses, which get digests even before the store lists any host.
        self._seeds = {Address(seed, own_address.port) for seed in seeds}
        self._addresses: dict[str, Address] = {}
        self._peers: dict[str, _Peer] = {}
        self._next_digest = 0.0
        self._sent_at = float("-inf")
        self._copies = StoreCopies(loop, zone, ThreadedFetcher(loop), log)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((own_address.host, own_address.port))
        self._sock.setblocking(False)
        loop.register(self._sock, selectors.EVENT_READ, self)

    @property
    def budget_sharing_host_count(self) -> int:
        """Return how many hosts share the retry budget, including this one."""
        now = self._loop.now
        heard_times = (peer.heard_at for peer in self._peers.values())
        return 1 + sum(now - at < BUDGET_SHARE_SECONDS for at in heard_times)

    @property
    def known_hosts(self) -> frozenset[str]:
        """Return this host and those heard recently, or else those that are listed."""
        now = self._loop.now
        heard = {
            name
            for name, peer in self._peers.items()
            if now - peer.heard_at < BUDGET_SHARE_SECONDS
        }
        return frozenset({self._host, *(heard or self._addresses)})

    @property
    def live_digests(self) -> list[Digest]:
        """Return the digests of hosts that are not silent."""
        return self.recent_digests(DIGEST_LIFETIME_SECONDS)

    def recent_digests(self, seconds: float) -> list[Digest]:
        """Return the digests of hosts heard within the last `seconds`."""
        now, peers = self._loop.now, self._peers.values()
        return [peer.digest for peer in peers if now - peer.heard_at < seconds]

    def set_hosts(self, addresses: dict[str, Address]) -> None:
        """Add or update the addresses of the hosts that the store lists."""
        self._addresses |= addresses
        self._addresses.pop(self._host, None)

    def address_of(self, host: str) -> Address | None:
        """Return the address of another host, None if it is unknown."""
        return self._addresses.get(host)

    def evidence(self, service: str, created: int) -> list[RolloutEvidence]:
        """Return the evidence on a rollout that live hosts have reported."""
        return [
            item
            for digest in self.live_digests
            for item in digest.rollouts
            if item.service == service and item.created == created
        ]

    @property
    def change_batch_seconds(self) -> float:
        """Return the seconds for which changes of loads are collected."""
        return CHANGE_BATCH_SECONDS * max(
            1.0, len(self._addresses) / CHANGE_SCALING_HOSTS
        )

    @property
    def seconds_since_digest(self) -> float:
        """Return the seconds since the latest digest, full or partial, was sent."""
        return self._loop.now - self._sent_at

    def is_digest_due(self) -> bool:
        """Return whether the next full digest is due; also expire silent peers."""
        self._expire_silent()
        return self._loop.now >= self._next_digest

    def hasten_digest(self) -> None:
        """Make the next full digest due now."""
        self._next_digest = self._loop.now

    def send_digest(self, digest: Digest) -> None:
        """Send a digest to all known hosts."""
        if not digest.partial:
            scale = max(1.0, len(self._addresses) / DIGEST_SCALING_HOSTS)
            interval = min(MAX_DIGEST_INTERVAL_SECONDS, DIGEST_INTERVAL_SECONDS * scale)
            self._next_digest = self._loop.now + interval
        self._sequence += 1
        self._sent_at = self._loop.now
        data = encode_digest(
            attrs.evolve(digest, incarnation=self._incarnation, sequence=self._sequence)
        )
        for address in {*self._addresses.values(), *self._seeds} - {self._own_address}:
            # A failed send is treated as a lost datagram; the next digest replaces it.
            with contextlib.suppress(OSError):
                self._sock.sendto(data, (address.host, address.port))

    def on_events(self, events: int) -> None:
        """Receive all waiting datagrams.

        With many hosts, wait for further ones to gather: most of the cost of a datagram
        is the wake-up of the loop.
        """
        self._receive_waiting()
        if len(self._addresses) >= GATHERING_HOSTS:
            self._loop.unregister(self._sock)
            self._loop.call_after(GATHER_SECONDS, self._resume_receiving)

    def _resume_receiving(self) -> None:
        self._loop.register(self._sock, selectors.EVENT_READ, self)

    def _receive_waiting(self) -> None:
        while True:
            try:
                data, source = self._sock.recvfrom(RECEIVE_BUFFER_BYTES)
            except OSError:
                return
            self.on_datagram(data, Address(source[0], self._own_address.port))

    def on_datagram(self, data: bytes, sender: Address) -> None:
        """Decode and apply one digest of another host."""
        decoded = decode_digest(data)
        if isinstance(decoded, Err):
            self._log("digest ignored", error=decoded.err_value)
        elif decoded.ok_value.host != self._host:
            # A host that started during a store outage is known only by its digests.
            self._addresses.setdefault(decoded.ok_value.host, sender)
            self._apply_digest(decoded.ok_value)

    def copy_from_newest(
        self,
        is_newer: Callable[[Digest], bool],
        apply_copy: Callable[[dict[str, Listing]], None],
    ) -> None:
        """Fetch the store copy of a live host that is ahead, in the background.

        Consider only hosts whose digest satisfies `is_newer`; call `apply_copy` with
        the result on the loop's thread.
        """
        candidates = [
            (digest, self._addresses[digest.host])
            for digest in self.live_digests
            if is_newer(digest) and digest.host in self._addresses
        ]
        self._copies.request(candidates, apply_copy)

    def _apply_digest(self, digest: Digest) -> None:
        known = self._peers.get(digest.host)
        if known is None or not _is_same_process(known, digest):
            if digest.partial:
                # Its base is unknown; the next full digest holds these loads as well.
                return
            if known is not None and self._is_late(known, digest):
                return
        elif digest.sequence <= known.sequence:
            return
        self._on_digest(digest)
        if known is None or not _is_same_process(known, digest):
            # A host that joins must know what the others keep from servers.
            self._next_digest = self._loop.now
        if known is None:
            self._log(
                "peer discovered",
                peer=digest.host,
                hosts=len(self._peers) + 2,
                protocol=digest.protocol,
            )
            known = self._peers[digest.host] = _Peer(digest, 0, self._loop.now)
        if not digest.partial:
            for server in known.loads.keys() - digest.loads.keys():
                self._on_load(server, known.loads.pop(server), -1)
        for server, load in digest.loads.items():
            self._replace_load(known, server, load)
        known.sequence, known.heard_at = digest.sequence, self._loop.now
        known.digest = known.digest.updated_by(digest)

    def _is_late(self, known: _Peer, digest: Digest) -> bool:
        """Return whether a digest is of an earlier start than the one that is known.

        Starts are told apart by the time of day, which may have been set back.
        """
        silent = self._loop.now - known.heard_at
        is_earlier = digest.incarnation < known.digest.incarnation
        return is_earlier and silent < REORDERING_SECONDS

    def _replace_load(self, peer: _Peer, server: int, load: HostLoad) -> None:
        previous = peer.loads.get(server)
        if previous == load:
            return
        if previous is not None:
            del peer.loads[server]
            self._on_load(server, previous, -1)
        if load.running:
            peer.loads[server] = load
            self._on_load(server, load, 1)

    def _expire_silent(self) -> None:
        """Subtract the loads of silent hosts; forget hosts that stay silent."""
        now = self._loop.now
        for host, peer in list(self._peers.items()):
            silent = now - peer.heard_at
            if silent >= DIGEST_LIFETIME_SECONDS and peer.loads:
                self._log("peer timed out", peer=host, seconds=round(silent, 2))
                for server, load in peer.loads.items():
                    self._on_load(server, load, -1)
                peer.loads.clear()
            if silent >= BUDGET_SHARE_SECONDS:
                del self._peers[host]


def _is_same_process(known: _Peer, digest: Digest) -> bool:
    return known.digest.incarnation == digest.incarnation
