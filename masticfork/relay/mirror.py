"""The last known objects of the store, as they were read."""

from typing import Any

import attrs

from masticfork.platform.objects import Changes, Listing, PlatformObject


@attrs.define
class KindMirror:
    """Objects of one kind as of a revision."""

    revision: int = 0
    objects: dict[str, PlatformObject] = attrs.field(factory=dict)

    def take_listing(self, listing: Listing) -> None:
        """Replace all objects."""
        self.revision = listing.revision
        self.objects = {found.name: found for found in listing.objects}

    def take_changes(self, changes: Changes) -> None:
        """Change some objects."""
        self.revision = max(self.revision, changes.revision)
        for change in changes.changes:
            if change.deleted:
                self.objects.pop(change.object.name, None)
            else:
                self.objects[change.object.name] = change.object

    def listing(self) -> Listing:
        """Return all objects."""
        return Listing(tuple(self.objects.values()), self.revision)


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
