import attrs

from masticfork.core.digests import Digest, HostLoad, RolloutEvidence

EVIDENCE = RolloutEvidence("llm", 9, 1.5, 0.5, 8.0, 0.25, 3)
FULL = Digest(
    host="host-1",
    incarnation=1,
    sequence=1,
    configuration=3,
    servers=4,
    loads={1: HostLoad(1, 0.3, 100.0), 2: HostLoad(2, 6.0, 0.0)},
    rollouts=(EVIDENCE,),
)


def partial_digest(loads):
    return attrs.evolve(FULL, sequence=2, loads=loads, rollouts=(), partial=True)


class TestDigest:
    def test_partial_digest_changes_only_its_loads(self):
        merged = FULL.merged_with(partial_digest({2: HostLoad(1, 3.0, 0.0)}))
        assert merged.loads == {1: HostLoad(1, 0.3, 100.0), 2: HostLoad(1, 3.0, 0.0)}
        assert merged.rollouts == (EVIDENCE,)
        assert (merged.sequence, merged.partial) == (2, False)

    def test_load_without_running_calls_is_removed(self):
        merged = FULL.merged_with(partial_digest({1: HostLoad(0, 0.0, 0.0)}))
        assert merged.loads.keys() == {2}

    def test_full_digest_replaces_everything(self):
        full = attrs.evolve(FULL, sequence=2, loads={}, rollouts=())
        assert FULL.merged_with(full) == full
