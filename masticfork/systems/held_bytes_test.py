import random

import pytest

from masticfork.systems.held_bytes import (
    MIN_STALL_SECONDS,
    HeldResponse,
    choose_cut_off,
)

LIMIT = 20 << 20
NOW = 100.0


def held(connection, team, size, stalled=5.0):
    return HeldResponse(connection, team, size, NOW - stalled)


class TestChooseCutOff:
    def test_nothing_is_cut_off_below_the_limit(self):
        responses = [held(n, f"team-{n % 4}", 256 << 10) for n in range(40)]
        assert choose_cut_off(responses, LIMIT, NOW) == []

    def test_slow_readers_of_one_team_cost_no_other_team_a_request(self):
        """Load: one team's callers stop reading; other teams have some unsent too."""
        slow = [held(n, "slow", 256 << 10, 3.0) for n in range(100)]
        others = [held(1000 + n, f"team-{n}", 64 << 10, 9.0) for n in range(20)]
        cut_off = choose_cut_off([*slow, *others], LIMIT, NOW)
        assert {response.team for response in cut_off} == {"slow"}

    def test_slowest_goes_first(self):
        responses = [held(n, "team", 6 << 20, stalled=n + 1.0) for n in range(3)]
        cut_off = choose_cut_off(responses, LIMIT, NOW)
        assert [response.connection for response in cut_off] == [2, 1]

    def test_caller_that_still_reads_is_spared(self):
        reading = held(1, "team", 30 << 20, stalled=MIN_STALL_SECONDS / 2)
        assert choose_cut_off([reading], LIMIT, NOW) == []

    @pytest.mark.parametrize("seed", range(20))
    def test_stalled_callers_hold_no_more_than_the_limit(self, seed):
        """Guards against a host that runs out of memory, at any mix of teams."""
        rng = random.Random(seed)
        responses = [
            held(
                n,
                f"team-{rng.randrange(6)}",
                rng.randrange(1 << 20),
                rng.uniform(MIN_STALL_SECONDS, 20.0),
            )
            for n in range(rng.randrange(400))
        ]
        cut_off = choose_cut_off(responses, LIMIT, NOW)
        kept = set(responses) - set(cut_off)
        assert sum(response.size for response in kept) <= LIMIT
