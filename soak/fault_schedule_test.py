from hypothesis import given
from hypothesis import strategies as st

from soak.fault_schedule import draw_faults
from soak.records import FaultKind


class TestDrawFaults:
    def test_the_same_seed_draws_the_same_faults(self):
        assert draw_faults(7, 15.0, 3, 6) == draw_faults(7, 15.0, 3, 6)

    @given(st.integers(0, 10_000))
    def test_faults_are_ordered_by_start_and_within_bounds(self, seed):
        faults = draw_faults(seed, 15.0, 3, 6)
        assert [f.at for f in faults] == sorted(f.at for f in faults)
        assert all(f.at < f.until and f.at < 15.0 for f in faults)
        assert all(f.target < 6 for f in faults)

    def test_fifty_seeds_together_draw_every_kind(self):
        drawn = {f.kind for seed in range(50) for f in draw_faults(seed, 15.0, 3, 6)}
        assert drawn == set(FaultKind)
