"""Decide whether a failed call to a server is retried, and when one is too slow."""

import enum

import attrs

from masticfork.core.routes import Route, RouteKind

# Remaining time below which no further call is sent.
MIN_REMAINING_SECONDS = 0.03

# Silence limit of an idempotent call, as a multiple of the route's target latency.
SILENCE_TARGET_FACTOR = 2.5
# The same until the first event of a stream, which also waits in the engine's queue.
STREAM_SILENCE_TARGET_FACTOR = 2.0
# Multiple of the server's recent latency below which it counts as loaded, not silent.
SILENCE_LATENCY_FACTOR = 3.0
# Multiple of the delay expected when the call was sent. The engine reads the prompts
# queued before it first, and a call that leaves the queue loses the time it waited.
SILENCE_EXPECTED_DELAY_FACTOR = 2.0
# Multiple of a stream's maximum normal gap between events, after which it is resumed
# on another server.
SILENCE_GAP_FACTOR = 2.0
# Maximum normal gap between events of a stream whose route sets none.
DEFAULT_MAX_GAP_SECONDS = 1.5


class CallOutcome(enum.Enum):
    """How a call to a server ended, and so whether the request may have run."""

    # No byte of the request can have reached the server.
    UNSENT = "unsent"
    # The server stated that it did not run the request.
    REFUSED = "refused"
    # The connection broke, or the response did not belong to this request.
    BROKEN = "broken"
    # The server answered with an error of its own.
    SERVER_ERROR = "server_error"
    # The server sent nothing within the silence limit.
    SILENT = "silent"
    # The answer was discarded in favour of one from a larger model.
    DROPPED = "dropped"
    # The request holds a prompt part that crashes servers, see `crash_quarantine`.
    QUARANTINED = "quarantined"

    @property
    def certainly_not_run(self) -> bool:
        """Return whether it is certain that the request did not run."""
        return self in (CallOutcome.UNSENT, CallOutcome.REFUSED)


class NextAction(enum.Enum):
    """What to do after a failed call."""

    # Send the request to another server.
    RETRY = "again"
    # Answer with a refusal, which guarantees that the request has not run.
    REFUSE = "refuse"
    # Answer with a failure, which leaves open whether the request has run.
    FAIL = "fail"


@attrs.define
class CallHistory:
    """The calls made so far for one request."""

    # Number of calls of which at least one byte may have reached a server.
    sent: int = 0
    may_have_run: bool = False


def next_action(
    route: Route, history: CallHistory, outcome: CallOutcome, time_left: float
) -> NextAction:
    """Return what to do after a failed call, before the retry budget is consulted."""
    final = NextAction.FAIL if history.may_have_run else NextAction.REFUSE
    if time_left < MIN_REMAINING_SECONDS or history.sent >= route.max_attempts:
        return final
    if outcome.certainly_not_run and not history.may_have_run:
        return NextAction.RETRY
    return NextAction.RETRY if route.retryable else final


def silence_limit(
    route: Route, begun: bool, usual: float, expected: float = 0.0
) -> float:
    """Return the silence limit of a call, in seconds.

    `begun` is whether the answer has begun, `usual` the server's recent time to the
    first byte and `expected` the time to the first byte that the load reports implied
    when the call was sent, both in seconds. Until the answer to a stream begins, and
    for calls of other kinds, long delays raise the limit: a call that leaves a loaded
    server loses its place in the queue and adds load to another server, which would
    amplify an overload.
    """
    if route.kind is not RouteKind.STREAM:
        return max(SILENCE_TARGET_FACTOR * route.target, SILENCE_LATENCY_FACTOR * usual)
    if begun:
        return SILENCE_GAP_FACTOR * (route.max_gap or DEFAULT_MAX_GAP_SECONDS)
    queue_limit = max(
        SILENCE_LATENCY_FACTOR * usual, SILENCE_EXPECTED_DELAY_FACTOR * expected
    )
    return max(STREAM_SILENCE_TARGET_FACTOR * route.target, queue_limit)
