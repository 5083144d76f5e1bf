import signal
import subprocess
import sys
import threading
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
from masticfork.ledger.leases import DEFAULT_LEASE_SECONDS, LeaseManager
from masticfork.store.client import CallKind, ErrorKind
from masticfork.store.confirmed_writes import Written
from masticfork.store.embedded import EmbeddedStore
from masticfork.store.http import HttpObjectStore
from standins.common import serving
from standins.engine import Engine, Settings
from standins.platform import Platform
from standins.testing import client_for

DUTY = "rollout"
FAULTS = ("lose_answers", "lose_requests", "delay_writes")


class TwoManagers:
    """A store and two lease managers that share a clock set by the test."""

    def __init__(self):
        self.now = 1000.0
        self.store = EmbeddedStore(now=lambda: self.now)
        self.a = LeaseManager(self.store, HostName("a"), lambda: self.now)
        self.b = LeaseManager(self.store, HostName("b"), lambda: self.now)


@pytest.fixture
def pair():
    return TwoManagers()


def lease_of(outcome):
    held = outcome.unwrap()
    assert isinstance(held, Held)
    return held.lease


class TestLeases:
    def test_only_one_of_two_managers_holds_a_duty(self, pair):
        first = lease_of(pair.a.acquire(DUTY))
        other = pair.b.acquire(DUTY).unwrap()
        assert other == HeldElsewhere(HostName("a"), first.until)
        assert isinstance(pair.b.acquire("other").unwrap(), Held)

    def test_taken_over_after_its_end_plus_the_clock_difference(self, pair):
        first = lease_of(pair.a.acquire(DUTY))
        pair.now = first.until.at + MAX_CLOCK_DIFFERENCE_SECONDS - 0.1
        assert isinstance(pair.b.acquire(DUTY).unwrap(), HeldElsewhere)
        pair.now += 0.1
        assert lease_of(pair.b.acquire(DUTY)).fencing > first.fencing

    def test_released_duty_is_free_at_once(self, pair):
        first = lease_of(pair.a.acquire(DUTY))
        pair.a.release(first).unwrap()
        assert pair.a.held(DUTY) is None
        assert lease_of(pair.b.acquire(DUTY)).fencing > first.fencing

    def test_renewal_keeps_the_fencing_token(self, pair):
        first = lease_of(pair.a.acquire(DUTY))
        pair.now += 2
        renewed = lease_of(pair.a.renew(first))
        assert renewed.fencing == first.fencing
        assert renewed.until.at == pair.now + DEFAULT_LEASE_SECONDS

    def test_renewal_after_the_end_starts_a_new_term(self, pair):
        first = lease_of(pair.a.acquire(DUTY))
        pair.now = first.until.at
        assert lease_of(pair.a.renew(first)).fencing > first.fencing

    def test_paused_holder_loses_its_expired_lease(self, pair):
        first = lease_of(pair.a.acquire(DUTY))
        pair.now += 60
        lease_of(pair.b.acquire(DUTY))
        assert pair.a.held(DUTY) is None
        assert not pair.a.valid_for(first, 0)
        assert isinstance(pair.a.renew(first).unwrap(), HeldElsewhere)

    def test_lease_runs_from_before_its_write(self, pair):
        update = pair.store.create

        def slow_create(key, value, deadline):
            outcome = update(key, value, deadline)
            pair.now += 2.5
            return outcome

        pair.store.create = slow_create
        started = pair.now
        lease = lease_of(pair.a.acquire(DUTY))
        assert lease.until.at == started + DEFAULT_LEASE_SECONDS

    def test_acquire_or_renew_renews_after_a_third_of_the_lease(self, pair):
        pair.a.acquire_or_renew(DUTY)
        writes = pair.store.counter.calls()[CallKind.PUT]
        pair.now += 0.9
        pair.a.acquire_or_renew(DUTY)
        assert pair.store.counter.calls()[CallKind.PUT] == writes
        pair.now += 0.2
        assert lease_of(pair.a.acquire_or_renew(DUTY)).until.at == pair.now + 3


