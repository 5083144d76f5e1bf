"""Split limits evenly among the hosts while the owner of a limit is unreachable."""

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.hosts import HostState
from masticfork.core.ids import HostName, TeamName
from masticfork.core.limits import Amounts, LimitShare
from masticfork.core.manifest import Limits
from masticfork.core.tables import Tables
from masticfork.ledger.clocks import MAX_CLOCK_DIFFERENCE_SECONDS
from masticfork.systems.limits import (
    SHARE_SECONDS,
    ShareHolder,
    amounts_of,
    elementwise_min,
)

# A host that does not see a majority of the hosts gives up its even part this long
# after the last answer of an owner.
NO_MAJORITY_GRACE_SECONDS = 15.0
# A host that sees a majority reserves the even part of a dead host for this long, so
# that a host which is only partitioned has given it up before.
DEAD_HOST_RESERVE_SECONDS = NO_MAJORITY_GRACE_SECONDS + 5.0
# A new host with peers uses no limited amounts for this long, or until an owner
# answers it: shares granted before the others knew of the host must expire first.
STARTUP_WAIT_SECONDS = 2.0


@attrs.frozen
class Fleet:
    """The entry hosts as seen by this host."""

    # Hosts that may use part of a limit, including dead hosts with a reserve.
    sharing_hosts: frozenset[HostName]
    # Number of even parts into which a limit is split.
    number: int
    majority: bool


def fleet_of(tables: Tables, min_hosts: int, now: float) -> Fleet:
    """Return the fleet, split into at least `min_hosts` even parts."""
    this_host = tables.me.host
    others = [row for row in list(tables.hosts.values()) if row.host != this_host]
    alive = [row for row in others if row.state is not HostState.DEAD]
    number = max(1 + len(others), min_hosts)
    majority = 2 * (1 + len(alive)) > number
    counted = {this_host}
    for row in others:
        gone = Deadline.after(row.dead_at.at, DEAD_HOST_RESERVE_SECONDS).expired(now)
        if not (majority and row.state is HostState.DEAD and gone):
            counted.add(row.host)
    return Fleet(frozenset(counted), number, majority)


def even_part(limits: Limits, number: int) -> Amounts:
    """Return the limits divided by `number`."""
    whole = amounts_of(limits)
    return Amounts(
        whole.requests_per_second / number,
        whole.tokens_per_second / number,
        whole.in_flight / number,
    )


class HostShares:
    """The amounts of each team's limits that this host may use; not thread-safe."""

    def __init__(self, host: HostName, single_host: bool, now: float) -> None:
        self._host = host
        self._holders: dict[TeamName, ShareHolder] = {}
        self._answered_at = now
        self._startup_ends = Deadline.after(
            now, 0.0 if single_host else STARTUP_WAIT_SECONDS
        )

    def accept(self, share: LimitShare, now: float) -> None:
        """Store a share granted by the owner."""
        self._holders.setdefault(share.team, ShareHolder()).accept(share)
        self._answered_at = now
        self._startup_ends = Deadline(now)

    def startup_over(self, now: float) -> bool:
        """Return whether the wait for an owner after the start is over."""
        return self._startup_ends.expired(now)

    def amounts(
        self, team: TeamName, limits: Limits, fleet: Fleet, now: float
    ) -> Amounts:
        """Return the amounts of the current share, or an even part if there is none."""
        holder = self._holders.get(team)
        # The clock of the owner may be ahead by up to the maximum clock difference, so
        # the owner may already treat the share as expired.
        latest_now = now + MAX_CLOCK_DIFFERENCE_SECONDS
        share = holder.current(latest_now) if holder else None
        if share is not None:
            return share.amounts
        fallback = self._fallback_amounts(limits, fleet, now)
        # If its clock is behind, it may still count the share after that.
        expiring = (
            holder.current(now - MAX_CLOCK_DIFFERENCE_SECONDS) if holder else None
        )
        return (
            fallback
            if expiring is None
            else elementwise_min(fallback, expiring.amounts)
        )

    def held_share(
        self, team: TeamName, limits: Limits, fleet: Fleet, now: float
    ) -> LimitShare:
        """Return the share that an owner must count as held by this host."""
        holder = self._holders.get(team)
        share = holder.current(now) if holder else None
        if share is not None:
            return share
        fallback = self._fallback_amounts(limits, fleet, now)
        expires = Deadline.after(now, SHARE_SECONDS)
        return LimitShare(team, self._host, fallback, expires, 0, 0)

    def _fallback_amounts(self, limits: Limits, fleet: Fleet, now: float) -> Amounts:
        cut_off = Deadline.after(self._answered_at, NO_MAJORITY_GRACE_SECONDS).expired(
            now
        )
        if not self.startup_over(now) or (cut_off and not fleet.majority):
            return _only_unlimited(amounts_of(limits))
        return even_part(limits, fleet.number)


def _only_unlimited(whole: Amounts) -> Amounts:
    def unlimited_or_zero(amount: float) -> float:
        return amount if amount == float("inf") else 0.0

    return Amounts(
        unlimited_or_zero(whole.requests_per_second),
        unlimited_or_zero(whole.tokens_per_second),
        unlimited_or_zero(whole.in_flight),
    )
