"""Identifiers shared by all parts."""

import hashlib
import secrets
from typing import NewType

HostName = NewType("HostName", str)
ZoneName = NewType("ZoneName", str)
TeamName = NewType("TeamName", str)
ModelName = NewType("ModelName", str)
# A version's identity is "model@version", unique over a manifest.
VersionId = NewType("VersionId", str)
PoolName = NewType("PoolName", str)
ServerName = NewType("ServerName", str)
ServiceName = NewType("ServiceName", str)
RolloutName = NewType("RolloutName", str)
SessionId = NewType("SessionId", str)
# The identity of a request: the caller's idempotency key, or one made on entry.
RequestId = NewType("RequestId", str)
# One try at running a request on one backend server.
AttemptId = NewType("AttemptId", str)

RANDOM_ID_BYTES = 16


def version_id(model: str, version: str) -> VersionId:
    """Join a model and a version into the version's identity."""
    return VersionId(f"{model}@{version}")


def model_of(version: VersionId) -> ModelName:
    """Return the model part of a version's identity."""
    return ModelName(version.rsplit("@", 1)[0])


def random_id(prefix: str) -> str:
    """Make an unguessable identifier that starts with `prefix-`."""
    return f"{prefix}-{secrets.token_hex(RANDOM_ID_BYTES)}"


def digest(*parts: str) -> str:
    """Return a stable hexadecimal digest of the parts, for keys and hashing."""
    return _hash(16, parts).hex()


def rank(*parts: str) -> bytes:
    """Return the parts' place in an order that is the same on all hosts."""
    return _hash(8, parts)


def _hash(size: int, parts: tuple[str, ...]) -> bytes:
    return hashlib.blake2b("\x1f".join(parts).encode(), digest_size=size).digest()
