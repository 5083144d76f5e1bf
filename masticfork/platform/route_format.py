"""Decodes the operator's configuration: routes, services, teams and limits."""

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
    get_bool,
    get_int,
    get_list,
    get_number,
    get_str,
    is_text,
    malformed_finding,
)

_ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
_MS_PER_SECOND = 1000.0


def decode_route_table(spec: Any) -> Result[RouteTable, Finding]:
    """Decode a configuration, or report why it is malformed."""
    try:
        return Ok(
            RouteTable(
                version=get_int(spec, "version"),
                routes=tuple(_route(record) for record in get_list(spec, "routes")),
                services={
                    service.name: service
                    for service in map(_service, get_list(spec, "services"))
                },
                teams=tuple(_team(record) for record in get_list(spec, "tenants")),
                limits=_caller_limits(spec.get("limits") or {}),
                keys_required="tenants" in spec,
            )
        )
    except MalformedError as error:
        return Err(malformed_finding("configuration.malformed", "config/main", error))


def _route(record: Any) -> Route:
    kind = _ROUTE_KINDS.get(get_str(record, "kind"))
    if kind is None:
        raise MalformedError(f"unknown route kind {record['kind']!r}")
    raw_gap = record.get("gap_aim_ms")
    return Route(
        name=get_str(record, "name"),
        host=get_str(record, "host").lower(),
        path_prefix=get_str(record, "path_prefix"),
        kind=kind,
        timeout=get_number(record, "timeout_ms") / _MS_PER_SECOND,
        target=get_number(record, "target_latency_ms", 1000.0) / _MS_PER_SECOND,
        max_attempts=max(1, get_int(record, "max_attempts", 1)),
        priority=get_int(record, "priority", 0),
        public=get_bool(record, "public", False),
        resumable=get_bool(record, "resumable", False),
        models=_texts(record, "sizes"),
        services=_service_shares(record),
        max_gap=None
        if raw_gap is None
        else get_number(record, "gap_aim_ms") / _MS_PER_SECOND,
        regions=_regions(record),
    )


def _texts(record: Any, name: str) -> tuple[str, ...]:
    values = get_list(record, name)
    if not all(map(is_text, values)):
        raise MalformedError(f"{name} holds a value that is not printable text")
    return tuple(values)


def _regions(record: Any) -> frozenset[str] | None:
    """Return the home regions of a route or team, None if it has none."""
    return frozenset(_texts(record, "allowed_regions")) or None


def _service_shares(record: Any) -> tuple[ServiceShare, ...]:
    """Return a route's services: its `traffic_split`, or else its only `service`."""
    split = get_list(record, "traffic_split")
    if not split:
        return (ServiceShare(get_str(record, "service"), 1.0),)
    shares = tuple(
        ServiceShare(get_str(part, "service"), get_number(part, "weight"))
        for part in split
    )
    weights = [share.weight for share in shares]
    if min(weights) < 0 or sum(weights) <= 0:
        raise MalformedError("the weights of traffic_split are not shares")
    return shares


def _service(record: Any) -> RoutedService:
    engine = record.get("engine") if isinstance(record, dict) else None
    return RoutedService(
        name=get_str(record, "name"),
        max_connections=get_int(record, "max_connections", 64),
        engine=None if engine is None else _engine(engine),
        cold_rate=max(0.0, get_number(record, "cold_per_s", 0.0)),
        cold_seconds=max(0.0, get_number(record, "cold_start_s", 0.0)),
    )


def _engine(record: Any) -> EngineTraits:
    models = get_list(record, "models")
    return EngineTraits(
        slots=get_int(record, "slots", 1),
        kv_capacity_tokens=get_int(record, "kv_capacity_tokens", 0),
        model_costs={
            get_str(model, "name"): get_number(model, "cost", 0.0) for model in models
        },
    )


def _team(record: Any) -> RoutedTeam:
    keys = tuple(str(key) for key in get_list(record, "api_keys"))
    raw_priority = record.get("priority")
    priority = None if raw_priority is None else get_int(record, "priority")
    return RoutedTeam(get_str(record, "name"), keys, priority, _regions(record))


def _caller_limits(record: Any) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=get_int(record, "max_header_bytes", default.max_header_bytes),
        max_body_bytes=get_int(record, "max_body_bytes", default.max_body_bytes),
        header_timeout=get_number(
            record, "header_timeout_ms", default.header_timeout * _MS_PER_SECOND
        )
        / _MS_PER_SECOND,
        idle_timeout=get_number(
            record, "idle_timeout_ms", default.idle_timeout * _MS_PER_SECOND
        )
        / _MS_PER_SECOND,
    )
