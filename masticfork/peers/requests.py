"""Requests to peers whose replies are pending."""

import enum
import threading
from concurrent.futures import Future

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName
from masticfork.peers.messages import Body, Declined


class RequestError(enum.Enum):
    """Why a request has no result; the peer may have processed it all the same."""

    NOT_SENT = "not_sent"
    DISCONNECTED = "disconnected"
    EXPIRED = "expired"
    DECLINED = "declined"


Reply = Result[Body, RequestError]


@attrs.frozen(eq=False)
class _Pending:
    host: HostName
    deadline: Deadline
    reply: Future[Reply]


class PendingRequests:
    """Matches replies to requests; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last_correlation = 0
        self._pending: dict[int, _Pending] = {}

    def open(self, host: HostName, deadline: Deadline) -> tuple[int, Future[Reply]]:
        """Register a request; return its correlation number and its future reply."""
        pending = _Pending(host, deadline, Future())
        with self._lock:
            self._last_correlation += 1
            self._pending[self._last_correlation] = pending
            return self._last_correlation, pending.reply

    def complete(self, host: HostName, correlation: int, body: Body) -> bool:
        """Complete a request with its reply; return false if none matches."""
        with self._lock:
            pending = self._pending.get(correlation)
            if pending is None or pending.host != host:
                return False
            del self._pending[correlation]
        declined = isinstance(body, Declined)
        _set_reply(pending, Err(RequestError.DECLINED) if declined else Ok(body))
        return True

    def fail(self, correlation: int, error: RequestError) -> None:
        """Complete one request with an error."""
        with self._lock:
            pending = self._pending.pop(correlation, None)
        if pending is not None:
            _set_reply(pending, Err(error))

    def fail_host(self, host: HostName) -> None:
        """Fail the requests to a host whose connection closed."""
        self._fail_matching(RequestError.DISCONNECTED, host, None)

    def expire(self, now: float) -> None:
        """Fail the requests whose deadline has passed."""
        self._fail_matching(RequestError.EXPIRED, None, now)

    def _fail_matching(
        self, error: RequestError, host: HostName | None, now: float | None
    ) -> None:
        with self._lock:
            matching = [
                correlation
                for correlation, pending in self._pending.items()
                if pending.host == host
                or (now is not None and pending.deadline.expired(now))
            ]
        for correlation in matching:
            self.fail(correlation, error)


def _set_reply(pending: _Pending, reply: Reply) -> None:
    if pending.reply.set_running_or_notify_cancel():
        pending.reply.set_result(reply)
