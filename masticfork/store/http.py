"""Client of the platform's object store over HTTP.

A write that failed while connecting, or that the platform refused, had no effect. If
it failed after a byte may have been sent, its effect is unknown, and the caller has to
find it out.
"""

import json
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote, urlencode

import cattrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.store.client import (
    MAX_PAGE_ITEMS,
    MAX_VALUE_BYTES,
    CallCounter,
    CallKind,
    ErrorKind,
    JsonObject,
    Page,
    PlatformError,
    StoredObject,
    WatchPage,
)
from masticfork.store.connections import (
    Call,
    ConnectionPool,
    Failure,
    HttpResponse,
    Stage,
)

# Time that the response to a watch may take beyond the requested wait.
WATCH_MARGIN_SECONDS = 1.0

T = TypeVar("T")
_WRITE_KINDS = (CallKind.PUT, CallKind.DELETE)
_JSON_HEADERS = {"Content-Type": "application/json"}
_REFUSED_STATUSES = (429, 503)
_ERROR_KIND_BY_STATUS = {
    404: ErrorKind.NOT_FOUND,
    410: ErrorKind.GONE,
    412: ErrorKind.CONFLICT,
    413: ErrorKind.TOO_LARGE,
}


class HttpObjectStore:
    """An ObjectStore on the platform; safe to share between threads."""

    def __init__(
        self,
        address: str,
        now: Callable[[], float],
        counter: CallCounter | None = None,
    ) -> None:
        self.counter = counter or CallCounter()
        self._now = now
        self._pool = ConnectionPool(address, now)

    def get(self, key: str, deadline: Deadline) -> Result[StoredObject, PlatformError]:
        """Return the object, or fail with NOT_FOUND."""
        call = Call("GET", _object_path(key), deadline)
        return self._read(CallKind.GET, call, StoredObject)

    def list(
        self,
        prefix: str,
        deadline: Deadline,
        after: str = "",
        limit: int = MAX_PAGE_ITEMS,
    ) -> Result[Page, PlatformError]:
        """Return the objects under the prefix whose keys follow `after`."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        call = Call("GET", f"/objects?{query}", deadline)
        return self._read(CallKind.LIST, call, Page)

    def create(
        self, key: str, value: JsonObject, deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        """Create an object, or fail with CONFLICT if the key exists."""
        return self._put(key, value, {"If-None-Match": "*"}, deadline)

    def update(
        self, key: str, value: JsonObject, version: int, deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        """Replace the object, or fail with CONFLICT if its version is another one."""
        return self._put(key, value, {"If-Match": str(version)}, deadline)

    def delete(
        self, key: str, version: int, deadline: Deadline
    ) -> Result[None, PlatformError]:
        """Delete the object, or fail with CONFLICT or NOT_FOUND."""
        headers = {"If-Match": str(version)}
        call = Call("DELETE", _object_path(key), deadline, headers)
        return self._call(CallKind.DELETE, call).map(lambda _: None)

    def watch(
        self, prefix: str, since: int, deadline: Deadline
    ) -> Result[WatchPage, PlatformError]:
        """Wait for changes under the prefix after `since`, or fail with GONE."""
        wait = deadline.remaining(self._now())
        query = urlencode({"prefix": prefix, "since": since, "timeout": f"{wait:.3f}"})
        response_deadline = Deadline.after(deadline.at, WATCH_MARGIN_SECONDS)
        call = Call("GET", f"/watch?{query}", response_deadline)
        return self._read(CallKind.WATCH, call, WatchPage)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _put(
        self, key: str, value: JsonObject, condition: dict[str, str], deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        body = json.dumps(value).encode()
        if len(body) > MAX_VALUE_BYTES:
            return Err(
                PlatformError(ErrorKind.TOO_LARGE, f"the value of {key!r} is too large")
            )
        call = Call(
            "PUT", _object_path(key), deadline, {**condition, **_JSON_HEADERS}, body
        )
        outcome = self._call(CallKind.PUT, call)
        if isinstance(outcome, Err):
            return outcome
        version = _parse_version(outcome.ok_value)
        if version == 0:
            return Err(PlatformError(ErrorKind.UNKNOWN, "the response has no version"))
        return Ok(StoredObject(key, version, json.loads(body)))

    def _read(
        self, kind: CallKind, call: Call, record: type[T]
    ) -> Result[T, PlatformError]:
        outcome = self._call(kind, call)
        if isinstance(outcome, Err):
            return outcome
        try:
            return Ok(cattrs.structure(json.loads(outcome.ok_value.body), record))
        except (ValueError, cattrs.BaseValidationError) as error:
            message = f"malformed response: {error}"
            return Err(PlatformError(ErrorKind.UNAVAILABLE, message))

    def _call(self, kind: CallKind, call: Call) -> Result[HttpResponse, PlatformError]:
        if call.deadline.expired(self._now()):
            message = "the deadline expired before the call"
            return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
        self.counter.count(kind)
        outcome = self._pool.exchange(call, fresh=False)
        if isinstance(outcome, Err) and kind not in _WRITE_KINDS:
            # The server may have closed the idle connection.
            self.counter.count(kind)
            outcome = self._pool.exchange(call, fresh=True)
        if isinstance(outcome, Err):
            failed = Err(_error_of_failure(kind, outcome.err_value))
        else:
            error = self._error_of_response(kind, outcome.ok_value)
            if error is None:
                return outcome
            failed = Err(error)
        self.counter.count_error(kind, failed.err_value.kind)
        return failed

    def _error_of_response(
        self, kind: CallKind, response: HttpResponse
    ) -> PlatformError | None:
        """Return the error that a complete response reports, None for a success."""
        if 200 <= response.status < 300:
            return None
        message = f"the platform returned HTTP status {response.status}"
        kind_by_status = _ERROR_KIND_BY_STATUS.get(response.status)
        if kind_by_status is not None:
            return PlatformError(
                kind_by_status, message, version=_parse_version(response)
            )
        retry_at = self._retry_at(response.retry_after)
        server_error = (
            response.status >= 500 and response.status not in _REFUSED_STATUSES
        )
        may_have_run = server_error and kind in _WRITE_KINDS
        error_kind = ErrorKind.UNKNOWN if may_have_run else ErrorKind.UNAVAILABLE
        return PlatformError(error_kind, message, retry_at)

    def _retry_at(self, retry_after: str | None) -> Deadline | None:
        try:
            return Deadline.after(self._now(), float(retry_after or ""))
        except ValueError:
            return None


def _object_path(key: str) -> str:
    return "/objects/" + quote(key, safe="/")


def _parse_version(response: HttpResponse) -> int:
    """Return the version in the response, 0 if there is none."""
    try:
        body = json.loads(response.body)
    except ValueError:
        return 0
    version = body.get("version") if isinstance(body, dict) else None
    return version if isinstance(version, int) else 0


def _error_of_failure(kind: CallKind, failure: Failure) -> PlatformError:
    """Return the error for a call without a complete response.

    Its kind depends on the stage that the call reached and on the status code.
    """
    not_sent = failure.stage is Stage.CONNECTING
    refused = failure.status in (*_REFUSED_STATUSES, *_ERROR_KIND_BY_STATUS)
    without_effect = kind not in _WRITE_KINDS or not_sent or refused
    error_kind = ErrorKind.UNAVAILABLE if without_effect else ErrorKind.UNKNOWN
    return PlatformError(error_kind, failure.message)
