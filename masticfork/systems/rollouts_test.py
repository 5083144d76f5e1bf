import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from masticfork.core.deadlines import Deadline
from masticfork.core.manifest import WorkClass
from masticfork.core.ratings import Rating
from masticfork.core.rollouts import (
    HostUsage,
    Measure,
    RolloutState,
    VersionCounts,
)
from masticfork.systems.rollout_actions import Action, act
from masticfork.systems.rollout_evidence import Margins, forgive, take_ratings
from masticfork.systems.rollout_permits import PermitCounter, grant, take_back
from masticfork.systems.rollout_policies import SequentialPolicy
from masticfork.systems.rollouts import (
    CONTINUE_SECONDS,
    DriverLease,
    RolloutSystem,
    drive,
    new_row,
    take_over,
)
from masticfork.systems.worlds_test import NOW, ROLLOUT, manifest, tables

POLICY = SequentialPolicy()
BEGAN = 1.0


def ratings(*scores, version="draft@2", after=0):
    return [
        Rating(after + n, f"r{n}", version, WorkClass.DRAFTING, "frames", score)
        for n, score in enumerate(scores, 1)
    ]


def known_row(**fields):
    """Return a row whose reference is known: the old version's mean is 0.9."""
    row = take_ratings(
        new_row(ROLLOUT, 1, NOW), ratings(*[0.9] * 500, version="draft@1"), Margins()
    )
    return attrs.evolve(row, **fields)


def usage(host, at=NOW, sessions=50, started=0, began=BEGAN, **fields):
    return HostUsage(host, "enter", at, began, sessions, started, **fields)


def step(row, scores=(), usages=(), now=NOW):
    heard = ratings(*scores, after=row.ratings_after)
    return drive(row, ROLLOUT, heard, usages, POLICY, now)


class TestJudging:
    def test_bad_ratings_withdraw(self):
        row, findings = step(known_row(), [0.1, 0.9] * 10)
        assert row.state is RolloutState.WITHDRAWN
        assert "ratings worse than those of draft@1" in row.reason
        assert [f.code for f in findings] == ["rollout_withdrawn"]

    @pytest.mark.parametrize("field", ["failed", "slow"])
    def test_errors_and_latency_withdraw(self, field):
        old = VersionCounts(1000, 10, 30)
        bad = VersionCounts(20, **{field: 15})
        row, _ = step(known_row(), usages=[usage("h1", new=bad, old=old)])
        assert row.state is RolloutState.WITHDRAWN

    def test_a_step_needs_all_measures(self):
        row, _ = step(known_row(), [0.9] * 60)
        assert row.step == 0
        counts = {"new": VersionCounts(60), "old": VersionCounts(1000, 10, 30)}
        row, _ = step(row, usages=[usage("h1", NOW + 1, **counts)])
        assert (row.step, row.share) == (1, 0.1)

    def test_each_step_gathers_its_own_evidence(self):
        row = known_row()
        counts = {"new": VersionCounts(500), "old": VersionCounts(1000, 10, 30)}
        row, _ = step(row, [0.9] * 500, [usage("h1", **counts)])
        row, _ = step(row, now=NOW + 1)
        assert row.step == 1

    def test_a_suspect_version_is_paused_when_its_budget_is_spent(self):
        row, findings = step(known_row(started=30), [0.1, 0.9, 0.1, 0.9, 0.9])
        assert row.state is RolloutState.PAUSED
        assert [f.code for f in findings] == ["rollout_paused"]

    def test_an_operators_pause_holds_but_a_bad_version_is_withdrawn(self):
        row = known_row(state=RolloutState.PAUSED)
        row, _ = step(row, [0.9] * 100)
        assert (row.state, row.step) == (RolloutState.PAUSED, 0)
        row, _ = step(row, [0.1] * 60)
        assert row.state is RolloutState.WITHDRAWN

    def test_ratings_add_up_over_ticks(self):
        rng, row = random.Random(5), known_row()
        for tick in range(50):
            row, _ = step(row, [rng.choice([0.1, 0.9])], now=NOW + tick)
        assert row.state is RolloutState.WITHDRAWN


