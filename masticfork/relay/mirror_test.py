import json

import pytest

from masticfork.platform.objects import (
    Changes,
    Listing,
    ObjectChange,
    PlatformObject,
)
from masticfork.relay.mirror import KindMirror, from_json, to_json


def made(name, revision):
    return PlatformObject(name, revision, 1, {"at": revision}, None)


def change(name, revision, deleted=False):
    return ObjectChange(made(name, revision), deleted)


class TestKindMirror:
    def test_changes_are_taken_once(self):
        mirror = KindMirror()
        mirror.take_listing(Listing((made("a", 4),), 5))
        news = mirror.take_changes(Changes((change("a", 6), change("b", 7)), 7))
        assert [row.object.name for row in news] == ["a", "b"]
        assert mirror.revision == 7

    def test_a_watch_behind_a_peers_copy_tells_nothing_old(self):
        mirror = KindMirror()
        mirror.take_listing(Listing((made("a", 9),), 10))
        late = Changes((change("a", 6), change("gone", 7), change("a", 8, True)), 8)
        assert mirror.take_changes(late) == []
        assert mirror.revision == 10
        assert mirror.objects["a"].revision == 9
        assert "gone" not in mirror.objects

    def test_a_deletion_is_news_whatever_revision_it_bears(self):
        for revision in (4, 6):
            mirror = KindMirror()
            mirror.take_listing(Listing((made("a", 4),), 5))
            assert mirror.take_changes(Changes((change("a", revision, True),), 6))
            assert mirror.objects == {}

    def test_mirrors_survive_the_way_to_a_peer(self):
        mirror = KindMirror()
        mirror.take_listing(Listing((made("a", 4),), 5))
        sent = json.loads(json.dumps(to_json({"servers": mirror})))
        assert from_json(sent) == {"servers": Listing((made("a", 4),), 5)}

    @pytest.mark.parametrize("value", [[], {"servers": 3}, {"servers": {}}, None])
    def test_other_bodies_are_an_error(self, value):
        with pytest.raises(ValueError, match="no mirrors"):
            from_json(value)
