"""Choose the model size for a request and whether to escalate to a larger one."""

from typing import Protocol

import attrs

from masticfork.core.routes import Route

# Pairs of an upper bound for the lateness of the escalated answer, as a multiple of the
# route's target latency, and the confidence from 0 to 100 below which requests are
# escalated to the largest model. A later answer gains less and delays other requests.
MIN_CONFIDENCE_BY_LATENESS = ((0.5, 40), (1.0, 20), (1.5, 8), (float("inf"), 0))


class ModelPolicy(Protocol):
    """Policy that selects a model size of a route, as an index, smallest first."""

    def initial_size(self, route: Route) -> int:
        """Return the size to try first."""

    def escalate_to(
        self, route: Route, size: int, confidence: int, starts_in: float
    ) -> int | None:
        """Return the size to escalate to, or None to keep the current answer.

        `confidence` is that of the current answer, from 0 to 100. `starts_in` is the
        expected time from the arrival of the request to the start of the new answer,
        in seconds.
        """


@attrs.frozen
class ConfidenceCascade:
    """Start with the smallest model; escalate to the largest on low confidence."""

    def initial_size(self, route: Route) -> int:
        """Return the smallest size."""
        return 0

    def escalate_to(
        self, route: Route, size: int, confidence: int, starts_in: float
    ) -> int | None:
        """Return the largest size if the confidence is below the threshold."""
        largest = len(route.models) - 1
        lateness = starts_in / route.target
        min_confidence = next(
            confidence_bound
            for max_lateness, confidence_bound in MIN_CONFIDENCE_BY_LATENESS
            if lateness <= max_lateness
        )
        return largest if size < largest and confidence < min_confidence else None


@attrs.frozen
class FixedSize:
    """Baseline: the same size for every request."""

    size: int

    def initial_size(self, route: Route) -> int:
        """Return the configured size, capped at the largest size of the route."""
        return min(self.size, len(route.models) - 1)

    def escalate_to(
        self, route: Route, size: int, confidence: int, starts_in: float
    ) -> int | None:
        """Never escalate."""
        return None
