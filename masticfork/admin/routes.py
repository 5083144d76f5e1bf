"""The paths of the administration API and who may call them."""

import enum
import re

import attrs
from result import Err, Ok, Result

from masticfork.admin.backend import Actor
from masticfork.admin.problems import Problem, ProblemCode
from masticfork.settings.settings import Role

PATH_PREFIX = "/admin/v1"


class Permission(enum.Enum):
    """Permission that a route requires."""

    VIEW = "view"
    # Any operator; one limited to some teams may change only those.
    OPERATE = "operate"
    # An operator of all teams.
    OPERATE_ALL = "operate_all"


class Operation(enum.Enum):
    """Operation of the API; the value is its `operationId` in OpenAPI."""

    SUBMIT = "submit"
    SHOW = "showConfiguration"
    HISTORY = "listHistory"
    DIFF = "diffConfigurations"
    STATUS = "showStatus"
    CHANGE_ROLLOUT = "changeRollout"
    START_SERVER_DRAIN = "startServerDrain"
    END_SERVER_DRAIN = "endServerDrain"
    START_HOST_DRAIN = "startHostDrain"
    END_HOST_DRAIN = "endHostDrain"
    EVACUATIONS = "listEvacuations"
    START_EVACUATION = "startEvacuation"
    END_EVACUATION = "endEvacuation"
    BILLS = "listBills"
    EXPLAIN = "explainRequest"


@attrs.frozen
class Route:
    """One method at one path; names in braces match one path segment."""

    method: str
    template: str
    operation: Operation
    permission: Permission

    def match(self, path: str) -> dict[str, str] | None:
        """Return the path parameters, or None if the path does not match."""
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", self.template)
        found = re.fullmatch(pattern, path)
        return None if found is None else found.groupdict()


ROUTES = (
    Route("POST", "/submissions", Operation.SUBMIT, Permission.OPERATE),
    Route("GET", "/configuration", Operation.SHOW, Permission.VIEW),
    Route("GET", "/configuration/history", Operation.HISTORY, Permission.VIEW),
    Route("GET", "/configuration/diff", Operation.DIFF, Permission.VIEW),
    Route("GET", "/status", Operation.STATUS, Permission.VIEW),
    Route(
        "POST",
        "/rollouts/{name}/{action}",
        Operation.CHANGE_ROLLOUT,
        Permission.OPERATE_ALL,
    ),
    Route(
        "POST",
        "/servers/{name}/drain",
        Operation.START_SERVER_DRAIN,
        Permission.OPERATE_ALL,
    ),
    Route(
        "DELETE",
        "/servers/{name}/drain",
        Operation.END_SERVER_DRAIN,
        Permission.OPERATE_ALL,
    ),
    Route(
        "POST",
        "/hosts/{name}/drain",
        Operation.START_HOST_DRAIN,
        Permission.OPERATE_ALL,
    ),
    Route(
        "DELETE",
        "/hosts/{name}/drain",
        Operation.END_HOST_DRAIN,
        Permission.OPERATE_ALL,
    ),
    Route("GET", "/evacuations", Operation.EVACUATIONS, Permission.VIEW),
    Route(
        "POST",
        "/zones/{name}/evacuation",
        Operation.START_EVACUATION,
        Permission.OPERATE_ALL,
    ),
    Route(
        "DELETE",
        "/zones/{name}/evacuation",
        Operation.END_EVACUATION,
        Permission.OPERATE_ALL,
    ),
    Route("GET", "/bills", Operation.BILLS, Permission.VIEW),
    Route("GET", "/explain/{request_id}", Operation.EXPLAIN, Permission.VIEW),
)


def find_route(method: str, path: str) -> Result[tuple[Route, dict[str, str]], Problem]:
    """Return the route of a request with its path parameters."""
    if not path.startswith(PATH_PREFIX + "/"):
        return Err(Problem(ProblemCode.NOT_FOUND, "there is nothing at this path"))
    relative_path = path.removeprefix(PATH_PREFIX)
    matches = [(r, m) for r in ROUTES if (m := r.match(relative_path)) is not None]
    if not matches:
        return Err(Problem(ProblemCode.NOT_FOUND, "there is nothing at this path"))
    for route, parameters in matches:
        if route.method == method:
            return Ok((route, parameters))
    methods = ", ".join(sorted(route.method for route, _ in matches))
    return Err(
        Problem(ProblemCode.METHOD_NOT_ALLOWED, f"method not allowed; use {methods}")
    )


def check_permission(actor: Actor, route: Route) -> Result[None, Problem]:
    """Return an error unless the administrator may call the route."""
    if route.permission is Permission.VIEW:
        return Ok(None)
    if actor.role is not Role.OPERATOR:
        message = f"{actor.name!r} is a {actor.role.value} and may not change anything"
        return Err(Problem(ProblemCode.FORBIDDEN, message))
    if route.permission is Permission.OPERATE_ALL and actor.teams:
        message = f"{actor.name!r} may change only what belongs to its teams"
        return Err(Problem(ProblemCode.FORBIDDEN, message))
    return Ok(None)