class TestValidFor:
    def test_requires_the_duration_before_the_end(self, pair):
        lease = lease_of(pair.a.acquire(DUTY))
        pair.now += 1.9
        assert pair.a.valid_for(lease, 1.0)
        pair.now += 0.1
        assert not pair.a.valid_for(lease, 1.0)

    def test_lease_of_an_earlier_term_is_not_valid(self, pair):
        first = lease_of(pair.a.acquire(DUTY))
        second = lease_of(pair.a.acquire(DUTY))
        assert not pair.a.valid_for(first, 0)
        assert pair.a.valid_for(second, 0)

    def test_lease_is_not_valid_after_a_failed_release(self, pair):
        lease = lease_of(pair.a.acquire(DUTY))
        pair.store.set_down(True)
        assert pair.a.release(lease).is_err()
        assert not pair.a.valid_for(lease, 0)


class TestPlatformFaults:
    @pytest.mark.parametrize("fault", FAULTS)
    def test_writes_with_lost_requests_or_answers_are_resolved(self, pair, fault):
        setattr(pair.store.faults, fault, 1)
        lease = lease_of(pair.a.acquire(DUTY))
        setattr(pair.store.faults, fault, 1)
        assert lease_of(pair.a.renew(lease)).fencing == lease.fencing
        pair.store.apply_delayed_writes()
        assert isinstance(pair.b.acquire(DUTY).unwrap(), HeldElsewhere)

    def test_renewal_with_an_unknown_outcome_can_be_repeated(self, pair):
        lease = lease_of(pair.a.acquire(DUTY))
        pair.store.faults.lose_answers = 4
        assert pair.a.renew(lease).unwrap_err().kind is ErrorKind.UNKNOWN
        assert pair.a.held(DUTY) == lease
        assert lease_of(pair.a.renew(lease)).fencing == lease.fencing

    def test_lease_expires_during_an_outage(self, pair):
        lease = lease_of(pair.a.acquire(DUTY))
        pair.store.set_down(True)
        assert pair.a.renew(lease).is_err()
        assert pair.a.valid_for(lease, 1)
        pair.now = lease.until.at
        assert pair.a.held(DUTY) is None
        assert pair.b.acquire(DUTY).is_err()


class TestFencedWrites:
    def test_former_holder_cannot_write_even_if_it_reads_again(self, pair):
        deadline = Deadline(2000)
        old = lease_of(pair.a.acquire(DUTY))
        put_fenced(pair.store, "state", {"step": 1}, old.fencing, deadline).unwrap()
        pair.now += 60
        new = lease_of(pair.b.acquire(DUTY))
        put_fenced(pair.store, "state", {"step": 2}, new.fencing, deadline).unwrap()
        late = put_fenced(pair.store, "state", {"step": 1}, old.fencing, deadline)
        assert isinstance(late.unwrap(), Stale)
        assert fenced_value(pair.store.get("state", deadline).unwrap()) == {"step": 2}

    @pytest.mark.parametrize("fault", FAULTS)
    def test_write_with_a_lost_request_or_answer_is_resolved(self, pair, fault):
        deadline = Deadline(2000)
        setattr(pair.store.faults, fault, 1)
        outcome = put_fenced(pair.store, "state", {}, 7, deadline).unwrap()
        assert isinstance(outcome, Written)


