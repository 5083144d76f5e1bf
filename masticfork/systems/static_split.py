"""What a host may use of a limit while no owner of shares answers it."""

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.hosts import HostState
from masticfork.core.ids import HostName, TeamName
from masticfork.core.limits import Amounts, Share
from masticfork.core.manifest import Limits
from masticfork.core.tables import Tables
from masticfork.ledger.clocks import MAX_CLOCK_DIFFERENCE_SECONDS
from masticfork.systems.limits import (
    SHARE_SECONDS,
    ShareHolder,
    amounts_of,
    least_of,
)

# Where a host sees no majority of the hosts, it gives up its even part this long
# after an owner last answered it.
STATIC_SECONDS = 15.0
# An owner that sees a majority keeps a dead host's even part for this long.
RESERVE_SECONDS = STATIC_SECONDS + 5.0
# A new host with peers uses nothing for this long, or until an owner answers it:
# shares that were handed out before the others knew of it must run out.
START_SECONDS = 2.0


@attrs.frozen
class Fleet:
    """The entry hosts as one of them sees them."""

    # All hosts that may use a part of a limit.
    counted: frozenset[HostName]
    # The number of even parts.
    number: int
    majority: bool


def fleet_of(tables: Tables, least: int, now: float) -> Fleet:
    """Return the fleet; it has at least the configured number of hosts."""
    me = tables.me.host
    others = [row for row in list(tables.hosts.values()) if row.host != me]
    alive = [row for row in others if row.state is not HostState.DEAD]
    number = max(1 + len(others), least)
    majority = 2 * (1 + len(alive)) > number
    counted = {me}
    for row in others:
        gone = Deadline.after(row.dead_at.at, RESERVE_SECONDS).expired(now)
        if not (majority and row.state is HostState.DEAD and gone):
            counted.add(row.host)
    return Fleet(frozenset(counted), number, majority)


def even_part(limits: Limits, number: int) -> Amounts:
    """Return one of `number` even parts of the limits."""
    whole = amounts_of(limits)
    return Amounts(
        whole.requests_per_second / number,
        whole.tokens_per_second / number,
        whole.in_flight / number,
    )


class HostShares:
    """What this host may use of each team's limits; not safe for threads."""

    def __init__(self, host: HostName, alone: bool, now: float) -> None:
        self._host = host
        self._holders: dict[TeamName, ShareHolder] = {}
        self._answered_at = now
        self._static_from = Deadline.after(now, 0.0 if alone else START_SECONDS)

    def accept(self, share: Share, now: float) -> None:
        """Use a share from the owner."""
        self._holders.setdefault(share.team, ShareHolder()).accept(share)
        self._answered_at = now
        self._static_from = Deadline(now)

    def settled(self, now: float) -> bool:
        """Tell whether the first wait for an owner is over."""
        return self._static_from.expired(now)

    def amounts(
        self, team: TeamName, limits: Limits, fleet: Fleet, now: float
    ) -> Amounts:
        """Return the share held, or an even part while there is none."""
        holder = self._holders.get(team)
        # The owner's clock may be ahead by as much, and it counts the share no longer.
        early = now + MAX_CLOCK_DIFFERENCE_SECONDS
        share = holder.current(early) if holder else None
        if share is not None:
            return share.amounts
        static = self._static(limits, fleet, now)
        late = holder.current(now - MAX_CLOCK_DIFFERENCE_SECONDS) if holder else None
        return static if late is None else least_of(static, late.amounts)

    def holds(self, team: TeamName, limits: Limits, fleet: Fleet, now: float) -> Share:
        """Return what an owner must count as held by this host."""
        holder = self._holders.get(team)
        share = holder.current(now) if holder else None
        if share is not None:
            return share
        static = self._static(limits, fleet, now)
        expires = Deadline.after(now, SHARE_SECONDS)
        return Share(team, self._host, static, expires, 0, 0)

    def _static(self, limits: Limits, fleet: Fleet, now: float) -> Amounts:
        cut_off = Deadline.after(self._answered_at, STATIC_SECONDS).expired(now)
        if not self.settled(now) or (cut_off and not fleet.majority):
            return _only_unlimited(amounts_of(limits))
        return even_part(limits, fleet.number)


def _only_unlimited(whole: Amounts) -> Amounts:
    def left(amount: float) -> float:
        return amount if amount == float("inf") else 0.0

    return Amounts(
        left(whole.requests_per_second),
        left(whole.tokens_per_second),
        left(whole.in_flight),
    )
