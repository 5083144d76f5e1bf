import random

import attrs
import pytest

from masticfork.core.digests import NewAnswers, OldAnswers
from masticfork.systems.version_evidence import (
    MIN_ANSWERS,
    MIN_ROUTE_ANSWERS,
    assess,
)

OLD = [OldAnswers(1, 40.0, 0.0, 2.0), OldAnswers(2, 20.0, 0.0, 1.0)]


def answers(count, bad=(), slow=(), route=1, servers=4, since=0):
    """Return one answer a second; `bad` and `slow` are their indices."""
    return [
        NewAnswers(n % servers, route, since + n, int(n not in bad), int(n in bad), 0)
        if n not in slow
        else NewAnswers(n % servers, route, since + n, 1, 0, 1)
        for n in range(count)
    ]


class TestAssess:
    def test_answers_without_failure_prove_a_version(self):
        assessment = assess(answers(12) + answers(6, route=2), OLD)
        assert assessment.proven
        assert not assessment.is_suspicious

    @pytest.mark.parametrize("kind", ["bad", "slow"])
    def test_third_of_the_answers_is_conclusive(self, kind):
        assessment = assess(answers(12, **{kind: {1, 4, 7, 10}}), OLD)
        assert assessment.is_bad

    @pytest.mark.parametrize("kind", ["bad", "slow"])
    def test_single_answer_is_not_suspicious(self, kind):
        assert not assess(answers(20, **{kind: {10}}), OLD).is_suspicious

    def test_failures_of_one_route_are_not_diluted(self):
        """Guards against versions that fail on one route, kept for the others' sake."""
        failing = answers(8, bad={1, 3, 6}, route=2)
        assert assess(answers(40) + failing, OLD).is_bad

    def test_good_answers_do_not_hide_a_version_that_turns_bad(self):
        """Guards against late failures that are weighed against early answers."""
        late = answers(10, bad={1, 4, 6, 7}, since=40)
        assert assess(answers(40) + late, OLD).is_bad

    def test_recent_answers_are_counted_apart(self):
        loaded = [attrs.evolve(item, loaded=True) for item in answers(20)]
        assert assess(loaded, OLD, elapsed=19.9).recent == 2
        assert assess(loaded, OLD, elapsed=30.0).recent == 0
        assert assess(answers(20), OLD, elapsed=19.9).recent == 0

    def test_failures_of_one_server_leave_a_doubt_until_the_others_clear_it(self):
        """Guards against versions completed as all failures chanced on one server."""
        failing = NewAnswers(0, 1, 40, 0, 3, 0)
        few = answers(6, servers=1, since=41)
        few = [attrs.evolve(item, server=1) for item in few]
        before = answers(30)
        assessment = assess([*before, failing, *few], OLD, completing=True)
        assert not assessment.is_suspicious
        assert assessment.doubt >= 1.0
        many = [attrs.evolve(item, good=4) for item in few]
        cleared = assess([*before, failing, *many], OLD, completing=True)
        assert cleared.doubt < 1.0

    def test_frequent_failures_of_both_versions_leave_no_doubt(self):
        """Guards against good versions that are refused for what callers cause."""
        old = [OldAnswers(1, 80.0, 0.0, 2.0), OldAnswers(2, 30.0, 5.0, 1.0)]
        new = answers(20) + answers(10, bad={3, 7}, route=2)
        assert assess(new, old, completing=True).doubt < 1.0

    def test_fault_of_one_server_is_not_the_versions(self):
        """Guards against good versions rolled back for one bad server."""
        failing = NewAnswers(9, 1, 5, 0, 4, 0)
        assert not assess([*answers(20), failing], OLD).is_suspicious
        assert assess([failing], OLD).is_bad

    def test_failures_of_both_versions_do_not_accuse_the_new_one(self):
        old = [OldAnswers(1, 30.0, 15.0, 2.0)]
        assert not assess(answers(18, bad={1, 4, 7, 10, 13, 16}), old).is_suspicious

    def test_route_without_answers_is_not_proven(self):
        assert not assess(answers(MIN_ANSWERS + 5), OLD).proven
        few = answers(MIN_ROUTE_ANSWERS, route=2)
        assert assess(answers(MIN_ANSWERS) + few, OLD).proven

    def test_failures_under_load_are_not_diluted(self):
        """Guards against versions that fail under the usual load only."""
        loaded = [
            attrs.evolve(item, loaded=True)
            for item in answers(12, bad={1, 6, 11}, since=20)
        ]
        between = answers(60, since=20)
        assert assess(answers(20) + loaded + between, OLD).is_bad
        unloaded = [attrs.evolve(item, loaded=False) for item in loaded]
        assert not assess(answers(20) + unloaded + between, OLD).is_bad

    def test_service_without_requests_needs_no_answers(self):
        assert assess([], []).proven

    def test_good_versions_are_rarely_accused(self):
        """Guards against good versions rolled back for failures that both have."""
        accused = 0
        for seed in range(300):
            rng = random.Random(seed)
            bad = {n for n in range(45) if rng.random() < 0.01}
            slow = {n for n in range(45) if rng.random() < 0.05} - bad
            accused += assess(answers(45, bad, slow), OLD).is_suspicious
        assert accused <= 30

    def test_versions_that_fail_a_quarter_are_found(self):
        missed = 0
        for seed in range(300):
            rng = random.Random(seed)
            bad = {n for n in range(45) if rng.random() < 0.25}
            missed += not assess(answers(45, bad), OLD).is_bad
        assert missed <= 3
