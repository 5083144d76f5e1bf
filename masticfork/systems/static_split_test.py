"""Test the amounts that a host may use while no owner answers."""

import attrs
import pytest

from masticfork.core.deadlines import Deadline
from masticfork.core.limits import Amounts, LimitShare
from masticfork.core.manifest import Limits
from masticfork.systems.static_split import NO_MAJORITY_GRACE_SECONDS, Fleet, HostShares

LIMITS = Limits(requests_per_second=100.0)
FOUR_HOSTS = Fleet(frozenset("abcd"), 4, majority=True)
EVEN_PART = 25.0


def shares_with_rate(granted):
    """Return the shares of a host whose owner granted this rate until 10.0."""
    shares = HostShares("a", False, 0.0)
    amounts = Amounts(granted, float("inf"), float("inf"))
    shares.accept(LimitShare("t", "a", amounts, Deadline(10.0), 1, 1), 7.0)
    return shares


def usable_rate(shares, now, fleet=FOUR_HOSTS):
    return shares.amounts("t", LIMITS, fleet, now).requests_per_second


class TestHostShares:
    @pytest.mark.parametrize(
        ("held", "now", "expected"),
        [
            (60.0, 8.9, 60.0),
            # A clock that is behind must not extend the share.
            (60.0, 9.1, EVEN_PART),
            (60.0, 11.1, EVEN_PART),
            (5.0, 8.9, 5.0),
            # The owner may still count the lower share within the clock difference.
            (5.0, 9.1, 5.0),
            (5.0, 10.9, 5.0),
            (5.0, 11.1, EVEN_PART),
        ],
    )
    def test_clock_difference_ends_shares_early_and_delays_larger_even_parts(
        self, held, now, expected
    ):
        assert usable_rate(shares_with_rate(held), now) == expected

    def test_even_part_is_reported_as_held(self):
        shares = HostShares("a", True, 0.0)
        held = shares.held_share("t", LIMITS, FOUR_HOSTS, 5.0)
        assert held.amounts.requests_per_second == EVEN_PART
        assert held.expires > Deadline(5.0)

    def test_even_part_ends_without_a_majority(self):
        minority = attrs.evolve(FOUR_HOSTS, majority=False)
        shares = shares_with_rate(60.0)
        assert (
            usable_rate(shares, 7.0 + NO_MAJORITY_GRACE_SECONDS - 1, minority)
            == EVEN_PART
        )
        assert usable_rate(shares, 7.0 + NO_MAJORITY_GRACE_SECONDS, minority) == 0.0
        assert (
            usable_rate(shares, 7.0 + NO_MAJORITY_GRACE_SECONDS, FOUR_HOSTS)
            == EVEN_PART
        )

    def test_unlimited_amounts_stay_unlimited_at_startup(self):
        shares = HostShares("a", False, 0.0)
        amounts = shares.amounts("t", LIMITS, FOUR_HOSTS, 0.5)
        assert amounts == Amounts(0.0, float("inf"), float("inf"))
