"""Chooses the model size of a request, and whether a larger one answers again."""

from typing import Protocol

import attrs

from masticfork.core.routes import Route

# Confidence of a small model, from 0 to 100, below which the largest one answers
# instead.
LEAST_CONFIDENCE = 40


class ModelPolicy(Protocol):
    """Chooses among the sizes of a route; sizes are indexes, smallest first."""

    def first(self, route: Route) -> int:
        """Return the size that answers first."""

    def larger(self, route: Route, size: int, confidence: int) -> int | None:
        """Return the size that answers instead, None to keep the answer."""


@attrs.frozen
class ConfidenceCascade:
    """The smallest model answers; the largest one where it is not confident."""

    least_confidence: int = LEAST_CONFIDENCE

    def first(self, route: Route) -> int:
        """Return the smallest size."""
        return 0

    def larger(self, route: Route, size: int, confidence: int) -> int | None:
        """Return the largest size if the confidence is low."""
        largest = len(route.models) - 1
        return (
            largest if size < largest and confidence < self.least_confidence else None
        )


@attrs.frozen
class FixedSize:
    """One size answers all requests: a baseline."""

    size: int

    def first(self, route: Route) -> int:
        """Return the size, or the largest there is."""
        return min(self.size, len(route.models) - 1)

    def larger(self, route: Route, size: int, confidence: int) -> int | None:
        """Keep every answer."""
        return None
