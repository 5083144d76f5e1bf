from masticfork.relay.session_versions import (
    MARGIN,
    TELLINGS,
    SessionVersions,
    short_key,
)

PAUSE = 5.0


class TestSessionVersions:
    def test_a_session_is_remembered_until_it_lapses(self):
        rows = SessionVersions(PAUSE)
        rows.note("llm", "s", "v1", 0.0)
        assert rows.version("llm", "s", PAUSE + MARGIN) == short_key("v1")
        assert rows.version("llm", "s", PAUSE + MARGIN + 0.1) is None
        assert rows.version("other", "s", 0.0) is None

    def test_another_host_keeps_the_version(self):
        """A session whose requests come to several hosts during a roll-out."""
        here, there = SessionVersions(PAUSE), SessionVersions(PAUSE)
        here.note("llm", "s", "v1", 0.0)
        there.take(here.tell(), 0.3)
        assert there.version("llm", "s", 1.0) == short_key("v1")

    def test_a_session_is_told_again_in_case_a_digest_is_lost(self):
        rows = SessionVersions(PAUSE)
        rows.note("llm", "s", "v1", 0.0)
        told = [len(rows.tell()) for _ in range(TELLINGS + 1)]
        assert told == [1] * TELLINGS + [0]

    def test_what_was_told_is_not_passed_on(self):
        rows = SessionVersions(PAUSE)
        rows.take({1: 2}, 0.0)
        assert rows.tell() == {}

    def test_lapsed_sessions_are_forgotten(self):
        rows = SessionVersions(PAUSE)
        rows.note("llm", "s", "v1", 0.0)
        rows.sweep(100.0)
        assert rows.version("llm", "s", 1.0) is None
