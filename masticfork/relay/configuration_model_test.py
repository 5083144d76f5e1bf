"""Model test of a host's configuration under stale and reordered store reads.

Listings, changes and peers' copies arrive in any order; the version in force must never
decrease.
"""

from typing import Any, ClassVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from masticfork.platform import names
from masticfork.platform.objects import Changes, Listing, ObjectChange, PlatformObject
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.store_view import StoreView
from masticfork.relay.tables import Tables
from masticfork.store.client import ErrorKind, PlatformError
from standins.entry_environment import configuration
from standins.fake_loop import FakeLoop


class FakePeers:
    """Stand-in for `Peers`; the test passes copies to the host itself."""

    live_digests: ClassVar[list[Any]] = []

    def copy_from_newest(self, is_newer: Any, apply_copy: Any) -> None:
        """Keep the callback that applies a copy."""
        self.apply_copy = apply_copy


def _ignore(message: str, **fields: object) -> None:
    """Log nothing."""


class ConfigurationMachine(RuleBasedStateMachine):
    """One host that receives configurations from the store and from peers."""

    @initialize()
    def begin(self) -> None:
        loop: Any = FakeLoop()
        self.tables = Tables(loop, _ignore)
        self.peers = FakePeers()
        self.view = StoreView(
            loop,
            self.tables,
            self.peers,  # type: ignore[arg-type]
            RelayMetrics(),
            _ignore,
            lambda: None,
            lambda: None,
        )
        # The object in the store after each write, oldest first.
        self.written: list[PlatformObject] = []
        self.newest_received = 0
        self.highest = 0

    def _object(self, version: int, spec: Any) -> PlatformObject:
        return PlatformObject(names.CONFIG_NAME, 10 + version, 1, spec, None)

    def _record_received(self, objects: list[PlatformObject]) -> None:
        """Record the newest version that the host has received."""
        for stored in objects:
            if isinstance(stored.spec, dict):
                self.newest_received = max(self.newest_received, stored.spec["version"])

    @rule(gap=st.integers(1, 5), readable=st.booleans())
    def operator_writes(self, gap: int, readable: bool) -> None:
        last = self.written[-1].revision - 10 if self.written else 0
        spec = configuration(last + gap) if readable else "not a configuration"
        self.written.append(self._object(last + gap, spec))

    @rule(data=st.data())
    def listing_arrives(self, data: st.DataObject) -> None:
        self.view.on_listing(names.KIND_CONFIG, self._draw_listing(data))

    @rule(data=st.data())
    def peer_copy_arrives(self, data: st.DataObject) -> None:
        self.view.on_store_failure(
            names.KIND_CONFIG, PlatformError(ErrorKind.UNAVAILABLE, "down")
        )
        self.view._apply_copy({names.KIND_CONFIG: self._draw_listing(data)})

    @rule(data=st.data())
    def changes_arrive(self, data: st.DataObject) -> None:
        """Deliver any part of the history, possibly once more."""
        first = data.draw(st.integers(0, len(self.written)))
        last = data.draw(st.integers(first, len(self.written)))
        objects = self.written[first:last]
        revision = objects[-1].revision if objects else 1
        changes = tuple(ObjectChange(stored, deleted=False) for stored in objects)
        self.view.on_changes(names.KIND_CONFIG, Changes(changes, revision))
        self._record_received(objects)

    def _draw_listing(self, data: st.DataObject) -> Listing:
        """Return the state of the store at any earlier time; listings may be stale."""
        write_count = data.draw(st.integers(0, len(self.written)))
        objects = self.written[max(0, write_count - 1) : write_count]
        self._record_received(objects)
        return Listing(tuple(objects), objects[-1].revision if objects else 1)

    @invariant()
    def version_never_decreases_nor_exceeds_the_newest_received(self) -> None:
        routes = self.tables.routes
        version = 0 if routes is None else routes.version
        assert version >= self.highest
        assert version <= self.newest_received
        self.highest = version


TestConfigurationUpdates = ConfigurationMachine.TestCase
TestConfigurationUpdates.settings = settings(
    max_examples=100, deadline=None, derandomize=True
)
