"""Client of plain services."""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.backends.connections import ConnectionPool, OpenResponse, Request
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.deadlines import Deadline
from masticfork.core.manifest import BackendServer

# A service sets this header when it refuses a call without running any of it.
NOT_RUN_HEADER = "X-Not-Run"
UNAVAILABLE_STATUS = 503


@attrs.frozen
class ServiceResponse:
    """A complete response of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceClient:
    """Calls plain services and reports the stage that a failed call reached."""

    def __init__(self, pool: ConnectionPool, now: Callable[[], float]) -> None:
        self._pool = pool
        self._now = now

    def call(
        self,
        server: BackendServer,
        request: Request,
        deadline: Deadline,
        idempotent: bool,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[ServiceResponse, CallFailure]:
        """Make one call and return its complete response.

        `may_send` is called right before the request is sent; if it returns false,
        nothing is sent.
        """
        # An idle connection may be closed while a request is sent on it, which leaves
        # open whether the call ran. Only idempotent calls are repeated, so the others
        # get a new connection.
        result = self._call_once(server, request, deadline, not idempotent, may_send)
        if idempotent and _lost_before_response(result):
            return self._call_once(server, request, deadline, True, may_send)
        return result

    def _call_once(
        self,
        server: BackendServer,
        request: Request,
        deadline: Deadline,
        fresh: bool,
        may_send: Callable[[], bool],
    ) -> Result[ServiceResponse, CallFailure]:
        started = self._pool.start(server, request, deadline, fresh, may_send)
        if isinstance(started, Err):
            return started
        return self._read_body(server, started.ok_value)

    def _read_body(
        self, server: BackendServer, opened: OpenResponse
    ) -> Result[ServiceResponse, CallFailure]:
        response = opened.response
        body = self._pool.finish(server, opened)
        if isinstance(body, Err):
            return body
        if response.status == UNAVAILABLE_STATUS and response.getheader(NOT_RUN_HEADER):
            return Err(
                CallFailure(
                    Stage.ANSWERING,
                    FailureKind.REFUSED,
                    "the service refused the call without running it",
                )
            )
        return Ok(
            ServiceResponse(
                response.status, tuple(response.getheaders()), body.ok_value
            )
        )


def _lost_before_response(result: Result[ServiceResponse, CallFailure]) -> bool:
    if isinstance(result, Ok):
        return False
    failure = result.err_value
    lost = failure.kind is FailureKind.CONNECTION
    return lost and failure.stage in (Stage.SENDING, Stage.SENT)
