import json

import pytest

from masticfork.platform.objects import (
    Changes,
    Listing,
    ObjectChange,
    PlatformObject,
)
from masticfork.relay.mirror import KindMirror, from_json, to_json


def stored_object(name, revision):
    return PlatformObject(name, revision, 1, {"at": revision}, None)


def change(name, revision, deleted=False):
    return ObjectChange(stored_object(name, revision), deleted)


class TestKindMirror:
    def test_new_changes_are_applied_and_returned(self):
        mirror = KindMirror()
        mirror.apply_listing(Listing((stored_object("a", 4),), 5))
        new_changes = mirror.apply_changes(Changes((change("a", 6), change("b", 7)), 7))
        assert [new_change.object.name for new_change in new_changes] == ["a", "b"]
        assert mirror.position.revision == 7

    def test_changes_older_than_a_peers_copy_are_ignored(self):
        mirror = KindMirror()
        mirror.apply_listing(Listing((stored_object("a", 9),), 10))
        late = Changes((change("a", 6), change("gone", 7), change("a", 8, True)), 8)
        assert mirror.apply_changes(late) == []
        assert mirror.position.revision == 10
        assert mirror.objects["a"].revision == 9
        assert "gone" not in mirror.objects

    def test_deletion_is_applied_at_the_old_or_a_newer_revision(self):
        for revision in (4, 6):
            mirror = KindMirror()
            mirror.apply_listing(Listing((stored_object("a", 4),), 5))
            assert mirror.apply_changes(Changes((change("a", revision, True),), 6))
            assert mirror.objects == {}

    def test_json_round_trip(self):
        mirror = KindMirror()
        mirror.apply_listing(Listing((stored_object("a", 4),), 5))
        sent = json.loads(json.dumps(to_json({"servers": mirror})))
        assert from_json(sent) == {"servers": Listing((stored_object("a", 4),), 5)}

    @pytest.mark.parametrize("value", [[], {"servers": 3}, {"servers": {}}, None])
    def test_malformed_copy_raises_value_error(self, value):
        with pytest.raises(ValueError, match="malformed store copy"):
            from_json(value)