class TestPermits:
    @given(st.integers(1, 40), st.integers(0, 20), st.floats(0.0, 1.0))
    def test_the_sum_never_passes_the_cap(self, hosts, cap, share):
        row = known_row(share=share)
        usages = [usage(f"h{n}") for n in range(hosts)]
        row, _ = step(row, usages=usages)
        row = grant(row, cap, NOW)
        assert row.unrated <= max(cap, POLICY.start_unrated)
        assert sum(g.unused for g in row.grants) == row.started

    def test_nothing_before_the_reference_is_known(self):
        row, _ = step(new_row(ROLLOUT, 1, NOW), usages=[usage("h1")])
        assert row.started == 0

    def test_an_expired_unused_permit_returns_after_the_hosts_report(self):
        row, _ = step(known_row(), usages=[usage("h1", sessions=9)])
        held = row.started
        assert held > 0
        expired = row.grants[0].expires.at + 3
        assert take_back(row).started == held
        report = usage("h1", expired, sessions=9, started=1)
        row, _ = step(row, usages=[report], now=expired + 60)
        assert (row.started, row.grants[0].unused) == (1, 0)

    def test_a_host_uses_what_it_holds_until_the_deadline(self):
        row, _ = step(known_row(), usages=[usage("h1"), usage("h2")])
        counter = PermitCounter("h1")
        counter.begin(BEGAN)
        held = row.grant_of("h1").granted
        took = [counter.take(row, NOW) for _ in range(held + 2)]
        assert took == [True] * held + [False, False]
        late = PermitCounter("h2")
        late.begin(BEGAN)
        assert not late.take(row, NOW + 11)

    def test_a_replaced_host_does_not_use_permits_again(self):
        row, _ = step(known_row(), usages=[usage("h1")])
        held = row.started
        replaced = PermitCounter("h1")
        began = replaced.begin(NOW + 1)
        assert not replaced.take(row, NOW + 1)
        report = usage("h1", NOW + 1, sessions=9, began=began)
        row, _ = step(attrs.evolve(row, share=0.0), usages=[report], now=NOW + 1)
        # What the host before held stays counted, so the cap is used up.
        assert (row.started, row.grant_of("h1").granted) == (held, 0)
        assert not replaced.take(row, NOW + 1)

    def test_a_report_of_the_host_before_is_ignored(self):
        row, _ = step(known_row(), usages=[usage("h1", began=5.0, sessions=9)])
        before = usage("h1", NOW + 9, began=4.0, sessions=99, started=7)
        after, _ = step(row, usages=[before], now=NOW + 1)
        assert (after.sessions, after.started) == (9, row.started)

    def test_pinned_answers_count_without_a_permit(self):
        counter = PermitCounter("h1")
        counter.count_pinned(known_row())
        started = counter.started("enter")
        row, _ = step(known_row(), usages=[usage("h1", started=started, sessions=0)])
        assert row.started == 1


class TestLateAndMissingRatings:
    def test_no_exposure_grows_without_ratings(self):
        row, now = known_row(), NOW
        for tick in range(2000):
            now = NOW + tick
            started = row.grants[0].granted if row.grants else 0
            report = usage("h1", now, sessions=20 * tick, started=started)
            row, _ = step(row, usages=[report], now=now)
        assert row.started == POLICY.start_unrated

    def test_lost_ratings_are_given_up_while_others_arrive(self):
        row = forgive(known_row(started=4), 100.0, NOW)
        for tick in range(1, 12):
            row = attrs.evolve(row, ratings_after=row.ratings_after + 1)
            row = forgive(row, 100.0, NOW + 10 * tick)
        assert row.unrated == 0


