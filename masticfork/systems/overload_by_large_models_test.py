"""Load pattern: escalations to the largest model exceed the capacity of the engines."""

import random

from masticfork.systems.model_choice import ConfidenceCascade, FixedSize, ModelPolicy
from masticfork.systems.server_choice import (
    PREFILL_TOKENS_PER_SECOND,
    RELATIVE_TOKEN_COSTS,
)
from standins.typed_routes import multi_model_route

# Traffic of one engine: requests per second, and tokens per prompt.
REQUESTS_PER_SECOND = 3.0
PROMPT_TOKENS = 12_000
DURATION_SECONDS = 60.0
ROUTE = multi_model_route()


def late_share(policy: ModelPolicy) -> float:
    """Return the share of requests whose final answer starts after the target."""
    rng, now, free_at, late, requests = random.Random(3), 0.0, 0.0, 0, 0
    while now < DURATION_SECONDS:
        now += rng.expovariate(REQUESTS_PER_SECOND)
        requests += 1
        size = policy.initial_size(ROUTE)
        free_at = max(now, free_at) + _prefill_seconds(size)
        starts_in = free_at - now + _prefill_seconds(len(ROUTE.models) - 1)
        larger = policy.escalate_to(ROUTE, size, rng.randrange(100), starts_in)
        if larger is not None:
            free_at += _prefill_seconds(larger)
        late += free_at - now > ROUTE.target
    return late / requests


def _prefill_seconds(size: int) -> float:
    return PROMPT_TOKENS * RELATIVE_TOKEN_COSTS[size] / PREFILL_TOKENS_PER_SECOND


class TestOverloadByLargeModels:
    def test_confidence_cascade_meets_the_target_under_overload(self):
        # Escalating every answer of low confidence needs 1.6 s of engine time a second.
        assert late_share(ConfidenceCascade()) < 0.1

    def test_largest_size_alone_misses_the_target(self):
        assert late_share(FixedSize(2)) > 0.9
