"""Tests of signing and verifying frames, and of the hello."""

import attrs
import pytest
from result import Err, Ok

from masticfork.peers.authentication import (
    Handshake,
    KeyRing,
    PeerKey,
    Session,
    make_hello,
    read_hello,
)
from masticfork.peers.codec import (
    decode_envelope,
    encode_envelope,
    encode_hello,
)
from masticfork.peers.drops import DropReason

OLD = PeerKey("old", b"o" * 32)
NEW = PeerKey("new", b"n" * 32)


def sessions(keys_a=(OLD,), keys_b=(OLD,)):
    a, b = make_hello("a", 1), make_hello("b", 1)
    raw_a, raw_b = encode_hello(a), encode_hello(b)
    from_a = Handshake.from_hellos(mine=a, theirs=raw_b, dialled=True)
    from_b = Handshake.from_hellos(mine=b, theirs=raw_a, dialled=False)
    return (
        Session(KeyRing(keys_a), from_a, "a", b, dialled=True),
        Session(KeyRing(keys_b), from_b, "b", a, dialled=False),
    )


class TestSession:
    def test_frames_in_order_are_accepted(self):
        a, b = sessions()
        for content in (b"one", b"two"):
            assert b.open(a.seal(content, 1)).unwrap().content == content

    def test_replayed_frame_is_refused(self):
        a, b = sessions()
        raw = a.seal(b"x", 1)
        assert isinstance(b.open(raw), Ok)
        assert b.open(raw) == Err(DropReason.REPLAYED)

    def test_reflected_frame_is_refused(self):
        a, _ = sessions()
        assert a.open(a.seal(b"x", 1)) == Err(DropReason.BAD_SIGNATURE)

    def test_frame_of_another_connection_is_refused(self):
        a, _ = sessions()
        _, other_b = sessions()
        assert other_b.open(a.seal(b"x", 1)) == Err(DropReason.BAD_SIGNATURE)

    @pytest.mark.parametrize(
        "change",
        [
            {"sender": "c"},
            {"incarnation": 9},
            {"sequence": 2},
            {"content": b"y"},
            {"protocol": 2},
            {"hmac": b""},
        ],
        ids=lambda change: next(iter(change)),
    )
    def test_changed_frame_is_refused(self, change):
        a, b = sessions()
        envelope = decode_envelope(a.seal(b"x", 1)).unwrap()
        raw = encode_envelope(attrs.evolve(envelope, **change))
        assert b.open(raw) == Err(DropReason.BAD_SIGNATURE)

    def test_different_secret_with_the_same_id_is_refused(self):
        a, b = sessions(keys_b=(PeerKey("old", b"x" * 32),))
        assert b.open(a.seal(b"x", 1)) == Err(DropReason.BAD_SIGNATURE)

    def test_first_key_signs_and_all_verify(self):
        a, b = sessions((OLD, NEW), (NEW, OLD))
        assert isinstance(b.open(a.seal(b"x", 1)), Ok)
        assert isinstance(a.open(b.seal(b"x", 1)), Ok)

    def test_removed_key_is_unknown(self):
        a, b = sessions((OLD,), (NEW,))
        assert b.open(a.seal(b"x", 1)) == Err(DropReason.UNKNOWN_KEY)


class TestHello:
    def test_older_protocol_than_supported_is_refused(self):
        raw = encode_hello(attrs.evolve(make_hello("a", 1), protocol=0))
        assert read_hello(raw) == Err(DropReason.WRONG_PROTOCOL)

    def test_newer_protocol_is_accepted(self):
        hello = attrs.evolve(make_hello("a", 1), protocol=9)
        assert read_hello(encode_hello(hello)) == Ok(hello)

    @pytest.mark.parametrize("change", [{"sender": ""}, {"nonce": b"short"}])
    def test_incomplete_hello_is_malformed(self, change):
        raw = encode_hello(attrs.evolve(make_hello("a", 1), **change))
        assert read_hello(raw) == Err(DropReason.MALFORMED)
