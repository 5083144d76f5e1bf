"""Hand out shares of team limits so that their sum never passes the limit."""

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, TeamName
from masticfork.core.limits import Amounts, Share, ShareRequest
from masticfork.core.manifest import Limits
from masticfork.systems.water_filling import divide, whole_parts

SHARE_SECONDS = 3.0
# A host that has asked for nothing this long no longer counts as a claimant.
CLAIMANT_SECONDS = 6.0
UNLIMITED = float("inf")


@attrs.frozen
class _Claimant:
    """What the owner knows of one host's use of one team's limits."""

    request: ShareRequest
    heard_at: float
    # The share that the host holds for certain, and the one sent since.
    held: Share | None = None
    sent: Share | None = None

    def reserved(self, now: float, without_share: Amounts) -> Amounts:
        """Return the most that the host may be using."""
        amounts = Amounts(in_flight=self.request.in_use.in_flight)
        alive = [
            share
            for share in (self.held, self.sent)
            if share is not None and not share.expires.expired(now)
        ]
        for share in alive:
            amounts = amounts.most(share.amounts)
        return amounts if alive else amounts.most(without_share)


class ShareOwner:
    """The lease holder's book of shares of one team's limits.

    A share lowered by a reply that may be lost still counts in full until the host
    confirms the lower one or it expires. A new owner knows no shares of the one
    before it; it counts what hosts tell that they hold, and grants nothing beyond
    that before every share it has not heard of must have expired. What hosts may use
    without a share is kept free for those that are known but hold none.
    """

    def __init__(
        self, team: TeamName, limits: Limits, fencing: int, now: float
    ) -> None:
        self._team = team
        self._limits = amounts_of(limits)
        self._fencing = fencing
        self._all_known_at = Deadline.after(now, SHARE_SECONDS)
        self._claimants: dict[HostName, _Claimant] = {}
        self._number = 0
        self._known: frozenset[HostName] = frozenset()
        self._without_share = Amounts()

    def know(self, hosts: frozenset[HostName], without_share: Amounts) -> None:
        """Keep an amount free for each of these hosts that holds no share."""
        self._known = hosts
        self._without_share = without_share

    def grant(self, request: ShareRequest, now: float) -> Share:
        """Return the host's new share, which replaces the one it holds."""
        self._forget(now)
        self._hear(request, now)
        fair = self._fair_amounts(request.host)
        free = self._free_for(request.host, now)
        amounts = least_of(fair, free)
        self._number += 1
        share = Share(
            self._team,
            request.host,
            amounts,
            Deadline.after(now, SHARE_SECONDS),
            self._number,
            self._fencing,
        )
        claimant = self._claimants[request.host]
        held = _larger(claimant.held, claimant.sent, now)
        self._claimants[request.host] = attrs.evolve(claimant, held=held, sent=share)
        return share

    def change_limits(self, limits: Limits) -> None:
        """Use other limits from the next grant on."""
        self._limits = amounts_of(limits)

    def _hear(self, request: ShareRequest, now: float) -> None:
        known = self._claimants.get(request.host)
        if known is None:
            claimant = _Claimant(request, now, held=request.holds)
        else:
            claimant = attrs.evolve(known, request=request, heard_at=now)
            if request.holds == known.sent:
                # The host uses the share last sent, so the one before is gone.
                claimant = attrs.evolve(claimant, held=known.sent, sent=None)
        self._claimants[request.host] = claimant

    def _forget(self, now: float) -> None:
        stale = [
            host
            for host, claimant in self._claimants.items()
            if now - claimant.heard_at > CLAIMANT_SECONDS
        ]
        for host in stale:
            del self._claimants[host]

    def _fair_amounts(self, host: HostName) -> Amounts:
        claimants = self._claimants.items()
        demands = {name: c.request.demand for name, c in claimants}

        def part(resource: str) -> float:
            limit = getattr(self._limits, resource)
            if limit == UNLIMITED:
                return UNLIMITED
            wanted = {name: getattr(d, resource) for name, d in demands.items()}
            parts = divide(limit, wanted)
            # A part of a request in flight is of no use to anyone.
            if resource == "in_flight":
                parts = whole_parts(parts, wanted)
            return parts[host]

        return Amounts(
            part("requests_per_second"), part("tokens_per_second"), part("in_flight")
        )

    def _free_for(self, host: HostName, now: float) -> Amounts:
        """Return what all others leave of the limits."""
        others = Amounts()
        for name, claimant in self._claimants.items():
            if name != host:
                # A host that has gone is no longer known and uses nothing.
                known = name in self._known
                without = self._without_share if known else Amounts()
                others += claimant.reserved(now, without)
        for _ in self._known - self._claimants.keys() - {host}:
            others += self._without_share
        free = _minus(self._limits, others)
        if self._all_known_at.expired(now):
            return free
        # Until then a host not heard of may use all that nobody else holds.
        return least_of(free, self._claimants[host].reserved(now, Amounts()))


class ShareHolder:
    """One host's side: the share it may use, checked before each request."""

    def __init__(self) -> None:
        self._share: Share | None = None

    def accept(self, share: Share) -> None:
        """Use a newer share in place of the one held."""
        held = self._share
        if held is None or _order(share) > _order(held):
            self._share = share

    def current(self, now: float) -> Share | None:
        """Return the share while it lasts."""
        share = self._share
        if share is None or share.expires.expired(now):
            return None
        return share


def _order(share: Share) -> tuple[int, int]:
    return (share.fencing, share.number)


def _larger(first: Share | None, second: Share | None, now: float) -> Share | None:
    """Return a share that covers both, since either may be in use."""
    alive = [s for s in (first, second) if s and not s.expires.expired(now)]
    if not alive:
        return None
    amounts = Amounts()
    for share in alive:
        amounts = amounts.most(share.amounts)
    last = max(alive, key=lambda share: share.expires)
    return attrs.evolve(last, amounts=amounts)


def amounts_of(limits: Limits) -> Amounts:
    """Return the limits as amounts, infinite where there is none."""

    def limit(value: float | None) -> float:
        return UNLIMITED if value is None else float(value)

    return Amounts(
        limit(limits.requests_per_second),
        limit(limits.tokens_per_second),
        limit(limits.in_flight),
    )


def _minus(limit: Amounts, used: Amounts) -> Amounts:
    return Amounts(
        _left(limit.requests_per_second, used.requests_per_second),
        _left(limit.tokens_per_second, used.tokens_per_second),
        _left(limit.in_flight, used.in_flight),
    )


def _left(limit: float, used: float) -> float:
    # An unlimited share held by another host leaves the resource unlimited.
    return UNLIMITED if limit == UNLIMITED else max(0.0, limit - used)


def least_of(first: Amounts, second: Amounts) -> Amounts:
    """Return the lesser amount of each resource."""
    return Amounts(
        min(first.requests_per_second, second.requests_per_second),
        min(first.tokens_per_second, second.tokens_per_second),
        min(first.in_flight, second.in_flight),
    )
