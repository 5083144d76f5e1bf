"""Routes as the product holds them, for tests of its decisions."""

from typing import Any

import attrs

from masticfork.core.routes import Route, RouteKind, ServiceShare

_ROUTE = Route(
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
    """Return a route of a kind, with three attempts and nothing else of note."""
    return attrs.evolve(_ROUTE, kind=kind, **changes)


def route_of_sizes() -> Route:
    """Return a resumable stream that three sizes of a model may answer."""
    return typed_route(
        RouteKind.STREAM,
        timeout=12.0,
        target=2.0,
        resumable=True,
        models=("small", "medium", "large"),
    )
