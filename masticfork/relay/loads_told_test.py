"""What a host believes of other hosts' calls, from one datagram to the next."""

import attrs
import pytest

from masticfork.core.backend_servers import Address
from masticfork.core.digests import Digest, LoadShare
from masticfork.relay.digest_codec import encode_digest
from masticfork.relay.loop import Loop
from masticfork.relay.peers import Peers
from standins.common import LOOPBACK
from standins.entry_world import free_address

WHOLE = Digest(
    host="host-2",
    incarnation=1,
    sequence=1,
    configuration=1,
    servers=1,
    loads={7: LoadShare(2, 0.6, 0.0), 8: LoadShare(1, 0.3, 1000.0)},
    rollouts=(),
)


class Told:
    """One host's peers, and the running calls that it counts by server."""

    def __init__(self) -> None:
        self.running: dict[int, int] = {}
        own = free_address()
        loop = Loop()
        self._peers = Peers(
            loop, own, (), "host-1", self._count, lambda _: None, lambda *_, **__: None
        )

    def _count(self, server: int, share: LoadShare, sign: int) -> None:
        self.running[server] = self.running.get(server, 0) + sign * share.running

    def tell(self, digest: Digest, **changes) -> dict[int, int]:
        """Take a digest; return the calls by server that are not 0."""
        data = encode_digest(attrs.evolve(digest, **changes))
        self._peers.on_datagram(data, Address(LOOPBACK, 1))
        return {server: count for server, count in self.running.items() if count}


@pytest.fixture
def told():
    return Told()


class TestPartialDigests:
    def test_only_the_named_loads_change(self, told: Told):
        told.tell(WHOLE)
        one_ended = {7: LoadShare(1, 0.3, 0.0)}
        after = told.tell(WHOLE, sequence=2, loads=one_ended, partial=True)
        assert after == {7: 1, 8: 1}

    def test_an_older_one_changes_nothing(self, told: Told):
        told.tell(WHOLE, sequence=5)
        late = {7: LoadShare(9, 2.7, 0.0)}
        assert told.tell(WHOLE, loads=late, partial=True) == {7: 2, 8: 1}

    def test_one_of_an_unknown_host_waits_for_the_whole(self, told: Told):
        assert told.tell(WHOLE, partial=True) == {}

    def test_one_of_a_restarted_host_adds_nothing_to_its_former_calls(self, told: Told):
        told.tell(WHOLE)
        changes = {9: LoadShare(1, 0.3, 0.0)}
        after = told.tell(WHOLE, incarnation=2, loads=changes, partial=True)
        assert after == {7: 2, 8: 1}
        after = told.tell(WHOLE, incarnation=2, sequence=2, loads=changes)
        assert after == {9: 1}

    def test_a_whole_one_replaces_all(self, told: Told):
        told.tell(WHOLE)
        assert told.tell(WHOLE, sequence=2, loads={}) == {}
