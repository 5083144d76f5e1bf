"""Mutual authentication of two hosts by pre-shared keys.

Each side sends a nonce in its hello. Every later frame is signed by HMAC-SHA256
(RFC 2104) under a key derived from a pre-shared key, both hellos and the frame's
direction, so that a frame of another connection or direction never verifies. The
sequence number rises by one a frame, so that a repeated frame is told apart.
"""

import hashlib
import hmac
import secrets
import struct
from typing import Self

import attrs
from result import Err, Ok, Result

from masticfork.core.ids import HostName
from masticfork.peers.codec import (
    decode_envelope,
    decode_hello,
    encode_envelope,
    encode_hello,
)
from masticfork.peers.drops import DropReason
from masticfork.peers.messages import PROTOCOL_VERSION, Envelope, Hello

MIN_PROTOCOL_VERSION = 1
MIN_SECRET_BYTES = 16
NONCE_BYTES = 16
# RFC 2104 allows truncation to half of the hash's length.
HMAC_BYTES = 16
_CONTEXT = b"masticfork peer link 1"
# Protocol, incarnation, sequence and the lengths of key id and sender.
_HEADER = struct.Struct(">HQQII")


@attrs.frozen
class PeerKey:
    """A pre-shared key; its secret has at least MIN_SECRET_BYTES."""

    id: str
    secret: bytes = attrs.field(repr=False)


class KeyRing:
    """The keys in use: the first one signs, all of them verify."""

    def __init__(self, keys: tuple[PeerKey, ...]) -> None:
        self._keys = keys

    @property
    def signing(self) -> PeerKey:
        """Return the key that signs."""
        return self._keys[0]

    def find(self, key_id: str) -> PeerKey | None:
        """Return the key of that id, or none."""
        return next((key for key in self._keys if key.id == key_id), None)

    def replace(self, keys: tuple[PeerKey, ...]) -> None:
        """Use other keys from now on, on connections that stand as well."""
        self._keys = keys


def make_hello(sender: HostName, incarnation: int) -> Hello:
    """Make a hello with a fresh nonce."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    return Hello(PROTOCOL_VERSION, sender, incarnation, nonce)


def read_hello(raw: bytes) -> Result[Hello, DropReason]:
    """Read a hello and check that this protocol can answer it."""
    decoded = decode_hello(raw)
    if isinstance(decoded, Err):
        return Err(DropReason.MALFORMED)
    hello = decoded.ok_value
    if not hello.sender or len(hello.nonce) != NONCE_BYTES:
        return Err(DropReason.MALFORMED)
    if hello.protocol < MIN_PROTOCOL_VERSION:
        return Err(DropReason.WRONG_PROTOCOL)
    return Ok(hello)


@attrs.frozen
class Handshake:
    """The two hellos of a connection as they were sent."""

    dialler: bytes
    acceptor: bytes

    @classmethod
    def of(cls, *, mine: Hello, theirs: bytes, dialled: bool) -> Self:
        """Order the hellos by who dialled."""
        own = encode_hello(mine)
        return cls(own, theirs) if dialled else cls(theirs, own)

    def derive(self, secret: bytes, *, from_dialler: bool) -> bytes:
        """Derive the key that signs one direction of the connection."""
        digests = (
            hashlib.sha256(raw).digest() for raw in (self.dialler, self.acceptor)
        )
        direction = b"d" if from_dialler else b"a"
        return hmac.digest(secret, _CONTEXT + b"".join(digests) + direction, "sha256")


class Session:
    """Signs and checks the frames of one connection, in their order."""

    def __init__(
        self,
        keys: KeyRing,
        handshake: Handshake,
        me: HostName,
        peer: Hello,
        *,
        dialled: bool,
    ) -> None:
        self._keys = keys
        self._handshake = handshake
        self._me = me
        self._peer = peer
        self._dialled = dialled
        self._sent = 0
        self._received = 0
        self._derived: dict[tuple[PeerKey, bool], bytes] = {}

    def seal(self, content: bytes, incarnation: int) -> bytes:
        """Return the signed envelope of a message; call from one thread only."""
        self._sent += 1
        key = self._keys.signing
        unsigned = Envelope(
            PROTOCOL_VERSION,
            self._me,
            incarnation,
            self._sent,
            key.id,
            b"",
            content,
        )
        signature = self._sign(key, unsigned, from_dialler=self._dialled)
        return encode_envelope(attrs.evolve(unsigned, hmac=signature))

    def open(self, raw: bytes) -> Result[Envelope, DropReason]:
        """Return the envelope where it is the peer's next; call from one thread."""
        decoded = decode_envelope(raw)
        if isinstance(decoded, Err):
            return Err(DropReason.MALFORMED)
        envelope = decoded.ok_value
        key = self._keys.find(envelope.key_id)
        if key is None:
            return Err(DropReason.UNKNOWN_KEY)
        expected = self._sign(key, envelope, from_dialler=not self._dialled)
        if not hmac.compare_digest(expected, envelope.hmac):
            return Err(DropReason.BAD_SIGNATURE)
        if envelope.sender != self._peer.sender:
            return Err(DropReason.WRONG_SENDER)
        if envelope.sequence != self._received + 1:
            return Err(DropReason.REPLAYED)
        self._received += 1
        return Ok(envelope)

    def _sign(self, key: PeerKey, envelope: Envelope, *, from_dialler: bool) -> bytes:
        derived = self._derived.get((key, from_dialler))
        if derived is None:
            derived = self._handshake.derive(key.secret, from_dialler=from_dialler)
            self._derived[key, from_dialler] = derived
        key_id, sender = envelope.key_id.encode(), envelope.sender.encode()
        header = _HEADER.pack(
            envelope.protocol,
            envelope.incarnation,
            envelope.sequence,
            len(key_id),
            len(sender),
        )
        signed = b"".join((header, key_id, sender, envelope.content))
        return hmac.digest(derived, signed, "sha256")[:HMAC_BYTES]
