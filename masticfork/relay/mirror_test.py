import json
import tracemalloc
import zlib
from functools import partial

import pytest

from masticfork.platform.objects import (
    UNREADABLE,
    Changes,
    Listing,
    ObjectChange,
    PlatformObject,
)
from masticfork.relay.mirror import (
    MAX_COPY_BYTES,
    KindMirror,
    decode_changes,
    decode_copy,
    encode_changes,
    encode_copy,
    to_json,
)


def stored_object(name, revision):
    return PlatformObject(name, revision, 1, {"at": revision}, None)


def change(name, revision, deleted=False):
    return ObjectChange(stored_object(name, revision), deleted)


decode_server_changes = partial(decode_changes, "servers")


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
        sent = json.dumps(to_json({"servers": mirror})).encode()
        assert decode_copy(sent) == {"servers": Listing((stored_object("a", 4),), 5)}

    @pytest.mark.parametrize("value", [[], {"servers": 3}, {"servers": {}}, None])
    def test_malformed_copy_raises_value_error(self, value):
        with pytest.raises(ValueError, match="malformed store copy"):
            decode_copy(json.dumps(value).encode())


class TestUnusableNews:
    """Guards against a host that stops copying at what a peer has passed on."""

    DEEP = b"[" * 100_000 + b"]" * 100_000

    @pytest.mark.parametrize("compress", [bytes, zlib.compress])
    def test_deep_copy_is_a_value_error(self, compress):
        copied = b'{"servers": {"revision": 1, "objects": %b}}' % self.DEEP
        with pytest.raises(ValueError):
            decode_copy(compress(copied))

    def test_deep_changes_are_a_value_error(self):
        with pytest.raises(ValueError):
            decode_changes("servers", zlib.compress(self.DEEP))

    def test_objects_of_earlier_builds_are_bounded(self):
        nested = "x"
        for _ in range(500):
            nested = [nested]
        sent = PlatformObject("\ud800", 1 << 70, True, nested, None)
        change = ObjectChange(sent, False)
        received = decode_changes("servers", encode_changes([change]))[0].object
        assert received == PlatformObject("'\\ud800'", 0, 0, UNREADABLE, None)
        mirror = KindMirror()
        mirror.apply_listing(Listing((received,), 1))
        assert decode_copy(encode_copy({"servers": mirror}))

    def test_object_without_a_name_is_a_value_error(self):
        sent = PlatformObject(None, 1, 1, {}, None)
        with pytest.raises(ValueError):
            decode_changes("servers", encode_changes([ObjectChange(sent, False)]))


class TestCompressedData:
    @pytest.mark.parametrize("decode", [decode_server_changes, decode_copy])
    @pytest.mark.parametrize("size", [100_000_000, MAX_COPY_BYTES + 1])
    def test_data_that_grows_without_measure_is_refused(self, decode, size):
        """Guards against a datagram of kilobytes that takes the memory of a host."""
        data = zlib.compress(b" " * size)
        tracemalloc.start()
        try:
            with pytest.raises(ValueError, match="too long"):
                decode(data)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak < 4 * MAX_COPY_BYTES

    @pytest.mark.parametrize("decode", [decode_server_changes, decode_copy])
    def test_incomplete_data_is_refused(self, decode):
        with pytest.raises(ValueError):
            decode(zlib.compress(b"[]" * 100)[:-3])
