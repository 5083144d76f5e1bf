"""The opening of a connection: hellos, then a signed proof from each side.

The dialler proves first, so that a stranger who dials learns nothing signed.
"""

import socket
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.core.ids import HostName
from masticfork.peers.authentication import (
    Handshake,
    KeyRing,
    Session,
    make_hello,
    read_hello,
)
from masticfork.peers.codec import decode_message, encode_hello, encode_message
from masticfork.peers.drops import DropReason
from masticfork.peers.frames import frame, receive_frame
from masticfork.peers.messages import MAX_HELLO_BYTES, Hello, Message, Proof

_PROOF = encode_message(Message(Proof()))


@attrs.frozen
class Opened:
    """An authenticated connection: the peer's hello and the session."""

    peer: Hello
    session: Session


def open_session(
    sock: socket.socket,
    me: HostName,
    incarnation: int,
    keys: KeyRing,
    *,
    dialled: bool,
) -> Result[Opened, DropReason]:
    """Authenticate both sides; the caller bounds the time and closes on an error."""
    mine = make_hello(me, incarnation)
    steps = _dial if dialled else _accept
    try:
        return steps(
            sock,
            encode_hello(mine),
            lambda theirs, peer: Session(
                keys,
                Handshake.of(mine=mine, theirs=theirs, dialled=dialled),
                me,
                peer,
                dialled=dialled,
            ),
            incarnation,
        )
    except OSError:
        return Err(DropReason.CLOSED)


_MakeSession = Callable[[bytes, Hello], Session]


def _dial(
    sock: socket.socket, hello: bytes, make: _MakeSession, incarnation: int
) -> Result[Opened, DropReason]:
    sock.sendall(frame(hello))
    opened = _receive_hello(sock, make)
    if isinstance(opened, Err):
        return opened
    sock.sendall(frame(opened.ok_value.session.seal(_PROOF, incarnation)))
    return _receive_proof(sock, opened.ok_value)


def _accept(
    sock: socket.socket, hello: bytes, make: _MakeSession, incarnation: int
) -> Result[Opened, DropReason]:
    opened = _receive_hello(sock, make)
    if isinstance(opened, Err):
        return opened
    sock.sendall(frame(hello))
    proven = _receive_proof(sock, opened.ok_value)
    if isinstance(proven, Ok):
        sock.sendall(frame(opened.ok_value.session.seal(_PROOF, incarnation)))
    return proven


def _receive_hello(
    sock: socket.socket, make: _MakeSession
) -> Result[Opened, DropReason]:
    raw = receive_frame(sock, MAX_HELLO_BYTES)
    if isinstance(raw, Err):
        return raw
    hello = read_hello(raw.ok_value)
    if isinstance(hello, Err):
        return hello
    return Ok(Opened(hello.ok_value, make(raw.ok_value, hello.ok_value)))


def _receive_proof(sock: socket.socket, opened: Opened) -> Result[Opened, DropReason]:
    raw = receive_frame(sock, MAX_HELLO_BYTES)
    if isinstance(raw, Err):
        return raw
    envelope = opened.session.open(raw.ok_value)
    if isinstance(envelope, Err):
        return envelope
    message = decode_message(envelope.ok_value.content)
    if isinstance(message, Err) or not isinstance(message.ok_value.body, Proof):
        return Err(DropReason.MALFORMED)
    return Ok(opened)
