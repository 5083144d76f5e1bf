import attrs

from masticfork.core.digests import Digest, LoadShare, RolloutEvidence

EVIDENCE = RolloutEvidence("llm", 9, 1.5, 0.5, 8.0, 0.25, 3)
FULL = Digest(
    host="host-1",
    incarnation=1,
    sequence=1,
    configuration=3,
    servers=4,
    loads={1: LoadShare(1, 0.3, 100.0), 2: LoadShare(2, 6.0, 0.0)},
    rollouts=(EVIDENCE,),
)


def partial(loads):
    return attrs.evolve(FULL, sequence=2, loads=loads, rollouts=(), partial=True)


class TestDigest:
    def test_a_partial_digest_changes_only_the_loads_it_names(self):
        after = FULL.followed_by(partial({2: LoadShare(1, 3.0, 0.0)}))
        assert after.loads == {1: LoadShare(1, 0.3, 100.0), 2: LoadShare(1, 3.0, 0.0)}
        assert after.rollouts == (EVIDENCE,)
        assert (after.sequence, after.partial) == (2, False)

    def test_a_load_that_fell_to_nothing_is_dropped(self):
        after = FULL.followed_by(partial({1: LoadShare(0, 0.0, 0.0)}))
        assert after.loads.keys() == {2}

    def test_a_whole_digest_replaces_everything(self):
        whole = attrs.evolve(FULL, sequence=2, loads={}, rollouts=())
        assert FULL.followed_by(whole) == whole
