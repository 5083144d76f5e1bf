"""Grant hosts shares of team limits whose sum never exceeds the limit."""

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, TeamName
from masticfork.core.limits import Amounts, LimitShare, ShareRequest
from masticfork.core.manifest import Limits
from masticfork.systems.water_filling import divide, whole_parts

# Validity of a share after it is granted.
SHARE_SECONDS = 3.0
# A host that has sent no request for this long is no longer a claimant.
CLAIMANT_TIMEOUT_SECONDS = 6.0
UNLIMITED = float("inf")


@attrs.frozen
class _Claimant:
    """One host's last request for one team's limits, and its shares."""

    request: ShareRequest
    heard_at: float
    # The share that the host has confirmed, and a newer one not yet confirmed.
    held: LimitShare | None = None
    sent: LimitShare | None = None

    def reserved(self, now: float, without_share: Amounts) -> Amounts:
        """Return the maximum amounts that the host may be using at `now`.

        A host without a valid share may use `without_share`.
        """
        amounts = Amounts(in_flight=self.request.in_use.in_flight)
        valid = [
            share
            for share in (self.held, self.sent)
            if share is not None and not share.expires.expired(now)
        ]
        for share in valid:
            amounts = amounts.elementwise_max(share.amounts)
        return amounts if valid else amounts.elementwise_max(without_share)


class ShareAllocator:
    """Shares of one team's limits, as granted by the host that holds the lease.

    A reply that lowers a share may be lost, so the larger share counts in full until
    the host confirms the lower one or the larger one expires. A new owner does not
    know the shares that the previous owner granted. It counts the shares that hosts
    report, and grants nothing beyond them until every unreported share has expired.
    The amounts that hosts may use without a share are reserved for each known host
    that holds none.
    """

    def __init__(
        self, team: TeamName, limits: Limits, fencing: int, now: float
    ) -> None:
        self._team = team
        self._limits = amounts_of(limits)
        self._fencing = fencing
        self._unreported_shares_expire_at = Deadline.after(now, SHARE_SECONDS)
        self._claimants: dict[HostName, _Claimant] = {}
        self._last_number = 0
        self._known_hosts: frozenset[HostName] = frozenset()
        self._without_share = Amounts()

    def set_known_hosts(
        self, hosts: frozenset[HostName], without_share: Amounts
    ) -> None:
        """Reserve `without_share` for each of these hosts that holds no share."""
        self._known_hosts = hosts
        self._without_share = without_share

    def grant(self, request: ShareRequest, now: float) -> LimitShare:
        """Grant the host a new share, which replaces the one it holds."""
        self._remove_stale_claimants(now)
        self._record_request(request, now)
        fair_share = self._fair_share(request.host)
        available = self._available_to(request.host, now)
        amounts = elementwise_min(fair_share, available)
        self._last_number += 1
        share = LimitShare(
            self._team,
            request.host,
            amounts,
            Deadline.after(now, SHARE_SECONDS),
            self._last_number,
            self._fencing,
        )
        claimant = self._claimants[request.host]
        held = _covering_share(claimant.held, claimant.sent, now)
        self._claimants[request.host] = attrs.evolve(claimant, held=held, sent=share)
        return share

    def change_limits(self, limits: Limits) -> None:
        """Apply these limits from the next grant on."""
        self._limits = amounts_of(limits)

    def _record_request(self, request: ShareRequest, now: float) -> None:
        known = self._claimants.get(request.host)
        if known is None:
            claimant = _Claimant(request, now, held=request.holds)
        else:
            claimant = attrs.evolve(known, request=request, heard_at=now)
            if request.holds == known.sent:
                # The host confirms the share last sent, so the earlier one is unused.
                claimant = attrs.evolve(claimant, held=known.sent, sent=None)
        self._claimants[request.host] = claimant

    def _remove_stale_claimants(self, now: float) -> None:
        stale = [
            host
            for host, claimant in self._claimants.items()
            if now - claimant.heard_at > CLAIMANT_TIMEOUT_SECONDS
        ]
        for host in stale:
            del self._claimants[host]

    def _fair_share(self, host: HostName) -> Amounts:
        claimants = self._claimants.items()
        demands = {name: c.request.demand for name, c in claimants}

        def allotment(resource: str) -> float:
            limit = getattr(self._limits, resource)
            if limit == UNLIMITED:
                return UNLIMITED
            wanted = {name: getattr(d, resource) for name, d in demands.items()}
            parts = divide(limit, wanted)
            # A fraction of an in-flight request is of no use to any host.
            if resource == "in_flight":
                parts = whole_parts(parts, wanted)
            return parts[host]

        return Amounts(
            allotment("requests_per_second"),
            allotment("tokens_per_second"),
            allotment("in_flight"),
        )

    def _available_to(self, host: HostName, now: float) -> Amounts:
        """Return the limits less the amounts reserved for all other hosts."""
        others = Amounts()
        for name, claimant in self._claimants.items():
            if name != host:
                # A host that has left is no longer known and uses nothing.
                is_known = name in self._known_hosts
                without = self._without_share if is_known else Amounts()
                others += claimant.reserved(now, without)
        for _ in self._known_hosts - self._claimants.keys() - {host}:
            others += self._without_share
        available = _subtract(self._limits, others)
        if self._unreported_shares_expire_at.expired(now):
            return available
        # Until then, hosts that have sent no request may hold all unreserved amounts.
        return elementwise_min(
            available, self._claimants[host].reserved(now, Amounts())
        )


class ShareHolder:
    """The share of one team's limits that this host may use."""

    def __init__(self) -> None:
        self._share: LimitShare | None = None

    def accept(self, share: LimitShare) -> None:
        """Replace the held share if the given one is newer."""
        held = self._share
        if held is None or _order(share) > _order(held):
            self._share = share

    def current(self, now: float) -> LimitShare | None:
        """Return the held share, or None if there is none or it has expired."""
        share = self._share
        if share is None or share.expires.expired(now):
            return None
        return share


def _order(share: LimitShare) -> tuple[int, int]:
    return (share.fencing, share.number)


def _covering_share(
    first: LimitShare | None, second: LimitShare | None, now: float
) -> LimitShare | None:
    """Return a share that covers both, since the host may be using either."""
    valid = [s for s in (first, second) if s and not s.expires.expired(now)]
    if not valid:
        return None
    amounts = Amounts()
    for share in valid:
        amounts = amounts.elementwise_max(share.amounts)
    last = max(valid, key=lambda share: share.expires)
    return attrs.evolve(last, amounts=amounts)


def amounts_of(limits: Limits) -> Amounts:
    """Return the limits as amounts; infinite where there is no limit."""

    def limit(value: float | None) -> float:
        return UNLIMITED if value is None else float(value)

    return Amounts(
        limit(limits.requests_per_second),
        limit(limits.tokens_per_second),
        limit(limits.in_flight),
    )


def _subtract(limit: Amounts, used: Amounts) -> Amounts:
    return Amounts(
        _remaining(limit.requests_per_second, used.requests_per_second),
        _remaining(limit.tokens_per_second, used.tokens_per_second),
        _remaining(limit.in_flight, used.in_flight),
    )


def _remaining(limit: float, used: float) -> float:
    # An unlimited resource stays so, also if other hosts hold unlimited shares.
    return UNLIMITED if limit == UNLIMITED else max(0.0, limit - used)


def elementwise_min(first: Amounts, second: Amounts) -> Amounts:
    """Return the lesser amount of each resource."""
    return Amounts(
        min(first.requests_per_second, second.requests_per_second),
        min(first.tokens_per_second, second.tokens_per_second),
        min(first.in_flight, second.in_flight),
    )
