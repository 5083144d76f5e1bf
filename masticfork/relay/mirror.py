"""Local copies of store objects, kept so that peers can fetch them."""

import json
import zlib
from collections.abc import Container
from functools import partial
from typing import Any

import attrs

from masticfork.core.compression import decompress_bounded
from masticfork.core.ids import short_key
from masticfork.core.store_position import StorePosition
from masticfork.platform.json_values import JsonReader, read_json
from masticfork.platform.objects import (
    Changes,
    Listing,
    ObjectChange,
    PlatformObject,
    stored_object,
)

FINGERPRINT_MODULUS = 1 << 32
# The fastest level; configurations shrink to a tenth with it.
COMPRESSION_LEVEL = 1
ZLIB_FIRST_BYTE = b"\x78"
# Longest JSON of changes and of copies: more than a thousand times a few objects and a
# whole store take, and what a host can decode beside its requests.
MAX_CHANGES_BYTES, MAX_COPY_BYTES = 4 << 20, 16 << 20
_OBJECT_FIELDS = frozenset(field.name for field in attrs.fields(PlatformObject))


@attrs.define
class KindMirror:
    """Copy of the objects of one kind as of a position of the store."""

    position: StorePosition = attrs.field(factory=StorePosition)
    objects: dict[str, PlatformObject] = attrs.field(factory=dict)
    # Hash that is equal for mirrors of the same objects.
    fingerprint: int = 0

    def apply_listing(self, listing: Listing) -> None:
        """Replace all objects."""
        self.position = listing.position
        self.objects = {stored.name: stored for stored in listing.objects}
        self._update_fingerprint()

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
        if new_changes:
            self._update_fingerprint()
        return new_changes

    def retain(self, names: Container[str]) -> None:
        """Remove all objects but those with these names."""
        kept = {name: item for name, item in self.objects.items() if name in names}
        if len(kept) < len(self.objects):
            self.objects = kept
            self._update_fingerprint()

    def discard(self, name: str) -> None:
        """Remove an object if it is there."""
        if self.objects.pop(name, None) is not None:
            self._update_fingerprint()

    def _update_fingerprint(self) -> None:
        names = (f"{item.name}/{item.revision}" for item in self.objects.values())
        total = sum(short_key(name) for name in names)
        self.fingerprint = total % FINGERPRINT_MODULUS

    def _is_new(self, change: ObjectChange, revision_before: int) -> bool:
        stored = change.object
        if not change.deleted:
            return stored.revision > revision_before
        known = self.objects.get(stored.name)
        return known is None or not stored.revision or known.revision <= stored.revision


def encode_changes(changes: list[ObjectChange]) -> bytes:
    """Return the compressed JSON in which hosts send changes to each other."""
    rows = [
        [attrs.asdict(change.object, recurse=False), change.deleted]
        for change in changes
    ]
    return zlib.compress(json.dumps(rows).encode(), COMPRESSION_LEVEL)


def decode_changes(kind: str, data: bytes) -> list[ObjectChange]:
    """Return the changes another host has sent; raise ValueError if malformed."""
    try:
        return read_json(
            decompress_bounded(data, MAX_CHANGES_BYTES),
            lambda reader: list(map(partial(_change, kind), reader.elements())),
        )
    except ValueError as error:
        raise ValueError(f"malformed changes: {error}") from error


def _change(kind: str, row: Any) -> ObjectChange:
    if not isinstance(row, list) or len(row) != 2:
        raise ValueError("not a list of pairs")
    return ObjectChange(_stored_object(kind, row[0]), bool(row[1]))


def _stored_object(kind: str, row: Any) -> PlatformObject:
    """Return an object as a peer has sent it; raise ValueError if it is malformed.

    Later builds may send more fields, and earlier ones send what cannot be used.
    """
    if not isinstance(row, dict) or not row.keys() >= _OBJECT_FIELDS:
        raise ValueError("an object without all fields")
    stored = stored_object(kind, **{name: row[name] for name in _OBJECT_FIELDS})
    if stored is None:
        raise ValueError("an object without a name")
    return stored


def encode_copy(mirrors: dict[str, KindMirror]) -> bytes:
    """Return the compressed JSON in which peers exchange mirrors."""
    return zlib.compress(json.dumps(to_json(mirrors)).encode(), COMPRESSION_LEVEL)


def decode_copy(data: bytes) -> dict[str, Listing]:
    """Return the listings in a peer's copy; raise ValueError if it is malformed.

    Peers of earlier builds don't compress it.
    """
    compressed = data[:1] == ZLIB_FIRST_BYTE
    try:
        return read_json(
            decompress_bounded(data, MAX_COPY_BYTES) if compressed else data, _read_copy
        )
    except ValueError as error:
        raise ValueError(f"malformed store copy: {error}") from error


def _read_copy(reader: JsonReader) -> dict[str, Listing]:
    return {kind: _read_listing(kind, reader) for kind in reader.members()}


def _read_listing(kind: str, reader: JsonReader) -> Listing:
    objects, position = reader.list_and_rest("objects", partial(_stored_object, kind))
    era, revision = position.get("era", 0), position.get("revision")
    if objects is None or not isinstance(era, int) or not isinstance(revision, int):
        raise ValueError(f"{kind} has no objects or position")
    return Listing(tuple(objects), revision, era)


def to_json(mirrors: dict[str, KindMirror]) -> Any:
    """Return the JSON value in which peers exchange mirrors."""
    return {
        kind: {
            "era": mirror.position.era,
            "revision": mirror.position.revision,
            "objects": [
                attrs.asdict(stored, recurse=False)
                for stored in mirror.objects.values()
            ],
        }
        for kind, mirror in mirrors.items()
    }
