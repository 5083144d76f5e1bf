"""The coding of messages by Cap'n Proto.

Unknown fields of a newer protocol are ignored; an unknown kind of message is a
typed error of its own, so that the receiver drops it and keeps the connection.
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
_RECORDS = {kind: record for record, kind in KINDS.items()}


class DecodeError(enum.Enum):
    """Why bytes were not read as a message."""

    MALFORMED = "malformed"
    UNKNOWN_KIND = "unknown_kind"


def encode_hello(hello: Hello) -> bytes:
    """Serialise a hello."""
    return bytes(_schema.Hello.new_message(**_to_wire(hello)).to_bytes())


def decode_hello(raw: bytes) -> Result[Hello, DecodeError]:
    """Read a hello."""
    return _read(_schema.Hello, raw, _read_hello)


def encode_envelope(envelope: Envelope) -> bytes:
    """Serialise an envelope."""
    return bytes(_schema.Envelope.new_message(**_to_wire(envelope)).to_bytes())


def decode_envelope(raw: bytes) -> Result[Envelope, DecodeError]:
    """Read an envelope; its content stays unread until it is authenticated."""
    return _read(_schema.Envelope, raw, _read_envelope)


def encode_message(message: Message) -> bytes:
    """Serialise a message."""
    body = {KINDS[type(message.body)]: _to_wire(message.body)}
    wire = _schema.Message.new_message(
        correlation=message.correlation, isReply=message.is_reply, body=body
    )
    return bytes(wire.to_bytes())


def decode_message(raw: bytes) -> Result[Message, DecodeError]:
    """Read a message of a known kind."""
    return _read(_schema.Message, raw, _read_message)


def _read_hello(reader: Any) -> Result[Hello, DecodeError]:
    return Ok(_from_wire(Hello, reader))


def _read_envelope(reader: Any) -> Result[Envelope, DecodeError]:
    return Ok(_from_wire(Envelope, reader))


def _read_message(reader: Any) -> Result[Message, DecodeError]:
    try:
        kind = str(reader.body.which())
    except capnp.KjException:
        # The discriminant names a member that this schema does not have.
        return Err(DecodeError.UNKNOWN_KIND)
    body = _from_wire(_RECORDS[kind], getattr(reader.body, kind))
    return Ok(Message(body, reader.correlation, reader.isReply))


def _read(
    struct: Any, raw: bytes, read: Callable[[Any], Result[_T, DecodeError]]
) -> Result[_T, DecodeError]:
    """Read `raw` within limits; any fault of the bytes is an error value."""
    limit = len(raw) // _WORD_BYTES + MAX_NESTING
    try:
        with struct.from_bytes(
            raw, traversal_limit_in_words=limit, nesting_limit=MAX_NESTING
        ) as reader:
            return read(reader)
    except (capnp.KjException, ValueError, OverflowError):
        return Err(DecodeError.MALFORMED)


def _camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


# Field names of each record with their names on the wire, worked out once.
_FIELDS: dict[type[Any], tuple[tuple[str, str], ...]] = {
    record: tuple((field.name, _camel(field.name)) for field in attrs.fields(record))
    for record in (*KINDS, KnownHost, Hello, Envelope)
}


def _to_wire(record: Any) -> dict[str, Any]:
    wire: dict[str, Any] = {}
    for name, wire_name in _FIELDS[type(record)]:
        value = getattr(record, name)
        if isinstance(value, tuple):
            value = [_to_wire(entry) for entry in value]
        elif isinstance(value, enum.IntEnum):
            value = value.value
        wire[wire_name] = value
    return wire


def _from_wire(record: type[Any], reader: Any) -> Any:
    values = {name: getattr(reader, wire) for name, wire in _FIELDS[record]}
    if record is KnownHost:
        values["state"] = HostState(values["state"])
    if "known" in values:
        values["known"] = tuple(_from_wire(KnownHost, row) for row in values["known"])
    return record(**values)
