import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from masticfork.core.ids import ModelName, TeamName, VersionId
from masticfork.core.refusals import Reason
from masticfork.systems.sessions import Session, SessionSigner, SigningKey, new_session

TEAM = TeamName("frames")
OLD = SigningKey("k1", b"an old secret of 16 or more")
NEW = SigningKey("k2", b"a new secret of 16 or more")
NAMES = st.text(max_size=30)


def make_session(*pins: tuple[str, str]) -> Session:
    session = new_session(TEAM, random.Random(1), 1000.5)
    for model, version in pins:
        session = session.with_pin(ModelName(model), VersionId(version))
    return session


def is_invalid(result) -> bool:
    return isinstance(result, Err) and result.err_value.reason is Reason.SESSION_INVALID


class TestSealing:
    @given(st.dictionaries(NAMES, NAMES, max_size=5), NAMES)
    def test_opens_what_it_sealed(self, pins, team):
        session = new_session(TeamName(team), random.Random(2), 7.25)
        for model, version in pins.items():
            session = session.with_pin(ModelName(model), VersionId(version))
        signer = SessionSigner((NEW,))
        assert signer.open_token(signer.seal(session), TeamName(team)) == Ok(session)

    def test_an_older_key_still_verifies(self):
        token = SessionSigner((OLD,)).seal(make_session(("draft", "draft@1")))
        rotated = SessionSigner((NEW, OLD))
        assert rotated.open_token(token, TEAM).ok_value.pinned("draft") == "draft@1"
        assert rotated.seal(make_session()).startswith("1.k2.")

    def test_a_dropped_key_no_longer_verifies(self):
        token = SessionSigner((OLD,)).seal(make_session())
        assert is_invalid(SessionSigner((NEW,)).open_token(token, TEAM))

    def test_a_short_secret_is_an_error(self):
        with pytest.raises(ValueError, match="16 bytes"):
            SigningKey("k", b"short")


class TestForgery:
    signer = SessionSigner((NEW, OLD))

    def test_another_teams_token(self):
        token = self.signer.seal(make_session())
        assert is_invalid(self.signer.open_token(token, TeamName("medals")))

    @given(st.data())
    def test_any_changed_character(self, data):
        token = self.signer.seal(make_session(("draft", "draft@1")))
        place = data.draw(st.integers(0, len(token) - 1))
        other = data.draw(st.characters().filter(lambda c: c != token[place]))
        forged = token[:place] + other + token[place + 1 :]
        assert is_invalid(self.signer.open_token(forged, TEAM))

    @given(st.text(max_size=200))
    def test_any_text(self, text):
        assert is_invalid(self.signer.open_token(text, TEAM))

    @given(st.lists(st.text(max_size=20), min_size=3, max_size=5))
    def test_any_parts(self, parts):
        assert is_invalid(self.signer.open_token(".".join(["1", *parts]), TEAM))

    @pytest.mark.parametrize(
        "payload", ["bm90IGpzb24", "", "W10", "eyJpZCI6IDF9", "!!", "WzEs" * 500]
    )
    def test_a_signed_payload_of_another_shape(self, payload):
        from masticfork.systems.sessions import _signature

        signed = f"1.k2.{payload}"
        token = f"{signed}.{_signature(NEW, signed)}"
        assert is_invalid(self.signer.open_token(token, TEAM))


class TestPins:
    def test_a_new_pin_replaces_the_old_one(self):
        session = make_session(("draft", "draft@1"), ("draft", "draft@2"))
        assert session.pinned(ModelName("draft")) == "draft@2"
        assert len(session.pins) == 1

    def test_sessions_differ(self):
        rng = random.Random(3)
        ids = {new_session(TEAM, rng, 0.0).id for _ in range(1000)}
        assert len(ids) == 1000
