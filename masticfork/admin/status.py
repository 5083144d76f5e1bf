"""Build the status of the administration API from the host's tables."""

from collections.abc import Iterable

from masticfork.admin.views import (
    HostHealth,
    HostView,
    LeaseView,
    PoolView,
    RolloutView,
    Status,
)
from masticfork.core.configuration import Configuration
from masticfork.core.manifest import BackendServer
from masticfork.core.rollouts import RolloutRow
from masticfork.core.tables import HostRow, ServerRow, Tables


def status_of(
    tables: Tables, address: str, leases: tuple[LeaseView, ...], now: float
) -> Status:
    """Return the system's status as known to the host at `address`.

    `now` is in seconds since the Unix epoch.
    """
    configuration = tables.configuration
    confirmed = tables.confirmed_until
    others = sorted(tables.hosts.values(), key=lambda row: row.host)
    own = _own_view(tables, address, now)
    return Status(
        host=tables.me.host,
        at=now,
        configuration_number=configuration.number if configuration else 0,
        submission_id=configuration.submission_id if configuration else "",
        confirmed_until=confirmed.at if confirmed else None,
        hosts=(own, *(_host_view(row, now) for row in others if row.host != own.name)),
        pools=_pools(tables, configuration, now),
        services=_services(tables, configuration, now),
        leases=leases,
        rollouts=tuple(map(rollout_view, tuple(tables.rollouts.values()))),
    )


def _own_view(tables: Tables, address: str, now: float) -> HostView:
    me, configuration = tables.me, tables.configuration
    health = HostHealth.LEAVING if me.stopping else HostHealth.LIVE
    number = configuration.number if configuration else 0
    return HostView(me.host, me.zone, address, health, number, now)


def _host_view(row: HostRow, now: float) -> HostView:
    return HostView(
        name=row.host,
        zone=row.zone,
        address=row.address,
        health=_health(row, now),
        configuration_number=row.configuration_number,
        heard_at=row.heard_at,
    )


def _health(row: HostRow, now: float) -> HostHealth:
    if row.leaving:
        return HostHealth.LEAVING
    if row.dead_at.expired(now):
        return HostHealth.DEAD
    if row.suspect_at.expired(now):
        return HostHealth.SUSPECT
    return HostHealth.LIVE


def _pools(
    tables: Tables, configuration: Configuration | None, now: float
) -> tuple[PoolView, ...]:
    pools = configuration.manifest.pools if configuration else ()
    return tuple(_pool_view(p.name, p.servers, tables, now) for p in pools)


def _services(
    tables: Tables, configuration: Configuration | None, now: float
) -> tuple[PoolView, ...]:
    services = configuration.manifest.services if configuration else ()
    return tuple(_pool_view(s.name, s.servers, tables, now) for s in services)


def _pool_view(
    name: str, servers: Iterable[BackendServer], tables: Tables, now: float
) -> PoolView:
    declared = tuple(servers)
    rows = [row for s in declared if (row := tables.servers.get(s.name)) is not None]
    leaving = sum(row.leaving for row in rows)
    ejected = sum(_is_ejected(row, now) and not row.leaving for row in rows)
    return PoolView(
        name=name,
        servers=len(declared),
        ready=len(rows) - leaving - ejected,
        ejected=ejected,
        leaving=leaving,
        slots=sum(server.slots for server in declared),
        in_flight=sum(row.in_flight for row in rows),
    )


def _is_ejected(row: ServerRow, now: float) -> bool:
    return row.ejected_until is not None and not row.ejected_until.expired(now)


def rollout_view(row: RolloutRow) -> RolloutView:
    """Return the rollout in the form shown to administrators."""
    return RolloutView(
        name=row.name,
        model=row.model,
        from_version=row.from_version,
        to_version=row.to_version,
        state=row.state.value,
        step=row.step,
        share=row.share,
        reason=row.reason,
    )
