"""Keep-alive HTTP connections that report the stage a failed call reached."""

import enum
import http.client
import socket
import threading
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.core.bounded_reads import (
    MAX_RESPONSE_BYTES,
    ResponseTooLargeError,
    bound_response,
)
from masticfork.core.deadlines import Deadline
from masticfork.core.http_status import is_final
from masticfork.core.sockets import is_readable

# Maximum number of idle connections in a pool.
MAX_IDLE_CONNECTIONS = 8

# Connections idle for longer are not reused, since servers close them.
MAX_IDLE_SECONDS = 5.0

# TCP keep-alive: idle time before the first probe and between probes, and the number of
# unanswered probes after which the connection is lost.
KEEPALIVE_PROBE_SECONDS = 1
MAX_KEEPALIVE_PROBES = 2


class Stage(enum.Enum):
    """The last stage that a call reached.

    Only for a call that failed while connecting is it certain that nothing was sent.
    """

    CONNECTING = "connecting"
    SENDING = "sending"
    SENT = "sent"
    ANSWERED = "answered"


@attrs.frozen
class Failure:
    """A call without a complete response."""

    stage: Stage
    message: str
    # The status code if the response head was received, else 0.
    status: int = 0
    # Whether the response was larger than the call admits.
    too_large: bool = False
    timed_out: bool = False


@attrs.frozen
class Call:
    """One HTTP call."""

    method: str
    target: str
    deadline: Deadline
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes | None = None
    max_response_bytes: int = MAX_RESPONSE_BYTES


@attrs.frozen
class HttpResponse:
    """A complete HTTP response."""

    status: int
    retry_after: str | None
    body: bytes
    # By name, in lower case.
    headers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class _IdleConnection:
    connection: http.client.HTTPConnection
    idle_deadline: Deadline


class ConnectionPool:
    """A pool of keep-alive connections to one server; safe to share between threads."""

    def __init__(self, address: str, now: Callable[[], float]) -> None:
        self._address = address
        self._now = now
        self._lock = threading.Lock()
        self._idle: list[_IdleConnection] = []

    def exchange(self, call: Call, fresh: bool) -> Result[HttpResponse, Failure]:
        """Make the call once, without a retry; `fresh` requires a new connection."""
        connection = None if fresh else self._acquire()
        stage = Stage.CONNECTING
        status = 0
        if connection is None:
            connection = http.client.HTTPConnection(self._address)
        try:
            if connection.sock is None:
                self._set_timeout(connection, call.deadline)
                connection.connect()
                _enable_keepalive_probes(connection)
            self._set_timeout(connection, call.deadline)
            stage = Stage.SENDING
            connection.request(call.method, call.target, call.body, call.headers)
            stage = Stage.SENT
            bound_response(
                connection, call.deadline, self._now, call.max_response_bytes
            )
            received = _final_response(connection)
            stage, status = Stage.ANSWERED, received.status
            headers = {name.lower(): value for name, value in received.getheaders()}
            response = HttpResponse(
                status, headers.get("retry-after"), received.read(), headers
            )
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return Err(
                Failure(
                    stage,
                    f"{stage.value}: {error!r}",
                    status,
                    too_large=isinstance(error, ResponseTooLargeError),
                    timed_out=isinstance(error, TimeoutError),
                )
            )
        if received.will_close:
            connection.close()
        else:
            self._release(connection)
        return Ok(response)

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for entry in idle:
            entry.connection.close()

    def _acquire(self) -> http.client.HTTPConnection | None:
        """Return an idle connection that the server has not closed, or None."""
        while True:
            with self._lock:
                if not self._idle:
                    return None
                entry = self._idle.pop()
            unexpired = not entry.idle_deadline.expired(self._now())
            if unexpired and not is_readable(entry.connection.sock):
                return entry.connection
            entry.connection.close()

    def _release(self, connection: http.client.HTTPConnection) -> None:
        idle_deadline = Deadline.after(self._now(), MAX_IDLE_SECONDS)
        with self._lock:
            if len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(_IdleConnection(connection, idle_deadline))
                return
        connection.close()

    def _set_timeout(
        self, connection: http.client.HTTPConnection, deadline: Deadline
    ) -> None:
        remaining = deadline.remaining(self._now())
        if remaining == 0:
            raise TimeoutError("deadline expired")
        connection.timeout = remaining
        if connection.sock is not None:
            connection.sock.settimeout(remaining)


def _final_response(
    connection: http.client.HTTPConnection,
) -> http.client.HTTPResponse:
    """Return the response; raise HTTPException if it is interim or has no status.

    `http.client` takes it for the final response, which is still to come.
    """
    response = connection.getresponse()
    if not is_final(response.status):
        message = f"interim response or no status: {response.status}"
        raise http.client.HTTPException(message)
    return response


def _enable_keepalive_probes(connection: http.client.HTTPConnection) -> None:
    """Detect a server that disappears without a reset while its response is awaited."""
    sock: socket.socket = connection.sock
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
