import attrs
import pytest

from masticfork.core.digests import Digest, HostLoad, KindState, RolloutEvidence
from masticfork.core.store_position import StorePosition

EVIDENCE = RolloutEvidence("llm", 9, 1.5, 0.5, 8.0, 0.25, 3)
FULL = Digest(
    host="host-1",
    incarnation=1,
    sequence=1,
    configuration=3,
    servers=StorePosition(0, 4),
    loads={1: HostLoad(1, 0.3, 100.0), 2: HostLoad(2, 6.0, 0.0)},
    rollouts=(EVIDENCE,),
    zone="zone-a",
)
KINDS = (KindState(StorePosition(1, 5), 77),)


def partial_digest(loads):
    return attrs.evolve(
        FULL, sequence=2, loads=loads, rollouts=(), zone="", partial=True
    )


class TestDigest:
    def test_partial_digest_keeps_what_only_full_ones_tell(self):
        later = partial_digest({2: HostLoad(1, 3.0, 0.0)})
        updated = FULL.updated_by(attrs.evolve(later, configuration=4, kinds=KINDS))
        assert (updated.rollouts, updated.zone) == ((EVIDENCE,), "zone-a")
        assert (updated.configuration, updated.kinds) == (4, KINDS)
        assert not updated.partial

    @pytest.mark.parametrize(
        "changed",
        [
            {"configuration": 9},
            {"leaving": frozenset({5})},
            {"reading": True},
            {"store_failing": True},
        ],
    )
    def test_partial_digest_without_kinds_keeps_the_known_ones(self, changed):
        known = attrs.evolve(FULL, kinds=KINDS)
        assert known.updated_by(partial_digest({})) == known
        updated = known.updated_by(attrs.evolve(partial_digest({}), **changed))
        assert updated == attrs.evolve(known, **changed)

    def test_full_digest_replaces_everything(self):
        full = attrs.evolve(FULL, sequence=2, loads={}, rollouts=())
        assert FULL.updated_by(full) == full
