"""A client of the administration API."""

import enum
import http.client
import json
from collections.abc import Iterator
from typing import Any
from urllib.parse import quote, urlencode, urlsplit

import attrs
from result import Err, Ok, Result

from masticfork.admin.routes import PATH_PREFIX

# Default socket timeout of a call; applies to each blocking operation.
CALL_TIMEOUT_SECONDS = 15.0

JsonObject = dict[str, Any]


class FailureKind(enum.Enum):
    """How a call failed, and whether it may have had an effect."""

    # The daemon rejected the call; it had no effect.
    REFUSED = "refused"
    # The manifest or the call is invalid.
    FAULTY = "faulty"
    # No daemon, or no platform behind it, could be reached; it had no effect.
    UNREACHABLE = "unreachable"
    # It may have had an effect; repeating its submission id gives the outcome.
    UNKNOWN = "unknown"


@attrs.frozen
class CallFailure:
    """Why a call failed, with the problem details if the daemon returned any."""

    kind: FailureKind
    message: str
    problem: JsonObject = attrs.field(factory=dict)


@attrs.frozen
class Call:
    """One API call; safe to repeat, since every change carries a submission id."""

    method: str
    path: str
    query: dict[str, str | int | None] = attrs.field(factory=dict)
    headers: dict[str, str] = attrs.field(factory=dict)
    body: str | None = None

    @property
    def target(self) -> str:
        """Return the path and query to request."""
        parameters = {
            key: value for key, value in self.query.items() if value is not None
        }
        path = PATH_PREFIX + quote(self.path)
        return f"{path}?{urlencode(parameters)}" if parameters else path


@attrs.frozen
class AdminClient:
    """Client that tries the daemons in order until one answers."""

    urls: tuple[str, ...]
    key: str = attrs.field(repr=False)
    timeout_seconds: float = CALL_TIMEOUT_SECONDS

    def call(self, call: Call) -> Result[JsonObject, CallFailure]:
        """Return the response body, trying each daemon in turn.

        UNKNOWN and UNREACHABLE failures lead to the next daemon; if all fail, an
        UNKNOWN failure takes precedence, since the call may have had an effect.
        """
        unknown: CallFailure | None = None
        failure = CallFailure(FailureKind.UNREACHABLE, "no daemon URL was given")
        for url in self.urls:
            answer = self._call_daemon(url, call)
            if isinstance(answer, Ok):
                return answer
            failure = answer.err_value
            if failure.kind is FailureKind.UNKNOWN:
                unknown = failure
            elif failure.kind is not FailureKind.UNREACHABLE:
                return answer
        return Err(unknown or failure)

    def pages(
        self, path: str, query: dict[str, str | int | None], cursor: str
    ) -> Iterator[Result[JsonObject, CallFailure]]:
        """Yield the pages of a list up to the first failure, which is yielded too.

        `cursor` names the query parameter that takes the previous page's `next`.
        """
        after: str | int | None = None
        while True:
            page = self.call(Call("GET", path, {**query, cursor: after}))
            yield page
            if isinstance(page, Err) or page.ok_value.get("next") is None:
                return
            after = page.ok_value["next"]

    def _call_daemon(self, url: str, call: Call) -> Result[JsonObject, CallFailure]:
        parts = urlsplit(url)
        secure = parts.scheme == "https"
        kind = http.client.HTTPSConnection if secure else http.client.HTTPConnection
        connection = kind(
            parts.hostname or "", parts.port, timeout=self.timeout_seconds
        )
        try:
            connection.connect()
        except OSError as error:
            return Err(CallFailure(FailureKind.UNREACHABLE, f"{url}: {error}"))
        try:
            return self._send(connection, call)
        except (OSError, http.client.HTTPException, ValueError) as error:
            changes = call.method != "GET"
            lost = FailureKind.UNKNOWN if changes else FailureKind.UNREACHABLE
            return Err(CallFailure(lost, f"{url}: no valid response: {error!r}"))
        finally:
            connection.close()

    def _send(
        self, connection: http.client.HTTPConnection, call: Call
    ) -> Result[JsonObject, CallFailure]:
        headers = {"Authorization": f"Bearer {self.key}", **call.headers}
        body = None if call.body is None else call.body.encode()
        connection.request(call.method, call.target, body, headers)
        response = connection.getresponse()
        value: JsonObject = json.loads(response.read())
        if response.status == 200:
            return Ok(value)
        return Err(_failure(response.status, value))


def _failure(status: int, problem: JsonObject) -> CallFailure:
    message = str(problem.get("detail", f"status {status}"))
    if problem.get("run_state") == "unknown":
        kind = FailureKind.UNKNOWN
    elif status in (429, 502, 503, 504):
        kind = FailureKind.UNREACHABLE
    elif status in (400, 413) or problem.get("code") == "manifest_refused":
        kind = FailureKind.FAULTY
    else:
        kind = FailureKind.REFUSED
    return CallFailure(kind, message, problem)
