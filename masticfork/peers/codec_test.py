"""Tests of encoding and decoding peer messages."""

from pathlib import Path

import capnp
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from masticfork.core.hosts import HostState
from masticfork.peers import codec
from masticfork.peers import messages as m

KNOWN = m.KnownHost("h2", "z2", "r1", "10.0.0.2:7000", 9, HostState.SUSPECT, True, 40)
BODIES = [
    m.Proof(),
    m.Heartbeat("z1", "r1", "10.0.0.1:7000", True, 7, (KNOWN,)),
    m.Hosts((KNOWN, KNOWN)),
    m.ConfigurationCopy(8, "sub-1", b"\x00text"),
    m.ConfigurationRequest(7),
    m.KeepBills("batch", b"bills"),
    m.KeepBillsAck("batch", True),
    m.BillsWritten("batch"),
    m.Evidence("ratings", b"\xff"),
    m.Declined("none"),
    m.Goodbye(),
    m.ConfigurationNumber(7),
]


@pytest.fixture(scope="module")
def newer_schema(tmp_path_factory):
    """Schema of a newer daemon, with one more message kind and one more field."""
    text = Path(m.__file__).with_name("schema.capnp").read_text()
    text = text.replace("@0xc1f4d7a9b3e85d62", "@0xc1f4d7a9b3e85d63")
    text = text.replace(
        "goodbye @12 :Goodbye;", "goodbye @12 :Goodbye;\n    novel @14 :Goodbye;"
    )
    text = text.replace("newerThan @0 :UInt64;", "newerThan @0 :UInt64; why @1 :Text;")
    path = tmp_path_factory.mktemp("schema") / "newer.capnp"
    path.write_text(text)
    return capnp.load(str(path))


class TestRoundTrip:
    @pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
    def test_each_kind_round_trips(self, body):
        message = m.Message(body, correlation=3, is_reply=True)
        assert codec.decode_message(codec.encode_message(message)) == Ok(message)

    def test_every_kind_is_covered(self):
        assert {type(body) for body in BODIES} == set(m.KINDS)

    def test_envelope_and_hello_round_trip(self):
        hello = m.Hello(1, "h1", 2**63, b"n" * 16)
        envelope = m.Envelope(1, "h1", 5, 6, "k1", b"h" * 16, b"content")
        assert codec.decode_hello(codec.encode_hello(hello)) == Ok(hello)
        assert codec.decode_envelope(codec.encode_envelope(envelope)) == Ok(envelope)


class TestNewerProtocol:
    def test_unknown_field_is_ignored(self, newer_schema):
        body = {"configurationRequest": {"newerThan": 4, "why": "start"}}
        raw = newer_schema.Message.new_message(body=body).to_bytes()
        expected = m.Message(m.ConfigurationRequest(4))
        assert codec.decode_message(raw) == Ok(expected)

    def test_unknown_kind_has_its_own_error(self, newer_schema):
        raw = newer_schema.Message.new_message(body={"novel": {}}).to_bytes()
        assert codec.decode_message(raw) == Err(codec.DecodeError.UNKNOWN_KIND)

    def test_unknown_host_state_reads_as_unknown(self):
        assert HostState(77) is HostState.UNKNOWN


class TestMalformed:
    @given(st.binary(max_size=400))
    def test_arbitrary_bytes_give_a_result(self, raw):
        for decode in (codec.decode_message, codec.decode_envelope, codec.decode_hello):
            assert isinstance(decode(raw), Ok | Err)

    @given(st.sampled_from(BODIES), st.data())
    def test_damaged_message_gives_a_result(self, body, data):
        raw = bytearray(codec.encode_message(m.Message(body)))
        position = data.draw(st.integers(0, len(raw) - 1))
        raw[position] ^= data.draw(st.integers(1, 255))
        cut = data.draw(st.integers(0, len(raw)))
        for damaged in (bytes(raw), bytes(raw[:cut])):
            assert isinstance(codec.decode_message(damaged), Ok | Err)
