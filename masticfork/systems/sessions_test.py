import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from masticfork.core.ids import ModelName, TeamName, VersionId
from masticfork.core.refusals import Reason
from masticfork.systems.sessions import Session, SessionSigner, SigningKey, new_session

TEAM = TeamName("frames")
OLD_KEY = SigningKey("k1", b"an old secret of 16 or more")
NEW_KEY = SigningKey("k2", b"a new secret of 16 or more")
names = st.text(max_size=30)


def make_session(*pins: tuple[str, str]) -> Session:
    session = new_session(TEAM, random.Random(1), 1000.5)
    for model, version in pins:
        session = session.with_pin(ModelName(model), VersionId(version))
    return session


def is_invalid(result) -> bool:
    return isinstance(result, Err) and result.err_value.reason is Reason.SESSION_INVALID


class TestSignedTokens:
    @given(st.dictionaries(names, names, max_size=5), names)
    def test_token_round_trip(self, pins, team):
        session = new_session(TeamName(team), random.Random(2), 7.25)
        for model, version in pins.items():
            session = session.with_pin(ModelName(model), VersionId(version))
        signer = SessionSigner((NEW_KEY,))
        assert signer.verify(signer.sign(session), TeamName(team)) == Ok(session)

    def test_token_signed_with_an_older_key_verifies(self):
        token = SessionSigner((OLD_KEY,)).sign(make_session(("draft", "draft@1")))
        rotated = SessionSigner((NEW_KEY, OLD_KEY))
        assert rotated.verify(token, TEAM).ok_value.pinned_version("draft") == "draft@1"
        assert rotated.sign(make_session()).startswith("1.k2.")

    def test_token_signed_with_a_removed_key_is_invalid(self):
        token = SessionSigner((OLD_KEY,)).sign(make_session())
        assert is_invalid(SessionSigner((NEW_KEY,)).verify(token, TEAM))

    def test_short_secret_raises(self):
        with pytest.raises(ValueError, match="16 bytes"):
            SigningKey("k", b"short")


class TestInvalidTokens:
    signer = SessionSigner((NEW_KEY, OLD_KEY))

    def test_token_of_another_team(self):
        token = self.signer.sign(make_session())
        assert is_invalid(self.signer.verify(token, TeamName("medals")))

    @given(st.data())
    def test_token_with_one_changed_character(self, data):
        token = self.signer.sign(make_session(("draft", "draft@1")))
        position = data.draw(st.integers(0, len(token) - 1))
        replacement = data.draw(st.characters().filter(lambda c: c != token[position]))
        forged = token[:position] + replacement + token[position + 1 :]
        assert is_invalid(self.signer.verify(forged, TEAM))

    @given(st.text(max_size=200))
    def test_arbitrary_text(self, text):
        assert is_invalid(self.signer.verify(text, TEAM))

    @given(st.lists(st.text(max_size=20), min_size=3, max_size=5))
    def test_arbitrary_parts(self, parts):
        assert is_invalid(self.signer.verify(".".join(["1", *parts]), TEAM))

    @pytest.mark.parametrize(
        "payload", ["bm90IGpzb24", "", "W10", "eyJpZCI6IDF9", "!!", "WzEs" * 500]
    )
    def test_signed_payload_that_is_not_a_session(self, payload):
        from masticfork.systems.sessions import _signature

        signed = f"1.k2.{payload}"
        token = f"{signed}.{_signature(NEW_KEY, signed)}"
        assert is_invalid(self.signer.verify(token, TEAM))


class TestPins:
    def test_new_pin_replaces_the_old_one(self):
        session = make_session(("draft", "draft@1"), ("draft", "draft@2"))
        assert session.pinned_version(ModelName("draft")) == "draft@2"
        assert len(session.pins) == 1

    def test_session_ids_are_unique(self):
        rng = random.Random(3)
        ids = {new_session(TEAM, rng, 0.0).id for _ in range(1000)}
        assert len(ids) == 1000