class TestDrivers:
    @given(st.lists(st.floats(0, 1), max_size=40), st.integers(0, 40))
    def test_another_driver_goes_on_exactly(self, scores, cut):
        heard = ratings(*scores, after=500)
        whole, _ = drive(known_row(), ROLLOUT, heard, (), POLICY, NOW)
        first, _ = drive(known_row(), ROLLOUT, heard[:cut], (), POLICY, NOW)
        taken = take_over(first, ROLLOUT, 2, NOW).ok_value
        second, _ = drive(taken, ROLLOUT, heard, (), POLICY, NOW)
        if not first.ended and first.state is RolloutState.RUNNING:
            assert second.comparisons == whole.comparisons
            assert (second.rated, second.fencing) == (whole.rated, 2)

    def test_a_replaced_driver_proposes_nothing(self):
        world = tables(manifest(), known_row(fencing=7))
        system = RolloutSystem(POLICY)
        system.inbox.leases["enter"] = DriverLease(6, Deadline(NOW + 9))
        findings = system.run(world, NOW)
        assert [f.code for f in findings] == ["rollout_driver_replaced"]
        assert system.proposals == {}

    def test_only_a_lease_in_force_drives(self):
        world = tables(manifest())
        system = RolloutSystem(POLICY)
        system.inbox.leases["enter"] = DriverLease(1, Deadline(NOW))
        system.run(world, NOW)
        assert system.proposals == {}
        system.inbox.leases["enter"] = DriverLease(2, Deadline(NOW + 9))
        system.run(world, NOW)
        assert system.proposals["enter"].fencing == 2
        assert world.rollouts == {}

    def test_a_proposal_that_was_not_stored_is_made_again(self):
        world = tables(manifest(), known_row())
        system = RolloutSystem(POLICY)
        system.inbox.leases["enter"] = DriverLease(2, Deadline(NOW + 9))
        system.inbox.ratings = ratings(0.9, 0.8, after=500)
        system.run(world, NOW)
        first = system.proposals["enter"]
        system.run(world, NOW)
        assert system.proposals["enter"] == first
        world.rollouts["enter"] = first
        system.run(world, NOW)
        assert system.proposals == {}
        assert system.inbox.ratings == []

    def test_after_a_long_gap_it_starts_from_the_first_step(self):
        row = known_row(step=2, share=0.5, continue_by=Deadline(NOW + 1))
        kept = take_over(row, ROLLOUT, 2, NOW).ok_value
        assert (kept.step, kept.share) == (2, 0.5)
        again = take_over(row, ROLLOUT, 2, NOW + CONTINUE_SECONDS).ok_value
        assert (again.step, again.share, again.capped) == (0, 0.01, True)
        worse = again.comparison(Measure.RATINGS).worse
        assert worse == row.comparison(Measure.RATINGS).worse

    def test_the_manifests_withdrawal_ends_it(self):
        world = tables(manifest(withdrawn=("draft@2",)), known_row())
        system = RolloutSystem(POLICY)
        system.inbox.leases["enter"] = DriverLease(2, Deadline(NOW + 9))
        system.run(world, NOW)
        assert system.proposals["enter"].state is RolloutState.WITHDRAWN


class TestOperators:
    @pytest.mark.parametrize(
        ("state", "action", "result"),
        [
            ("running", "pause", "paused"),
            ("running", "promote", "done"),
            ("running", "withdraw", "withdrawn"),
            ("running", "resume", None),
            ("paused", "resume", "running"),
            ("paused", "pause", None),
            ("done", "withdraw", "withdrawn"),
            ("done", "promote", None),
            ("withdrawn", "resume", None),
            ("withdrawn", "promote", None),
            ("withdrawn", "withdraw", None),
        ],
    )
    def test_transitions(self, state, action, result):
        row = known_row(state=RolloutState(state))
        got = act(row, Action(action), "ana")
        if result is None:
            assert got.err_value.state is row.state
        else:
            assert got.ok_value.state is RolloutState(result)

    def test_a_race_is_told(self):
        row = known_row(state=RolloutState.WITHDRAWN)
        got = act(row, Action.PAUSE, "ana", seen=RolloutState.RUNNING)
        assert isinstance(got, Err)
        assert got.err_value.message == ("the roll-out is withdrawn, no longer running")

    def test_a_resumed_rollout_gets_a_new_budget(self):
        row, _ = step(known_row(started=30), [0.1, 0.9, 0.1, 0.9, 0.9])
        resumed = act(row, Action.RESUME, "ana")
        assert isinstance(resumed, Ok)
        row, _ = step(resumed.ok_value, now=NOW + 1)
        assert row.state is RolloutState.RUNNING
