import pytest

from bench.experiments.cascade_oracles import clairvoyant_cost, plan_oracle_cost
from bench.experiments.cascade_world import LARGE, SMALL, Scenario, draw_requests
from bench.experiments.cascades import simulate

SHORT = Scenario("short", seconds=60.0)


class TestOracles:
    requests = draw_requests(SHORT, 1)

    @pytest.mark.parametrize("target", [0.7, 0.85, 0.9])
    def test_more_knowledge_never_costs_more(self, target):
        clairvoyant = clairvoyant_cost(self.requests, target)
        plan_oracle = plan_oracle_cost(self.requests, target)
        assert SMALL.cost <= clairvoyant <= plan_oracle <= LARGE.cost


class TestSimulate:
    def test_baselines_cost_their_version(self):
        assert simulate(SHORT, "strongest", 1).cost == pytest.approx(LARGE.cost)
        assert simulate(SHORT, "cheapest", 1).cost == pytest.approx(SMALL.cost)

    def test_the_same_seed_gives_the_same_figures(self):
        assert simulate(SHORT, "learnt", 1) == simulate(SHORT, "learnt", 1)
