import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticfork.systems.rollout_plan import EARLIEST_FULL_FRACTION, RolloutPlan


class TestPlan:
    @given(st.floats(1.0, 3600.0), st.floats(0.0, 100.0), st.floats(0.0, 5.0))
    def test_times_follow_each_other(self, duration, full_seconds, store_seconds):
        plan = RolloutPlan.of(duration, full_seconds, store_seconds)
        assert EARLIEST_FULL_FRACTION * duration <= plan.full_from
        assert plan.full_from <= plan.complete_from < plan.give_up_from < plan.ends_at

    def test_full_step_lasts_until_the_completion(self):
        """Guards against allowed requests that are spent before the completion."""
        plan = RolloutPlan.of(24.0, 3.0, 0.0)
        assert plan.full_seconds == pytest.approx(3.0, abs=0.2)

    def test_slow_store_gets_the_completion_earlier(self):
        """Guards against good versions whose completion reaches the store too late."""
        usual, slow = RolloutPlan.of(24.0, 3.0, 0.0), RolloutPlan.of(24.0, 3.0, 0.5)
        assert usual.ends_at - usual.complete_from <= 0.5
        assert slow.ends_at - slow.complete_from > 1.0
