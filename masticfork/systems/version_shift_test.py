import random

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
from masticfork.systems.version_shift import (
    CANARY,
    DONE_FRACTION,
    FULL,
    SPLIT,
    STEP_SHARES,
    AnswerCounts,
    LatencyBaseline,
    ResponseTime,
    is_bad,
    is_final,
    is_suspicious,
    next_progress,
    runs_on_new_version,
)

GOOD = AnswerCounts(good=40.0)
EMPTY = AnswerCounts()


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
        progress = next_progress(rollout(RolloutState.ORDERED), 0.1, EMPTY, EMPTY)
        assert (progress.state, progress.step) == (RolloutState.RUNNING, 0)

    @pytest.mark.parametrize(
        ("elapsed", "step", "new", "expected"),
        [
            (2.0, CANARY, EMPTY, CANARY),
            (2.0, CANARY, GOOD, SPLIT),
            (12.1, CANARY, EMPTY, SPLIT),
            (12.1, SPLIT, GOOD, SPLIT),
            (16.0, SPLIT, GOOD, FULL),
            (16.0, FULL, GOOD, FULL),
        ],
    )
    def test_step_depends_on_answers_and_elapsed_time(
        self, elapsed, step, new, expected
    ):
        assert next_progress(rollout(step=step), elapsed, new, GOOD).step == expected

    def test_done_early_only_if_nothing_runs_on_the_old_version(self):
        shift = rollout(step=FULL)
        assert next_progress(shift, 20.0, GOOD, GOOD, 3).state is RolloutState.RUNNING
        assert next_progress(shift, 20.0, GOOD, GOOD, 0).state is RolloutState.DONE

    def test_rollout_without_answers_is_done_within_its_duration(self):
        progress = RolloutProgress()
        shift = rollout(RolloutState.ORDERED)
        times = [tenth / 10 for tenth in range(240)]
        for elapsed in times:
            shift = attrs.evolve(shift, progress=progress)
            progress = next_progress(shift, elapsed, EMPTY, EMPTY)
        assert progress.state is RolloutState.DONE

    def test_version_without_servers_never_replaces_the_old_one(self):
        """Guards against old servers that are stopped while no new one is known."""
        shift, times = rollout(), [tenth / 10 for tenth in range(240)]
        states = {
            (progress.state, progress.step)
            for progress in (
                next_progress(shift, elapsed, EMPTY, GOOD, has_servers=False)
                for elapsed in times
            )
        }
        assert states == {(RolloutState.RUNNING, 0), (RolloutState.ROLLED_BACK, 0)}

    def test_done_only_after_the_last_step(self):
        late = DONE_FRACTION * 24.0 + 0.1
        split, full = rollout(step=SPLIT), rollout(step=FULL)
        assert next_progress(split, late, GOOD, GOOD).state is RolloutState.RUNNING
        assert next_progress(full, late, GOOD, GOOD).state is RolloutState.DONE

    def test_bad_version_is_rolled_back_at_any_step(self):
        bad = AnswerCounts(good=4.0, bad=4.0)
        for step in range(len(STEP_SHARES)):
            progress = next_progress(rollout(step=step), 13.0, bad, GOOD)
            assert progress.state is RolloutState.ROLLED_BACK

    @pytest.mark.parametrize(("step", "due"), [(CANARY, 12.1), (SPLIT, 16.0)])
    def test_suspicious_version_does_not_get_more_requests(self, step, due):
        """Guards against a split that ended by time alone."""
        suspicious = AnswerCounts(good=10, slow=3)
        assert is_suspicious(suspicious, GOOD)
        assert not is_bad(suspicious, GOOD)
        shift = rollout(step=step)
        assert next_progress(shift, due, suspicious, GOOD) == shift.progress
        progress = next_progress(shift, 19.3, suspicious, GOOD)
        assert progress.state is RolloutState.ROLLED_BACK

    def test_suspicious_version_is_not_done_early(self):
        suspicious, shift = AnswerCounts(good=10, slow=3), rollout(step=FULL)
        assert next_progress(shift, 20.0, suspicious, GOOD, 0) == shift.progress
        late = next_progress(shift, DONE_FRACTION * 24.0 + 0.1, suspicious, GOOD, 0)
        assert late.state is RolloutState.DONE

    def test_slow_version_that_serves_alone_is_rolled_back(self):
        """Guards against slow versions that are found out only in the last step."""
        slow, old = AnswerCounts(good=35, slow=13), AnswerCounts(good=40, slow=3)
        progress = next_progress(rollout(step=FULL), 20.0, slow, old)
        assert progress.state is RolloutState.ROLLED_BACK

    @given(
        st.sampled_from([RolloutState.DONE, RolloutState.ROLLED_BACK]),
        st.floats(0, 100),
        st.integers(0, 50),
    )
    def test_final_state_does_not_change(self, state, elapsed, bad):
        shift = rollout(state, 2)
        assert (
            next_progress(shift, elapsed, AnswerCounts(bad=bad), GOOD) == shift.progress
        )


