"""Links between entry hosts: digests by datagram, copies of the store on demand."""

import contextlib
import json
import selectors
import socket
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
from result import Err

from masticfork.core.backend_servers import Address
from masticfork.core.deadlines import Deadline
from masticfork.core.digests import Digest, LoadShare, RolloutEvidence
from masticfork.platform.objects import Listing
from masticfork.relay.digest_codec import decode_digest, encode_digest
from masticfork.relay.loop import Loop
from masticfork.relay.mirror import from_json
from masticfork.store.connections import Call, ConnectionPool

# Pause in seconds between digests with few hosts, and the hosts beyond which it grows
# with their number, so that a host's digests stay at some kilobytes a second.
DIGEST_PAUSE = 0.3
FEW_HOSTS = 8
MOST_DIGEST_PAUSE = 1.0
# Pause in seconds in which changes of loads are gathered into one message, with up to
# so many hosts; with more it grows with their number, as messages do. Calls last for
# about a second: hosts that choose by loads of a second ago all choose one server.
CHANGE_PAUSE = 0.05
MANY_HOSTS = 12
# Age in seconds beyond which a digest counts for nothing.
DIGEST_LIFE = 3.0
# Seconds for which a silent host still shares the budget of repeats.
SHARE_LIFE = 20.0
# Time in seconds for a peer to send its copy, and the pause before the next try.
COPY_TIMEOUT = 1.0
COPY_PAUSE = 0.4
COPY_PATH = "/copy"
READ_BYTES = 65536


@attrs.define
class _Peer:
    digest: Digest
    heard_at: float


