"""Kept-alive HTTP connections that tell how far a failed call got."""

import enum
import http.client
import select
import socket
import threading
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline

# Idle connections kept for later calls.
MAX_IDLE_CONNECTIONS = 8

# A connection idle for longer is not used again, since servers close such ones.
MAX_IDLE_SECONDS = 5.0

# Idle time before a keep-alive probe and between probes in seconds, and the probes that
# may stay without an answer.
PROBE_SECONDS = 1
PROBES = 2


class Stage(enum.Enum):
    """How far a call got; only a failure while connecting surely sent nothing."""

    CONNECTING = "connecting"
    SENDING = "sending"
    SENT = "sent"
    ANSWERED = "answered"


@attrs.frozen
class Failure:
    """A call without a whole answer."""

    stage: Stage
    message: str
    # The status code, where the answer began.
    status: int = 0


@attrs.frozen
class Call:
    """One HTTP call."""

    method: str
    target: str
    deadline: Deadline
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes | None = None


@attrs.frozen
class Answer:
    """A whole HTTP answer."""

    status: int
    retry_after: str | None
    body: bytes


@attrs.frozen
class _Idle:
    connection: http.client.HTTPConnection
    until: Deadline


class ConnectionPool:
    """Connections to one server; safe to share between threads."""

    def __init__(self, address: str, now: Callable[[], float]) -> None:
        self._address = address
        self._now = now
        self._lock = threading.Lock()
        self._idle: list[_Idle] = []

    def exchange(self, call: Call, fresh: bool) -> Result[Answer, Failure]:
        """Make the call once, on a new connection if `fresh`."""
        connection = None if fresh else self._take()
        stage = Stage.CONNECTING
        status = 0
        if connection is None:
            connection = http.client.HTTPConnection(self._address)
        try:
            if connection.sock is None:
                self._limit_time(connection, call.deadline)
                connection.connect()
                _probe_when_idle(connection)
            self._limit_time(connection, call.deadline)
            stage = Stage.SENDING
            connection.request(call.method, call.target, call.body, call.headers)
            stage = Stage.SENT
            self._limit_time(connection, call.deadline)
            response = connection.getresponse()
            stage, status = Stage.ANSWERED, response.status
            answer = Answer(status, response.getheader("Retry-After"), response.read())
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return Err(Failure(stage, f"{stage.value}: {error!r}", status))
        if response.will_close:
            connection.close()
        else:
            self._keep(connection)
        return Ok(answer)

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for entry in idle:
            entry.connection.close()

    def _take(self) -> http.client.HTTPConnection | None:
        """Return an idle connection that the server has not closed, if any."""
        while True:
            with self._lock:
                if not self._idle:
                    return None
                entry = self._idle.pop()
            usable = not entry.until.expired(self._now())
            if usable and not _readable(entry.connection):
                return entry.connection
            entry.connection.close()

    def _keep(self, connection: http.client.HTTPConnection) -> None:
        until = Deadline.after(self._now(), MAX_IDLE_SECONDS)
        with self._lock:
            if len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(_Idle(connection, until))
                return
        connection.close()

    def _limit_time(
        self, connection: http.client.HTTPConnection, deadline: Deadline
    ) -> None:
        remaining = deadline.remaining(self._now())
        if remaining == 0:
            raise TimeoutError("the deadline passed")
        connection.timeout = remaining
        if connection.sock is not None:
            connection.sock.settimeout(remaining)


def _probe_when_idle(connection: http.client.HTTPConnection) -> None:
    """Notice a server that is gone without a reset while its answer is awaited."""
    sock: socket.socket = connection.sock
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


def _readable(connection: http.client.HTTPConnection) -> bool:
    """Tell whether an idle connection has data or an end, either of which spoils it."""
    poller = select.poll()
    poller.register(connection.sock, select.POLLIN)
    return bool(poller.poll(0))
