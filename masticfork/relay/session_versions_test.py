from masticfork.relay.session_versions import (
    EXPIRY_MARGIN_SECONDS,
    SENDS_PER_SESSION,
    SessionVersions,
    short_key,
)

IDLE_TIMEOUT_SECONDS = 5.0


class TestSessionVersions:
    def test_session_is_remembered_until_it_expires(self):
        versions = SessionVersions(IDLE_TIMEOUT_SECONDS)
        versions.record("llm", "s", "v1", 0.0)
        assert versions.version(
            "llm", "s", IDLE_TIMEOUT_SECONDS + EXPIRY_MARGIN_SECONDS
        ) == short_key("v1")
        assert (
            versions.version(
                "llm", "s", IDLE_TIMEOUT_SECONDS + EXPIRY_MARGIN_SECONDS + 0.1
            )
            is None
        )
        assert versions.version("other", "s", 0.0) is None

    def test_another_host_uses_the_reported_version(self):
        """The requests of a session may reach several hosts during a rollout."""
        here, there = (
            SessionVersions(IDLE_TIMEOUT_SECONDS),
            SessionVersions(IDLE_TIMEOUT_SECONDS),
        )
        here.record("llm", "s", "v1", 0.0)
        there.apply_report(here.next_batch(), 0.3)
        assert there.version("llm", "s", 1.0) == short_key("v1")

    def test_session_is_sent_repeatedly_in_case_a_digest_is_lost(self):
        versions = SessionVersions(IDLE_TIMEOUT_SECONDS)
        versions.record("llm", "s", "v1", 0.0)
        sent = [len(versions.next_batch()) for _ in range(SENDS_PER_SESSION + 1)]
        assert sent == [1] * SENDS_PER_SESSION + [0]

    def test_sessions_reported_by_a_peer_are_not_forwarded(self):
        versions = SessionVersions(IDLE_TIMEOUT_SECONDS)
        versions.apply_report({1: 2}, 0.0)
        assert versions.next_batch() == {}

    def test_sweep_removes_expired_sessions(self):
        versions = SessionVersions(IDLE_TIMEOUT_SECONDS)
        versions.record("llm", "s", "v1", 0.0)
        versions.sweep(100.0)
        assert versions.version("llm", "s", 1.0) is None
