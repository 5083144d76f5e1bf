"""Identifier types, and functions that make and hash identifiers."""

import hashlib
import secrets
import zlib
from typing import NewType

HostName = NewType("HostName", str)
ZoneName = NewType("ZoneName", str)
TeamName = NewType("TeamName", str)
ModelName = NewType("ModelName", str)
# "MODEL@VERSION", unique in a manifest.
VersionId = NewType("VersionId", str)
PoolName = NewType("PoolName", str)
ServerName = NewType("ServerName", str)
ServiceName = NewType("ServiceName", str)
RolloutName = NewType("RolloutName", str)
SessionId = NewType("SessionId", str)
# The caller's idempotency key, or an ID generated when the request arrives.
RequestId = NewType("RequestId", str)
# Identifies one attempt to run a request on one backend server.
AttemptId = NewType("AttemptId", str)

RANDOM_ID_BYTES = 16


def version_id(model: str, version: str) -> VersionId:
    """Return the version ID `MODEL@VERSION`."""
    return VersionId(f"{model}@{version}")


def model_of(version: VersionId) -> ModelName:
    """Return the model part of a version ID."""
    return ModelName(version.rsplit("@", 1)[0])


def random_id(prefix: str) -> str:
    """Return an unguessable identifier that starts with `prefix-`."""
    return f"{prefix}-{secrets.token_hex(RANDOM_ID_BYTES)}"


def digest(*parts: str) -> str:
    """Return a 128-bit hexadecimal hash of the parts, the same on all hosts."""
    return _hash(16, parts).hex()


def stable_hash(*parts: str) -> bytes:
    """Return a 64-bit sort key of the parts, the same on all hosts.

    Used for rendezvous hashing: hosts that sort the same items pick the same ones.
    """
    return _hash(8, parts)


def short_key(text: str) -> int:
    """Return the CRC-32 of a name, by which digests identify it on all hosts."""
    return zlib.crc32(text.encode())


def request_key(service: str, *parts: bytes) -> int:
    """Return a 32-bit key of what identifies a request, the same on all hosts."""
    key = hashlib.blake2b(service.encode(), digest_size=4)
    for part in parts:
        key.update(len(part).to_bytes(8, "little"))
        key.update(part)
    return int.from_bytes(key.digest(), "little")


def _hash(size: int, parts: tuple[str, ...]) -> bytes:
    return hashlib.blake2b("\x1f".join(parts).encode(), digest_size=size).digest()
