"""Encoding and decoding of peer messages with Cap'n Proto.

Unknown fields of a newer protocol version are ignored. An unknown kind of message
has its own error, so that the receiver drops the message but keeps the connection.
"""

import enum
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import attrs
import capnp
from result import Err, Ok, Result

from masticfork.core.hosts import HostState
from masticfork.peers.messages import KINDS, Envelope, Hello, KnownHost, Message

MAX_NESTING = 8
_WORD_BYTES = 8

_T = TypeVar("_T")

_schema = capnp.load(str(Path(__file__).with_name("schema.capnp")))
_RECORD_BY_KIND = {kind: record for record, kind in KINDS.items()}


class DecodeError(enum.Enum):
    """Why bytes could not be decoded."""

    MALFORMED = "malformed"
    UNKNOWN_KIND = "unknown_kind"


def encode_hello(hello: Hello) -> bytes:
    """Encode a hello."""
    return bytes(_schema.Hello.new_message(**_to_wire(hello)).to_bytes())


def decode_hello(raw: bytes) -> Result[Hello, DecodeError]:
    """Decode a hello."""
    return _decode(_schema.Hello, raw, _convert_hello)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope."""
    return bytes(_schema.Envelope.new_message(**_to_wire(envelope)).to_bytes())


def decode_envelope(raw: bytes) -> Result[Envelope, DecodeError]:
    """Decode an envelope but not its content, which is not authenticated yet."""
    return _decode(_schema.Envelope, raw, _convert_envelope)


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    body = {KINDS[type(message.body)]: _to_wire(message.body)}
    wire = _schema.Message.new_message(
        correlation=message.correlation, isReply=message.is_reply, body=body
    )
    return bytes(wire.to_bytes())


def decode_message(raw: bytes) -> Result[Message, DecodeError]:
    """Decode a message of a known kind."""
    return _decode(_schema.Message, raw, _convert_message)


def _convert_hello(reader: Any) -> Result[Hello, DecodeError]:
    return Ok(_from_wire(Hello, reader))


def _convert_envelope(reader: Any) -> Result[Envelope, DecodeError]:
    return Ok(_from_wire(Envelope, reader))


def _convert_message(reader: Any) -> Result[Message, DecodeError]:
    try:
        kind = str(reader.body.which())
    except capnp.KjException:
        # The union member is not part of this version of the schema.
        return Err(DecodeError.UNKNOWN_KIND)
    body = _from_wire(_RECORD_BY_KIND[kind], getattr(reader.body, kind))
    return Ok(Message(body, reader.correlation, reader.isReply))


def _decode(
    struct: Any, raw: bytes, convert: Callable[[Any], Result[_T, DecodeError]]
) -> Result[_T, DecodeError]:
    """Decode `raw` within size and nesting limits; return invalid bytes as an error."""
    limit = len(raw) // _WORD_BYTES + MAX_NESTING
    try:
        with struct.from_bytes(
            raw, traversal_limit_in_words=limit, nesting_limit=MAX_NESTING
        ) as reader:
            return convert(reader)
    except (capnp.KjException, ValueError, OverflowError):
        return Err(DecodeError.MALFORMED)


def _to_camel_case(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


# Attribute names of each record with their names in the schema.
_WIRE_NAMES: dict[type[Any], tuple[tuple[str, str], ...]] = {
    record: tuple(
        (field.name, _to_camel_case(field.name)) for field in attrs.fields(record)
    )
    for record in (*KINDS, KnownHost, Hello, Envelope)
}


def _to_wire(record: Any) -> dict[str, Any]:
    wire: dict[str, Any] = {}
    for name, wire_name in _WIRE_NAMES[type(record)]:
        value = getattr(record, name)
        if isinstance(value, tuple):
            value = [_to_wire(entry) for entry in value]
        elif isinstance(value, enum.IntEnum):
            value = value.value
        wire[wire_name] = value
    return wire


def _from_wire(record: type[Any], reader: Any) -> Any:
    values = {name: getattr(reader, wire) for name, wire in _WIRE_NAMES[record]}
    if record is KnownHost:
        values["state"] = HostState(values["state"])
    if "known" in values:
        values["known"] = tuple(_from_wire(KnownHost, row) for row in values["known"])
    return record(**values)
