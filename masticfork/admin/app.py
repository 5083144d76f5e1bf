"""The WSGI application of the administration API."""

import json
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import cattrs
import logbook
from result import Err, Ok, Result

from masticfork.admin.backend import Backend, BillQuery
from masticfork.admin.configuration_handlers import ConfigurationHandlers
from masticfork.admin.problems import Problem, ProblemCode, problem_response
from masticfork.admin.requests import AdminRequest, Environ, authenticate, malformed
from masticfork.admin.routes import Operation, check_permission, find_route
from masticfork.admin.submissions import Submissions
from masticfork.admin.views import RolloutAction
from masticfork.entry.responses import Response, status_line
from masticfork.settings.settings import AdminKey

_log = logbook.Logger("admin")
_converter = cattrs.Converter()

# The JSON body of a successful response, or the problem to report instead.
HandlerResult = Result[Any, Problem]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class AdminApp:
    """Authenticates and authorizes administrators' requests and dispatches them."""

    def __init__(
        self,
        backend: Backend,
        submissions: Submissions,
        keys: tuple[AdminKey, ...],
        now: Callable[[], float],
    ) -> None:
        self._backend = backend
        self._keys = keys
        self._now = now
        configuration = ConfigurationHandlers(submissions, now)
        self._handlers: dict[Operation, Callable[[AdminRequest], HandlerResult]] = {
            Operation.SUBMIT: configuration.submit,
            Operation.SHOW: configuration.show,
            Operation.HISTORY: configuration.history,
            Operation.DIFF: configuration.diff,
            Operation.STATUS: self._status,
            Operation.CHANGE_ROLLOUT: self._change_rollout,
            Operation.START_SERVER_DRAIN: lambda r: self._start_drain("server", r),
            Operation.END_SERVER_DRAIN: lambda r: self._end_drain("server", r),
            Operation.START_HOST_DRAIN: lambda r: self._start_drain("host", r),
            Operation.END_HOST_DRAIN: lambda r: self._end_drain("host", r),
            Operation.EVACUATIONS: lambda _: self._backend.evacuations(),
            Operation.START_EVACUATION: lambda r: self._start_drain("zone", r),
            Operation.END_EVACUATION: lambda r: self._end_drain("zone", r),
            Operation.BILLS: self._bills,
            Operation.EXPLAIN: self._explain,
        }

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Handle one WSGI request."""
        response = self._respond(environ)
        start(status_line(response.status), list(response.headers))
        return response.body

    def _respond(self, environ: Environ) -> Response:
        try:
            answer = self._answer(environ)
        except Exception:
            _log.exception("request failed", reason="internal")
            answer = Err(Problem(ProblemCode.INTERNAL, "internal error"))
        if isinstance(answer, Err):
            return problem_response(answer.err_value, self._now())
        body = json.dumps(_converter.unstructure(answer.ok_value)).encode()
        headers = (
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        )
        return Response(200, headers, (body,))

    def _answer(self, environ: Environ) -> HandlerResult:
        actor = authenticate(environ, self._keys)
        if isinstance(actor, Err):
            return actor
        matched = find_route(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if isinstance(matched, Err):
            return matched
        route, parameters = matched.ok_value
        allowed = check_permission(actor.ok_value, route)
        if isinstance(allowed, Err):
            return allowed
        request = AdminRequest(actor.ok_value, environ, parameters)
        answer = self._handlers[route.operation](request)
        if route.method != "GET":
            self._audit(route.operation, request, answer)
        return answer

    def _audit(
        self, operation: Operation, request: AdminRequest, answer: HandlerResult
    ) -> None:
        code = answer.err_value.code.value if isinstance(answer, Err) else "ok"
        _log.info(
            "change",
            operation=operation.value,
            by=request.actor.name,
            role=request.actor.role.value,
            submission_id=request.environ.get("HTTP_SUBMISSION_ID", ""),
            reason=code,
            **request.parameters,
        )

    def _status(self, request: AdminRequest) -> HandlerResult:
        limit, below = request.limit(), request.number("below")
        if isinstance(limit, Err):
            return limit
        if isinstance(below, Err):
            return below
        status = self._backend.status()
        after = request.query("after") or ""
        matching = [
            host
            for host in sorted(status.hosts, key=lambda host: host.name)
            if host.name > after
            and (below.ok_value is None or host.configuration_number < below.ok_value)
        ]
        page = matching[: limit.ok_value]
        document = _converter.unstructure(attrs.evolve(status, hosts=()))
        document["hosts"] = _converter.unstructure(page)
        document["next"] = page[-1].name if len(matching) > len(page) else None
        return Ok(document)

    def _change_rollout(self, request: AdminRequest) -> HandlerResult:
        change = request.change_request()
        if isinstance(change, Err):
            return change
        action = request.parameters["action"]
        if action not in [known.value for known in RolloutAction]:
            message = f"unknown rollout action {action!r}"
            return Err(Problem(ProblemCode.NOT_FOUND, message))
        name = request.parameters["name"]
        return self._backend.change_rollout(
            name, RolloutAction(action), change.ok_value
        )

    def _start_drain(self, kind: str, request: AdminRequest) -> HandlerResult:
        change = request.change_request()
        if isinstance(change, Err):
            return change
        name = request.parameters["name"]
        return self._backend.start_drain(kind, name, change.ok_value)

    def _end_drain(self, kind: str, request: AdminRequest) -> HandlerResult:
        change = request.change_request()
        if isinstance(change, Err):
            return change
        name = request.parameters["name"]
        return self._backend.end_drain(kind, name, change.ok_value)

    def _bills(self, request: AdminRequest) -> HandlerResult:
        limit = request.limit()
        if isinstance(limit, Err):
            return limit
        teams = request.actor.teams
        team = request.query("team")
        if team is not None:
            if not request.actor.may_view(team):
                message = f"{request.actor.name!r} may not see team {team!r}"
                return Err(Problem(ProblemCode.FORBIDDEN, message))
            teams = (team,)
        after = request.query("after") or ""
        return self._backend.bills(BillQuery(teams, after, limit.ok_value))

    def _explain(self, request: AdminRequest) -> HandlerResult:
        request_id = request.parameters["request_id"]
        if not request_id.isprintable():
            return malformed("the request id contains control characters")
        explained = self._backend.explain(request_id)
        if isinstance(explained, Ok) and not request.actor.may_view(
            explained.ok_value.team
        ):
            message = f"nothing is known of request {request_id!r}"
            return Err(Problem(ProblemCode.NOT_FOUND, message))
        return explained
