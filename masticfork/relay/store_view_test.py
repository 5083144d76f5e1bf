"""Entries of servers that go missing while calls to the store fail."""

import attrs
import pytest

from masticfork.core.digests import Digest, KindUpdate
from masticfork.core.store_position import StorePosition
from masticfork.platform import names
from masticfork.platform.objects import Changes, Listing, ObjectChange, PlatformObject
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.mirror import encode_changes
from masticfork.relay.store_view import (
    MIRRORED_KINDS,
    STORE_RECOVERY_SECONDS,
    StoreView,
)
from masticfork.relay.tables import MISSING_GRACE_SECONDS, Tables
from masticfork.store.client import ErrorKind, PlatformError
from standins.fake_loop import FakeLoop

ENTRY = PlatformObject(
    "i-1",
    5,
    5,
    {
        "service": "desk",
        "address": "127.0.0.1:1000",
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "born": 1_700_000_000_000,
    },
    None,
)
READER = Digest("host-2", 1, 1, 0, StorePosition(0, 5), {}, (), reading=True)


def ignore(*args, **fields):
    pass


class FakePeers:
    """Digests of other hosts, set by the test."""

    def __init__(self):
        self.live_digests = []


class View:
    """The view of a host whose own calls to the store fail."""

    def __init__(self):
        self.loop = FakeLoop(100.0)
        self.tables = Tables(self.loop, ignore)
        self.peers = FakePeers()
        self.view = StoreView(
            self.loop, self.tables, self.peers, RelayMetrics(), ignore, ignore, ignore
        )
        self.view.on_listing(names.KIND_SERVERS, Listing((ENTRY,), 5))

    def fail_for(self, seconds, digests):
        self.peers.live_digests = digests
        for _ in range(round(seconds / 0.25)):
            self.loop.advance(0.25)
            error = PlatformError(ErrorKind.UNAVAILABLE, "turned away")
            self.view.on_store_failure(names.KIND_HOSTS, error)
            self.view.run(self.loop.now, reading=False)

    def remove_entry(self):
        removed = attrs.evolve(ENTRY, revision=6)
        changes = Changes((ObjectChange(removed, deleted=True),), 6)
        self.view.on_changes(names.KIND_SERVERS, changes)

    @property
    def server_is_used(self):
        return self.tables.row("i-1") is not None


@pytest.fixture()
def view():
    return View()


class TestMissingEntries:
    def test_server_that_leaves_while_only_this_host_is_turned_away_goes_at_once(
        self, view
    ):
        """Guards against requests to a server that left, by a host that was cut off."""
        view.fail_for(STORE_RECOVERY_SECONDS + 1.0, [READER])
        view.remove_entry()
        assert not view.server_is_used

    def test_entry_that_went_missing_in_an_outage_of_all_may_return(self, view):
        failing = attrs.evolve(READER, store_failing=True)
        view.fail_for(STORE_RECOVERY_SECONDS + 1.0, [failing])
        view.remove_entry()
        assert view.server_is_used
        view.loop.advance(MISSING_GRACE_SECONDS + 0.1)
        assert not view.server_is_used

    def test_outage_that_has_just_ended_for_the_others_counts(self, view):
        """Guards against entries that have lapsed and are not written again yet."""
        view.fail_for(3.0, [attrs.evolve(READER, store_failing=True)])
        view.fail_for(1.0, [READER])
        view.remove_entry()
        assert view.server_is_used

    def test_host_without_peers_relies_on_its_own_calls(self, view):
        view.fail_for(STORE_RECOVERY_SECONDS + 1.0, [])
        view.remove_entry()
        assert view.server_is_used


class TestReturnOfTheStore:
    """Guards against a grace that outlasts the return of the store (review case 10)."""

    DOWN = PlatformError(ErrorKind.UNAVAILABLE, "no answer")

    def answer(self, view):
        view.view.on_changes(names.KIND_ROLLOUTS, Changes((), 5))

    def test_grace_counts_from_the_first_answer(self, view):
        view.view.on_store_failure(names.KIND_SERVERS, self.DOWN)
        self.answer(view)
        view.loop.advance(MISSING_GRACE_SECONDS - 0.3)
        self.answer(view)
        view.remove_entry()
        assert view.server_is_used
        view.loop.advance(0.4)
        assert not view.server_is_used

    def test_call_that_began_before_the_latest_answer_is_no_new_failure(self, view):
        view.view.on_store_failure(names.KIND_SERVERS, self.DOWN)
        self.answer(view)
        view.loop.advance(MISSING_GRACE_SECONDS + 0.1)
        late = attrs.evolve(self.DOWN, outdated=True)
        view.view.on_store_failure(names.KIND_CONFIG, late)
        view.remove_entry()
        assert not view.server_is_used

    def test_history_that_has_expired_is_no_failure(self, view):
        gone = PlatformError(ErrorKind.GONE, "410", outdated=True)
        view.view.on_store_failure(names.KIND_SERVERS, gone)
        view.view.on_listing(names.KIND_SERVERS, Listing((), 6))
        assert not view.server_is_used

    def test_unanswered_probes_are_a_failure(self, view):
        view.view.on_probe(False)
        view.view.on_probe(True)
        view.remove_entry()
        assert view.server_is_used

    def test_host_that_does_not_read_relies_on_the_readers(self, view):
        """Guards against requests to servers that left, by hosts that do not read."""
        view.view.run(view.loop.now, reading=False)
        failing = attrs.evolve(READER, store_failing=True, entries_return=0.5)
        view.fail_for(1.0, [failing])
        view.view.apply_updates(failing)
        view.loop.advance(0.6)
        removed = attrs.evolve(ENTRY, revision=6)
        data = encode_changes([ObjectChange(removed, deleted=True)])
        update = KindUpdate(self.SERVERS, StorePosition(0, 5), 6, data)
        view.view.apply_updates(
            attrs.evolve(failing, entries_return=0.0, updates=(update,))
        )
        assert not view.server_is_used

    SERVERS = list(MIRRORED_KINDS).index(names.KIND_SERVERS)


class TestEntriesOfOtherWriters:
    """Guards against entries that name nothing and are kept, and sent to peers."""

    SERVERS = list(MIRRORED_KINDS).index(names.KIND_SERVERS)

    def fingerprint(self, view):
        return view.view.kind_states[self.SERVERS].fingerprint

    def test_entry_that_names_no_server_is_not_mirrored(self, view):
        before = self.fingerprint(view)
        other = attrs.evolve(ENTRY, name="other", revision=6, spec={"address": []})
        changes = Changes((ObjectChange(other, deleted=False),), 6)
        view.view.on_changes(names.KIND_SERVERS, changes)
        assert view.view.servers_position.revision == 6
        assert self.fingerprint(view) == before
        view.view.on_listing(names.KIND_SERVERS, Listing((ENTRY, other), 7))
        assert self.fingerprint(view) == before
        assert view.server_is_used

    def test_entry_that_names_a_server_no_more_is_removed(self, view):
        spoilt = attrs.evolve(ENTRY, revision=6, spec={"state": "ready"})
        changes = Changes((ObjectChange(spoilt, deleted=False),), 6)
        view.view.on_changes(names.KIND_SERVERS, changes)
        assert self.fingerprint(view) == 0
        assert not view.server_is_used
