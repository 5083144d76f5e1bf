"""Local copies of store objects, kept so that peers can fetch them."""

from typing import Any

import attrs

from masticfork.core.store_position import StorePosition
from masticfork.platform.objects import (
    Changes,
    Listing,
    ObjectChange,
    PlatformObject,
)


@attrs.define
class KindMirror:
    """Copy of the objects of one kind as of a position of the store."""

    position: StorePosition = attrs.field(factory=StorePosition)
    objects: dict[str, PlatformObject] = attrs.field(factory=dict)

    def apply_listing(self, listing: Listing) -> None:
        """Replace all objects."""
        self.position = listing.position
        self.objects = {stored.name: stored for stored in listing.objects}

    def apply_changes(self, changes: Changes) -> list[ObjectChange]:
        """Apply changes; return those that were not known before.

        After a copy from a peer, the watch may still deliver older changes. Changes of
        another era than the mirror's are not applied: some in between may be missing.
        """
        if changes.era != self.position.era:
            return []
        revision_before = self.position.revision
        new_changes = [
            change
            for change in changes.changes
            if self._is_new(change, revision_before)
        ]
        self.position = max(self.position, changes.position)
        for change in new_changes:
            if change.deleted:
                self.objects.pop(change.object.name, None)
            else:
                self.objects[change.object.name] = change.object
        return new_changes

    def _is_new(self, change: ObjectChange, revision_before: int) -> bool:
        stored = change.object
        if not change.deleted:
            return stored.revision > revision_before
        known = self.objects.get(stored.name)
        return known is None or not stored.revision or known.revision <= stored.revision


def to_json(mirrors: dict[str, KindMirror]) -> Any:
    """Return the JSON value in which peers exchange mirrors."""
    return {
        kind: {
            "era": mirror.position.era,
            "revision": mirror.position.revision,
            "objects": [attrs.asdict(stored) for stored in mirror.objects.values()],
        }
        for kind, mirror in mirrors.items()
    }


def from_json(value: Any) -> dict[str, Listing]:
    """Return the listings in a peer's copy; raise ValueError if it is malformed."""
    try:
        return {
            kind: Listing(
                tuple(PlatformObject(**row) for row in part["objects"]),
                int(part["revision"]),
                int(part.get("era", 0)),
            )
            for kind, part in value.items()
        }
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ValueError(f"malformed store copy: {error!r}") from error
