"""Salted hashes of the keys of callers and administrators."""

import hashlib
import hmac
import secrets

from masticfork.core.manifest import KeyHash

SALT_BYTES = 16


def hash_key(key: str, salt: str) -> str:
    """Return the SHA-256 of salt and key; raise ValueError if the salt is not hex."""
    return hashlib.sha256(bytes.fromhex(salt) + key.encode()).hexdigest()


def new_key_hash(key: str) -> KeyHash:
    """Hash a key with a new random salt."""
    salt = secrets.token_hex(SALT_BYTES)
    return KeyHash(salt, hash_key(key, salt))


def key_matches(key: str, key_hash: KeyHash) -> bool:
    """Return whether the hash is of this key; compare in constant time."""
    computed = hash_key(key, key_hash.salt)
    return hmac.compare_digest(computed, key_hash.sha256)