class TestIsBad:
    @pytest.mark.parametrize(
        ("new", "old", "expected"),
        [
            (AnswerCounts(good=3, bad=3), GOOD, True),
            (AnswerCounts(good=0, bad=2), GOOD, False),
            (AnswerCounts(good=30, bad=3), GOOD, False),
            # Both versions fail equally often, so the new version is not the cause.
            (AnswerCounts(good=5, bad=5), AnswerCounts(good=5, bad=5), False),
        ],
    )
    def test_requires_minimum_count_share_and_margin(self, new, old, expected):
        assert is_bad(new, old) is expected

    def test_slow_version_is_bad_at_any_number_of_answers(self):
        """Guards against fixed shares that many answers stay below."""
        old = AnswerCounts(good=350, slow=28)
        assert is_bad(AnswerCounts(good=168, slow=47), old)
        assert is_bad(AnswerCounts(good=30, slow=15), old)
        assert is_bad(AnswerCounts(good=5, slow=5), old)

    def test_a_few_slow_answers_do_not_accuse_a_good_version(self):
        """Guards against shares that a few answers reach by chance."""
        old = AnswerCounts(good=100, slow=16)
        assert not is_bad(AnswerCounts(good=12, slow=5), old)
        assert not is_bad(AnswerCounts(good=3, slow=3), old)

    def test_good_history_does_not_hide_a_version_that_turns_bad(self):
        new = AnswerCounts()
        for second in range(12):
            for _ in range(4):
                new.add(False, False, float(second))
        bad_answers = 0
        while not is_bad(new, GOOD) and bad_answers < 40:
            bad_answers += 1
            new.add(True, False, 12.0 + bad_answers / 4)
        assert bad_answers <= 15


class TestSlowVersions:
    """Latencies that include the queueing behind a slow version's requests."""

    def simulate_canary(self, seconds_of_new):
        rng, baseline = random.Random(7), LatencyBaseline()
        new, old = AnswerCounts(), AnswerCounts()
        now = 0.0
        while not is_bad(new, old) and now < 30.0:
            now += 0.1
            if rng.random() < 0.15:
                seconds = rng.choice(seconds_of_new)
                new.add(False, baseline.is_slow(ResponseTime(0, seconds)), now)
            else:
                seconds = rng.choice((0.06, 0.08, 0.17, 0.17, 0.38, 1.1))
                old.add(False, baseline.is_slow(ResponseTime(0, seconds)), now)
                baseline.add(ResponseTime(0, seconds))
        return now, new, old

    def test_slow_version_is_detected(self):
        ended_at, new, _ = self.simulate_canary((0.26, 0.56, 1.4, 1.4, 3.1, 3.5))
        assert ended_at < 12.0
        assert new.total < 20

    def test_cold_engines_do_not_roll_back_a_version(self):
        ended_at, new, old = self.simulate_canary((0.1, 0.2, 0.3, 0.35, 0.4, 1.2))
        assert ended_at >= 30.0
        assert not is_suspicious(new, old)


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


class TestTakesNewVersion:
    def test_share_of_new_sessions_matches_the_step(self):
        for step, share in enumerate(STEP_SHARES):
            shift = rollout(step=step)
            taken = sum(runs_on_new_version(shift, f"s{n}", None) for n in range(2000))
            assert taken == pytest.approx(2000 * share, abs=60)

    def test_sessions_keep_their_version_until_the_last_step(self):
        for step in (CANARY, SPLIT):
            shift = rollout(step=step)
            assert not any(
                runs_on_new_version(shift, f"s{n}", False) for n in range(200)
            )
            assert all(runs_on_new_version(shift, f"s{n}", True) for n in range(200))

    def test_session_stays_on_the_new_version_unless_it_is_rolled_back(self):
        for step in range(len(STEP_SHARES)):
            assert runs_on_new_version(rollout(step=step), "s", True)
        assert runs_on_new_version(rollout(RolloutState.DONE, 2), "s", True)

    @pytest.mark.parametrize("state", [RolloutState.ORDERED, RolloutState.ROLLED_BACK])
    def test_no_session_runs_on_the_new_version_before_start_or_after_rollback(
        self, state
    ):
        shift = rollout(state)
        assert not any(runs_on_new_version(shift, f"s{n}", True) for n in range(100))
        assert is_final(shift.progress) == (state is RolloutState.ROLLED_BACK)
