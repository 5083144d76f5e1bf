import signal
import subprocess
import sys
import threading
import time

import pytest

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import AttemptId, HostName, TeamName
from masticfork.core.refusals import Reason, RunState
from masticfork.ledger.claim_outcomes import (
    Claimed,
    NotRun,
    OutcomeUnknown,
    Ran,
    Replay,
    Running,
    Undetermined,
)
from masticfork.ledger.claim_records import MAX_STORED_BODY_BYTES, StoredAnswer
from masticfork.ledger.claim_sweep import SWEEP_PAGE_ITEMS, sweep_claims
from masticfork.ledger.claims import ClaimRegistry
from masticfork.store.embedded import EmbeddedStore
from masticfork.store.http import HttpObjectStore
from standins.common import serving
from standins.platform import Platform
from standins.testing import client_for

TEAM = TeamName("team")
ANSWER = StoredAnswer.of(
    201, (("Content-Type", "text/plain"), ("Date", "x")), b"\x00 booked"
)


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class FixedLookup:
    """A lookup that returns a fixed outcome."""

    def __init__(self, outcome):
        self.outcome = outcome

    def look_up(self, key, deadline):
        return self.outcome


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def store(clock):
    return EmbeddedStore(now=clock)


@pytest.fixture
def registries(store, clock):
    return tuple(ClaimRegistry(store, HostName(h), clock) for h in ("a", "b"))


def try_claim(registry, clock, name, body="body", lookup=None, seconds=30, key="key"):
    deadline = Deadline.after(clock.now, seconds)
    return registry.claim(TEAM, key, body, AttemptId(name), deadline, lookup)


def make_claim(registry, clock, name, **options):
    outcome = try_claim(registry, clock, name, **options).unwrap()
    assert isinstance(outcome, Claimed)
    return outcome.claim


