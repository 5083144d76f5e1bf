import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.core.backend_servers import (
    RolloutProgress,
    RolloutState,
    VersionRollout,
)
from masticfork.core.store_position import StorePosition
from masticfork.systems.rollout_plan import RolloutPlan
from masticfork.systems.version_evidence import Assessment
from masticfork.systems.version_shift import (
    CANARY,
    CANARY_CANDIDATES,
    FULL,
    LatencyBaseline,
    ResponseTime,
    is_canary_candidate,
    next_progress,
)

NONE = Assessment(0, 0, 0, harm=0.0, suspicion=0.0, proven=False)
PROVEN = Assessment(40, 0, 0, harm=0.0, suspicion=0.0, proven=True)
SUSPICIOUS = Assessment(40, 2, 0, harm=0.5, suspicion=1.1, proven=True)
BAD = Assessment(8, 4, 0, harm=1.2, suspicion=3.0, proven=False)
DOUBTFUL = attrs.evolve(PROVEN, doubt=1.1)
# The full step from 19 s on, the completion from 23.5 s on, the last chance at 23.8 s.
PLAN = RolloutPlan(19.0, 23.5, 24.0)
# Steps that are stored: earlier builds write one beyond the full step.
STEPS = [CANARY, FULL, FULL + 1]


def advanced(rollout, elapsed, assessment, **conditions):
    return next_progress(rollout, elapsed, assessment, PLAN, **conditions)


def rollout(state=RolloutState.RUNNING, step=0, duration=24.0):
    return VersionRollout(
        "llm",
        "v2",
        duration,
        StorePosition(0, 7),
        5,
        5,
        RolloutProgress(state, step, 100.0),
    )


class TestAdvance:
    def test_ordered_rollout_starts_with_the_canary(self):
        progress = advanced(rollout(RolloutState.ORDERED), 0.1, NONE)
        assert (progress.state, progress.step) == (RolloutState.RUNNING, CANARY)

    @pytest.mark.parametrize(
        ("elapsed", "step", "expected"),
        [
            (4.0, CANARY, (RolloutState.RUNNING, CANARY)),
            (PLAN.full_from - 0.1, CANARY, (RolloutState.RUNNING, CANARY)),
            (PLAN.full_from, CANARY, (RolloutState.RUNNING, FULL)),
            (PLAN.complete_from - 0.1, CANARY, (RolloutState.RUNNING, FULL)),
            (PLAN.complete_from - 0.1, FULL, (RolloutState.RUNNING, FULL)),
            (PLAN.complete_from, FULL, (RolloutState.DONE, FULL)),
            (PLAN.complete_from, FULL + 1, (RolloutState.DONE, FULL + 1)),
            (PLAN.complete_from, CANARY, (RolloutState.ROLLED_BACK, CANARY)),
        ],
    )
    def test_steps_of_a_proven_version(self, elapsed, step, expected):
        progress = advanced(rollout(step=step), elapsed, PROVEN)
        assert (progress.state, progress.step) == expected

    def test_version_without_recent_answers_is_not_completed(self):
        """Guards against completion on answers that are seconds old."""
        for step in (FULL, FULL + 1):
            shift = rollout(step=step)
            held = advanced(shift, PLAN.complete_from, PROVEN, confirmed=False)
            assert held == shift.progress
            ended = advanced(shift, PLAN.give_up_from, PROVEN, confirmed=False)
            assert ended.state is RolloutState.ROLLED_BACK

    def test_version_waits_until_it_may_serve_alone(self):
        """Guards against a share that is exceeded if the age is a wrong clock's."""
        shift = rollout(step=FULL)
        for elapsed in (PLAN.complete_from, PLAN.ends_at, PLAN.ends_at + 2.0):
            waiting = advanced(shift, elapsed, PROVEN, affordable=False)
            assert waiting == shift.progress
            done = advanced(shift, elapsed, PROVEN, affordable=True)
            assert done.state is RolloutState.DONE

    @pytest.mark.parametrize("elapsed", [2.0, 12.1, 16.0, 18.9])
    def test_time_alone_does_not_advance_a_rollout(self, elapsed):
        """Guards against rollouts that advance by the clock, without evidence."""
        progress = advanced(rollout(), elapsed, PROVEN)
        assert progress.step == CANARY

    def test_version_that_has_not_answered_enough_is_rolled_back(self):
        shift = rollout()
        assert advanced(shift, PLAN.full_from, NONE) == shift.progress
        progress = advanced(shift, PLAN.complete_from, NONE)
        assert progress.state is RolloutState.ROLLED_BACK
        shift = rollout(step=FULL)
        assert advanced(shift, PLAN.complete_from, NONE) == shift.progress
        progress = advanced(shift, PLAN.give_up_from, NONE)
        assert progress.state is RolloutState.ROLLED_BACK

    def test_service_with_few_requests_gets_its_full_load_later(self):
        """Guards against good versions of quiet services that are refused."""
        elapsed = PLAN.unproven_full_from
        assert PLAN.full_from < elapsed < PLAN.complete_from
        assert advanced(rollout(), elapsed - 0.1, NONE).step == CANARY
        assert advanced(rollout(), elapsed, NONE).step == FULL

    @pytest.mark.parametrize("duration", [2.0, 6.0, 24.0, 60.0])
    def test_proven_version_is_done_within_its_duration(self, duration):
        progress, plan = RolloutProgress(), RolloutPlan.of(duration, 3.0, 0.01)
        shift = rollout(RolloutState.ORDERED, duration=duration)
        for step in range(200):
            shift = attrs.evolve(shift, progress=progress)
            progress = next_progress(shift, step / 200 * duration, PROVEN, plan)
        assert progress.state is RolloutState.DONE

    def test_version_without_servers_never_replaces_the_old_one(self):
        """Guards against old servers that are stopped while no new one is known."""
        shift, times = rollout(), [tenth / 10 for tenth in range(240)]
        states = {
            (progress.state, progress.step)
            for progress in (
                advanced(shift, elapsed, PROVEN, has_servers=False) for elapsed in times
            )
        }
        assert states == {(RolloutState.RUNNING, 0), (RolloutState.ROLLED_BACK, 0)}

    @pytest.mark.parametrize("step", STEPS)
    def test_bad_version_is_rolled_back_at_any_step(self, step):
        progress = advanced(rollout(step=step), 13.0, BAD)
        assert progress.state is RolloutState.ROLLED_BACK

    @pytest.mark.parametrize("step", STEPS)
    def test_suspicious_version_is_not_completed(self, step):
        """Guards against suspicious versions that are done when their time is up."""
        shift = rollout(step=step)
        held = advanced(shift, PLAN.full_from, SUSPICIOUS)
        assert held == shift.progress
        progress = advanced(shift, PLAN.complete_from, SUSPICIOUS)
        assert progress.state is RolloutState.ROLLED_BACK

    def test_doubtful_version_gets_a_full_load_and_is_not_completed(self):
        """Guards against completion on evidence just below what accuses a version."""
        assert advanced(rollout(), PLAN.full_from, DOUBTFUL).step == FULL
        progress = advanced(rollout(step=FULL), PLAN.complete_from, DOUBTFUL)
        assert progress.state is RolloutState.ROLLED_BACK

    @given(
        st.sampled_from([RolloutState.DONE, RolloutState.ROLLED_BACK]),
        st.floats(0, 100),
        st.sampled_from([NONE, PROVEN, BAD, SUSPICIOUS, DOUBTFUL]),
    )
    def test_final_state_does_not_change(self, state, elapsed, assessment):
        shift = rollout(state, 2)
        assert advanced(shift, elapsed, assessment) == shift.progress


