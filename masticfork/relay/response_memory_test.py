from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.response_memory import RESPONSE_MEMORY_SHARE, ResponseMemory

MEMORY_BYTES = 80_000_000
LIMIT_BYTES = int(MEMORY_BYTES * RESPONSE_MEMORY_SHARE)


class Response:
    def __init__(self, memory):
        self._memory = memory
        self.given_up = False

    def on_too_much_held(self):
        self.given_up = True
        self._memory.update(self, 0)


def responses(*sizes):
    """Return responses that take these sizes, in this order."""
    memory = ResponseMemory(RelayMetrics(), lambda *_, **__: None, MEMORY_BYTES)
    all_of_them = [Response(memory) for _ in sizes]
    for response, size in zip(all_of_them, sizes, strict=True):
        memory.update(response, size)
    return memory, all_of_them


class TestSum:
    def test_largest_are_given_up_first(self):
        """Guards against small responses that pay for endless ones."""
        large, small = LIMIT_BYTES // 2, LIMIT_BYTES // 100
        memory, got = responses(small, large, large, small, small)
        assert sum(response.given_up for response in got[1:3]) == 1
        assert not any(response.given_up for response in (got[0], *got[3:]))
        assert memory.held_bytes <= LIMIT_BYTES

    def test_single_response_is_bounded_by_its_own_limit_only(self):
        _, (only,) = responses(2 * LIMIT_BYTES)
        assert not only.given_up

    def test_ended_responses_no_longer_count(self):
        memory, got = responses(LIMIT_BYTES // 2, LIMIT_BYTES // 2)
        for response in got:
            memory.update(response, 0)
        assert memory.held_bytes == 0
