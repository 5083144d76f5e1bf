"""Tests of what servers announce about themselves: leaving, and pauses."""

import attrs

from masticfork.core.backend_servers import Address, BackendServer
from masticfork.systems.server_notices import MAX_PAUSE_SECONDS, ServerNotices

SERVER = BackendServer(
    "i-1", "s", Address("10.0.0.1", 80), "z", "v1", 6, False, started_at_ms=1000
)


class TestPause:
    def test_server_is_excluded_until_the_pause_is_over(self):
        notice = ServerNotices().of(SERVER)
        notice.pause(2.0, 10.0)
        assert [notice.accepts_calls(0, t) for t in (10.0, 11.9, 12.0)] == [
            False,
            False,
            True,
        ]

    def test_later_response_does_not_shorten_a_pause(self):
        notice = ServerNotices().of(SERVER)
        notice.pause(5.0, 10.0)
        notice.pause(0.1, 11.0)
        assert not notice.accepts_calls(0, 14.9)

    def test_huge_pause_is_bounded(self):
        notice = ServerNotices().of(SERVER)
        notice.pause(1e9, 0.0)
        assert notice.paused_until == MAX_PAUSE_SECONDS


class TestIncarnations:
    def test_announcement_outlives_the_entry_of_the_server(self):
        notices = ServerNotices()
        notices.of(SERVER).leaving = True
        assert notices.of(attrs.evolve(SERVER, draining=True)).leaving

    def test_new_incarnation_starts_without_announcements(self):
        notices = ServerNotices()
        notices.of(SERVER).leaving = True
        notices.of(SERVER).pause(9.0, 0.0)
        for restarted in (
            attrs.evolve(SERVER, started_at_ms=2000),
            attrs.evolve(SERVER, address=Address("10.0.0.2", 80)),
        ):
            assert notices.of(restarted).accepts_calls(0, 0.0)