class TestClaim:
    def test_answer_is_replayed_on_every_host(self, registries, clock):
        registries[0].finish(make_claim(registries[0], clock, "1"), ANSWER).unwrap()
        for registry in registries:
            replay = try_claim(registry, clock, "2").unwrap()
            assert replay == Replay(ANSWER)
        assert ANSWER.headers == (("Content-Type", "text/plain"),)

    def test_second_attempt_gets_still_running(self, registries, clock):
        make_claim(registries[0], clock, "1")
        running = try_claim(registries[1], clock, "2").unwrap()
        assert isinstance(running, Running)
        refusal = running.refusal()
        assert (refusal.status, refusal.reason) == (409, Reason.STILL_RUNNING)
        assert refusal.retry_at.at > clock.now

    def test_reuse_of_a_key_with_another_body_is_refused(self, registries, clock):
        make_claim(registries[0], clock, "1")
        refusal = try_claim(registries[1], clock, "2", body="other").unwrap_err()
        assert (refusal.status, refusal.reason) == (422, Reason.KEY_REUSED)

    def test_teams_do_not_share_keys(self, registries, clock):
        make_claim(registries[0], clock, "1")
        deadline = Deadline.after(clock.now, 30)
        other = registries[1].claim(
            TeamName("other"), "key", "body", AttemptId("2"), deadline
        )
        assert isinstance(other.unwrap(), Claimed)

    def test_released_key_is_claimed_again_with_a_greater_fencing_token(
        self, registries, clock
    ):
        first = make_claim(registries[0], clock, "1")
        registries[0].release(first).unwrap()
        assert make_claim(registries[1], clock, "2").fencing > first.fencing

    def test_repeated_claim_by_the_same_attempt_returns_its_claim(
        self, registries, clock
    ):
        first = make_claim(registries[0], clock, "1")
        clock.now += 1
        assert make_claim(registries[0], clock, "1") == first

    def test_one_of_many_concurrent_hosts_gets_the_claim(self, store, clock):
        outcomes = []

        def claim_concurrently(n):
            registry = ClaimRegistry(store, HostName(f"h{n}"), clock)
            outcomes.append(try_claim(registry, clock, f"{n}").unwrap())

        threads = [
            threading.Thread(target=claim_concurrently, args=(n,)) for n in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sum(isinstance(outcome, Claimed) for outcome in outcomes) == 1

    def test_replay_of_a_body_too_large_to_store_is_refused_as_ran(
        self, registries, clock
    ):
        answer = StoredAnswer.of(201, (), b"x" * (MAX_STORED_BODY_BYTES + 1))
        registries[0].finish(make_claim(registries[0], clock, "1"), answer).unwrap()
        replay = try_claim(registries[1], clock, "2").unwrap()
        assert replay.answer.body is None
        assert replay.refusal().run_state is RunState.RAN

    def test_body_of_the_maximum_size_is_stored(self, registries, clock):
        answer = StoredAnswer.of(201, (), b"x" * MAX_STORED_BODY_BYTES)
        registries[0].finish(make_claim(registries[0], clock, "1"), answer).unwrap()
        assert try_claim(registries[1], clock, "2").unwrap() == Replay(answer)


class TestDeadlines:
    def test_claim_of_a_failed_holder_stays_unknown(self, registries, clock):
        make_claim(registries[0], clock, "1", seconds=30)
        clock.now += 30.5
        assert isinstance(try_claim(registries[1], clock, "2").unwrap(), Running)
        clock.now += 1
        for name in "345":
            outcome = try_claim(registries[1], clock, name).unwrap()
            assert isinstance(outcome, OutcomeUnknown)
            refusal = outcome.refusal()
            assert refusal.reason is Reason.OUTCOME_UNKNOWN
            assert refusal.run_state is RunState.UNKNOWN

    def test_holder_must_not_send_after_its_dispatch_deadline(self, registries, clock):
        claim = make_claim(registries[0], clock, "1", seconds=30)
        assert claim.may_dispatch(clock.now)
        clock.now = claim.record.dispatch_by.at
        assert not claim.may_dispatch(clock.now)

    def test_late_answer_replaces_an_unknown_outcome(self, registries, clock):
        claim = make_claim(registries[0], clock, "1")
        registries[0].mark_unknown(claim).unwrap()
        assert isinstance(try_claim(registries[1], clock, "2").unwrap(), OutcomeUnknown)
        registries[0].finish(claim, ANSWER).unwrap()
        assert try_claim(registries[1], clock, "3").unwrap() == Replay(ANSWER)

    def test_final_outcome_is_not_overwritten_by_unknown(self, registries, clock):
        claim = make_claim(registries[0], clock, "1")
        registries[0].finish(claim, ANSWER).unwrap()
        registries[0].mark_unknown(claim).unwrap()
        assert try_claim(registries[1], clock, "2").unwrap() == Replay(ANSWER)

    def test_resumed_holder_cannot_change_a_newer_claim(self, registries, clock):
        old = make_claim(registries[0], clock, "1")
        clock.now += 60
        newer = make_claim(registries[1], clock, "2", lookup=FixedLookup(NotRun()))
        assert newer.fencing > old.fencing
        assert registries[0].finish(old, ANSWER).is_err()
        assert registries[0].pending == 0
        assert isinstance(try_claim(registries[0], clock, "3").unwrap(), Running)


class TestLookup:
    def test_ran_is_replayed_and_stored(self, registries, clock):
        make_claim(registries[0], clock, "1")
        clock.now += 60
        lookup = FixedLookup(Ran(ANSWER))
        assert try_claim(registries[1], clock, "2", lookup=lookup).unwrap() == Replay(
            ANSWER
        )
        assert try_claim(registries[0], clock, "3").unwrap() == Replay(ANSWER)

    def test_not_run_is_ignored_until_it_is_final(self, registries, clock):
        claim = make_claim(registries[0], clock, "1", seconds=30)
        registries[0].mark_unknown(claim).unwrap()
        lookup = FixedLookup(NotRun())
        clock.now += 39
        outcome = try_claim(registries[1], clock, "2", lookup=lookup).unwrap()
        assert isinstance(outcome, OutcomeUnknown)
        clock.now += 1
        assert (
            make_claim(registries[1], clock, "3", lookup=lookup).fencing > claim.fencing
        )

    def test_undetermined_lookup_leaves_the_outcome_unknown(self, registries, clock):
        make_claim(registries[0], clock, "1")
        clock.now += 60
        outcome = try_claim(
            registries[1], clock, "2", lookup=FixedLookup(Undetermined())
        )
        assert isinstance(outcome.unwrap(), OutcomeUnknown)


class TestPlatformFaults:
    def test_outage_refuses_immediately_with_a_retry_time(
        self, registries, store, clock
    ):
        store.set_down(True)
        refusal = try_claim(registries[0], clock, "1").unwrap_err()
        assert refusal.reason is Reason.PLATFORM_DOWN
        assert refusal.run_state is RunState.NOT_RUN
        assert refusal.retry_at.at > clock.now
        calls = store.counter.calls()
        try_claim(registries[0], clock, "2").unwrap_err()
        assert store.counter.calls() == calls
        store.set_down(False)
        clock.now = refusal.retry_at.at
        make_claim(registries[0], clock, "3")

    @pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "delay_writes"])
    def test_claim_write_with_a_lost_request_or_answer_is_resolved(
        self, registries, store, clock, fault
    ):
        setattr(store.faults, fault, 1)
        claim = make_claim(registries[0], clock, "1")
        store.apply_delayed_writes()
        registries[0].finish(claim, ANSWER).unwrap()
        assert try_claim(registries[1], clock, "2").unwrap() == Replay(ANSWER)

    @pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "delay_writes"])
    def test_claim_with_an_unknown_write_outcome_does_not_block_the_key(
        self, registries, store, clock, fault
    ):
        setattr(store.faults, fault, 100)
        refusal = try_claim(registries[0], clock, "1").unwrap_err()
        assert refusal.run_state is RunState.NOT_RUN
        setattr(store.faults, fault, 0)
        clock.now = refusal.retry_at.at
        assert registries[0].flush() == ()
        store.apply_delayed_writes()
        make_claim(registries[1], clock, "2")

    def test_retry_on_the_same_host_needs_no_flush(self, registries, store, clock):
        store.faults.lose_answers = 100
        refusal = try_claim(registries[0], clock, "1").unwrap_err()
        store.faults.lose_answers = 0
        clock.now = refusal.retry_at.at
        claim = make_claim(registries[0], clock, "2")
        assert registries[0].flush() == ()
        registries[0].finish(claim, ANSWER).unwrap()
        assert try_claim(registries[1], clock, "3").unwrap() == Replay(ANSWER)

    def test_unreadable_earlier_claim_is_refused_as_unknown(
        self, registries, store, clock
    ):
        make_claim(registries[0], clock, "1")
        store.get = lambda key, deadline: EmbeddedStore(now=lambda: 1e9).get(
            key, deadline
        )
        refusal = try_claim(registries[1], clock, "2").unwrap_err()
        assert refusal.run_state is RunState.UNKNOWN

    def test_answer_during_an_outage_is_replayed_and_stored_later(
        self, registries, store, clock
    ):
        claim = make_claim(registries[0], clock, "1")
        store.set_down(True)
        assert registries[0].finish(claim, ANSWER).is_err()
        assert try_claim(registries[0], clock, "2").unwrap() == Replay(ANSWER)
        assert [finding.code for finding in registries[0].flush()] == ["claim_pending"]
        store.set_down(False)
        assert registries[0].flush() == ()
        assert registries[0].pending == 0
        assert try_claim(registries[1], clock, "3").unwrap() == Replay(ANSWER)


