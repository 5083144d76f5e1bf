from bench.experiments.rollouts import SCENARIOS, simulate, summary
from masticfork.core.rollouts import RolloutState

BAD = next(s for s in SCENARIOS if s.name == "bad 40%, 4 hosts")


class TestSimulate:
    def test_a_bad_version_leaves_after_few_answers(self):
        outcome = simulate(BAD, "sequential", 1)
        assert outcome.state in (RolloutState.WITHDRAWN, RolloutState.PAUSED)
        assert outcome.exposed < simulate(BAD, "timed", 1).exposed

    def test_a_seed_repeats(self):
        assert simulate(BAD, "sequential", 2) == simulate(BAD, "sequential", 2)

    def test_the_summary_counts_ends(self):
        outcomes = [simulate(BAD, "sequential", seed) for seed in range(2)]
        assert "full 0" in summary(outcomes)
