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
from masticfork.systems.rollout_actions import Action, apply_action
from masticfork.systems.rollout_evidence import (
    Margins,
    add_ratings,
    write_off_overdue_answers,
)
from masticfork.systems.rollout_permits import (
    PermitCounter,
    grant_permits,
    reclaim_expired_permits,
)
from masticfork.systems.rollout_policies import SequentialPolicy
from masticfork.systems.rollouts import (
    MAX_DRIVER_GAP_SECONDS,
    DriverLease,
    RolloutSystem,
    drive,
    new_row,
    take_over,
)
from masticfork.systems.table_strategies_test import NOW, ROLLOUT, manifest, tables

POLICY = SequentialPolicy()
BEGAN = 1.0


def ratings(*scores, version="draft@2", after=0):
    return [
        Rating(after + n, f"r{n}", version, WorkClass.DRAFTING, "frames", score)
        for n, score in enumerate(scores, 1)
    ]


def row_with_reference(**fields):
    """Return a row with enough old-version ratings to compare, of mean 0.9."""
    row = add_ratings(
        new_row(ROLLOUT, 1, NOW), ratings(*[0.9] * 500, version="draft@1"), Margins()
    )
    return attrs.evolve(row, **fields)


def usage(host, at=NOW, sessions=50, started=0, began=BEGAN, **fields):
    return HostUsage(host, "enter", at, began, sessions, started, **fields)


def step(row, scores=(), usages=(), now=NOW):
    received = ratings(*scores, after=row.ratings_after)
    return drive(row, ROLLOUT, received, usages, POLICY, now)


class TestDecisions:
    def test_bad_ratings_withdraw(self):
        row, findings = step(row_with_reference(), [0.1, 0.9] * 10)
        assert row.state is RolloutState.WITHDRAWN
        assert "ratings worse than those of draft@1" in row.reason
        assert [f.code for f in findings] == ["rollout_withdrawn"]

    @pytest.mark.parametrize("field", ["failed", "slow"])
    def test_errors_and_latency_withdraw(self, field):
        old = VersionCounts(1000, 10, 30)
        bad = VersionCounts(20, **{field: 15})
        row, _ = step(row_with_reference(), usages=[usage("h1", new=bad, old=old)])
        assert row.state is RolloutState.WITHDRAWN

    def test_advancing_a_step_needs_evidence_on_all_measures(self):
        row, _ = step(row_with_reference(), [0.9] * 60)
        assert row.step == 0
        counts = {"new": VersionCounts(60), "old": VersionCounts(1000, 10, 30)}
        row, _ = step(row, usages=[usage("h1", NOW + 1, **counts)])
        assert (row.step, row.share) == (1, 0.1)

    def test_each_step_gathers_its_own_evidence(self):
        row = row_with_reference()
        counts = {"new": VersionCounts(500), "old": VersionCounts(1000, 10, 30)}
        row, _ = step(row, [0.9] * 500, [usage("h1", **counts)])
        row, _ = step(row, now=NOW + 1)
        assert row.step == 1

    def test_a_suspect_version_is_paused_at_its_answer_limit(self):
        row, findings = step(row_with_reference(started=30), [0.1, 0.9, 0.1, 0.9, 0.9])
        assert row.state is RolloutState.PAUSED
        assert [f.code for f in findings] == ["rollout_paused"]

    def test_a_paused_rollout_does_not_advance_but_can_be_withdrawn(self):
        row = row_with_reference(state=RolloutState.PAUSED)
        row, _ = step(row, [0.9] * 100)
        assert (row.state, row.step) == (RolloutState.PAUSED, 0)
        row, _ = step(row, [0.1] * 60)
        assert row.state is RolloutState.WITHDRAWN

    def test_evidence_accumulates_over_ticks(self):
        rng, row = random.Random(5), row_with_reference()
        for tick in range(50):
            row, _ = step(row, [rng.choice([0.1, 0.9])], now=NOW + tick)
        assert row.state is RolloutState.WITHDRAWN


