"""Choose the hosts that read the store for all; the others learn from them.

If every host followed the store, the calls for each change would grow with the number
of hosts. All hosts that hear each other choose the same readers without messages of
their own; if they don't hear each other, more hosts than necessary read.
"""

from collections.abc import Iterable

import attrs

from masticfork.core.ids import stable_hash

# Two, so that the failure of one reader delays no change in its availability zone.
READERS_PER_ZONE = 2


@attrs.frozen
class ReaderCandidate:
    """A host that may read the store."""

    host: str
    zone: str
    # Whether its latest calls to the store failed.
    store_failing: bool


def choose_readers(
    candidates: Iterable[ReaderCandidate], per_zone: int = READERS_PER_ZONE
) -> frozenset[str]:
    """Return the readers: some hosts of each zone, those that reach the store first."""
    by_zone: dict[str, list[ReaderCandidate]] = {}
    for candidate in candidates:
        by_zone.setdefault(candidate.zone, []).append(candidate)
    return frozenset(
        candidate.host
        for members in by_zone.values()
        for candidate in sorted(members, key=_rank)[:per_zone]
    )


def _rank(candidate: ReaderCandidate) -> tuple[bool, bytes]:
    return candidate.store_failing, stable_hash(candidate.host)
