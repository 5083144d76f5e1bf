import hashlib

import pytest

from masticfork.core.manifest import KeyHash
from masticfork.settings.keys import hash_key, key_matches, new_key_hash


class TestKeys:
    def test_hash_is_of_salt_and_key(self):
        expected = hashlib.sha256(b"\x01\x02" + "kľúč".encode()).hexdigest()
        assert hash_key("kľúč", "0102") == expected

    def test_hash_matches_only_its_key(self):
        key_hash = new_key_hash("right")
        assert key_matches("right", key_hash)
        assert not key_matches("wrong", key_hash)
        assert not key_matches("", key_hash)

    def test_salts_differ(self):
        assert new_key_hash("same") != new_key_hash("same")

    def test_rejects_malformed_salt(self):
        with pytest.raises(ValueError, match="hexadecimal"):
            key_matches("a", KeyHash("xy", "0" * 64))