class LeaseStateMachine(RuleBasedStateMachine):
    """Two managers with different clocks and pauses before and after each write."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.pauses = [0.0, 0.0]
        # A manager that calls `acquire_or_renew` while the other's next write is in
        # transit.
        self.concurrent_manager: int | None = None
        self.acting_manager: int | None = None
        self.store = EmbeddedStore(now=lambda: self.now)
        self.store.create = self.with_pauses(self.store.create)
        self.store.update = self.with_pauses(self.store.update)
        behind, ahead = -0.5, 0.5
        assert ahead - behind <= MAX_CLOCK_DIFFERENCE_SECONDS
        self.managers = [
            LeaseManager(self.store, HostName("a"), lambda: self.now + behind),
            LeaseManager(self.store, HostName("b"), lambda: self.now + ahead),
        ]
        self.fencing = [0, 0]
        self.terms: list[int] = []
        self.written: list[int] = []

    def with_pauses(self, write):
        def call(*arguments):
            before, after = self.pauses
            self.now += before
            # A manager's own calls for a duty wait for each other, so only another
            # manager can call while this one's write is in transit.
            if self.concurrent_manager not in (None, self.acting_manager):
                concurrent_manager, self.concurrent_manager = (
                    self.concurrent_manager,
                    None,
                )
                self.act(concurrent_manager, "acquire_or_renew")
            outcome = write(*arguments)
            self.now += after
            return outcome

        return call

    @rule(
        manager=st.integers(0, 1),
        action=st.sampled_from(["acquire", "renew", "acquire_or_renew", "release"]),
    )
    def act(self, manager, action):
        holder = self.managers[manager]
        interrupted_manager, self.acting_manager = self.acting_manager, manager
        if action in ("acquire", "acquire_or_renew"):
            self.record_lease(manager, getattr(holder, action)(DUTY))
        elif holder.held(DUTY):
            outcome = getattr(holder, action)(holder.held(DUTY))
            if action == "renew":
                self.record_lease(manager, outcome)
        self.acting_manager = interrupted_manager

    def record_lease(self, manager, outcome):
        if outcome.is_ok() and isinstance(outcome.ok_value, Held):
            fencing = outcome.ok_value.lease.fencing
            if fencing != self.fencing[manager]:
                self.terms.append(fencing)
            self.fencing[manager] = fencing

    @rule(manager=st.integers(0, 1))
    def hold_concurrently(self, manager):
        self.concurrent_manager = 1 - manager
        self.act(manager, "acquire_or_renew")

    @rule(manager=st.integers(0, 1))
    def write(self, manager):
        deadline = Deadline(self.now + 100)
        fencing = self.fencing[manager]
        outcome = put_fenced(self.store, "state", {}, fencing, deadline)
        if outcome.is_ok() and isinstance(outcome.ok_value, Written):
            self.written.append(fencing)

    @rule(seconds=st.sampled_from([0.3, 2.2, 4.2]))
    def advance_clock(self, seconds):
        self.now += seconds

    @rule(
        before=st.sampled_from([0.0, 0.0, 1.0, 3.5]),
        after=st.sampled_from([0.0, 0.0, 1.0, 3.5]),
    )
    def pause(self, before, after):
        self.pauses = [before, after]

    @rule(fault=st.sampled_from([*FAULTS, "land"]), count=st.integers(1, 5))
    def inject_fault(self, fault, count):
        if fault == "land":
            self.store.apply_delayed_writes()
        else:
            setattr(self.store.faults, fault, count)

    @invariant()
    def at_most_one_holder(self):
        assert sum(k.held(DUTY) is not None for k in self.managers) <= 1

    @invariant()
    def fencing_grows(self):
        assert self.terms == sorted(set(self.terms))
        assert self.written == sorted(self.written)


class TestLeaseStateMachine:
    def test_steps_that_once_left_two_holders(self):
        machine = LeaseStateMachine()
        for step in (
            lambda: machine.act(0, "acquire"),
            lambda: machine.hold_concurrently(1),
            lambda: machine.act(0, "release"),
            lambda: machine.hold_concurrently(1),
        ):
            step()
            machine.at_most_one_holder()
            machine.fencing_grows()

    def test_acquisition_waits_for_the_release_of_the_same_manager(self):
        store = EmbeddedStore(now=lambda: 1000.0)
        manager = LeaseManager(store, HostName("a"), lambda: 1000.0)
        lease = manager.acquire(DUTY).unwrap().lease
        update, order = store.update, []

        def update_while_another_thread_acquires(*arguments):
            if not order:
                order.append("release begins")
                acquisition.start()
                acquisition.join(0.1)
                order.append("release written")
            return update(*arguments)

        def acquire():
            manager.acquire(DUTY).unwrap()
            order.append("acquired")

        acquisition = threading.Thread(target=acquire)
        store.update = update_while_another_thread_acquires
        manager.release(lease).unwrap()
        acquisition.join(5.0)
        assert order == ["release begins", "release written", "acquired"]
        assert manager.held(DUTY) is not None

    def test_at_most_one_holder(self):
        run_state_machine_as_test(
            LeaseStateMachine,
            settings=settings(
                max_examples=200,
                stateful_step_count=30,
                deadline=None,
                derandomize=True,
            ),
        )


CHILD_PROGRAM = """
import sys, time
from masticfork.core.deadlines import Deadline
from masticfork.ledger.fencing import put_fenced
from masticfork.ledger.leases import LeaseManager
from masticfork.store.http import HttpObjectStore
from standins.testing import HttpClient
store = HttpObjectStore(sys.argv[1], time.time)
checked, unchecked = (HttpClient(int(port)) for port in sys.argv[2:4])
manager = LeaseManager(store, "child", time.time, float(sys.argv[4]), 0.1)
lease = manager.acquire("rollout").unwrap().lease
order = {"kind": "unload", "version": "a@1", "role": "", "fencing": lease.fencing}
print(lease.fencing, flush=True)
sys.stdin.readline()
soon = Deadline.after(time.time(), 5)
wrote = put_fenced(store, "state", {}, lease.fencing, soon).unwrap()
print(type(wrote).__name__, flush=True)
print(checked("POST", "/v1/orders", order)[0], flush=True)
valid = manager.valid_for(lease, 0.1)
print(unchecked("POST", "/v1/orders", order)[0] if valid else "unsent", flush=True)
"""


class TestPausedProcess:
    def run_child(self, lease_seconds, pause):
        engine = Settings("e", ("a@1", "b@1"), checks_fencing=True)
        other = Settings("f", ("a@1", "b@1"))
        with (
            serving(Platform(), threads=8) as platform,
            serving(Engine(engine), threads=4) as checked,
            serving(Engine(other), threads=4) as unchecked,
        ):
            address = f"127.0.0.1:{platform.port}"
            ports = [str(server.port) for server in (checked, unchecked)]
            command = [
                sys.executable,
                "-c",
                CHILD_PROGRAM,
                address,
                *ports,
                lease_seconds,
            ]
            child = subprocess.Popen(
                command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
            )
            fencing = int(child.stdout.readline())
            if pause:
                child.send_signal(signal.SIGSTOP)
                self.take_over(address, fencing, client_for(checked))
                child.send_signal(signal.SIGCONT)
            output, _ = child.communicate("go\n", timeout=20)
            orders = client_for(unchecked)("GET", "/_counts")[1]["orders"]
        return output.split(), len(orders)

    def take_over(self, address, fencing, checked):
        store = HttpObjectStore(address, time.time)
        manager = LeaseManager(store, HostName("b"), time.time, 5.0, 0.1)
        deadline = Deadline.after(time.time(), 20)
        while isinstance(manager.acquire(DUTY).unwrap(), HeldElsewhere):
            assert not deadline.expired(time.time())
            time.sleep(0.02)
        lease = manager.held(DUTY)
        assert lease.fencing > fencing
        put_fenced(store, "state", {}, lease.fencing, deadline).unwrap()
        order = {"kind": "unload", "version": "b@1", "fencing": lease.fencing}
        assert checked("POST", "/v1/orders", order)[0] == 200
        store.close()

    def test_holder_that_resumes_after_its_term_changes_nothing(self):
        assert self.run_child("0.5", pause=True) == (["Stale", "409", "unsent"], 0)

    def test_holder_acts_within_its_term(self):
        assert self.run_child("20", pause=False) == (["Written", "200", "200"], 1)
