from bench.experiments.rollouts import SCENARIOS, simulate, summary
from masticfork.core.rollouts import RolloutState

BAD_VERSION = next(s for s in SCENARIOS if s.name == "bad 40%, 4 hosts")


class TestSimulate:
    def test_sequential_policy_exposes_fewer_bad_answers_than_timed(self):
        outcome = simulate(BAD_VERSION, "sequential", 1)
        assert outcome.state in (RolloutState.WITHDRAWN, RolloutState.PAUSED)
        assert outcome.exposed < simulate(BAD_VERSION, "timed", 1).exposed

    def test_the_same_seed_gives_the_same_outcome(self):
        assert simulate(BAD_VERSION, "sequential", 2) == simulate(
            BAD_VERSION, "sequential", 2
        )

    def test_summary_counts_full_rollouts(self):
        outcomes = [simulate(BAD_VERSION, "sequential", seed) for seed in range(2)]
        assert "full 0" in summary(outcomes)
