"""Mutual authentication of two hosts by pre-shared keys.

Each side sends a nonce in its hello. Every later frame is signed with HMAC-SHA256
(RFC 2104) under a key derived from a pre-shared key, both hellos and the direction,
so that a frame from another connection or direction never verifies. The sequence
number increases by one per frame, so that a replayed frame is detected.
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
# Protocol version, incarnation, sequence, length of the key id, length of the sender.
_HEADER = struct.Struct(">HQQII")


@attrs.frozen
class PeerKey:
    """A pre-shared key; its secret has at least MIN_SECRET_BYTES."""

    id: str
    secret: bytes = attrs.field(repr=False)


class KeyRing:
    """Pre-shared keys: the first one signs, all of them verify."""

    def __init__(self, keys: tuple[PeerKey, ...]) -> None:
        self._keys = keys

    @property
    def signing(self) -> PeerKey:
        """Return the key that signs outgoing frames."""
        return self._keys[0]

    def find(self, key_id: str) -> PeerKey | None:
        """Return the key with that id, or None."""
        return next((key for key in self._keys if key.id == key_id), None)

    def replace(self, keys: tuple[PeerKey, ...]) -> None:
        """Replace the keys, also for connections that are already open."""
        self._keys = keys


def make_hello(sender: HostName, incarnation: int) -> Hello:
    """Return a hello with a fresh nonce."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    return Hello(PROTOCOL_VERSION, sender, incarnation, nonce)


def read_hello(raw: bytes) -> Result[Hello, DropReason]:
    """Decode a hello; check its sender, nonce and protocol version."""
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
    """The encoded hellos of both sides of a connection."""

    dialler: bytes
    acceptor: bytes

    @classmethod
    def from_hellos(cls, *, mine: Hello, theirs: bytes, dialled: bool) -> Self:
        """Return the handshake with the hellos assigned to dialler and acceptor."""
        own = encode_hello(mine)
        return cls(own, theirs) if dialled else cls(theirs, own)

    def derive_key(self, secret: bytes, *, from_dialler: bool) -> bytes:
        """Derive the key that signs one direction of the connection."""
        digests = (
            hashlib.sha256(raw).digest() for raw in (self.dialler, self.acceptor)
        )
        direction = b"d" if from_dialler else b"a"
        return hmac.digest(secret, _CONTEXT + b"".join(digests) + direction, "sha256")


class Session:
    """Signs and verifies the frames of one connection, in sequence."""

    def __init__(
        self,
        keys: KeyRing,
        handshake: Handshake,
        local_host: HostName,
        peer: Hello,
        *,
        dialled: bool,
    ) -> None:
        self._keys = keys
        self._handshake = handshake
        self._local_host = local_host
        self._peer = peer
        self._dialled = dialled
        self._last_sent_sequence = 0
        self._last_received_sequence = 0
        self._frame_keys: dict[tuple[PeerKey, bool], bytes] = {}

    def seal(self, content: bytes, incarnation: int) -> bytes:
        """Return a message's signed envelope, encoded; call from one thread only."""
        self._last_sent_sequence += 1
        key = self._keys.signing
        unsigned = Envelope(
            PROTOCOL_VERSION,
            self._local_host,
            incarnation,
            self._last_sent_sequence,
            key.id,
            b"",
            content,
        )
        signature = self._sign(key, unsigned, from_dialler=self._dialled)
        return encode_envelope(attrs.evolve(unsigned, hmac=signature))

    def open(self, raw: bytes) -> Result[Envelope, DropReason]:
        """Decode and verify the peer's next envelope; call from one thread only.

        The error says why the frame and its connection have to be dropped.
        """
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
        if envelope.sequence != self._last_received_sequence + 1:
            return Err(DropReason.REPLAYED)
        self._last_received_sequence += 1
        return Ok(envelope)

    def _sign(self, key: PeerKey, envelope: Envelope, *, from_dialler: bool) -> bytes:
        frame_key = self._frame_keys.get((key, from_dialler))
        if frame_key is None:
            frame_key = self._handshake.derive_key(
                key.secret, from_dialler=from_dialler
            )
            self._frame_keys[key, from_dialler] = frame_key
        key_id, sender = envelope.key_id.encode(), envelope.sender.encode()
        header = _HEADER.pack(
            envelope.protocol,
            envelope.incarnation,
            envelope.sequence,
            len(key_id),
            len(sender),
        )
        signed = b"".join((header, key_id, sender, envelope.content))
        return hmac.digest(frame_key, signed, "sha256")[:HMAC_BYTES]
