"""How digests change the loads that a host knows of the other hosts."""

import selectors
import socket

import attrs
import pytest

from masticfork.core.backend_servers import Address
from masticfork.core.digests import Digest, HostLoad
from masticfork.core.store_position import StorePosition
from masticfork.relay.digest_codec import encode_digest
from masticfork.relay.loop import Loop
from masticfork.relay.peers import (
    GATHER_SECONDS,
    GATHERING_HOSTS,
    REORDERING_SECONDS,
    Peers,
)
from standins.common import LOOPBACK
from standins.entry_environment import free_address
from standins.fake_loop import FakeLoop

FULL = Digest(
    host="host-2",
    incarnation=1,
    sequence=1,
    configuration=1,
    servers=StorePosition(0, 1),
    loads={7: HostLoad(2, 0.6, 0.0), 8: HostLoad(1, 0.3, 1000.0)},
    rollouts=(),
)


class ReceivedLoads:
    """One host's `Peers`, and the total of running calls by server."""

    def __init__(self) -> None:
        self.running: dict[int, int] = {}
        own = free_address()
        loop = Loop()
        self._peers = Peers(
            loop,
            own,
            (),
            "host-1",
            "zone-a",
            self._add_load,
            lambda _: None,
            lambda *_, **__: None,
        )

    def _add_load(self, server: int, share: HostLoad, sign: int) -> None:
        self.running[server] = self.running.get(server, 0) + sign * share.running

    def deliver(self, digest: Digest, **changes) -> dict[int, int]:
        """Deliver a digest; return the running calls by server where not 0."""
        data = encode_digest(attrs.evolve(digest, **changes))
        self._peers.on_datagram(data, Address(LOOPBACK, 1))
        return {server: count for server, count in self.running.items() if count}


@pytest.fixture
def received():
    return ReceivedLoads()


class TestPartialDigests:
    def test_only_the_listed_loads_change(self, received: ReceivedLoads):
        received.deliver(FULL)
        one_ended = {7: HostLoad(1, 0.3, 0.0)}
        after = received.deliver(FULL, sequence=2, loads=one_ended, partial=True)
        assert after == {7: 1, 8: 1}

    def test_older_digest_is_ignored(self, received: ReceivedLoads):
        received.deliver(FULL, sequence=5)
        late = {7: HostLoad(9, 2.7, 0.0)}
        assert received.deliver(FULL, loads=late, partial=True) == {7: 2, 8: 1}

    def test_partial_digest_of_an_unknown_host_is_ignored(
        self, received: ReceivedLoads
    ):
        assert received.deliver(FULL, partial=True) == {}

    def test_partial_digest_of_a_restarted_host_waits_for_a_full_one(
        self, received: ReceivedLoads
    ):
        received.deliver(FULL)
        changes = {9: HostLoad(1, 0.3, 0.0)}
        after = received.deliver(FULL, incarnation=2, loads=changes, partial=True)
        assert after == {7: 2, 8: 1}
        after = received.deliver(FULL, incarnation=2, sequence=2, loads=changes)
        assert after == {9: 1}

    def test_full_digest_replaces_all_loads(self, received: ReceivedLoads):
        received.deliver(FULL)
        assert received.deliver(FULL, sequence=2, loads={}) == {}

    def test_load_without_running_calls_is_removed(self, received: ReceivedLoads):
        received.deliver(FULL)
        ended = {7: HostLoad(0, 0.0, 0.0)}
        assert received.deliver(FULL, sequence=2, loads=ended, partial=True) == {8: 1}
        assert received.deliver(FULL, sequence=3, loads={}) == {}


class RecordingLoop(FakeLoop):
    """A fake loop that records whether a socket is registered."""

    def __init__(self) -> None:
        super().__init__()
        self.registered = False

    def register(self, sock, events, handler) -> None:
        self.registered = True

    def unregister(self, sock) -> None:
        self.registered = False


class TestRestarts:
    """Hosts that start anew; incarnations are start times by the time of day."""

    def peers(self, loop):
        return Peers(
            loop,
            free_address(),
            (),
            "host-1",
            "zone-a",
            lambda *_: None,
            lambda _: None,
            lambda *_, **__: None,
        )

    def incarnation_known_after(self, seconds: float) -> int:
        """Return which start is known if the second one has an earlier time."""
        loop = RecordingLoop()
        peers = self.peers(loop)
        for incarnation in (5000, 3000):
            digest = attrs.evolve(FULL, incarnation=incarnation)
            peers.on_datagram(encode_digest(digest), Address(LOOPBACK, 1))
            loop.advance(seconds)
        (known,) = peers.live_digests
        return known.incarnation

    def test_host_whose_clock_was_set_back_is_heard(self):
        """Guards against a host that is ignored since its clock was ahead before."""
        assert self.incarnation_known_after(REORDERING_SECONDS) == 3000

    def test_late_datagram_of_an_earlier_start_is_ignored(self):
        assert self.incarnation_known_after(REORDERING_SECONDS / 2) == 5000


class TestGathering:
    """Pattern: 76 hosts that each send four datagrams a second."""

    def received_after_each_event(self, hosts: int) -> tuple[list[bool], RecordingLoop]:
        own, loop = free_address(), RecordingLoop()
        peers = Peers(
            loop,
            own,
            (),
            "host-1",
            "zone-a",
            lambda *_: None,
            lambda _: None,
            lambda *_, **__: None,
        )
        peers.set_hosts({f"h{n}": Address("127.0.0.9", n + 1) for n in range(hosts)})
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for sequence in range(1, 4):
                digest = attrs.evolve(FULL, sequence=sequence)
                sender.sendto(encode_digest(digest), (own.host, own.port))
            peers.on_events(selectors.EVENT_READ)
        return [digest.sequence == 3 for digest in peers.live_digests], loop

    def test_datagrams_of_many_hosts_are_gathered_before_they_are_read(self):
        received, loop = self.received_after_each_event(GATHERING_HOSTS)
        assert received == [True]
        assert not loop.registered
        loop.advance(GATHER_SECONDS)
        assert loop.registered

    def test_datagrams_of_few_hosts_are_read_at_once(self):
        received, loop = self.received_after_each_event(GATHERING_HOSTS - 2)
        assert received == [True]
        assert loop.registered
