"""Deadlines of a host that stops gracefully, and which requests it still accepts."""

import attrs

from masticfork.core.routes import Route, RouteKind

# Time that the platform needs to stop sending new callers to a host that is not ready:
# two readiness probes, one per second, and the time they take.
READINESS_NOTICE_SECONDS = 2.6
# Time before the end of the grace period at which all connections close.
STOP_MARGIN_SECONDS = 0.4
# Least time that a stopping host allows for a stream; most end within it. A stream that
# may outlast the grace period is refused, since it would be cut off.
STREAM_ALLOWANCE_SECONDS = 5.0
# The same for requests that are not streams.
NON_STREAM_ALLOWANCE_SECONDS = 0.5
# Multiple of a route's slowest recent response that is allowed for a request: the other
# requests of hosts that stop at the same time slow its server down.
SLOWEST_RESPONSE_FACTOR = 2.0


@attrs.frozen
class GracefulStop:
    """A stop in progress; times are of the event loop's clock."""

    # Until then the platform may still send new callers.
    new_callers_end_at: float
    # All connections close then.
    deadline: float

    @classmethod
    def begun_at(cls, now: float, grace_seconds: float) -> "GracefulStop":
        """Return the stop that begins now and must end within the grace period."""
        deadline = now + grace_seconds - STOP_MARGIN_SECONDS
        return cls(now + READINESS_NOTICE_SECONDS, deadline)

    def closes_idle_connections(self, now: float) -> bool:
        """Return whether idle connections are to close: no new callers arrive."""
        return now >= self.new_callers_end_at

    def is_past_deadline(self, now: float) -> bool:
        """Return whether all connections are to close."""
        return now >= self.deadline

    def is_over(self, now: float, has_connections: bool) -> bool:
        """Return whether the host is to exit."""
        finished = not has_connections and self.closes_idle_connections(now)
        return finished or self.is_past_deadline(now)

    def may_cut_off(
        self, route: Route, answer_deadline: float, slowest: float | None, now: float
    ) -> bool:
        """Return whether a request sent to a server now may outlast the stop.

        `answer_deadline` is when it is answered at the latest, and `slowest` the
        seconds of the route's slowest recent response, None if they are unknown. A
        server may turn slow, so requests that may not be repeated must end by their
        deadline: other hosts can still take them.
        """
        if not self.closes_idle_connections(now):
            return False
        ends_at = answer_deadline
        if slowest is not None and route.retryable:
            is_stream = route.kind is RouteKind.STREAM
            allowance = max(
                STREAM_ALLOWANCE_SECONDS if is_stream else NON_STREAM_ALLOWANCE_SECONDS,
                SLOWEST_RESPONSE_FACTOR * slowest,
            )
            ends_at = min(answer_deadline, now + allowance)
        return ends_at > self.deadline