class Peers:
    """Tells other hosts of this one's work, and knows what they told last."""

    def __init__(
        self,
        loop: Loop,
        own: Address,
        seeds: tuple[str, ...],
        host: str,
        on_load: Callable[[int, LoadShare, int], None],
        on_sessions: Callable[[dict[int, int]], None],
        log: Callable[..., None],
    ) -> None:
        self._loop = loop
        self._own = own
        self._host = host
        # Called with a server's key, a share and +1 or -1 to add or take it.
        self._on_load = on_load
        self._on_sessions = on_sessions
        self._log = log
        self._incarnation = int(time.time() * 1000)
        self._sequence = 0
        # Hosts to speak to before the store has told of any.
        self._seeds = {Address(seed, own.port) for seed in seeds}
        self._addresses: dict[str, Address] = {}
        self._peers: dict[str, _Peer] = {}
        self._next_digest = 0.0
        self._next_copy = 0.0
        self._copying = False
        self._copiers = ThreadPoolExecutor(1, "copier")
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((own.host, own.port))
        self._sock.setblocking(False)
        loop.register(self._sock, selectors.EVENT_READ, self)

    @property
    def sharing_hosts(self) -> int:
        """Return the hosts that share a bound, this one included."""
        now = self._loop.now
        heard = (peer.heard_at for peer in self._peers.values())
        return 1 + sum(now - at < SHARE_LIFE for at in heard)

    @property
    def live(self) -> list[Digest]:
        """Return the digests that still count."""
        now = self._loop.now
        rows = self._peers.values()
        return [row.digest for row in rows if now - row.heard_at < DIGEST_LIFE]

    def set_hosts(self, addresses: dict[str, Address]) -> None:
        """Take in the hosts that the store tells of."""
        self._addresses |= addresses
        self._addresses.pop(self._host, None)

    def evidence(self, service: str, created: int) -> list[RolloutEvidence]:
        """Return what live hosts told of a roll-out."""
        return [
            row
            for digest in self.live
            for row in digest.rollouts
            if row.service == service and row.created == created
        ]

    @property
    def change_pause(self) -> float:
        """Return the pause in seconds before changes of loads are told."""
        return CHANGE_PAUSE * max(1.0, len(self._addresses) / MANY_HOSTS)

    def is_due(self) -> bool:
        """Tell whether it is time for the next digest."""
        self._drop_silent()
        return self._loop.now >= self._next_digest

    def tell(self, digest: Digest) -> None:
        """Send a digest to all hosts."""
        if not digest.partial:
            crowd = max(1.0, len(self._addresses) / FEW_HOSTS)
            pause = min(MOST_DIGEST_PAUSE, DIGEST_PAUSE * crowd)
            self._next_digest = self._loop.now + pause
        self._sequence += 1
        data = encode_digest(
            attrs.evolve(digest, incarnation=self._incarnation, sequence=self._sequence)
        )
        for address in {*self._addresses.values(), *self._seeds} - {self._own}:
            # A datagram that cannot be sent is as good as lost; the next one follows.
            with contextlib.suppress(OSError):
                self._sock.sendto(data, (address.host, address.port))

    def on_events(self, events: int) -> None:
        """Take the digests that came."""
        while True:
            try:
                data, source = self._sock.recvfrom(READ_BYTES)
            except OSError:
                return
            self.on_datagram(data, Address(source[0], self._own.port))

    def on_datagram(self, data: bytes, sender: Address) -> None:
        """Take one digest of another host."""
        decoded = decode_digest(data)
        if isinstance(decoded, Err):
            self._log("digest ignored", error=decoded.err_value)
        elif decoded.ok_value.host != self._host:
            # A host that started in an outage is known only by its digests.
            self._addresses.setdefault(decoded.ok_value.host, sender)
            self._take(decoded.ok_value)

    def copy_from_newest(
        self,
        newer: Callable[[Digest], bool],
        take: Callable[[dict[str, Listing]], None],
    ) -> None:
        """Fetch the store's copy of a live host that knows more than this one."""
        if self._copying or self._loop.now < self._next_copy:
            return
        known = [d for d in self.live if newer(d) and d.host in self._addresses]
        if not known:
            return
        best = max(known, key=lambda d: (d.configuration, d.servers))
        self._copying = True
        address = self._addresses[best.host]
        self._log("copy asked", peer=best.host, configuration=best.configuration)

        def fetch() -> None:
            copied = _fetch(address)
            self._loop.post(lambda: self._copied(best.host, copied, take))

        self._copiers.submit(fetch)

    def _copied(
        self,
        host: str,
        copied: dict[str, Listing] | str,
        take: Callable[[dict[str, Listing]], None],
    ) -> None:
        self._copying = False
        self._next_copy = self._loop.now + COPY_PAUSE
        if isinstance(copied, str):
            self._log("copy failed", peer=host, error=copied)
        else:
            take(copied)

    def _take(self, digest: Digest) -> None:
        known = self._peers.get(digest.host)
        if digest.partial and not _is_same_process(known, digest):
            # What it adds to is not known yet; the next whole digest holds it too.
            return
        changed = set(digest.loads)
        if known is not None:
            order = (known.digest.incarnation, known.digest.sequence)
            if (digest.incarnation, digest.sequence) <= order:
                return
            if not digest.partial:
                changed |= set(known.digest.loads)
            self._count(known.digest, changed, -1)
            holds = known.digest.followed_by(digest)
        else:
            self._log("peer heard", peer=digest.host, hosts=len(self._peers) + 2)
            holds = digest
        self._count(holds, changed, 1)
        self._on_sessions(digest.sessions)
        self._peers[digest.host] = _Peer(holds, self._loop.now)

    def _drop_silent(self) -> None:
        """Take back the loads of hosts that have been silent."""
        now = self._loop.now
        for host, peer in list(self._peers.items()):
            silent = now - peer.heard_at
            if silent >= DIGEST_LIFE and peer.digest.loads:
                self._log("peer silent", peer=host, seconds=round(silent, 2))
                self._count(peer.digest, peer.digest.loads.keys(), -1)
                peer.digest = attrs.evolve(peer.digest, loads={})
            if silent >= SHARE_LIFE:
                del self._peers[host]

    def _count(self, digest: Digest, servers: Iterable[int], sign: int) -> None:
        """Add a host's loads at some servers, or take them back."""
        for server in servers:
            load = digest.loads.get(server)
            if load is not None:
                self._on_load(server, load, sign)


def _is_same_process(known: _Peer | None, digest: Digest) -> bool:
    return known is not None and known.digest.incarnation == digest.incarnation


def _fetch(address: Address) -> dict[str, Listing] | str:
    """Return a peer's copy of the store, or why there is none."""
    pool = ConnectionPool(str(address), time.monotonic)
    deadline = Deadline.after(time.monotonic(), COPY_TIMEOUT)
    outcome = pool.exchange(Call("GET", COPY_PATH, deadline), fresh=True)
    pool.close()
    if isinstance(outcome, Err):
        return outcome.err_value.message
    try:
        value: Any = json.loads(outcome.ok_value.body)
        return from_json(value)
    except ValueError as error:
        return str(error)
