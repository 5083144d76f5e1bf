"""Deadlines of a host that stops gracefully, and which requests it still accepts."""

import attrs

from masticfork.core.routes import Route, RouteKind

# Time that the platform needs to stop sending new callers to a host that is not ready:
# two readiness probes, one per second, and the time they take.
READINESS_NOTICE_SECONDS = 2.6
# Time before the end of the grace period at which all connections close.
STOP_MARGIN_SECONDS = 0.4
# Time that a stopping host allows for a stream; most end within it. A stream that may
# outlast the grace period is refused, since it would be cut off.
STREAM_ALLOWANCE_SECONDS = 5.0
# The same for requests that are not streams.
NON_STREAM_ALLOWANCE_SECONDS = 0.5


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

    def is_over(self, now: float, has_connections: bool) -> bool:
        """Return whether the host is to exit."""
        finished = not has_connections and self.closes_idle_connections(now)
        return finished or now >= self.deadline

    def may_cut_off(self, route: Route, now: float) -> bool:
        """Return whether a request accepted now may outlast the stop."""
        if not self.closes_idle_connections(now):
            return False
        is_stream = route.kind is RouteKind.STREAM
        allowance = (
            STREAM_ALLOWANCE_SECONDS if is_stream else NON_STREAM_ALLOWANCE_SECONDS
        )
        return now + allowance > self.deadline
