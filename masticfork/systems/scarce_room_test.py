import attrs
import pytest

from masticfork.systems.scarce_room import (
    Admission,
    RoomRefusal,
    RoomRequest,
    decide,
)

CALM = RoomRequest(
    priority=1,
    over_share=False,
    ordered=True,
    target=2.0,
    time_left=10.0,
    expected=0.2,
)


class TestDecide:
    def test_request_with_room_is_admitted_as_it_is(self):
        for over_share in (False, True):
            request = attrs.evolve(CALM, over_share=over_share)
            assert decide(request) == Admission(1)

    def test_request_that_cannot_be_answered_in_time_is_refused(self):
        """Load: so many requests that a queue is longer than callers wait.

        Guards against requests that wait in it until their deadline.
        """
        decision = decide(attrs.evolve(CALM, expected=12.0))
        assert decision == RoomRefusal("no room in time", 2.0)

    def test_team_over_its_share_yields_by_one_priority(self):
        """Load: one team sends many times its usual while room is scarce."""
        request = attrs.evolve(CALM, over_share=True, expected=1.5)
        assert decide(request).priority == 2
        assert decide(attrs.evolve(request, over_share=False)).priority == 1

    def test_least_urgent_requests_lose_no_more_than_one_priority(self):
        """Guards against starvation: who waits longest is still served in order."""
        worst = attrs.evolve(CALM, priority=7, over_share=True, expected=9.9)
        assert decide(worst).priority == 8

    @pytest.mark.parametrize(("expected", "refused"), [(0.15, False), (0.5, True)])
    def test_team_over_its_share_is_refused_where_no_order_is_kept(
        self, expected, refused
    ):
        """Load: one team floods a plain service, which knows no priorities."""
        request = attrs.evolve(
            CALM, over_share=True, ordered=False, target=0.2, expected=expected
        )
        decision = decide(request)
        assert isinstance(decision, RoomRefusal) == refused
        if refused:
            assert decision.retry_after == pytest.approx(0.3)
