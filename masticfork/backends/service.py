"""Client of plain services."""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.backends.connections import (
    ConnectionPool,
    OpenResponse,
    Request,
    read_body,
)
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
        result = self._call_once(server, request, deadline, may_send)
        if idempotent and _lost_before_response(result):
            return self._call_once(server, request, deadline, may_send)
        return result

    def _call_once(
        self,
        server: BackendServer,
        request: Request,
        deadline: Deadline,
        may_send: Callable[[], bool],
    ) -> Result[ServiceResponse, CallFailure]:
        # Responses of services name no request, so a second one, sent late on a
        # connection in use again, would be taken for that of the next call.
        started = self._pool.start(server, request, deadline, True, may_send)
        if isinstance(started, Err):
            return started
        return self._read_body(started.ok_value)

    def _read_body(self, opened: OpenResponse) -> Result[ServiceResponse, CallFailure]:
        response = opened.response
        body = read_body(opened)
        opened.connection.http.close()
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
