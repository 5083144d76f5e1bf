"""Requests to peers that await their reply."""

import enum
import threading
from concurrent.futures import Future

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName
from masticfork.peers.messages import Body, Declined


class RequestError(enum.Enum):
    """Why a request has no reply; the peer may have acted on it all the same."""

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
    """Pairs replies with requests, safe to use from all threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last = 0
        self._pending: dict[int, _Pending] = {}

    def open(self, host: HostName, deadline: Deadline) -> tuple[int, Future[Reply]]:
        """Return the correlation of a new request and its reply to come."""
        pending = _Pending(host, deadline, Future())
        with self._lock:
            self._last += 1
            self._pending[self._last] = pending
            return self._last, pending.reply

    def settle(self, host: HostName, correlation: int, body: Body) -> bool:
        """Hand the reply over; false where nothing awaits it."""
        with self._lock:
            pending = self._pending.get(correlation)
            if pending is None or pending.host != host:
                return False
            del self._pending[correlation]
        declined = isinstance(body, Declined)
        _resolve(pending, Err(RequestError.DECLINED) if declined else Ok(body))
        return True

    def fail(self, correlation: int, error: RequestError) -> None:
        """Give up one request."""
        with self._lock:
            pending = self._pending.pop(correlation, None)
        if pending is not None:
            _resolve(pending, Err(error))

    def fail_host(self, host: HostName) -> None:
        """Give up the requests to a host whose connection closed."""
        self._fail_where(RequestError.DISCONNECTED, host, None)

    def expire(self, now: float) -> None:
        """Give up the requests whose deadline has passed."""
        self._fail_where(RequestError.EXPIRED, None, now)

    def _fail_where(
        self, error: RequestError, host: HostName | None, now: float | None
    ) -> None:
        with self._lock:
            found = [
                correlation
                for correlation, pending in self._pending.items()
                if pending.host == host
                or (now is not None and pending.deadline.expired(now))
            ]
        for correlation in found:
            self.fail(correlation, error)


def _resolve(pending: _Pending, reply: Reply) -> None:
    if pending.reply.set_running_or_notify_cancel():
        pending.reply.set_result(reply)
