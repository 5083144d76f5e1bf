"""Model test of hosts whose store comes back from an older copy.

Writes since the copy are lost, and revisions are given out again. Listings and changes
arrive late, also from before a restoration; writes are lost, delayed and repeated;
hosts pause, restart and copy from each other.
"""

import copy
from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Err, Ok, Result

from masticfork.core.backend_servers import (
    Address,
    BackendServer,
    RolloutProgress,
    RolloutState,
)
from masticfork.core.deadlines import Deadline
from masticfork.core.store_position import StorePosition
from masticfork.platform import names
from masticfork.platform.objects import Changes, Listing, ObjectChange, PlatformObject
from masticfork.platform.server_format import decode_rollout
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.mirror import decode_copy, encode_copy
from masticfork.relay.rollout_controller import (
    MAX_WRITE_DELAY_SECONDS,
    RolloutController,
)
from masticfork.relay.store_view import MIRRORED_KINDS, StoreView
from masticfork.relay.tables import RESTORED_ENTRY_PAUSE_SECONDS, Tables
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.version_shift import ResponseTime
from standins.entry_environment import configuration
from standins.fake_loop import FakeLoop, SynchronousExecutor

HOSTS = 3
ORDER = {"service": "s", "target": "v2", "duration_s": 30.0}
SERVER_ENTRY = {
    "service": "s",
    "address": "127.0.0.1:1000",
    "zone": "zone-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "born": 7,
}


@attrs.define
class StoreState:
    """What a copy of the store holds: objects by kind and name, and the revision."""

    objects: dict[str, dict[str, PlatformObject]]
    revision: int


