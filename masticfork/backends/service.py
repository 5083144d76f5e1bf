"""Client of plain services."""

import http.client
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.backends.connections import Answer, ConnectionPool, Request
from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.deadlines import Deadline
from masticfork.core.manifest import BackendServer

# A service that refuses before it runs anything says so with this header.
NOT_RUN_HEADER = "X-Not-Run"
UNAVAILABLE_STATUS = 503


@attrs.frozen
class ServiceAnswer:
    """A whole answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceClient:
    """Calls plain services and keeps the stage that a call reached."""

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
    ) -> Result[ServiceAnswer, CallFailure]:
        """Run one call until its whole answer is here.

        `may_send` is asked right before the first byte leaves.
        """
        # A fresh connection leaves less doubt when a call may not be repeated.
        result = self._once(server, request, deadline, not idempotent, may_send)
        if idempotent and _lost_on_kept_connection(result):
            return self._once(server, request, deadline, True, may_send)
        return result

    def _once(
        self,
        server: BackendServer,
        request: Request,
        deadline: Deadline,
        fresh: bool,
        may_send: Callable[[], bool],
    ) -> Result[ServiceAnswer, CallFailure]:
        started = self._pool.start(server, request, deadline, fresh, may_send)
        if isinstance(started, Err):
            return started
        return self._read(server, started.ok_value)

    def _read(
        self, server: BackendServer, answer: Answer
    ) -> Result[ServiceAnswer, CallFailure]:
        response = answer.response
        try:
            body = response.read()
        except TimeoutError:
            answer.connection.http.close()
            return Err(CallFailure(Stage.ANSWERING, FailureKind.TIMEOUT, "answer"))
        except (OSError, http.client.HTTPException) as error:
            answer.connection.http.close()
            failure = CallFailure(
                Stage.ANSWERING, FailureKind.CONNECTION, type(error).__name__
            )
            return Err(failure)
        self._release(server, answer)
        if response.status == UNAVAILABLE_STATUS and response.getheader(NOT_RUN_HEADER):
            return Err(
                CallFailure(Stage.ANSWERING, FailureKind.REFUSED, "service refused")
            )
        return Ok(ServiceAnswer(response.status, tuple(response.getheaders()), body))

    def _release(self, server: BackendServer, answer: Answer) -> None:
        if answer.response.will_close:
            answer.connection.http.close()
        else:
            self._pool.give_back(server, answer.connection)


def _lost_on_kept_connection(result: Result[ServiceAnswer, CallFailure]) -> bool:
    if isinstance(result, Ok):
        return False
    failure = result.err_value
    lost = failure.kind is FailureKind.CONNECTION
    return lost and failure.stage in (Stage.SENDING, Stage.SENT)
