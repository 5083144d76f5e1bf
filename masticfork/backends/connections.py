"""Kept-alive connections to backend servers."""

import http.client
import select
import threading
from collections import defaultdict
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.backends.failures import CallFailure, FailureKind, Stage
from masticfork.core.deadlines import Deadline
from masticfork.core.manifest import BackendServer

MAX_IDLE_PER_SERVER = 256
IDLE_SECONDS = 20.0
CONNECT_SECONDS = 1.0
# A socket timeout of zero would make the socket non-blocking.
LEAST_TIMEOUT_SECONDS = 0.001


@attrs.frozen
class Request:
    """One HTTP request to a backend server."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""


@attrs.frozen(eq=False)
class Connection:
    """A connection with the deadline of its idle time."""

    http: http.client.HTTPConnection
    fresh: bool
    idle_until: Deadline

    def renewed(self) -> "Connection":
        """Return the connection for its next request, its answer read elsewhere."""
        old = self.http
        renewed = http.client.HTTPConnection(old.host, old.port)
        renewed.sock = old.sock
        return attrs.evolve(self, http=renewed)


@attrs.frozen(eq=False)
class Answer:
    """The head of an answer, its body still on the connection."""

    connection: Connection
    response: http.client.HTTPResponse


class ConnectionPool:
    """Connections kept open between calls, by server."""

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
    ) -> Result[Answer, CallFailure]:
        """Send a request and read the head of its answer.

        `fresh` demands a new connection; `may_send` is asked once it stands. A
        kept-alive connection that turns out closed is reported like any other loss:
        the request may have arrived.
        """
        sent = self.send(server, request, deadline, fresh, may_send)
        if isinstance(sent, Err):
            return sent
        connection = sent.ok_value
        try:
            response = connection.http.getresponse()
        except TimeoutError:
            connection.http.close()
            return Err(CallFailure(Stage.SENT, FailureKind.TIMEOUT, "no answer"))
        except (OSError, http.client.HTTPException) as error:
            connection.http.close()
            return Err(CallFailure(Stage.SENT, FailureKind.CONNECTION, repr(error)))
        return Ok(Answer(connection, response))

    def send(
        self,
        server: BackendServer,
        request: Request,
        deadline: Deadline,
        fresh: bool,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[Connection, CallFailure]:
        """Send a request; its answer is still to be read from the connection."""
        taken = self._take(server, deadline, fresh)
        if isinstance(taken, Err):
            return taken
        connection = taken.ok_value
        if not may_send():
            connection.http.close()
            message = "the time to send has passed"
            return Err(CallFailure(Stage.CONNECTING, FailureKind.TIMEOUT, message))
        sent = self._send(connection, request)
        if isinstance(sent, Err):
            connection.http.close()
            return sent
        return Ok(connection)

    def give_back(self, server: BackendServer, connection: Connection) -> None:
        """Keep a connection whose answer was read to the end."""
        kept = attrs.evolve(
            connection,
            fresh=False,
            idle_until=Deadline.after(self._now(), IDLE_SECONDS),
        )
        with self._lock:
            idle = self._idle[(server.host, server.port)]
            if len(idle) < MAX_IDLE_PER_SERVER:
                idle.append(kept)
                return
        connection.http.close()

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            connections = [c for idle in self._idle.values() for c in idle]
            self._idle.clear()
        for connection in connections:
            connection.http.close()

    def _take(
        self, server: BackendServer, deadline: Deadline, fresh: bool
    ) -> Result[Connection, CallFailure]:
        while not fresh:
            with self._lock:
                idle = self._idle[(server.host, server.port)]
                if not idle:
                    break
                connection = idle.pop()
            if self._usable(connection):
                _set_timeout(connection.http, deadline, self._now())
                return Ok(connection)
            connection.http.close()
        return self._connect(server, deadline)

    def _usable(self, connection: Connection) -> bool:
        if connection.idle_until.expired(self._now()):
            return False
        # An idle connection that is readable was closed or holds stray bytes.
        readable, _, _ = select.select([connection.http.sock], [], [], 0)
        return not readable

    def _connect(
        self, server: BackendServer, deadline: Deadline
    ) -> Result[Connection, CallFailure]:
        remaining = deadline.remaining(self._now())
        timeout = max(LEAST_TIMEOUT_SECONDS, min(CONNECT_SECONDS, remaining))
        http_connection = http.client.HTTPConnection(
            server.host, server.port, timeout=timeout
        )
        try:
            http_connection.connect()
        except TimeoutError:
            return Err(CallFailure(Stage.CONNECTING, FailureKind.TIMEOUT, "connect"))
        except OSError as error:
            failure = CallFailure(Stage.CONNECTING, FailureKind.CONNECTION, str(error))
            return Err(failure)
        _set_timeout(http_connection, deadline, self._now())
        return Ok(Connection(http_connection, fresh=True, idle_until=deadline))

    def _send(
        self, connection: Connection, request: Request
    ) -> Result[None, CallFailure]:
        try:
            connection.http.request(
                request.method, request.path, request.body, dict(request.headers)
            )
        except TimeoutError:
            return Err(CallFailure(Stage.SENDING, FailureKind.TIMEOUT, "sending"))
        except (OSError, http.client.HTTPException) as error:
            return Err(CallFailure(Stage.SENDING, FailureKind.CONNECTION, repr(error)))
        return Ok(None)


def _set_timeout(
    connection: http.client.HTTPConnection, deadline: Deadline, now: float
) -> None:
    connection.sock.settimeout(max(LEAST_TIMEOUT_SECONDS, deadline.remaining(now)))
