import pytest

from masticfork.core.routes import RouteKind
from masticfork.systems.failed_calls import (
    CallHistory,
    CallOutcome,
    FollowUp,
    follow_up,
    silence_limit,
)
from standins.typed_routes import typed_route


def route(kind, resumable=False, attempts=3):
    return typed_route(kind, resumable=resumable, max_attempts=attempts)


ONCE = [route(RouteKind.NON_IDEMPOTENT), route(RouteKind.STREAM)]
OFTEN = [route(RouteKind.IDEMPOTENT), route(RouteKind.STREAM, resumable=True)]
MAY_HAVE_RUN = [o for o in CallOutcome if not o.surely_not_run]


class TestFollowUp:
    @pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
    @pytest.mark.parametrize("row", ONCE)
    def test_what_may_have_run_is_not_sent_again(self, row, outcome):
        history = CallHistory(sent=1, may_have_run=True)
        assert follow_up(row, history, outcome, 1.0) is FollowUp.FAIL

    @pytest.mark.parametrize("outcome", [CallOutcome.UNSENT, CallOutcome.REFUSED])
    @pytest.mark.parametrize("row", ONCE + OFTEN)
    def test_what_has_not_run_goes_to_another_server(self, row, outcome):
        assert follow_up(row, CallHistory(sent=1), outcome, 1.0) is FollowUp.AGAIN

    @pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
    @pytest.mark.parametrize("row", OFTEN)
    def test_what_may_be_repeated_goes_to_another_server(self, row, outcome):
        history = CallHistory(sent=1, may_have_run=True)
        assert follow_up(row, history, outcome, 1.0) is FollowUp.AGAIN

    @pytest.mark.parametrize("row", ONCE + OFTEN)
    @pytest.mark.parametrize(("sent", "left"), [(3, 1.0), (1, 0.0)])
    def test_a_refusal_is_said_only_of_what_has_not_run(self, row, sent, left):
        refused = CallOutcome.REFUSED
        clean, unclean = CallHistory(sent), CallHistory(sent, may_have_run=True)
        assert follow_up(row, clean, refused, left) is FollowUp.REFUSE
        assert follow_up(row, unclean, refused, left) is FollowUp.FAIL


class TestSilenceLimit:
    """Overload after a recovery: all engines queue for seconds, none is silent."""

    STREAM = route(RouteKind.STREAM, resumable=True)

    def test_a_loaded_server_keeps_its_calls(self):
        assert silence_limit(self.STREAM, begun=False, usual=4.0) >= 12.0

    def test_a_call_in_a_long_queue_is_not_silent(self):
        limit = silence_limit(self.STREAM, begun=False, usual=0.1, expected=5.0)
        assert limit >= 10.0

    def test_a_silent_server_is_left_soon(self):
        target = self.STREAM.target
        assert silence_limit(self.STREAM, begun=False, usual=0.05) == 2.0 * target

    def test_a_stream_that_stops_midway_does_not_wait_for_queues(self):
        assert silence_limit(self.STREAM, begun=True, usual=4.0) == 3.0
