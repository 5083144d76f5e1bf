import pytest

from masticfork.systems.model_choice import ConfidenceCascade, FixedSize
from standins.typed_routes import multi_model_route

ROUTE = multi_model_route()


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
    def test_escalates_below_the_confidence_for_the_lateness(
        self, confidence, starts_in, expected
    ):
        cascade = ConfidenceCascade()
        assert cascade.initial_size(ROUTE) == 0
        assert cascade.escalate_to(ROUTE, 0, confidence, starts_in) == expected

    def test_escalates_less_under_overload(self):
        """Guard against a burst that makes the engine queues exceed the target."""
        cascade = ConfidenceCascade()
        idle, loaded = (
            sum(cascade.escalate_to(ROUTE, 0, c, wait) is not None for c in range(100))
            for wait in (0.5, 5.0)
        )
        assert loaded < idle / 2

    def test_largest_size_never_escalates(self):
        assert ConfidenceCascade().escalate_to(ROUTE, 2, 0, 0.5) is None


class TestFixedSize:
    @pytest.mark.parametrize(("size", "first"), [(0, 0), (2, 2), (9, 2)])
    def test_size_is_capped_and_never_escalates(self, size, first):
        policy = FixedSize(size)
        assert policy.initial_size(ROUTE) == first
        assert policy.escalate_to(ROUTE, first, 0, 0.0) is None
