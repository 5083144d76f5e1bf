"""Client of the platform's object store, on the shared HTTP connection pool."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, urlencode

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.platform import names
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.store.connections import Call, ConnectionPool, HttpResponse, Stage

# Extra time for a watch's response, beyond the wait that the request asks for.
WATCH_MARGIN_SECONDS = 1.0

_STATUS_ERRORS = {
    404: ErrorKind.NOT_FOUND,
    409: ErrorKind.CONFLICT,
    410: ErrorKind.GONE,
    413: ErrorKind.TOO_LARGE,
}
# Statuses that guarantee that the store did not apply a write.
_NOT_APPLIED_STATUSES = (400, 401, 403, 405, 429, 503)


@attrs.frozen
class PlatformObject:
    """One object of the store as of a revision.

    Hosts send these attributes to each other under the same names.
    """

    name: str
    revision: int
    # Revision at which the object was created; the store's field is `create_rev`.
    created: int
    spec: Any
    status: Any


@attrs.frozen
class Listing:
    """All objects of a kind as of a revision."""

    objects: tuple[PlatformObject, ...]
    revision: int


@attrs.frozen
class ObjectChange:
    """A write or a deletion of an object."""

    object: PlatformObject
    deleted: bool


@attrs.frozen
class Changes:
    """Changes since an earlier revision, oldest first."""

    changes: tuple[ObjectChange, ...]
    revision: int


class PlatformObjects:
    """Object store client; safe to share between threads.

    `now` is a clock in seconds, the one that deadlines are measured by.
    """

    def __init__(self, address: str, now: Callable[[], float]) -> None:
        self._now = now
        self._pool = ConnectionPool(address, now)

    def list_all(
        self, kind: str, deadline: Deadline, stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """Return all objects of a kind, with the revision of the first page.

        With `stale`, the listing may be seconds old, at a tenth of the cost.
        """
        objects: list[PlatformObject] = []
        revision: int | None = None
        last_name = ""
        while True:
            # Despite its name, `after_revision` takes the previous page's last name.
            query = {"after_revision": last_name} if last_name else {}
            if stale:
                query["allow_stale"] = "1"
            path = f"{kind}?{urlencode(query)}" if query else kind
            outcome = self._call("GET", path, deadline)
            if isinstance(outcome, Err):
                return outcome
            page = outcome.ok_value
            items = [_decode_object(record) for record in page.get("items", [])]
            objects += (item for item in items if item is not None)
            if revision is None:
                revision = page.get("store_revision")
            if not page.get("truncated") or not objects:
                break
            last_name = objects[-1].name
        if not isinstance(revision, int):
            return Err(
                PlatformError(
                    ErrorKind.UNAVAILABLE, "list response has no store_revision"
                )
            )
        return Ok(Listing(tuple(objects), revision))

    def watch(
        self, kind: str, since: int, wait: float
    ) -> Result[Changes, PlatformError]:
        """Return the changes since a revision, waiting up to `wait` seconds."""
        query = urlencode({"watch": since, "wait_ms": int(wait * 1000)})
        deadline = Deadline.after(self._now(), wait + WATCH_MARGIN_SECONDS)
        outcome = self._call("GET", f"{kind}?{query}", deadline)
        if isinstance(outcome, Err):
            return outcome
        page = outcome.ok_value
        revision = page.get("store_revision")
        if not isinstance(revision, int):
            return Err(
                PlatformError(
                    ErrorKind.UNAVAILABLE, "watch response has no store_revision"
                )
            )
        decoded = (
            (_decode_object(event.get("object")), bool(event.get("deleted")))
            for event in page.get("events", [])
            if isinstance(event, dict)
        )
        changes = tuple(
            ObjectChange(item, deleted) for item, deleted in decoded if item is not None
        )
        return Ok(Changes(changes, revision))

    def get(
        self, kind: str, name: str, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        """Return one object; NOT_FOUND where there is none."""
        outcome = self._call("GET", _path(kind, name), deadline)
        return outcome.and_then(_decode_single)

    def create(
        self, kind: str, name: str, spec: Any, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        """Create an object; CONFLICT where the name is taken."""
        body = {"metadata": {"name": name}, "spec": spec}
        return self._call("POST", kind, deadline, body).and_then(_decode_single)

    def replace(
        self, kind: str, name: str, spec: Any, revision: int, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        """Replace an object's spec; CONFLICT unless it still has that revision."""
        body = {"metadata": {"name": name, "revision": revision}, "spec": spec}
        return self._put(_path(kind, name), body, deadline)

    def replace_status(
        self, kind: str, name: str, status: Any, revision: int, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        """Replace an object's status; CONFLICT unless it still has that revision."""
        body = {"metadata": {"name": name, "revision": revision}, "status": status}
        return self._put(f"{_path(kind, name)}/status", body, deadline)

    def _put(
        self, path: str, body: Any, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        return self._call("PUT", path, deadline, body).and_then(_decode_single)

    def _call(
        self, method: str, path: str, deadline: Deadline, body: Any = None
    ) -> Result[Any, PlatformError]:
        target = f"{names.OBJECTS_PATH}/{path}"
        encoded_body = None if body is None else json.dumps(body).encode()
        headers = {} if encoded_body is None else {"Content-Type": "application/json"}
        call = Call(method, target, deadline, headers, encoded_body)
        outcome = self._pool.exchange(call, fresh=method != "GET")
        if isinstance(outcome, Err):
            failure = outcome.err_value
            not_applied = method == "GET" or failure.stage is Stage.CONNECTING
            kind = ErrorKind.UNAVAILABLE if not_applied else ErrorKind.UNKNOWN
            return Err(PlatformError(kind, failure.message))
        return _decode_response(method, outcome.ok_value)


def _path(kind: str, name: str) -> str:
    return f"{kind}/{quote(name, safe='')}"


def _decode_response(method: str, response: HttpResponse) -> Result[Any, PlatformError]:
    """Return the JSON body of a success, or the error that the status stands for.

    A status without a kind of its own means UNKNOWN where a write may have been
    applied, UNAVAILABLE otherwise.
    """
    if 200 <= response.status < 300:
        try:
            return Ok(json.loads(response.body))
        except ValueError as error:
            kind = ErrorKind.UNAVAILABLE if method == "GET" else ErrorKind.UNKNOWN
            return Err(
                PlatformError(kind, f"malformed JSON in the store's response: {error}")
            )
    error_kind = _STATUS_ERRORS.get(response.status)
    if error_kind is None:
        maybe_applied = method != "GET" and response.status not in _NOT_APPLIED_STATUSES
        error_kind = ErrorKind.UNKNOWN if maybe_applied else ErrorKind.UNAVAILABLE
    return Err(
        PlatformError(error_kind, f"the store returned status {response.status}")
    )


def _decode_single(record: Any) -> Result[PlatformObject, PlatformError]:
    decoded = _decode_object(record)
    if decoded is None:
        return Err(
            PlatformError(ErrorKind.UNKNOWN, "the store's response holds no object")
        )
    return Ok(decoded)


def _decode_object(record: Any) -> PlatformObject | None:
    """Return an object, None if it has no name.

    Spec and status may be malformed, since others write them too; they are validated
    where they are decoded.
    """
    metadata = record.get("metadata") if isinstance(record, dict) else None
    if not isinstance(metadata, dict) or not isinstance(metadata.get("name"), str):
        return None
    return PlatformObject(
        metadata["name"],
        _int_or_zero(metadata.get("revision")),
        _int_or_zero(metadata.get("create_rev")),
        record.get("spec"),
        record.get("status"),
    )


def _int_or_zero(value: Any) -> int:
    return value if isinstance(value, int) else 0
