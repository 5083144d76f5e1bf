from masticfork.relay.session_versions import (
    EXPIRY_MARGIN_SECONDS,
    MAX_SESSIONS,
    REPORT_INTERVAL_SECONDS,
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


class TestRunningRequests:
    """Guards against sessions that expire while their requests run (review case 9)."""

    LATE = 60.0

    def play(self, here, there, seconds):
        """Run one request of a session here, and tell another host of it."""
        here.begin_request("llm", "s", 0.0)
        here.record("llm", "s", "v1", 0.0)
        now = 0.0
        while now < seconds:
            here.sweep(now)
            there.sweep(now)
            there.apply_report(here.next_batch(), now + 0.5)
            now += 0.25

    def test_idle_time_counts_from_the_end_of_the_request_on_all_hosts(self):
        here, there = (SessionVersions(IDLE_TIMEOUT_SECONDS) for _ in range(2))
        self.play(here, there, self.LATE)
        here.end_request("llm", "s", self.LATE)
        there.apply_report(here.next_batch(), self.LATE + 0.5)
        for versions in (here, there):
            versions.sweep(self.LATE + IDLE_TIMEOUT_SECONDS)
            now = self.LATE + IDLE_TIMEOUT_SECONDS
            assert versions.version("llm", "s", now) == short_key("v1")
            versions.sweep(self.LATE + 60.0)
            assert versions.version("llm", "s", self.LATE + 60.0) is None

    def test_session_lasts_its_time_if_the_report_of_the_end_is_lost(self):
        here, there = (SessionVersions(IDLE_TIMEOUT_SECONDS) for _ in range(2))
        self.play(here, there, self.LATE)
        now = self.LATE + IDLE_TIMEOUT_SECONDS
        assert there.version("llm", "s", now) == short_key("v1")

    def test_session_is_kept_until_its_last_request_ends(self):
        versions = SessionVersions(IDLE_TIMEOUT_SECONDS)
        versions.begin_request("llm", "s", 0.0)
        self.play(versions, SessionVersions(IDLE_TIMEOUT_SECONDS), 10.0)
        versions.end_request("llm", "s", 10.0)
        for second in range(10, 60):
            versions.sweep(second)
        assert versions.version("llm", "s", 60.0) == short_key("v1")

    def test_request_that_reached_no_server_leaves_nothing(self):
        versions = SessionVersions(IDLE_TIMEOUT_SECONDS)
        versions.begin_request("llm", "s", 0.0)
        versions.sweep(REPORT_INTERVAL_SECONDS)
        versions.end_request("llm", "s", 4.0)
        assert versions.version("llm", "s", 4.0) is None
        assert versions.next_batch() == {}

    def test_running_session_outlasts_the_limit_on_their_number(self):
        versions = SessionVersions(IDLE_TIMEOUT_SECONDS)
        versions.begin_request("llm", "s", 0.0)
        versions.record("llm", "s", "v1", 0.0)
        for number in range(2 * MAX_SESSIONS):
            now = 60.0 * number / MAX_SESSIONS
            versions.record("llm", f"s-{number}", "v1", now)
            if number % 500 == 0:
                versions.sweep(now)
        assert versions.version("llm", "s", now) == short_key("v1")
