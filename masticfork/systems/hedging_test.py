"""Tests of the delay and the budget of hedges."""

from masticfork.systems.hedging import MAX_HEDGE_BUDGET, PercentileHedges


class TestPercentileHedges:
    def test_delay_is_the_95th_percentile_after_20_latencies(self):
        hedges = PercentileHedges()
        for number in range(19):
            hedges.observe("k", float(number))
        assert hedges.delay_seconds("k") is None
        hedges.observe("k", 19.0)
        assert hedges.delay_seconds("k") == 19.0
        for number in range(100):
            hedges.observe("k", float(number))
        assert 90.0 <= hedges.delay_seconds("k") <= 95.0

    def test_hedges_are_a_small_share_of_the_calls(self):
        hedges, sent = PercentileHedges(), 0
        for _ in range(1000):
            hedges.delay_seconds("k")
            sent += hedges.try_take("k")
        assert 40 <= sent <= 50

    def test_unused_budget_is_capped(self):
        hedges = PercentileHedges()
        for _ in range(1000):
            hedges.delay_seconds("k")
        assert sum(hedges.try_take("k") for _ in range(20)) == MAX_HEDGE_BUDGET
