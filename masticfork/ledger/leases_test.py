import signal
import subprocess
import sys
import time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName
from masticfork.ledger.clocks import MAX_CLOCK_DIFFERENCE_SECONDS
from masticfork.ledger.fencing import Stale, fenced_value, put_fenced
from masticfork.ledger.lease_records import Held, HeldElsewhere
from masticfork.ledger.leases import DEFAULT_LEASE_SECONDS, LeaseKeeper
from masticfork.store.client import CallKind, ErrorKind
from masticfork.store.embedded import EmbeddedStore
from masticfork.store.http import HttpObjectStore
from masticfork.store.settle import Written
from standins.common import serving
from standins.engine import Engine, Settings
from standins.platform import Platform
from standins.testing import asker

DUTY = "rollout"
FAULTS = ("lose_answers", "lose_requests", "delay_writes")


class World:
    """A store and two keepers with a clock that the test moves."""

    def __init__(self):
        self.now = 1000.0
        self.store = EmbeddedStore(now=lambda: self.now)
        self.a = LeaseKeeper(self.store, HostName("a"), lambda: self.now)
        self.b = LeaseKeeper(self.store, HostName("b"), lambda: self.now)


@pytest.fixture
def world():
    return World()


def lease_of(outcome):
    held = outcome.unwrap()
    assert isinstance(held, Held)
    return held.lease


class TestTerms:
    def test_one_of_two_holds(self, world):
        first = lease_of(world.a.acquire(DUTY))
        other = world.b.acquire(DUTY).unwrap()
        assert other == HeldElsewhere(HostName("a"), first.until)
        assert isinstance(world.b.acquire("other").unwrap(), Held)

    def test_taken_over_after_its_end_and_the_clock_difference(self, world):
        first = lease_of(world.a.acquire(DUTY))
        world.now = first.until.at + MAX_CLOCK_DIFFERENCE_SECONDS - 0.1
        assert isinstance(world.b.acquire(DUTY).unwrap(), HeldElsewhere)
        world.now += 0.1
        assert lease_of(world.b.acquire(DUTY)).fencing > first.fencing

    def test_released_duty_is_free_at_once(self, world):
        first = lease_of(world.a.acquire(DUTY))
        world.a.release(first).unwrap()
        assert world.a.held(DUTY) is None
        assert lease_of(world.b.acquire(DUTY)).fencing > first.fencing

    def test_renewing_keeps_the_term(self, world):
        first = lease_of(world.a.acquire(DUTY))
        world.now += 2
        renewed = lease_of(world.a.renew(first))
        assert renewed.fencing == first.fencing
        assert renewed.until.at == world.now + DEFAULT_LEASE_SECONDS

    def test_renewing_after_the_end_starts_another_term(self, world):
        first = lease_of(world.a.acquire(DUTY))
        world.now = first.until.at
        assert lease_of(world.a.renew(first)).fencing > first.fencing

    def test_frozen_holder_finds_another(self, world):
        first = lease_of(world.a.acquire(DUTY))
        world.now += 60
        lease_of(world.b.acquire(DUTY))
        assert world.a.held(DUTY) is None
        assert not world.a.guard(first, 0)
        assert isinstance(world.a.renew(first).unwrap(), HeldElsewhere)

    def test_lease_counts_from_before_its_write(self, world):
        update = world.store.create

        def slow_create(key, value, deadline):
            outcome = update(key, value, deadline)
            world.now += 2.5
            return outcome

        world.store.create = slow_create
        started = world.now
        lease = lease_of(world.a.acquire(DUTY))
        assert lease.until.at == started + DEFAULT_LEASE_SECONDS

    def test_hold_renews_when_it_is_time(self, world):
        world.a.hold(DUTY)
        writes = world.store.counter.calls()[CallKind.PUT]
        world.now += 0.9
        world.a.hold(DUTY)
        assert world.store.counter.calls()[CallKind.PUT] == writes
        world.now += 0.2
        assert lease_of(world.a.hold(DUTY)).until.at == world.now + 3


class TestGuard:
    def test_needs_the_margin_before_the_end(self, world):
        lease = lease_of(world.a.acquire(DUTY))
        world.now += 1.9
        assert world.a.guard(lease, 1.0)
        world.now += 0.1
        assert not world.a.guard(lease, 1.0)

    def test_an_earlier_term_is_not_guarded_by_a_later_one(self, world):
        first = lease_of(world.a.acquire(DUTY))
        second = lease_of(world.a.acquire(DUTY))
        assert not world.a.guard(first, 0)
        assert world.a.guard(second, 0)

    def test_no_act_after_a_release(self, world):
        lease = lease_of(world.a.acquire(DUTY))
        world.store.set_down(True)
        assert world.a.release(lease).is_err()
        assert not world.a.guard(lease, 0)


