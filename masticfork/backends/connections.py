"""Kept-alive connections to backend servers."""

import http.client
import threading
from collections import defaultdict
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.bounded_reads import bound_response
from masticfork.core.deadlines import Deadline
from masticfork.core.http_status import is_final
from masticfork.core.manifest import BackendServer
from masticfork.core.sockets import is_readable

MAX_IDLE_CONNECTIONS_PER_SERVER = 256
MAX_IDLE_SECONDS = 20.0
CONNECT_TIMEOUT_SECONDS = 1.0
# A socket timeout of zero would make the socket non-blocking.
MIN_SOCKET_TIMEOUT_SECONDS = 0.001


@attrs.frozen
class Request:
    """One HTTP request to a backend server."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""


@attrs.frozen(eq=False)
class Connection:
    """An HTTP connection and the time until which it may stay idle in the pool."""

    http: http.client.HTTPConnection
    fresh: bool
    idle_deadline: Deadline

    def reset_for_reuse(self) -> "Connection":
        """Return a connection on the same socket that is ready for another request.

        `http.client` refuses another request until it has read the response itself,
        but a streamed response is read from the socket directly.
        """
        previous = self.http
        next_http = http.client.HTTPConnection(previous.host, previous.port)
        next_http.sock = previous.sock
        return attrs.evolve(self, http=next_http)


@attrs.frozen(eq=False)
class OpenResponse:
    """A response whose head was read and whose body is still on the connection."""

    connection: Connection
    response: http.client.HTTPResponse


class ConnectionPool:
    """A pool of keep-alive connections per server; safe to share between threads."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], list[Connection]] = defaultdict(list)

    def start(
        self,
        server: BackendServer,
        request: Request,
        deadline: Deadline,
        fresh: bool,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[OpenResponse, CallFailure]:
        """Send a request and read the head of its response.

        `fresh` requires a new connection. `may_send` is called once the connection is
        open; if it returns false, nothing is sent. A keep-alive connection that turns
        out to be closed is reported like any other lost connection, since the request
        may have arrived.
        """
        sent = self.send(server, request, deadline, fresh, may_send)
        if isinstance(sent, Err):
            return sent
        connection = sent.ok_value
        bound_response(connection.http, deadline, self._now)
        try:
            response = connection.http.getresponse()
        except TimeoutError:
            connection.http.close()
            return Err(
                CallFailure(
                    Stage.SENT, FailureKind.TIMEOUT, "no response before the deadline"
                )
            )
        except (OSError, http.client.HTTPException) as error:
            connection.http.close()
            return Err(CallFailure(Stage.SENT, FailureKind.CONNECTION, repr(error)))
        if not is_final(response.status):
            # `http.client` takes it for a final response and leaves that one unread.
            connection.http.close()
            message = f"interim response or no status: {response.status}"
            failure = CallFailure(
                Stage.ANSWERING, FailureKind.MALFORMED_ANSWER, message
            )
            return Err(failure)
        return Ok(OpenResponse(connection, response))

    def send(
        self,
        server: BackendServer,
        request: Request,
        deadline: Deadline,
        fresh: bool,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[Connection, CallFailure]:
        """Send a request and return the connection to read its response from."""
        acquired = self._acquire(server, deadline, fresh)
        if isinstance(acquired, Err):
            return acquired
        connection = acquired.ok_value
        if not may_send():
            connection.http.close()
            message = "the latest time for sending has passed"
            return Err(CallFailure(Stage.CONNECTING, FailureKind.TIMEOUT, message))
        sent = self._send(connection, request)
        if isinstance(sent, Err):
            connection.http.close()
            return sent
        return Ok(connection)

    def finish(
        self, server: BackendServer, opened: OpenResponse
    ) -> Result[bytes, CallFailure]:
        """Return the body of a response, and its connection to the pool.

        The connection is closed if the body cannot be read as a whole.
        """
        body = read_body(opened)
        if isinstance(body, Err) or opened.response.will_close:
            opened.connection.http.close()
        else:
            self.release(server, opened.connection)
        return body

    def release(self, server: BackendServer, connection: Connection) -> None:
        """Return a connection to the pool; its response must be read completely."""
        idle_connection = attrs.evolve(
            connection,
            fresh=False,
            idle_deadline=Deadline.after(self._now(), MAX_IDLE_SECONDS),
        )
        with self._lock:
            idle = self._idle[(server.host, server.port)]
            if len(idle) < MAX_IDLE_CONNECTIONS_PER_SERVER:
                idle.append(idle_connection)
                return
        connection.http.close()

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            connections = [c for idle in self._idle.values() for c in idle]
            self._idle.clear()
        for connection in connections:
            connection.http.close()

    def _acquire(
        self, server: BackendServer, deadline: Deadline, fresh: bool
    ) -> Result[Connection, CallFailure]:
        while not fresh:
            with self._lock:
                idle = self._idle[(server.host, server.port)]
                if not idle:
                    break
                connection = idle.pop()
            if self._is_reusable(connection):
                _set_timeout(connection.http, deadline, self._now())
                return Ok(connection)
            connection.http.close()
        return self._connect(server, deadline)

    def _is_reusable(self, connection: Connection) -> bool:
        if connection.idle_deadline.expired(self._now()):
            return False
        # A readable idle connection was closed by the server or holds unexpected bytes.
        return not is_readable(connection.http.sock)

    def _connect(
        self, server: BackendServer, deadline: Deadline
    ) -> Result[Connection, CallFailure]:
        remaining = deadline.remaining(self._now())
        timeout = max(
            MIN_SOCKET_TIMEOUT_SECONDS, min(CONNECT_TIMEOUT_SECONDS, remaining)
        )
        http_connection = http.client.HTTPConnection(
            server.host, server.port, timeout=timeout
        )
        try:
            http_connection.connect()
        except TimeoutError:
            return Err(
                CallFailure(
                    Stage.CONNECTING, FailureKind.TIMEOUT, "connecting timed out"
                )
            )
        except OSError as error:
            failure = CallFailure(Stage.CONNECTING, FailureKind.CONNECTION, str(error))
            return Err(failure)
        _set_timeout(http_connection, deadline, self._now())
        return Ok(Connection(http_connection, fresh=True, idle_deadline=deadline))

    def _send(
        self, connection: Connection, request: Request
    ) -> Result[None, CallFailure]:
        try:
            connection.http.request(
                request.method, request.path, request.body, dict(request.headers)
            )
        except TimeoutError:
            return Err(
                CallFailure(Stage.SENDING, FailureKind.TIMEOUT, "sending timed out")
            )
        except (OSError, http.client.HTTPException) as error:
            return Err(CallFailure(Stage.SENDING, FailureKind.CONNECTION, repr(error)))
        return Ok(None)


def _set_timeout(
    connection: http.client.HTTPConnection, deadline: Deadline, now: float
) -> None:
    connection.sock.settimeout(max(MIN_SOCKET_TIMEOUT_SECONDS, deadline.remaining(now)))


def read_body(opened: OpenResponse) -> Result[bytes, CallFailure]:
    """Read the body of a response; the connection stays open."""
    try:
        return Ok(opened.response.read())
    except TimeoutError:
        message = "reading the response timed out"
        return Err(CallFailure(Stage.ANSWERING, FailureKind.TIMEOUT, message))
    except (OSError, http.client.HTTPException) as error:
        name = type(error).__name__
        return Err(CallFailure(Stage.ANSWERING, FailureKind.CONNECTION, name))
