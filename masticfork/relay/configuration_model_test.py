"""Any order of lists, changes and peers' copies, against the real view of the store."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from masticfork.platform import names
from masticfork.platform.objects import Changes, Listing, ObjectChange, PlatformObject
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.store_view import StoreView
from masticfork.relay.tables import Tables
from masticfork.store.client import ErrorKind, PlatformError
from standins.entry_world import configuration
from standins.fake_loop import FakeLoop


class NoPeers:
    """Peers whose copies the test hands over itself."""

    def copy_from_newest(self, newer: Any, take: Any) -> None:
        """Keep what takes a copy."""
        self.take = take


def _ignore(message: str, **fields: object) -> None:
    """Log nothing."""


class ConfigurationOrder(RuleBasedStateMachine):
    """One host's view of the configuration, which the store and peers tell it."""

    @initialize()
    def begin(self) -> None:
        loop: Any = FakeLoop()
        self.tables = Tables(loop, _ignore)
        self.peers = NoPeers()
        self.view = StoreView(
            loop,
            self.tables,
            self.peers,  # type: ignore[arg-type]
            RelayMetrics(),
            _ignore,
        )
        # What the store holds: the object after each write, oldest first.
        self.written: list[PlatformObject] = []
        self.told = 0
        self.highest = 0

    def _object(self, version: int, spec: Any) -> PlatformObject:
        return PlatformObject(names.CONFIG_NAME, 10 + version, 1, spec, None)

    def _tell(self, objects: list[PlatformObject]) -> None:
        """Remember the newest version that the host was told of."""
        for found in objects:
            if isinstance(found.spec, dict):
                self.told = max(self.told, found.spec["version"])

    @rule(gap=st.integers(1, 5), readable=st.booleans())
    def operator_writes(self, gap: int, readable: bool) -> None:
        last = self.written[-1].revision - 10 if self.written else 0
        spec = configuration(last + gap) if readable else "not a configuration"
        self.written.append(self._object(last + gap, spec))

    @rule(data=st.data())
    def list_comes(self, data: st.DataObject) -> None:
        self.view.on_listing(names.KIND_CONFIG, self._some_listing(data))

    @rule(data=st.data())
    def peer_sends_its_copy(self, data: st.DataObject) -> None:
        self.view.on_store_failure(
            names.KIND_CONFIG, PlatformError(ErrorKind.UNAVAILABLE, "down")
        )
        self.view.run(0.0)
        self.peers.take({names.KIND_CONFIG: self._some_listing(data)})

    @rule(data=st.data())
    def changes_come(self, data: st.DataObject) -> None:
        """Any part of the history, also one that was told before."""
        first = data.draw(st.integers(0, len(self.written)))
        last = data.draw(st.integers(first, len(self.written)))
        objects = self.written[first:last]
        revision = objects[-1].revision if objects else 1
        changes = tuple(ObjectChange(found, deleted=False) for found in objects)
        self.view.on_changes(names.KIND_CONFIG, Changes(changes, revision))
        self._tell(objects)

    def _some_listing(self, data: st.DataObject) -> Listing:
        """Return the store as it was at some time; lists may be stale."""
        upto = data.draw(st.integers(0, len(self.written)))
        objects = self.written[max(0, upto - 1) : upto]
        self._tell(objects)
        return Listing(tuple(objects), objects[-1].revision if objects else 1)

    @invariant()
    def never_goes_back_and_is_the_newest_told(self) -> None:
        routes = self.tables.routes
        version = 0 if routes is None else routes.version
        assert version >= self.highest
        assert version <= self.told
        self.highest = version


TestConfigurationOrder = ConfigurationOrder.TestCase
TestConfigurationOrder.settings = settings(
    max_examples=100, deadline=None, derandomize=True
)
