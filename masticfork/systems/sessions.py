"""Signed session tokens that contain the pins, so that hosts keep no session state."""

import base64
import binascii
import hashlib
import hmac
import json
import random
import re

import attrs
import cattrs
from result import Err, Ok, Result

from masticfork.core.ids import ModelName, SessionId, TeamName, VersionId
from masticfork.core.refusals import Reason, Refusal

TOKEN_FORMAT = "1"
MAX_TOKEN_CHARACTERS = 4096
MIN_SECRET_BYTES = 16
SESSION_ID_BITS = 128
_KEY_ID = re.compile(r"[A-Za-z0-9_-]{1,32}")


@attrs.frozen
class SigningKey:
    """A secret for signing session tokens, with its public identifier."""

    id: str = attrs.field()
    secret: bytes = attrs.field(repr=False)

    @id.validator
    def _check_id(self, _: object, value: str) -> None:
        if not _KEY_ID.fullmatch(value):
            raise ValueError(
                "a signing key id must be 1 to 32 characters of A-Z a-z 0-9 _ -"
            )

    @secret.validator
    def _check_secret(self, _: object, value: bytes) -> None:
        if len(value) < MIN_SECRET_BYTES:
            raise ValueError(
                f"a signing secret must have at least {MIN_SECRET_BYTES} bytes"
            )


@attrs.frozen
class Pin:
    """The version to which a session is pinned for a model."""

    model: ModelName
    version: VersionId


@attrs.frozen
class Session:
    """A caller's session with its pins; its token contains all of it."""

    id: SessionId
    team: TeamName
    # Seconds since the Unix epoch.
    issued_at: float
    pins: tuple[Pin, ...] = ()

    def pinned_version(self, model: ModelName) -> VersionId | None:
        """Return the version pinned for the model, or None."""
        for pin in self.pins:
            if pin.model == model:
                return pin.version
        return None

    def with_pin(self, model: ModelName, version: VersionId) -> "Session":
        """Return the session with the model pinned to the version."""
        if self.pinned_version(model) == version:
            return self
        other_pins = tuple(pin for pin in self.pins if pin.model != model)
        return attrs.evolve(self, pins=(*other_pins, Pin(model, version)))


def new_session(team: TeamName, rng: random.Random, now: float) -> Session:
    """Return a session without pins; production passes a `SystemRandom` as `rng`."""
    identity = f"{rng.getrandbits(SESSION_ID_BITS):0{SESSION_ID_BITS // 4}x}"
    return Session(SessionId(identity), team, now)


@attrs.frozen
class SessionSigner:
    """Sign and verify session tokens: the first key signs, any key verifies."""

    keys: tuple[SigningKey, ...] = attrs.field(
        validator=attrs.validators.min_len(1), repr=False
    )

    def sign(self, session: Session) -> str:
        """Return the session's token as ASCII text that is safe in URLs and headers."""
        key = self.keys[0]
        payload = json.dumps(_converter.unstructure(session), separators=(",", ":"))
        signed = f"{TOKEN_FORMAT}.{key.id}.{_encode_base64(payload.encode())}"
        return f"{signed}.{_signature(key, signed)}"

    def verify(self, text: str, team: TeamName) -> Result[Session, Refusal]:
        """Return the session of the team's token, or refuse with `session_invalid`."""
        signed = self._verified_content(text)
        if signed is None:
            return _invalid("the session token is not one of this system")
        session = _decode_session(signed.rsplit(".", 1)[1])
        if session is None:
            return _invalid("the session token's content is not readable")
        if session.team != team:
            return _invalid("the session belongs to another team")
        return Ok(session)

    def _verified_content(self, text: str) -> str | None:
        if len(text) > MAX_TOKEN_CHARACTERS or not text.isascii():
            return None
        parts = text.split(".")
        if len(parts) != 4 or parts[0] != TOKEN_FORMAT:
            return None
        signed, _, signature = text.rpartition(".")
        # Key ids may be reused during a rotation, so try every key with this id.
        for key in self.keys:
            if key.id == parts[1] and hmac.compare_digest(
                _signature(key, signed), signature
            ):
                return signed
        return None


_converter = cattrs.Converter(forbid_extra_keys=True)


def _invalid(message: str) -> Err[Refusal]:
    return Err(Refusal(Reason.SESSION_INVALID, message))


def _encode_base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _signature(key: SigningKey, signed: str) -> str:
    return _encode_base64(hmac.digest(key.secret, signed.encode(), hashlib.sha256))


def _decode_session(payload: str) -> Session | None:
    try:
        padded = payload + "=" * (-len(payload) % 4)
        value = json.loads(base64.urlsafe_b64decode(padded))
        return _converter.structure(value, Session) if isinstance(value, dict) else None
    except (ValueError, binascii.Error, RecursionError, cattrs.BaseValidationError):
        return None