class TestSweep:
    def test_deletes_claims_past_their_retention(self, store, clock):
        registry = ClaimRegistry(store, HostName("a"), clock, retention_seconds=100)
        for number in range(SWEEP_PAGE_ITEMS + 1):
            make_claim(registry, clock, f"old {number}", key=f"old {number}")
        clock.now += 50
        make_claim(registry, clock, "new", key="new")
        clock.now += 50
        deadline = Deadline.after(clock.now, 5)
        first = sweep_claims(store, clock.now, "", deadline).unwrap()
        rest = sweep_claims(store, clock.now, first.after, deadline).unwrap()
        assert first.deleted + rest.deleted == SWEEP_PAGE_ITEMS + 1
        assert rest.after == ""
        assert len(store.list("claims/", deadline).unwrap().items) == 1


class TestOverHttp:
    @pytest.fixture
    def server(self):
        with serving(Platform(), threads=8) as server:
            yield server

    @pytest.fixture
    def hosts(self, server, clock):
        clock.now = time.time()
        store = HttpObjectStore(f"127.0.0.1:{server.port}", time.time)
        yield tuple(ClaimRegistry(store, HostName(h), clock) for h in "ab")
        store.close()

    def test_call_refused_in_an_outage_leaves_the_key_unclaimed(
        self, server, hosts, clock
    ):
        client_for(server)("POST", "/_faults", {"down": True})
        refusal = try_claim(hosts[0], clock, "1").unwrap_err()
        assert refusal.run_state is RunState.NOT_RUN
        client_for(server)("POST", "/_faults", {"down": False})
        assert hosts[0].flush() == ()
        assert isinstance(try_claim(hosts[1], clock, "2").unwrap(), Claimed)

    def test_claim_write_with_a_lost_answer_is_resolved(self, server, hosts, clock):
        client_for(server)("POST", "/_faults", {"lose_answers": 1})
        make_claim(hosts[0], clock, "1")
        assert isinstance(try_claim(hosts[1], clock, "2").unwrap(), Running)


