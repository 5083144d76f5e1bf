"""Positions in the history of the platform's store."""

import attrs


@attrs.frozen(order=True)
class StorePosition:
    """A revision of one copy of the store.

    When the store is restored from an older copy, its era rises by one, and revisions
    that were in use before are given out again; so only the pair is ordered.
    """

    era: int = 0
    revision: int = 0
