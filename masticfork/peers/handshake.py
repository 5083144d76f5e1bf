"""Handshake of a connection: hellos, then a signed proof from each side.

The dialler sends its proof first, so that an unauthenticated dialler never gets
anything signed.
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
class OpenedSession:
    """The peer's hello and the session, authenticated once `open_session` returns."""

    peer: Hello
    session: Session


def open_session(
    sock: socket.socket,
    local_host: HostName,
    incarnation: int,
    keys: KeyRing,
    *,
    dialled: bool,
) -> Result[OpenedSession, DropReason]:
    """Authenticate both sides; the caller limits the time and closes on an error."""
    mine = make_hello(local_host, incarnation)
    run_handshake = _run_as_dialler if dialled else _run_as_acceptor
    try:
        return run_handshake(
            sock,
            encode_hello(mine),
            lambda theirs, peer: Session(
                keys,
                Handshake.from_hellos(mine=mine, theirs=theirs, dialled=dialled),
                local_host,
                peer,
                dialled=dialled,
            ),
            incarnation,
        )
    except OSError:
        return Err(DropReason.CLOSED)


_SessionFactory = Callable[[bytes, Hello], Session]


def _run_as_dialler(
    sock: socket.socket, hello: bytes, make_session: _SessionFactory, incarnation: int
) -> Result[OpenedSession, DropReason]:
    sock.sendall(frame(hello))
    opened = _receive_hello(sock, make_session)
    if isinstance(opened, Err):
        return opened
    sock.sendall(frame(opened.ok_value.session.seal(_PROOF, incarnation)))
    return _receive_proof(sock, opened.ok_value)


def _run_as_acceptor(
    sock: socket.socket, hello: bytes, make_session: _SessionFactory, incarnation: int
) -> Result[OpenedSession, DropReason]:
    opened = _receive_hello(sock, make_session)
    if isinstance(opened, Err):
        return opened
    sock.sendall(frame(hello))
    verified = _receive_proof(sock, opened.ok_value)
    if isinstance(verified, Ok):
        sock.sendall(frame(opened.ok_value.session.seal(_PROOF, incarnation)))
    return verified


def _receive_hello(
    sock: socket.socket, make_session: _SessionFactory
) -> Result[OpenedSession, DropReason]:
    raw = receive_frame(sock, MAX_HELLO_BYTES)
    if isinstance(raw, Err):
        return raw
    hello = read_hello(raw.ok_value)
    if isinstance(hello, Err):
        return hello
    return Ok(OpenedSession(hello.ok_value, make_session(raw.ok_value, hello.ok_value)))


def _receive_proof(
    sock: socket.socket, opened: OpenedSession
) -> Result[OpenedSession, DropReason]:
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
