import pytest

from bench.experiments.cascade_oracles import clairvoyant_cost, plan_oracle_cost
from bench.experiments.cascade_world import LARGE, SMALL, Scenario, requests_of
from bench.experiments.cascades import simulate

SHORT = Scenario("short", seconds=60.0)


class TestOracles:
    requests = requests_of(SHORT, 1)

    @pytest.mark.parametrize("target", [0.7, 0.85, 0.9])
    def test_who_knows_more_pays_no_more(self, target):
        clairvoyant = clairvoyant_cost(self.requests, target)
        planned = plan_oracle_cost(self.requests, target)
        assert SMALL.cost <= clairvoyant <= planned <= LARGE.cost


class TestSimulate:
    def test_baselines_bound_the_cost(self):
        assert simulate(SHORT, "strongest", 1).cost == pytest.approx(LARGE.cost)
        assert simulate(SHORT, "cheapest", 1).cost == pytest.approx(SMALL.cost)

    def test_a_seed_repeats(self):
        assert simulate(SHORT, "learnt", 1) == simulate(SHORT, "learnt", 1)
