"""Property test: no sequence of crashes, lost messages and outages runs a key twice."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import AttemptId, HostName, TeamName
from masticfork.ledger.claim_outcomes import Claimed, NotRun, Ran, Replay
from masticfork.ledger.claim_records import StoredAnswer
from masticfork.ledger.claims import ClaimRegistry
from masticfork.store.embedded import EmbeddedStore

HOSTS = (0, 1)
FAULTS = ("lose_answers", "lose_requests", "delay_writes", "land", "down", "crash")


class AtMostOnce(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.store = EmbeddedStore(now=lambda: self.now)
        self.runs: list[StoredAnswer] = []
        self.attempts = 0
        self.fencing: list[int] = []
        # Claims of live hosts: request not sent yet, and sent (with its answer).
        self.unsent: list[tuple] = []
        self.sent: list[tuple] = []
        self.registries = [self.new_registry(host) for host in HOSTS]

    def new_registry(self, host):
        return ClaimRegistry(self.store, HostName(f"h{host}"), lambda: self.now)

    def look_up(self, key, deadline):
        return Ran(self.runs[0]) if self.runs else NotRun()

    @rule(host=st.sampled_from(HOSTS), use_lookup=st.booleans(), send=st.booleans())
    def request(self, host, use_lookup, send):
        self.attempts += 1
        outcome = self.registries[host].claim(
            TeamName("team"),
            "key",
            "body",
            AttemptId(f"{self.attempts}"),
            Deadline.after(self.now, 10),
            self if use_lookup else None,
        )
        if outcome.is_err():
            return
        if isinstance(outcome.ok_value, Replay):
            assert [outcome.ok_value.answer] == self.runs
        if isinstance(outcome.ok_value, Claimed):
            claim = outcome.ok_value.claim
            self.fencing.append(claim.fencing)
            self.unsent.append((host, claim))
            if send:
                self.dispatch()

    @precondition(lambda self: self.unsent)
    @rule()
    def dispatch(self):
        host, claim = self.unsent.pop()
        if claim.may_dispatch(self.now):
            answer = StoredAnswer.of(200, (), str(claim.fencing).encode())
            self.runs.append(answer)
            self.sent.append((host, claim, answer))

    @precondition(lambda self: self.sent)
    @rule(answer_known=st.booleans())
    def finish(self, answer_known):
        host, claim, answer = self.sent.pop()
        if answer_known:
            self.registries[host].finish(claim, answer)
        else:
            self.registries[host].mark_unknown(claim)

    @precondition(lambda self: self.unsent)
    @rule()
    def release(self):
        host, claim = self.unsent.pop()
        self.registries[host].release(claim)

    @rule(seconds=st.sampled_from([1.0, 6.0, 25.0]))
    def advance_clock(self, seconds):
        self.now += seconds
        self.store.set_down(False)
        for registry in self.registries:
            registry.flush()

    @rule(fault=st.sampled_from(FAULTS), count=st.integers(1, 6))
    def inject_fault(self, fault, count):
        if fault == "land":
            self.store.apply_delayed_writes()
        elif fault == "down":
            self.store.set_down(True)
        elif fault == "crash":
            self.crash(count % len(HOSTS))
        else:
            setattr(self.store.faults, fault, count)

    def crash(self, host):
        self.registries[host] = self.new_registry(host)
        self.unsent = [entry for entry in self.unsent if entry[0] != host]
        self.sent = [entry for entry in self.sent if entry[0] != host]

    @invariant()
    def runs_at_most_once(self):
        assert len(self.runs) <= 1

    @invariant()
    def fencing_grows(self):
        assert self.fencing == sorted(set(self.fencing))


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(
    max_examples=250, stateful_step_count=30, deadline=None, derandomize=True
)
