import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, ModelName, RolloutName, VersionId
from masticfork.core.manifest import Rollout
from masticfork.core.rollouts import (
    HostUsage,
    PermitGrant,
    RolloutRow,
    RolloutState,
    VersionCounts,
)
from masticfork.systems.rollout_usage import AnswerOutcome, RolloutUsage
from masticfork.systems.versions import Assignment

OLD, NEW = VersionId("linen@1"), VersionId("linen@2")
NAME = RolloutName("linen-2")
HOST = HostName("entry-1")
ROLLOUT = Rollout(NAME, ModelName("linen"), OLD, NEW)
ASSIGNMENT = Assignment(NEW, None, NAME, OLD)


def row(granted: int) -> RolloutRow:
    grant = PermitGrant(HostUsage(HOST, NAME, 0.0), granted, Deadline(100.0))
    return RolloutRow(NAME, ModelName("linen"), OLD, NEW, grants=(grant,))


class TestAdmit:
    def test_new_sessions_get_the_new_version_until_permits_run_out(self):
        usage = RolloutUsage(HOST)
        usage.report(ROLLOUT, 0.0)
        versions = [usage.admit(row(2), ASSIGNMENT, False, 1.0) for _ in range(3)]
        assert versions == [NEW, NEW, OLD]
        assert usage.report(ROLLOUT, 1.0).started == 2

    def test_a_pinned_session_keeps_the_new_version_and_is_counted(self):
        usage = RolloutUsage(HOST)
        usage.report(ROLLOUT, 0.0)
        assert usage.admit(row(0), ASSIGNMENT, True, 1.0) == NEW
        assert usage.report(ROLLOUT, 1.0).started == 1

    def test_a_rollout_without_cap_needs_no_permit(self):
        usage = RolloutUsage(HOST)
        uncapped = attrs.evolve(row(0), capped=False)
        assert usage.admit(uncapped, ASSIGNMENT, False, 1.0) == NEW

    def test_permits_of_an_earlier_process_are_not_used(self):
        usage = RolloutUsage(HOST)
        assert usage.admit(row(2), ASSIGNMENT, False, 1.0) == OLD
        usage.report(ROLLOUT, 1.0)
        assert usage.admit(row(2), ASSIGNMENT, False, 1.0) == OLD


class TestReport:
    def test_counts_of_an_ended_rollout_are_dropped(self):
        usage = RolloutUsage(HOST)
        usage.admit(row(0), ASSIGNMENT, True, 1.0)
        usage.drop_if_ended(row(0))
        assert usage.report(ROLLOUT, 1.0).started == 1
        usage.drop_if_ended(attrs.evolve(row(0), state=RolloutState.DONE))
        assert usage.report(ROLLOUT, 1.0).started == 0

    def test_counts_answers_by_version(self):
        usage = RolloutUsage(HOST)
        usage.count_answer(AnswerOutcome(NEW, False, 0.1))
        usage.count_answer(AnswerOutcome(NEW, True, None))
        usage.count_answer(AnswerOutcome(OLD, False, 2.0))
        report = usage.report(ROLLOUT, 1.0)
        assert report.new == VersionCounts(2, 1, 0)
        assert report.old == VersionCounts(1, 0, 1)