class TestPermits:
    @given(st.integers(1, 40), st.integers(0, 20), st.floats(0.0, 1.0))
    def test_granted_permits_never_exceed_the_cap(self, hosts, cap, share):
        row = row_with_reference(share=share)
        usages = [usage(f"h{n}") for n in range(hosts)]
        row, _ = step(row, usages=usages)
        row = grant_permits(row, cap, NOW)
        assert row.unrated <= max(cap, POLICY.initial_unrated_cap)
        assert sum(g.unused for g in row.grants) == row.started

    def test_no_permits_before_the_old_version_has_enough_ratings(self):
        row, _ = step(new_row(ROLLOUT, 1, NOW), usages=[usage("h1")])
        assert row.started == 0

    def test_an_expired_unused_permit_is_reclaimed_after_a_report(self):
        row, _ = step(row_with_reference(), usages=[usage("h1", sessions=9)])
        granted = row.started
        assert granted > 0
        expired = row.grants[0].expires.at + 3
        assert reclaim_expired_permits(row).started == granted
        report = usage("h1", expired, sessions=9, started=1)
        row, _ = step(row, usages=[report], now=expired + 60)
        assert (row.started, row.grants[0].unused) == (1, 0)

    def test_a_host_uses_its_permits_until_they_expire(self):
        row, _ = step(row_with_reference(), usages=[usage("h1"), usage("h2")])
        counter = PermitCounter("h1")
        counter.first_report_time(BEGAN)
        granted = row.grant_of("h1").granted
        results = [counter.take(row, NOW) for _ in range(granted + 2)]
        assert results == [True] * granted + [False, False]
        other_counter = PermitCounter("h2")
        other_counter.first_report_time(BEGAN)
        assert not other_counter.take(row, NOW + 11)

    def test_a_restarted_host_does_not_use_earlier_permits(self):
        row, _ = step(row_with_reference(), usages=[usage("h1")])
        granted = row.started
        restarted = PermitCounter("h1")
        began = restarted.first_report_time(NOW + 1)
        assert not restarted.take(row, NOW + 1)
        report = usage("h1", NOW + 1, sessions=9, began=began)
        row, _ = step(attrs.evolve(row, share=0.0), usages=[report], now=NOW + 1)
        # Permits of the earlier process stay counted, so the cap is exhausted.
        assert (row.started, row.grant_of("h1").granted) == (granted, 0)
        assert not restarted.take(row, NOW + 1)

    def test_a_report_from_before_a_restart_is_ignored(self):
        row, _ = step(row_with_reference(), usages=[usage("h1", began=5.0, sessions=9)])
        stale_report = usage("h1", NOW + 9, began=4.0, sessions=99, started=7)
        after, _ = step(row, usages=[stale_report], now=NOW + 1)
        assert (after.sessions, after.started) == (9, row.started)

    def test_pinned_answers_count_without_a_permit(self):
        counter = PermitCounter("h1")
        counter.count_without_permit(row_with_reference())
        started = counter.started("enter")
        row, _ = step(
            row_with_reference(), usages=[usage("h1", started=started, sessions=0)]
        )
        assert row.started == 1


class TestOverdueRatings:
    def test_started_answers_stop_growing_without_ratings(self):
        row, now = row_with_reference(), NOW
        for tick in range(2000):
            now = NOW + tick
            started = row.grants[0].granted if row.grants else 0
            report = usage("h1", now, sessions=20 * tick, started=started)
            row, _ = step(row, usages=[report], now=now)
        assert row.started == POLICY.initial_unrated_cap

    def test_overdue_ratings_are_written_off_while_others_arrive(self):
        row = write_off_overdue_answers(row_with_reference(started=4), 100.0, NOW)
        for tick in range(1, 12):
            row = attrs.evolve(row, ratings_after=row.ratings_after + 1)
            row = write_off_overdue_answers(row, 100.0, NOW + 10 * tick)
        assert row.unrated == 0


