"""Tests of the handling of failed and silent calls."""

import pytest

from masticfork.core.routes import RouteKind
from masticfork.systems.failed_calls import (
    CallHistory,
    CallOutcome,
    NextAction,
    next_action,
    silence_limit,
)
from standins.typed_routes import typed_route


def route(kind, resumable=False, attempts=3):
    return typed_route(kind, resumable=resumable, max_attempts=attempts)


NON_REPEATABLE = [route(RouteKind.NON_IDEMPOTENT), route(RouteKind.STREAM)]
REPEATABLE = [route(RouteKind.IDEMPOTENT), route(RouteKind.STREAM, resumable=True)]
MAY_HAVE_RUN = [o for o in CallOutcome if not o.certainly_not_run]


class TestNextAction:
    @pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
    @pytest.mark.parametrize("row", NON_REPEATABLE)
    def test_a_non_retryable_request_that_may_have_run_is_not_retried(
        self, row, outcome
    ):
        history = CallHistory(sent=1, may_have_run=True)
        assert next_action(row, history, outcome, 1.0) is NextAction.FAIL

    @pytest.mark.parametrize("outcome", [CallOutcome.UNSENT, CallOutcome.REFUSED])
    @pytest.mark.parametrize("row", NON_REPEATABLE + REPEATABLE)
    def test_a_request_that_has_not_run_is_retried(self, row, outcome):
        assert next_action(row, CallHistory(sent=1), outcome, 1.0) is NextAction.RETRY

    @pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
    @pytest.mark.parametrize("row", REPEATABLE)
    def test_a_retryable_request_that_may_have_run_is_retried(self, row, outcome):
        history = CallHistory(sent=1, may_have_run=True)
        assert next_action(row, history, outcome, 1.0) is NextAction.RETRY

    @pytest.mark.parametrize("row", NON_REPEATABLE + REPEATABLE)
    @pytest.mark.parametrize(("sent", "left"), [(3, 1.0), (1, 0.0)])
    def test_only_a_request_that_has_not_run_is_refused(self, row, sent, left):
        refused = CallOutcome.REFUSED
        not_run, may_have_run = CallHistory(sent), CallHistory(sent, may_have_run=True)
        assert next_action(row, not_run, refused, left) is NextAction.REFUSE
        assert next_action(row, may_have_run, refused, left) is NextAction.FAIL


class TestSilenceLimit:
    """Guards against loaded engines being treated as silent.

    After a recovery from a failure, the queues of all engines are seconds long.
    """

    STREAM = route(RouteKind.STREAM, resumable=True)

    def test_limit_grows_with_the_latency_of_a_loaded_server(self):
        assert silence_limit(self.STREAM, begun=False, usual=4.0) >= 12.0

    def test_limit_grows_with_the_expected_delay(self):
        limit = silence_limit(self.STREAM, begun=False, usual=0.1, expected=5.0)
        assert limit >= 10.0

    def test_limit_of_an_unloaded_server_follows_the_target(self):
        target = self.STREAM.target
        assert silence_limit(self.STREAM, begun=False, usual=0.05) == 2.0 * target

    def test_limit_of_a_begun_stream_ignores_queues(self):
        assert silence_limit(self.STREAM, begun=True, usual=4.0) == 3.0
