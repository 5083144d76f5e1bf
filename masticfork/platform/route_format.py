"""Decodes the operator's configuration."""

from typing import Any

from result import Err, Ok, Result

from masticfork.core.findings import Finding
from masticfork.core.routes import (
    CallerLimits,
    EngineTraits,
    Route,
    RoutedService,
    RoutedTeam,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from masticfork.platform.fields import (
    MalformedError,
    finding,
    flag,
    number,
    rows,
    text,
    whole,
)

_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
_MS = 1000.0


def decode_route_table(spec: Any) -> Result[RouteTable, Finding]:
    """Return the configuration, or what is wrong with it."""
    try:
        return Ok(
            RouteTable(
                version=whole(spec, "version"),
                routes=tuple(_route(row) for row in rows(spec, "routes")),
                services={
                    service.name: service
                    for service in map(_service, rows(spec, "services"))
                },
                teams=tuple(_team(row) for row in rows(spec, "tenants")),
                limits=_limits(spec.get("limits") or {}),
                keys_required="tenants" in spec,
            )
        )
    except MalformedError as error:
        return Err(finding("configuration.malformed", "config/main", error))


def _route(row: Any) -> Route:
    kind = _KINDS.get(text(row, "kind"))
    if kind is None:
        raise MalformedError(f"unknown kind of route {row['kind']!r}")
    gap = row.get("gap_aim_ms")
    return Route(
        name=text(row, "name"),
        host=text(row, "host").lower(),
        path_prefix=text(row, "path_prefix"),
        kind=kind,
        timeout=number(row, "timeout_ms") / _MS,
        target=number(row, "target_latency_ms", 1000.0) / _MS,
        max_attempts=max(1, whole(row, "max_attempts", 1)),
        priority=whole(row, "priority", 0),
        public=flag(row, "public", False),
        resumable=flag(row, "resumable", False),
        models=tuple(str(name) for name in rows(row, "sizes")),
        services=_shares(row),
        max_gap=None if gap is None else number(row, "gap_aim_ms") / _MS,
    )


def _shares(row: Any) -> tuple[ServiceShare, ...]:
    """Return the services of a route, which names either one or a split."""
    split = rows(row, "traffic_split")
    if not split:
        return (ServiceShare(text(row, "service"), 1.0),)
    return tuple(
        ServiceShare(text(part, "service"), number(part, "weight")) for part in split
    )


def _service(row: Any) -> RoutedService:
    engine = row.get("engine") if isinstance(row, dict) else None
    return RoutedService(
        name=text(row, "name"),
        max_connections=whole(row, "max_connections", 64),
        engine=None if engine is None else _engine(engine),
    )


def _engine(row: Any) -> EngineTraits:
    models = rows(row, "models")
    return EngineTraits(
        slots=whole(row, "slots", 1),
        kv_capacity_tokens=whole(row, "kv_capacity_tokens", 0),
        model_costs={text(m, "name"): number(m, "cost", 0.0) for m in models},
    )


def _team(row: Any) -> RoutedTeam:
    keys = tuple(str(key) for key in rows(row, "api_keys"))
    given = row.get("priority")
    priority = None if given is None else whole(row, "priority")
    return RoutedTeam(text(row, "name"), keys, priority)


def _limits(row: Any) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=whole(row, "max_header_bytes", default.max_header_bytes),
        max_body_bytes=whole(row, "max_body_bytes", default.max_body_bytes),
        header_timeout=number(row, "header_timeout_ms", default.header_timeout * _MS)
        / _MS,
        idle_timeout=number(row, "idle_timeout_ms", default.idle_timeout * _MS) / _MS,
    )