class TestPlatformFaults:
    @pytest.mark.parametrize("fault", FAULTS)
    def test_lost_writes_are_settled(self, world, fault):
        setattr(world.store.faults, fault, 1)
        lease = lease_of(world.a.acquire(DUTY))
        setattr(world.store.faults, fault, 1)
        assert lease_of(world.a.renew(lease)).fencing == lease.fencing
        world.store.land_delayed()
        assert isinstance(world.b.acquire(DUTY).unwrap(), HeldElsewhere)

    def test_renewal_in_doubt_is_followed_by_another(self, world):
        lease = lease_of(world.a.acquire(DUTY))
        world.store.faults.lose_answers = 4
        assert world.a.renew(lease).unwrap_err().kind is ErrorKind.UNKNOWN
        assert world.a.held(DUTY) == lease
        assert lease_of(world.a.renew(lease)).fencing == lease.fencing

    def test_outage_ends_the_lease(self, world):
        lease = lease_of(world.a.acquire(DUTY))
        world.store.set_down(True)
        assert world.a.renew(lease).is_err()
        assert world.a.guard(lease, 1)
        world.now = lease.until.at
        assert world.a.held(DUTY) is None
        assert world.b.acquire(DUTY).is_err()


class TestFencedWrites:
    def test_old_holder_cannot_write_even_if_it_reads_anew(self, world):
        soon = Deadline(2000)
        old = lease_of(world.a.acquire(DUTY))
        put_fenced(world.store, "state", {"step": 1}, old.fencing, soon).unwrap()
        world.now += 60
        new = lease_of(world.b.acquire(DUTY))
        put_fenced(world.store, "state", {"step": 2}, new.fencing, soon).unwrap()
        late = put_fenced(world.store, "state", {"step": 1}, old.fencing, soon)
        assert isinstance(late.unwrap(), Stale)
        assert fenced_value(world.store.get("state", soon).unwrap()) == {"step": 2}

    @pytest.mark.parametrize("fault", FAULTS)
    def test_lost_write_is_settled(self, world, fault):
        soon = Deadline(2000)
        setattr(world.store.faults, fault, 1)
        outcome = put_fenced(world.store, "state", {}, 7, soon).unwrap()
        assert isinstance(outcome, Written)


