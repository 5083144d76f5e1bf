"""Parsed routes for tests of routing decisions."""

from typing import Any

import attrs

from masticfork.core.routes import Route, RouteKind, ServiceShare

_DEFAULT_ROUTE = Route(
    name="r",
    host="a.example",
    path_prefix="/",
    kind=RouteKind.STREAM,
    timeout=2.0,
    target=0.2,
    max_attempts=3,
    priority=0,
    public=True,
    resumable=False,
    models=(),
    services=(ServiceShare("s", 1.0),),
)


def typed_route(kind: RouteKind, **changes: Any) -> Route:
    """Return a route of a kind with default settings: three attempts, one service."""
    return attrs.evolve(_DEFAULT_ROUTE, kind=kind, **changes)


def multi_model_route() -> Route:
    """Return a resumable streaming route with three model sizes, smallest first."""
    return typed_route(
        RouteKind.STREAM,
        timeout=12.0,
        target=2.0,
        resumable=True,
        models=("small", "medium", "large"),
    )
