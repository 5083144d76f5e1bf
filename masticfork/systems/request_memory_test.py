from hypothesis import given
from hypothesis import strategies as st

from masticfork.systems.request_memory import (
    SMALL_REQUEST_BYTES,
    SMALL_REQUEST_RESERVE,
    STALL_SECONDS,
    IncompleteRequest,
    choose_refused,
    is_admitted,
)

NOW = 100.0
LIMIT = 10_000_000


def request(connection, size, stalled=0.0):
    return IncompleteRequest(connection, size, NOW - stalled)


def refused(requests, others=0):
    held = others + sum(item.size for item in requests)
    chosen = choose_refused(requests, held, LIMIT, NOW)
    return [item.connection for item in chosen]


class TestChoice:
    def test_nothing_is_refused_below_the_limit(self):
        assert refused([request(n, 1_000_000, 60.0) for n in range(10)]) == []

    def test_callers_who_have_stopped_go_first(self):
        """Guards against a slow caller who goes on and is refused for others."""
        moving = request(1, 4_000_000, STALL_SECONDS / 2)
        stopped = [request(n, 2_000_000, STALL_SECONDS * n) for n in (2, 3, 4, 5)]
        assert 1 not in refused([moving, *stopped])

    def test_largest_go_first_among_those_who_go_on(self):
        """Guards against ordinary requests that are refused beside large ones."""
        large = [request(n, 4_000_000) for n in range(3)]
        assert refused([request(9, 20_000), *large])[0] in range(3)
        assert 9 not in refused([request(9, 20_000), *large])

    def test_only_request_may_be_as_large_as_the_configuration_says(self):
        assert refused([request(1, 3 * LIMIT, 60.0)]) == []

    def test_requests_that_are_handled_count(self):
        assert refused([request(1, 4_000_000)], others=8_000_000) == [1]

    @given(
        st.lists(st.tuples(st.integers(1, 2 * LIMIT), st.floats(0.0, 20.0))),
        st.integers(0, 2 * LIMIT),
    )
    def test_rest_is_below_the_limit_or_handled_or_a_single_request(
        self, items, others
    ):
        requests = [request(n, *item) for n, item in enumerate(items)]
        chosen = set(refused(requests, others))
        left = [item.size for item in requests if item.connection not in chosen]
        assert (
            others + sum(left) <= LIMIT or not left or (not others and len(left) == 1)
        )


class TestAdmission:
    def test_request_is_handled_below_the_limit(self):
        assert is_admitted(LIMIT // 2, LIMIT, LIMIT)

    def test_only_request_is_handled(self):
        assert is_admitted(2 * LIMIT, 2 * LIMIT, LIMIT)

    def test_large_request_beyond_the_limit_is_refused(self):
        assert not is_admitted(SMALL_REQUEST_BYTES + 1, LIMIT + 1, LIMIT)

    def test_small_requests_are_handled_until_the_reserve_is_taken(self):
        """Guards against ordinary callers who pay for a few large requests."""
        most = int((1 + SMALL_REQUEST_RESERVE) * LIMIT)
        assert is_admitted(SMALL_REQUEST_BYTES, most, LIMIT)
        assert not is_admitted(SMALL_REQUEST_BYTES, most + 1, LIMIT)