class Holders(RuleBasedStateMachine):
    """Keepers whose clocks differ, with pauses around each write."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.pauses = [0.0, 0.0]
        # A keeper that acts while the next write of the other is on its way.
        self.racer: int | None = None
        self.store = EmbeddedStore(now=lambda: self.now)
        self.store.create = self.paused(self.store.create)
        self.store.update = self.paused(self.store.update)
        behind, ahead = -0.5, 0.5
        assert ahead - behind <= MAX_CLOCK_DIFFERENCE_SECONDS
        self.keepers = [
            LeaseKeeper(self.store, HostName("a"), lambda: self.now + behind),
            LeaseKeeper(self.store, HostName("b"), lambda: self.now + ahead),
        ]
        self.fencing = [0, 0]
        self.terms: list[int] = []
        self.written: list[int] = []

    def paused(self, write):
        def call(*arguments):
            before, after = self.pauses
            self.now += before
            racer, self.racer = self.racer, None
            if racer is not None:
                self.act(racer, "hold")
            outcome = write(*arguments)
            self.now += after
            return outcome

        return call

    @rule(
        keeper=st.integers(0, 1),
        action=st.sampled_from(["acquire", "renew", "hold", "release"]),
    )
    def act(self, keeper, action):
        holder = self.keepers[keeper]
        if action in ("acquire", "hold"):
            self.note(keeper, getattr(holder, action)(DUTY))
        elif holder.held(DUTY):
            outcome = getattr(holder, action)(holder.held(DUTY))
            if action == "renew":
                self.note(keeper, outcome)

    def note(self, keeper, outcome):
        if outcome.is_ok() and isinstance(outcome.ok_value, Held):
            fencing = outcome.ok_value.lease.fencing
            if fencing != self.fencing[keeper]:
                self.terms.append(fencing)
            self.fencing[keeper] = fencing

    @rule(keeper=st.integers(0, 1))
    def race(self, keeper):
        self.racer = 1 - keeper
        self.act(keeper, "hold")

    @rule(keeper=st.integers(0, 1))
    def write(self, keeper):
        soon = Deadline(self.now + 100)
        fencing = self.fencing[keeper]
        outcome = put_fenced(self.store, "state", {}, fencing, soon)
        if outcome.is_ok() and isinstance(outcome.ok_value, Written):
            self.written.append(fencing)

    @rule(seconds=st.sampled_from([0.3, 2.2, 4.2]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(
        before=st.sampled_from([0.0, 0.0, 1.0, 3.5]),
        after=st.sampled_from([0.0, 0.0, 1.0, 3.5]),
    )
    def pause(self, before, after):
        self.pauses = [before, after]

    @rule(fault=st.sampled_from([*FAULTS, "land"]), count=st.integers(1, 5))
    def fail(self, fault, count):
        if fault == "land":
            self.store.land_delayed()
        else:
            setattr(self.store.faults, fault, count)

    @invariant()
    def one_believes_at_most(self):
        assert sum(k.held(DUTY) is not None for k in self.keepers) <= 1

    @invariant()
    def fencing_grows(self):
        assert self.terms == sorted(set(self.terms))
        assert self.written == sorted(self.written)


class TestHolders:
    def test_never_two(self):
        run_state_machine_as_test(
            Holders,
            settings=settings(
                max_examples=200,
                stateful_step_count=30,
                deadline=None,
                derandomize=True,
            ),
        )


CHILD = """
import sys, time
from masticfork.core.deadlines import Deadline
from masticfork.ledger.fencing import put_fenced
from masticfork.ledger.leases import LeaseKeeper
from masticfork.store.http import HttpObjectStore
from standins.testing import Ask
store = HttpObjectStore(sys.argv[1], time.time)
checked, unchecked = (Ask(int(port)) for port in sys.argv[2:4])
keeper = LeaseKeeper(store, "child", time.time, float(sys.argv[4]), 0.1)
lease = keeper.acquire("rollout").unwrap().lease
order = {"kind": "unload", "version": "a@1", "role": "", "fencing": lease.fencing}
print(lease.fencing, flush=True)
sys.stdin.readline()
soon = Deadline.after(time.time(), 5)
wrote = put_fenced(store, "state", {}, lease.fencing, soon).unwrap()
print(type(wrote).__name__, flush=True)
print(checked("POST", "/v1/orders", order)[0], flush=True)
guarded = keeper.guard(lease, 0.1)
print(unchecked("POST", "/v1/orders", order)[0] if guarded else "kept", flush=True)
"""


class TestFrozenProcess:
    def run_child(self, lease_seconds, freeze):
        engine = Settings("e", ("a@1", "b@1"), checks_fencing=True)
        other = Settings("f", ("a@1", "b@1"))
        with (
            serving(Platform(), threads=8) as platform,
            serving(Engine(engine), threads=4) as checked,
            serving(Engine(other), threads=4) as unchecked,
        ):
            address = f"127.0.0.1:{platform.port}"
            ports = [str(server.port) for server in (checked, unchecked)]
            command = [sys.executable, "-c", CHILD, address, *ports, lease_seconds]
            child = subprocess.Popen(
                command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
            )
            fencing = int(child.stdout.readline())
            if freeze:
                child.send_signal(signal.SIGSTOP)
                self.take_over(address, fencing, asker(checked))
                child.send_signal(signal.SIGCONT)
            said, _ = child.communicate("go\n", timeout=20)
            orders = asker(unchecked)("GET", "/_counts")[1]["orders"]
        return said.split(), len(orders)

    def take_over(self, address, fencing, checked):
        store = HttpObjectStore(address, time.time)
        keeper = LeaseKeeper(store, HostName("b"), time.time, 5.0, 0.1)
        give_up = Deadline.after(time.time(), 20)
        while isinstance(keeper.acquire(DUTY).unwrap(), HeldElsewhere):
            assert not give_up.expired(time.time())
            time.sleep(0.02)
        lease = keeper.held(DUTY)
        assert lease.fencing > fencing
        put_fenced(store, "state", {}, lease.fencing, give_up).unwrap()
        order = {"kind": "unload", "version": "b@1", "fencing": lease.fencing}
        assert checked("POST", "/v1/orders", order)[0] == 200
        store.close()

    def test_holder_that_wakes_late_changes_nothing(self):
        assert self.run_child("0.5", freeze=True) == (["Stale", "409", "kept"], 0)

    def test_holder_in_its_term_acts(self):
        assert self.run_child("20", freeze=False) == (["Written", "200", "200"], 1)
