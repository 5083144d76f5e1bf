"""Model of the time after which a host has a new configuration in force.

The host under test reaches the store. Of the other hosts any may stand still from any
moment on, and those that run may fail to send their copy of the store.
"""

import attrs
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from masticfork.core.backend_servers import Address
from masticfork.core.digests import Digest
from masticfork.core.store_position import StorePosition
from masticfork.platform import names
from masticfork.platform.objects import Changes, Listing, ObjectChange, PlatformObject
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.reader_duty import ReaderDuty
from masticfork.relay.store_copies import COPY_TIMEOUT_SECONDS, StoreCopies
from masticfork.relay.store_view import StoreView
from masticfork.relay.tables import Tables
from standins.entry_environment import configuration
from standins.fake_loop import FakeLoop

STEP_SECONDS = 0.05
TICK_STEPS = 5
# Times of the model: a copy, and a call to the store.
COPY_SECONDS = 0.1
STORE_SECONDS = 0.05
# Times between digests of a host, and between the change and the first word of it.
DIGEST_SECONDS = 0.35
FIRST_WORD_SECONDS = 0.1
CHANGED_AT = 3.0
BOUNDS = (2.0, 3.0)


@attrs.frozen
class Other:
    """What becomes of another host; times in seconds after the change."""

    zone: str
    reading: bool
    # When it stands still for good, None if it goes on.
    stands_still_at: float | None
    # Whether it answers requests for its copy.
    gives_copies: bool = True


def _ignore(message, **fields):
    pass


class FakePeers:
    """The digests of the other hosts that have arrived by now."""

    def __init__(self, loop, fetcher):
        self._loop = loop
        self._copies = StoreCopies(loop, "z0", fetcher, _ignore)
        self.heard = {}

    def recent_digests(self, seconds):
        now = self._loop.now
        return [digest for digest, at in self.heard.values() if now - at < seconds]

    @property
    def live_digests(self):
        return self.recent_digests(3.0)

    def copy_from_newest(self, is_newer, apply_copy):
        candidates = [
            (digest, Address(digest.host, 1))
            for digest in self.live_digests
            if is_newer(digest)
        ]
        self._copies.request(candidates, apply_copy)


class FakeFollower:
    """Reads the configuration from the store while it is not paused."""

    kind = names.KIND_CONFIG

    def __init__(self, model):
        self._model = model

    def pause(self):
        self._model.follows = False

    def resume(self, position):
        self._model.follows = True
        self._model.read_soon()


class Model:
    """The host under test among others."""

    def __init__(self, others, bound):
        self.loop = FakeLoop()
        self.others = {f"host-{n}": other for n, other in enumerate(others)}
        self.follows = True
        self._watch_answered = self._told = False
        self.tables = Tables(self.loop, _ignore)
        self.peers = FakePeers(self.loop, self)
        self.view = StoreView(
            self.loop,
            self.tables,
            self.peers,
            RelayMetrics(),
            _ignore,
            lambda: None,
            lambda: None,
        )
        first = Listing((self._spec(1),), 5)
        self.view.on_listing(names.KIND_CONFIG, first)
        self.view.on_listing(names.KIND_SERVERS, Listing((), 5))
        self.view.on_listing(names.KIND_ROLLOUTS, Listing((), 5))
        self.duty = ReaderDuty(
            self.loop,
            "me",
            "z0",
            self.tables,
            self.peers,
            self.view,
            [FakeFollower(self)],
            _ignore,
            lambda: bound,
        )

    @property
    def version(self):
        return self.tables.routes.version

    def _spec(self, version):
        return PlatformObject("main", 4 * version, 1, configuration(version), None)

    def read_soon(self):
        def read():
            if self.loop.now >= CHANGED_AT:
                changes = Changes((ObjectChange(self._spec(2), False),), 9)
                self.view.on_changes(names.KIND_CONFIG, changes)

        self.loop.call_after(STORE_SECONDS, read)

    def fetch(self, address, on_fetched):
        other = self.others[address.host]
        if self._stands_still(other) or not other.gives_copies:
            failed = Err("timed out")
            self.loop.call_after(COPY_TIMEOUT_SECONDS, lambda: on_fetched(failed))
        else:
            copy = Ok({names.KIND_CONFIG: Listing((self._spec(2),), 9)})
            self.loop.call_after(COPY_SECONDS, lambda: on_fetched(copy))

    def _stands_still(self, other):
        since = self.loop.now - CHANGED_AT
        return other.stands_still_at is not None and since >= other.stands_still_at

    def _hear(self, name, other):
        knows = other.reading and self.loop.now >= CHANGED_AT + FIRST_WORD_SECONDS
        digest = Digest(
            name,
            1,
            1,
            2 if knows else 1,
            StorePosition(0, 5),
            {},
            (),
            zone=other.zone,
            reading=other.reading,
        )
        self.view.apply_updates(digest)
        self.peers.heard[name] = digest, self.loop.now

    def seconds_until_in_force(self, limit):
        """Return how long after the change the host has it, None if later."""
        digest_steps = round(DIGEST_SECONDS / STEP_SECONDS)
        step = 0
        while self.loop.now < CHANGED_AT + limit:
            step += 1
            self.loop.advance(STEP_SECONDS)
            since = self.loop.now - CHANGED_AT
            if self.follows and since >= 0 and not self._watch_answered:
                self._watch_answered = True
                self.read_soon()
            told = since >= FIRST_WORD_SECONDS and not self._told
            self._told |= told
            for name, other in self.others.items():
                due = (step + len(name)) % digest_steps == 0
                if (due or (told and other.reading)) and not self._stands_still(other):
                    self._hear(name, other)
            if step % TICK_STEPS == 0:
                self.duty.run()
                self.view.run(self.loop.now, self.duty.reading)
            if self.version == 2:
                return since
        return None


OTHERS = st.lists(
    st.builds(
        Other,
        st.sampled_from(["z0", "z0", "z1", "z2"]),
        st.booleans(),
        st.none() | st.floats(-1.0, 2.5),
        st.booleans(),
    ),
    min_size=0,
    max_size=10,
)
GONE_AFTER_THE_WORD = 0.15


class TestTimeOfAChange:
    @pytest.mark.parametrize("bound", BOUNDS)
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(others=OTHERS)
    @example(
        others=[
            *[Other("z0", True, GONE_AFTER_THE_WORD)] * 2,
            *[Other("z1", True, None)] * 2,
        ]
    )
    @example(others=[Other("z1", True, None, gives_copies=False)] * 4)
    def test_host_that_reaches_the_store_applies_it_in_time(self, bound, others):
        """Guards against waits that add up, whatever becomes of the other hosts."""
        seconds = Model(others, bound).seconds_until_in_force(2 * bound)
        assert seconds is not None
        assert seconds < bound
