"""Tests of what a host may use when no owner answers."""

import attrs
import pytest

from masticfork.core.deadlines import Deadline
from masticfork.core.limits import Amounts, Share
from masticfork.core.manifest import Limits
from masticfork.systems.static_split import STATIC_SECONDS, Fleet, HostShares

LIMITS = Limits(requests_per_second=100.0)
FOUR = Fleet(frozenset("abcd"), 4, majority=True)
EVEN = 25.0


def holding(rate):
    """Return shares of a host that got this rate until 10.0."""
    shares = HostShares("a", False, 0.0)
    amounts = Amounts(rate, float("inf"), float("inf"))
    shares.accept(Share("t", "a", amounts, Deadline(10.0), 1, 1), 7.0)
    return shares


def rate(shares, now, fleet=FOUR):
    return shares.amounts("t", LIMITS, fleet, now).requests_per_second


class TestHostShares:
    @pytest.mark.parametrize(
        ("held", "now", "expected"),
        [
            (60.0, 8.9, 60.0),
            # A clock that is behind must not lengthen the share.
            (60.0, 9.1, EVEN),
            (60.0, 11.1, EVEN),
            (5.0, 8.9, 5.0),
            # The owner may count the lower share a little longer.
            (5.0, 9.1, 5.0),
            (5.0, 10.9, 5.0),
            (5.0, 11.1, EVEN),
        ],
    )
    def test_a_share_ends_early_and_a_greater_even_part_starts_late(
        self, held, now, expected
    ):
        assert rate(holding(held), now) == expected

    def test_the_even_part_counts_as_held(self):
        shares = HostShares("a", True, 0.0)
        held = shares.holds("t", LIMITS, FOUR, 5.0)
        assert held.amounts.requests_per_second == EVEN
        assert held.expires > Deadline(5.0)

    def test_without_a_majority_the_even_part_ends(self):
        few = attrs.evolve(FOUR, majority=False)
        shares = holding(60.0)
        assert rate(shares, 7.0 + STATIC_SECONDS - 1, few) == EVEN
        assert rate(shares, 7.0 + STATIC_SECONDS, few) == 0.0
        assert rate(shares, 7.0 + STATIC_SECONDS, FOUR) == EVEN

    def test_what_has_no_limit_stays_so(self):
        shares = HostShares("a", False, 0.0)
        amounts = shares.amounts("t", LIMITS, FOUR, 0.5)
        assert amounts == Amounts(0.0, float("inf"), float("inf"))