HOLDER_PROGRAM = """
import sys, time
from masticfork.core.deadlines import Deadline
from masticfork.ledger.claims import ClaimRegistry
from masticfork.store.http import HttpObjectStore
book = ClaimRegistry(HttpObjectStore(sys.argv[1], time.time), "child", time.time)
deadline = Deadline.after(time.time(), float(sys.argv[2]))
claim = book.claim("team", "key", "body", "child-1", deadline).unwrap().claim
print("claimed", flush=True)
sys.stdin.readline()
print("sends" if claim.may_dispatch(time.time()) else "does not send", flush=True)
"""


class TestHolderProcess:
    @pytest.fixture
    def address(self):
        with serving(Platform(), threads=8) as server:
            yield f"127.0.0.1:{server.port}"

    @pytest.fixture
    def start_holder(self, address):
        children = []

        def start(seconds):
            command = [sys.executable, "-c", HOLDER_PROGRAM, address, str(seconds)]
            child = subprocess.Popen(
                command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
            )
            children.append(child)
            assert child.stdout.readline() == "claimed\n"
            return child

        yield start
        for child in children:
            child.kill()
            child.communicate()

    def test_claim_of_a_killed_holder_becomes_unknown(self, address, start_holder):
        child = start_holder(0.5)
        child.send_signal(signal.SIGKILL)
        child.wait()
        store = HttpObjectStore(address, time.time)
        clock = Clock()
        clock.now = time.time()
        registry = ClaimRegistry(store, HostName("b"), lambda: clock.now)
        assert isinstance(try_claim(registry, clock, "2").unwrap(), Running)
        clock.now += 2
        assert isinstance(try_claim(registry, clock, "3").unwrap(), OutcomeUnknown)
        store.close()

    def test_paused_holder_does_not_send_after_it_resumes(self, start_holder):
        child = start_holder(0.5)
        child.send_signal(signal.SIGSTOP)
        time.sleep(0.6)
        child.send_signal(signal.SIGCONT)
        child.stdin.write("go\n")
        child.stdin.flush()
        assert child.stdout.readline() == "does not send\n"

    def test_holder_sends_before_its_deadline(self, start_holder):
        child = start_holder(30)
        child.stdin.write("go\n")
        child.stdin.flush()
        assert child.stdout.readline() == "sends\n"