class TestLatencyBaseline:
    def baseline(self, times):
        baseline = LatencyBaseline()
        for seconds, expected in times * 5:
            baseline.add(ResponseTime(0, seconds, expected))
        return baseline

    def test_answers_below_a_tenth_of_a_second_can_be_slow(self):
        """Guards against slow versions of services that answer in milliseconds."""
        baseline = self.baseline([(0.02, 0.0), (0.025, 0.0), (0.03, 0.0)])
        assert baseline.is_slow(ResponseTime(0, 0.09))
        assert not baseline.is_slow(ResponseTime(0, 0.035))

    def test_times_of_long_prompts_do_not_hide_a_slow_version(self):
        """Guards against slow answers within the spread of times of all prompts."""
        baseline = self.baseline([(0.07, 0.05), (0.24, 0.2), (1.1, 1.0)])
        assert baseline.is_slow(ResponseTime(0, 0.5, 0.05))
        assert baseline.is_slow(ResponseTime(0, 3.3, 1.0))

    def test_long_prompts_without_kept_parts_are_not_slow(self):
        """Guards against good versions accused because their engines are cold."""
        baseline = self.baseline([(0.05, 0.02), (0.07, 0.05)])
        assert not baseline.is_slow(ResponseTime(0, 0.65, 0.95))

    def test_without_enough_times_nothing_is_slow(self):
        baseline = LatencyBaseline()
        baseline.add(ResponseTime(0, 0.1))
        assert not baseline.is_slow(ResponseTime(0, 9.0))

    def test_usual_times_of_other_hosts_serve_a_host_that_knows_too_few(self):
        """Guards against slow versions that look good to hosts with little traffic."""
        baseline, slow = LatencyBaseline(), ResponseTime(0, 9.0)
        assert baseline.is_slow(slow, [{0: 1.0}, {0: 1.2}, {1: 900.0}])
        assert not baseline.is_slow(slow, [{0: 150.0}])


class TestCanaryCandidates:
    def test_share_of_sessions(self):
        shift = rollout()
        taken = sum(is_canary_candidate(shift, f"s{n}") for n in range(2000))
        assert taken == pytest.approx(2000 * CANARY_CANDIDATES, abs=80)
