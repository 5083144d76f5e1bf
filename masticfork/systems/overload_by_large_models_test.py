"""Load pattern: more answers by the largest model than the engines can make."""

import random

from masticfork.systems.model_choice import ConfidenceCascade, FixedSize, ModelPolicy
from masticfork.systems.server_choice import PREFILL_TOKENS_PER_SECOND, SIZE_PACES
from standins.typed_routes import route_of_sizes

# One engine's share of the traffic: prompts in a second, and the tokens of each.
PER_SECOND = 3.0
PROMPT_TOKENS = 12_000
SECONDS = 60.0
ROUTE = route_of_sizes()


def late_share(policy: ModelPolicy) -> float:
    """Return the share of the requests whose first answer to keep comes late."""
    source, now, free_at, late, asked = random.Random(3), 0.0, 0.0, 0, 0
    while now < SECONDS:
        now += source.expovariate(PER_SECOND)
        asked += 1
        size = policy.first(ROUTE)
        free_at = max(now, free_at) + _seconds(size)
        starts_in = free_at - now + _seconds(len(ROUTE.models) - 1)
        larger = policy.larger(ROUTE, size, source.randrange(100), starts_in)
        if larger is not None:
            free_at += _seconds(larger)
        late += free_at - now > ROUTE.target
    return late / asked


def _seconds(size: int) -> float:
    return PROMPT_TOKENS * SIZE_PACES[size] / PREFILL_TOKENS_PER_SECOND


class TestOverloadByLargeModels:
    def test_the_cascade_keeps_most_answers_in_time(self):
        # The engine would need 1.6 s in each second for all answers it is unsure of.
        assert late_share(ConfidenceCascade()) < 0.1

    def test_the_largest_size_alone_makes_nearly_all_late(self):
        assert late_share(FixedSize(2)) > 0.9
