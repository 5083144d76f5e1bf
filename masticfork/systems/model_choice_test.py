import pytest

from masticfork.systems.model_choice import ConfidenceCascade, FixedSize
from standins.typed_routes import route_of_sizes

ROUTE = route_of_sizes()


class TestConfidenceCascade:
    @pytest.mark.parametrize(
        ("confidence", "starts_in", "expected"),
        [
            (39, 0.5, 2),
            (40, 0.5, None),
            (30, 1.5, None),
            (19, 1.5, 2),
            (7, 2.5, 2),
            (0, 3.5, None),
        ],
    )
    def test_largest_size_answers_where_it_is_worth_the_wait(
        self, confidence, starts_in, expected
    ):
        cascade = ConfidenceCascade()
        assert cascade.first(ROUTE) == 0
        assert cascade.larger(ROUTE, 0, confidence, starts_in) == expected

    def test_overload_sends_fewer_requests_to_the_largest_size(self):
        """A burst: the engines' queues grow beyond the target."""
        cascade = ConfidenceCascade()
        calm, loaded = (
            sum(cascade.larger(ROUTE, 0, c, wait) is not None for c in range(100))
            for wait in (0.5, 5.0)
        )
        assert loaded < calm / 2

    def test_largest_size_is_never_replaced(self):
        assert ConfidenceCascade().larger(ROUTE, 2, 0, 0.5) is None


class TestFixedSize:
    @pytest.mark.parametrize(("size", "first"), [(0, 0), (2, 2), (9, 2)])
    def test_is_a_baseline(self, size, first):
        policy = FixedSize(size)
        assert policy.first(ROUTE) == first
        assert policy.larger(ROUTE, first, 0, 0.0) is None
