"""The last known objects of the store, as they were read."""

from typing import Any

import attrs

from masticfork.platform.objects import (
    Changes,
    Listing,
    ObjectChange,
    PlatformObject,
)


@attrs.define
class KindMirror:
    """Objects of one kind as of a revision."""

    revision: int = 0
    objects: dict[str, PlatformObject] = attrs.field(factory=dict)

    def take_listing(self, listing: Listing) -> None:
        """Replace all objects."""
        self.revision = listing.revision
        self.objects = {found.name: found for found in listing.objects}

    def take_changes(self, changes: Changes) -> list[ObjectChange]:
        """Change some objects; return the changes that were news.

        A copy from a peer may be ahead of the watch, which then tells older changes.
        """
        floor = self.revision
        news = [change for change in changes.changes if self._is_news(change, floor)]
        self.revision = max(floor, changes.revision)
        for change in news:
            if change.deleted:
                self.objects.pop(change.object.name, None)
            else:
                self.objects[change.object.name] = change.object
        return news

    def _is_news(self, change: ObjectChange, floor: int) -> bool:
        found = change.object
        if not change.deleted:
            return found.revision > floor
        known = self.objects.get(found.name)
        return known is None or not found.revision or known.revision <= found.revision


def to_json(mirrors: dict[str, KindMirror]) -> Any:
    """Return mirrors as peers exchange them."""
    return {
        kind: {
            "revision": mirror.revision,
            "objects": [attrs.asdict(found) for found in mirror.objects.values()],
        }
        for kind, mirror in mirrors.items()
    }


def from_json(value: Any) -> dict[str, Listing]:
    """Return the listings that a peer sent; raise ValueError if there are none."""
    try:
        return {
            kind: Listing(
                tuple(PlatformObject(**row) for row in part["objects"]),
                int(part["revision"]),
            )
            for kind, part in value.items()
        }
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"no mirrors: {error!r}") from error
