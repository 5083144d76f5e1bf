"""Streams that have begun and break off, and errors of the servers that are next."""

import pytest

from standins.entry_environment import (
    ENGINES,
    configuration,
    route,
    running_entry_host,
)
from standins.stream_errors import (
    FIRST_EVENTS,
    STREAM_ERRORS,
    WHOLE_EVENTS,
    BreakingServers,
    is_beginning_of_the_stream,
)

SPEC = configuration(1, route("streaming", sizes=["small"], max_attempts=3))


def get_stream(script):
    """Return the stream of a caller whose host has three servers with a script."""
    with running_entry_host(SPEC) as env:
        for _ in range(3):
            env.add_server(script, ENGINES)
        env.wait_for_servers(3)
        return env.read_stream("/streaming/x")


class TestErrorsAfterABreak:
    @pytest.mark.parametrize("partial_event", [b"", b"id: 3\nda"])
    @pytest.mark.parametrize("name", STREAM_ERRORS)
    def test_errors_do_not_reach_a_stream_that_has_begun(self, name, partial_event):
        """Guards against an error's text, or an early end, in a caller's stream."""
        got = get_stream(BreakingServers(STREAM_ERRORS[name], 99, partial_event))
        assert got.status == 200
        assert not got.complete
        assert is_beginning_of_the_stream(got.body)
        assert got.body.startswith(b"".join(WHOLE_EVENTS[:FIRST_EVENTS]))

    @pytest.mark.parametrize("name", STREAM_ERRORS)
    def test_stream_goes_on_at_the_server_after_the_one_with_an_error(self, name):
        """Guards against events that are lost or repeated because of an error."""
        got = get_stream(BreakingServers(STREAM_ERRORS[name], 1, b""))
        assert got.status == 200
        assert got.complete
        assert got.body == b"".join(WHOLE_EVENTS)