class TestDrivers:
    @given(st.lists(st.floats(0, 1), max_size=40), st.integers(0, 40))
    def test_a_takeover_yields_the_same_evidence(self, scores, handover_at):
        received = ratings(*scores, after=500)
        whole, _ = drive(row_with_reference(), ROLLOUT, received, (), POLICY, NOW)
        first, _ = drive(
            row_with_reference(), ROLLOUT, received[:handover_at], (), POLICY, NOW
        )
        taken = take_over(first, ROLLOUT, 2, NOW).ok_value
        second, _ = drive(taken, ROLLOUT, received, (), POLICY, NOW)
        if not first.ended and first.state is RolloutState.RUNNING:
            assert second.comparisons == whole.comparisons
            assert (second.rated, second.fencing) == (whole.rated, 2)

    def test_a_replaced_driver_proposes_nothing(self):
        host_tables = tables(manifest(), row_with_reference(fencing=7))
        system = RolloutSystem(POLICY)
        system.inbox.leases["enter"] = DriverLease(6, Deadline(NOW + 9))
        findings = system.run(host_tables, NOW)
        assert [f.code for f in findings] == ["rollout_driver_replaced"]
        assert system.proposals == {}

    def test_only_an_unexpired_lease_yields_proposals(self):
        host_tables = tables(manifest())
        system = RolloutSystem(POLICY)
        system.inbox.leases["enter"] = DriverLease(1, Deadline(NOW))
        system.run(host_tables, NOW)
        assert system.proposals == {}
        system.inbox.leases["enter"] = DriverLease(2, Deadline(NOW + 9))
        system.run(host_tables, NOW)
        assert system.proposals["enter"].fencing == 2
        assert host_tables.rollouts == {}

    def test_a_proposal_that_was_not_stored_is_repeated(self):
        host_tables = tables(manifest(), row_with_reference())
        system = RolloutSystem(POLICY)
        system.inbox.leases["enter"] = DriverLease(2, Deadline(NOW + 9))
        system.inbox.ratings = ratings(0.9, 0.8, after=500)
        system.run(host_tables, NOW)
        first = system.proposals["enter"]
        system.run(host_tables, NOW)
        assert system.proposals["enter"] == first
        host_tables.rollouts["enter"] = first
        system.run(host_tables, NOW)
        assert system.proposals == {}
        assert system.inbox.ratings == []

    def test_a_takeover_after_a_long_gap_restarts_from_the_first_step(self):
        row = row_with_reference(step=2, share=0.5, continue_by=Deadline(NOW + 1))
        continued = take_over(row, ROLLOUT, 2, NOW).ok_value
        assert (continued.step, continued.share) == (2, 0.5)
        reset = take_over(row, ROLLOUT, 2, NOW + MAX_DRIVER_GAP_SECONDS).ok_value
        assert (reset.step, reset.share, reset.capped) == (0, 0.01, True)
        worse = reset.comparison(Measure.RATINGS).worse
        assert worse == row.comparison(Measure.RATINGS).worse

    def test_a_withdrawal_in_the_manifest_ends_the_rollout(self):
        host_tables = tables(manifest(withdrawn=("draft@2",)), row_with_reference())
        system = RolloutSystem(POLICY)
        system.inbox.leases["enter"] = DriverLease(2, Deadline(NOW + 9))
        system.run(host_tables, NOW)
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
        row = row_with_reference(state=RolloutState(state))
        outcome = apply_action(row, Action(action), "ana")
        if result is None:
            assert outcome.err_value.state is row.state
        else:
            assert outcome.ok_value.state is RolloutState(result)

    def test_a_concurrent_state_change_is_reported(self):
        row = row_with_reference(state=RolloutState.WITHDRAWN)
        outcome = apply_action(row, Action.PAUSE, "ana", seen=RolloutState.RUNNING)
        assert isinstance(outcome, Err)
        assert outcome.err_value.message == (
            "the rollout is withdrawn, no longer running"
        )

    def test_resuming_restarts_the_suspect_answer_limit(self):
        row, _ = step(row_with_reference(started=30), [0.1, 0.9, 0.1, 0.9, 0.9])
        resumed = apply_action(row, Action.RESUME, "ana")
        assert isinstance(resumed, Ok)
        row, _ = step(resumed.ok_value, now=NOW + 1)
        assert row.state is RolloutState.RUNNING
