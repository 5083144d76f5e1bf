"""Choose the hosts that read the store for all; the others learn from them.

If every host followed the store, the calls for each change would grow with the number
of hosts. All hosts that hear each other choose the same readers without messages of
their own; if they don't hear each other, more hosts than necessary read.
"""

from collections.abc import Iterable

import attrs

from masticfork.core.ids import stable_hash

# Two, so that the failure of one reader delays no change in its availability zone. The
# failure of both delays changes until other hosts notice their silence.
READERS_PER_ZONE = 2
# Silence after which a reader is replaced, as a share of the shortest time within which
# a change has to take effect, and its maximum. The rest of that time is for the check's
# interval, and for reading the change.
SILENCE_SHARE = 0.5
MAX_SILENCE_SECONDS = 2.2
# Share of that time for which a host that knows of a change waits for others to pass it
# on, whichever way they do: with the silence and the checks, less than the whole.
OVERDUE_SHARE = 0.25
# Digests that a reader sends within this silence at least, so that the loss of some
# does not replace it.
DIGESTS_PER_SILENCE = 4


def silence_limit(shortest_change: float) -> float:
    """Return the silence in seconds after which a reader is replaced.

    `shortest_change` is the shortest time in seconds within which a change in the store
    has to take effect on all hosts.
    """
    return min(MAX_SILENCE_SECONDS, SILENCE_SHARE * shortest_change)


def overdue_limit(shortest_change: float) -> float:
    """Return the time in seconds for which a host relies on others while it is behind.

    Then it reads the store itself.
    """
    return OVERDUE_SHARE * shortest_change


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
