"""Bound the bytes that a host holds for callers who read their responses slowly.

Each response is bounded by itself, as reading from its server stops while too much of
it is unsent. This bounds the sum over all callers, and over those of one team, so that
the slow readers of one team cost no other team a request.
"""

from collections.abc import Iterable

import attrs

# Fraction of the host's limit that the responses of one team may take.
TEAM_SHARE = 0.5
# Time without progress below which a response is not cut off.
MIN_STALL_SECONDS = 0.5


@attrs.frozen
class HeldResponse:
    """The unsent bytes of one caller's connection."""

    # Identifies the connection on this host.
    connection: int
    team: str
    size: int
    # Time at which the caller last took any of it, in seconds.
    stalled_since: float


def choose_cut_off(
    responses: Iterable[HeldResponse], limit: int, now: float
) -> list[HeldResponse]:
    """Return the responses to cut off, of each team the slowest ones first.

    `limit` is the number of bytes that the host may hold.
    """
    held = [response for response in responses if response.size]
    size_by_team: dict[str, int] = {}
    for response in held:
        size = size_by_team.get(response.team, 0)
        size_by_team[response.team] = size + response.size
    stalled = [r for r in held if now - r.stalled_since >= MIN_STALL_SECONDS]
    stalled.sort(key=lambda response: response.stalled_since)
    cut_off = []
    while stalled:
        team = max(
            {response.team for response in stalled}, key=lambda name: size_by_team[name]
        )
        over_team = size_by_team[team] > TEAM_SHARE * limit
        if not over_team and sum(size_by_team.values()) <= limit:
            break
        slowest = next(response for response in stalled if response.team == team)
        stalled.remove(slowest)
        size_by_team[team] -= slowest.size
        cut_off.append(slowest)
    return cut_off