class FakeStore:
    """A store that the test restores from copies; each change is one event."""

    def __init__(self) -> None:
        self.state = StoreState({kind: {} for kind in MIRRORED_KINDS}, 1)
        self.era = 1
        self.events: list[tuple[int, str, ObjectChange]] = []
        self.outcome = "answered"
        self.delayed: list[tuple[int, Any]] = []

    def put(self, kind: str, name: str, spec: Any = None, status: Any = None) -> None:
        """Create or replace an object; a missing spec or status stays as it was."""
        self.state.revision += 1
        known = self.state.objects[kind].get(name)
        stored = PlatformObject(
            name,
            self.state.revision,
            known.created if known else self.state.revision,
            spec or (known and known.spec),
            status or (known and known.status),
        )
        self.state.objects[kind][name] = stored
        self._add_event(kind, ObjectChange(stored, deleted=False))

    def remove(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        stored = self.state.objects[kind].pop(name, None)
        if stored is not None:
            self.state.revision += 1
            self._add_event(kind, ObjectChange(stored, deleted=True))

    def restore(self, saved: StoreState) -> None:
        """Come back from a copy in the next era."""
        self.state = copy.deepcopy(saved)
        self.events = [e for e in self.events if e[0] <= self.state.revision]
        self.era += 1

    def listing(self, kind: str) -> Listing:
        objects = tuple(self.state.objects[kind].values())
        return Listing(objects, self.state.revision, self.era)

    def changes(self, kind: str, since: int) -> Changes:
        changes = [e[2] for e in self.events if e[0] > since and e[1] == kind]
        return Changes(tuple(changes), self.state.revision, self.era)

    def replace_status(
        self,
        kind: str,
        name: str,
        status: Any,
        position: StorePosition,
        deadline: Deadline,
    ) -> Result[PlatformObject, PlatformError]:
        no_answer = Err(PlatformError(ErrorKind.UNKNOWN, "no answer"))
        if self.outcome == "lost":
            return no_answer
        if self.outcome == "delayed":
            self.delayed.append((position.revision, status))
            return no_answer
        written = self.write(position.revision, status)
        if self.outcome == "answer lost" or position.era != self.era:
            return no_answer
        if not written:
            return Err(PlatformError(ErrorKind.CONFLICT, ""))
        return Ok(self.state.objects[kind][name])

    def write(self, revision: int, status: Any) -> bool:
        """Write the rollout's status if it is at a revision; the era is not checked."""
        held = self.state.objects[names.KIND_ROLLOUTS].get("s")
        if held is None or held.revision != revision:
            return False
        self.put(names.KIND_ROLLOUTS, "s", status=status)
        return True

    def _add_event(self, kind: str, change: ObjectChange) -> None:
        self.events.append((self.state.revision, kind, change))


class FakePeers:
    """Stand-in for `Peers`; the test passes copies to the host itself."""

    def copy_from_newest(self, is_newer: Any, apply_copy: Any) -> None:
        """Do nothing."""


class Host:
    """Tables, store view and rollout controller of one host."""

    def __init__(self, name: str, store: FakeStore, time: float) -> None:
        loop: Any = FakeLoop(time)
        self.loop = loop
        self.store = store
        self.tables = Tables(loop, _ignore)
        self.restorations = 0
        self.view = StoreView(
            loop,
            self.tables,
            FakePeers(),  # type: ignore[arg-type]
            RelayMetrics(),
            _ignore,
            self._on_restored,
            lambda: None,
        )
        self.controller = RolloutController(
            loop,
            store,  # type: ignore[arg-type]
            self.tables,
            name,
            _ignore,
            lambda service, created: [],
            ExposureLimit(0.15, 30.0),
            lambda: 4,
            executor=SynchronousExecutor(),
        )
        # Position from which each kind's watch goes on, None to list it first.
        self.positions: dict[str, StorePosition | None] = dict.fromkeys(MIRRORED_KINDS)
        # Greatest values seen, which must never decrease.
        self.version = 0
        self.stage = (0, 0)
        # Loop time until which the server may get no calls.
        self.excluded_until = 0.0

    def _on_restored(self) -> None:
        self.restorations += 1

    def read(self, kind: str) -> None:
        """Make the follower's next call, which lists or watches."""
        position = self.positions[kind]
        if position is not None:
            changes = self.store.changes(kind, position.revision)
            gone = position.revision > self.store.state.revision
            if changes.era == position.era and not gone:
                self.positions[kind] = changes.position
                self.view.on_changes(kind, changes)
                return
        listing = self.store.listing(kind)
        self.positions[kind] = listing.position
        self.deliver_listing(kind, listing)

    def deliver_listing(self, kind: str, listing: Listing) -> None:
        row = self.tables.row("i-1")
        was_draining = row is not None and row.server.draining
        before = self.restorations
        self.view.on_listing(kind, listing)
        row = self.tables.row("i-1")
        restored = self.restorations > before or kind == names.KIND_SERVERS
        if restored and was_draining and row is not None and not row.server.draining:
            self.excluded_until = self.loop.now + RESTORED_ENTRY_PAUSE_SECONDS


def _ignore(message: str, **fields: object) -> None:
    """Log nothing."""


def _stage(progress: RolloutProgress) -> tuple[int, int]:
    if progress.state in (RolloutState.DONE, RolloutState.ROLLED_BACK):
        return 2, 0
    return int(progress.state is RolloutState.RUNNING), progress.step


class RestorationMachine(RuleBasedStateMachine):
    """Operators, servers and hosts of a store that is restored now and then."""

    @initialize()
    def begin(self) -> None:
        self.store = FakeStore()
        self.time = 0.0
        self.written_version = 1
        # Often the copy is from before the order.
        self.copies = [copy.deepcopy(self.store.state)]
        self.server_state = "ready"
        self.store.put(names.KIND_CONFIG, names.CONFIG_NAME, configuration(1))
        self.store.put(names.KIND_SERVERS, "i-1", SERVER_ENTRY)
        self.copies.append(copy.deepcopy(self.store.state))
        self.store.put(names.KIND_ROLLOUTS, "s", ORDER)
        self.late_listings: list[tuple[str, Listing]] = []
        self.names = [f"host-{number}" for number in range(HOSTS)]
        self.hosts = [Host(name, self.store, 0.0) for name in self.names]
        for host in self.hosts:
            self._read_all(host)

    # The store, its operator and its servers.

    @rule()
    def copy_is_taken(self) -> None:
        self.copies.append(copy.deepcopy(self.store.state))

    @rule(
        data=st.data(),
        seconds=st.sampled_from([0.0, 1.0]),
        readers=st.integers(0, HOSTS),
    )
    def store_is_restored(
        self, data: st.DataObject, seconds: float, readers: int
    ) -> None:
        self.store.restore(data.draw(st.sampled_from(self.copies)))
        # Copies of the lost changes are gone too.
        self.copies = [copy.deepcopy(self.store.state)]
        self._advance(seconds)
        for host in self.hosts[:readers]:
            self._read_all(host)

    @rule()
    def operator_and_server_write_again(self) -> None:
        spec = configuration(self.written_version)
        self.store.put(names.KIND_CONFIG, names.CONFIG_NAME, spec)
        self.store.put(names.KIND_ROLLOUTS, "s", ORDER)
        if self.server_state == "gone":
            self.store.remove(names.KIND_SERVERS, "i-1")
        else:
            entry = {**SERVER_ENTRY, "state": self.server_state}
            self.store.put(names.KIND_SERVERS, "i-1", entry)

    @rule()
    def operator_changes_the_configuration(self) -> None:
        self.written_version += 2
        spec = configuration(self.written_version)
        self.store.put(names.KIND_CONFIG, names.CONFIG_NAME, spec)

    @rule()
    def server_drains_and_leaves(self) -> None:
        if self.server_state == "ready":
            self.server_state = "draining"
            entry = {**SERVER_ENTRY, "state": "draining"}
            self.store.put(names.KIND_SERVERS, "i-1", entry)
        else:
            self.server_state = "gone"
            self.store.remove(names.KIND_SERVERS, "i-1")

    # The hosts.

    @rule(host=st.integers(0, HOSTS - 1), kind=st.sampled_from(MIRRORED_KINDS))
    def host_reads(self, host: int, kind: str) -> None:
        self.hosts[host].read(kind)

    @rule(kind=st.sampled_from(MIRRORED_KINDS))
    def listing_is_delayed(self, kind: str) -> None:
        self.late_listings.append((kind, self.store.listing(kind)))

    @rule(host=st.integers(0, HOSTS - 1), data=st.data())
    def delayed_listing_arrives(self, host: int, data: st.DataObject) -> None:
        if self.late_listings:
            kind, listing = data.draw(st.sampled_from(self.late_listings))
            self.hosts[host].deliver_listing(kind, listing)

    @rule(host=st.integers(0, HOSTS - 1), peer=st.integers(0, HOSTS - 1))
    def host_copies_from_a_peer(self, host: int, peer: int) -> None:
        page = encode_copy(self.hosts[peer].view._mirrors)
        for kind, listing in decode_copy(page).items():
            known = self.hosts[host].view._mirrors[kind].position
            if kind != names.KIND_SERVERS or listing.position > known:
                self.hosts[host].view._apply_copy({kind: listing})

    @rule(
        host=st.integers(0, HOSTS - 1),
        outcome=st.sampled_from(["answered", "answered", "answer lost", "delayed"]),
        reads=st.booleans(),
        seconds=st.sampled_from([0.1, 0.5, 6.0]),
    )
    def host_runs(self, host: int, outcome: str, reads: bool, seconds: float) -> None:
        self.store.outcome = outcome
        if reads:
            self._read_all(self.hosts[host])
        for elapsed in (seconds, MAX_WRITE_DELAY_SECONDS):
            self._advance(elapsed)
            self.hosts[host].controller.run(self.time)

    @rule(host=st.integers(0, HOSTS - 1), failed=st.booleans())
    def answers_arrive(self, host: int, failed: bool) -> None:
        for _ in range(10):
            self.hosts[host].controller.record_answer(
                _server("v2"), "r", failed, ResponseTime(0, 0.1), self.time
            )

    @rule(host=st.integers(0, HOSTS - 1))
    def host_is_restarted(self, host: int) -> None:
        self.hosts[host] = Host(self.names[host], self.store, self.time)
        self._read_all(self.hosts[host])

    @rule()
    def delayed_writes_arrive(self) -> None:
        delayed, self.store.delayed = self.store.delayed, []
        for revision, status in delayed:
            self.store.write(revision, status)

    # What must hold.

    @invariant()
    def configuration_never_goes_back(self) -> None:
        for host in self.hosts:
            table = host.tables.routes
            version = 0 if table is None else table.version
            assert version >= host.version
            host.version = version

    @invariant()
    def progress_never_goes_back(self) -> None:
        for host in self.hosts:
            rollout = host.tables.rollouts.get("s")
            if rollout is not None:
                assert _stage(rollout.progress) >= host.stage
                host.stage = _stage(rollout.progress)

    @invariant()
    def version_rolled_back_is_not_offered_again(self) -> None:
        for host in self.hosts:
            rollout = host.tables.rollouts.get("s")
            if rollout is None or rollout.progress.state is not (
                RolloutState.ROLLED_BACK
            ):
                continue
            rows: Any = [_Row(_server("v1")), _Row(_server("v2"))]
            chosen = host.controller.eligible("s", "r", "session", None, rows)
            assert [row.server.version for row in chosen] == ["v1"]

    @invariant()
    def server_that_left_gets_no_calls_from_an_older_copy(self) -> None:
        for host in self.hosts:
            row = host.tables.row("i-1")
            if row is not None and self.time < host.excluded_until:
                assert not row.accepts_calls(self.time)

    def teardown(self) -> None:
        """Check that the store regains the progress that live hosts know of."""
        if not hasattr(self, "store"):
            return
        self.operator_and_server_write_again()
        self.store.outcome = "answered"
        known = [
            _stage(rollout.progress)
            for host in self.hosts
            if (rollout := host.tables.rollouts.get("s")) is not None
        ]
        for _ in range(2 * HOSTS):
            for host in self.hosts:
                self._read_all(host)
                self._advance(MAX_WRITE_DELAY_SECONDS)
                host.controller.run(self.time)
                self._advance(MAX_WRITE_DELAY_SECONDS)
                host.controller.run(self.time)
        held = self.store.state.objects[names.KIND_ROLLOUTS].get("s")
        if held is not None and known:
            stored = decode_rollout(held).unwrap().progress
            assert _stage(stored) >= max(known)
        for host in self.hosts:
            assert host.tables.routes is not None
            assert host.tables.routes.version == self.written_version

    def _advance(self, seconds: float) -> None:
        self.time += seconds
        for host in self.hosts:
            host.loop.advance(self.time - host.loop.now)

    def _read_all(self, host: Host) -> None:
        for kind in MIRRORED_KINDS:
            host.read(kind)


@attrs.frozen
class _Row:
    server: BackendServer


def _server(version: str) -> BackendServer:
    address = Address("127.0.0.1", 1000)
    return BackendServer(f"i-{version}", "s", address, "zone-a", version, 6, False)


TestRestoredStore = RestorationMachine.TestCase
TestRestoredStore.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
