"""The platform's object API over HTTP.

A write that failed while connecting, or that the platform refused, had no effect.
Once a byte may have left, its effect is unknown and the caller reads back.
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
    Answer,
    Call,
    ConnectionPool,
    Failure,
    Stage,
)

# Time that a watch's answer may take beyond the wait that was asked for.
WATCH_MARGIN_SECONDS = 1.0

T = TypeVar("T")
_WRITES = (CallKind.PUT, CallKind.DELETE)
_JSON = {"Content-Type": "application/json"}
_REFUSED_STATUS = (429, 503)
_KIND_OF_STATUS = {
    404: ErrorKind.NOT_FOUND,
    410: ErrorKind.GONE,
    412: ErrorKind.CONFLICT,
    413: ErrorKind.TOO_LARGE,
}


class HttpObjectStore:
    """An ObjectStore that calls the platform; safe to share between threads."""

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
        """Return the object, or NOT_FOUND."""
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
        """Write a new object, or CONFLICT where the key exists."""
        return self._put(key, value, {"If-None-Match": "*"}, deadline)

    def update(
        self, key: str, value: JsonObject, version: int, deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        """Replace the object, or CONFLICT where it does not have that version."""
        return self._put(key, value, {"If-Match": str(version)}, deadline)

    def delete(
        self, key: str, version: int, deadline: Deadline
    ) -> Result[None, PlatformError]:
        """Remove the object, or CONFLICT or NOT_FOUND."""
        headers = {"If-Match": str(version)}
        call = Call("DELETE", _object_path(key), deadline, headers)
        return self._call(CallKind.DELETE, call).map(lambda _: None)

    def watch(
        self, prefix: str, since: int, deadline: Deadline
    ) -> Result[WatchPage, PlatformError]:
        """Wait until something under the prefix is newer, or the deadline; or GONE."""
        wait = deadline.remaining(self._now())
        query = urlencode({"prefix": prefix, "since": since, "timeout": f"{wait:.3f}"})
        answered_by = Deadline.after(deadline.at, WATCH_MARGIN_SECONDS)
        call = Call("GET", f"/watch?{query}", answered_by)
        return self._read(CallKind.WATCH, call, WatchPage)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _put(
        self, key: str, value: JsonObject, condition: dict[str, str], deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        body = json.dumps(value).encode()
        if len(body) > MAX_VALUE_BYTES:
            return Err(PlatformError(ErrorKind.TOO_LARGE, f"{key!r} is too large"))
        call = Call("PUT", _object_path(key), deadline, {**condition, **_JSON}, body)
        outcome = self._call(CallKind.PUT, call)
        if isinstance(outcome, Err):
            return outcome
        version = _version_in(outcome.ok_value)
        if version == 0:
            return Err(PlatformError(ErrorKind.UNKNOWN, "the answer had no version"))
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
            message = f"malformed answer: {error}"
            return Err(PlatformError(ErrorKind.UNAVAILABLE, message))

    def _call(self, kind: CallKind, call: Call) -> Result[Answer, PlatformError]:
        if call.deadline.expired(self._now()):
            message = "the deadline passed before the call"
            return Err(PlatformError(ErrorKind.UNAVAILABLE, message))
        self.counter.count(kind)
        outcome = self._pool.exchange(call, fresh=False)
        if isinstance(outcome, Err) and kind not in _WRITES:
            # The kept-alive connection may have been closed while idle.
            self.counter.count(kind)
            outcome = self._pool.exchange(call, fresh=True)
        if isinstance(outcome, Err):
            judged = Err(_failed(kind, outcome.err_value))
        else:
            error = self._error_in(kind, outcome.ok_value)
            if error is None:
                return outcome
            judged = Err(error)
        self.counter.count_error(kind, judged.err_value.kind)
        return judged

    def _error_in(self, kind: CallKind, answer: Answer) -> PlatformError | None:
        """Return what is wrong with a whole answer, none if it is a success."""
        if 200 <= answer.status < 300:
            return None
        message = f"the platform answered {answer.status}"
        known = _KIND_OF_STATUS.get(answer.status)
        if known is not None:
            return PlatformError(known, message, version=_version_in(answer))
        retry_at = self._retry_at(answer.retry_after)
        failed_late = answer.status >= 500 and answer.status not in _REFUSED_STATUS
        unknown = failed_late and kind in _WRITES
        error_kind = ErrorKind.UNKNOWN if unknown else ErrorKind.UNAVAILABLE
        return PlatformError(error_kind, message, retry_at)

    def _retry_at(self, retry_after: str | None) -> Deadline | None:
        try:
            return Deadline.after(self._now(), float(retry_after or ""))
        except ValueError:
            return None


def _object_path(key: str) -> str:
    return "/objects/" + quote(key, safe="/")


def _version_in(answer: Answer) -> int:
    """Return the version that an answer names, 0 where there is none."""
    try:
        body = json.loads(answer.body)
    except ValueError:
        return 0
    version = body.get("version") if isinstance(body, dict) else None
    return version if isinstance(version, int) else 0


def _failed(kind: CallKind, failure: Failure) -> PlatformError:
    """Judge a call without a whole answer by the stage it reached."""
    surely_not_done = failure.stage is Stage.CONNECTING
    refused = failure.status in (*_REFUSED_STATUS, *_KIND_OF_STATUS)
    known = kind not in _WRITES or surely_not_done or refused
    error_kind = ErrorKind.UNAVAILABLE if known else ErrorKind.UNKNOWN
    return PlatformError(error_kind, failure.message)
