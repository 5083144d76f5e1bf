"""Calls to the platform's store of objects, on the product's connection pool."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, urlencode

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.platform import names
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.store.connections import Answer, Call, ConnectionPool, Stage

# Time in seconds that a watch's answer may take beyond the wait that was asked for.
WATCH_MARGIN = 1.0

_STATUS_ERRORS = {
    404: ErrorKind.NOT_FOUND,
    409: ErrorKind.CONFLICT,
    410: ErrorKind.GONE,
    413: ErrorKind.TOO_LARGE,
}
# Statuses with which the store says that nothing was done.
_NOT_DONE = (400, 401, 403, 405, 429, 503)


@attrs.frozen
class PlatformObject:
    """One object of the store."""

    name: str
    revision: int
    # The wire calls it `create_rev`: the revision at which the object was created.
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
    """One change of an object."""

    object: PlatformObject
    deleted: bool


@attrs.frozen
class Changes:
    """Changes since an earlier revision, oldest first."""

    changes: tuple[ObjectChange, ...]
    revision: int


class PlatformObjects:
    """The store's calls; safe to share between threads."""

    def __init__(self, address: str, now: Callable[[], float]) -> None:
        self._now = now
        self._pool = ConnectionPool(address, now)

    def list_all(
        self, kind: str, deadline: Deadline, stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """Return all objects of a kind, as of the revision of the first page.

        With `stale` the list may be seconds old, and costs a tenth.
        """
        objects: list[PlatformObject] = []
        revision: int | None = None
        after = ""
        while True:
            # The wire calls the name to go on after `after_revision`.
            query = {"after_revision": after} if after else {}
            if stale:
                query["allow_stale"] = "1"
            path = f"{kind}?{urlencode(query)}" if query else kind
            outcome = self._call("GET", path, deadline)
            if isinstance(outcome, Err):
                return outcome
            page = outcome.ok_value
            items = [_decode(row) for row in page.get("items", [])]
            objects += (item for item in items if item is not None)
            if revision is None:
                revision = page.get("store_revision")
            if not page.get("truncated") or not objects:
                break
            after = objects[-1].name
        if not isinstance(revision, int):
            return Err(PlatformError(ErrorKind.UNAVAILABLE, "the list has no revision"))
        return Ok(Listing(tuple(objects), revision))

    def watch(
        self, kind: str, since: int, wait: float
    ) -> Result[Changes, PlatformError]:
        """Return what changed after a revision; wait for it up to `wait` seconds."""
        query = urlencode({"watch": since, "wait_ms": int(wait * 1000)})
        deadline = Deadline.after(self._now(), wait + WATCH_MARGIN)
        outcome = self._call("GET", f"{kind}?{query}", deadline)
        if isinstance(outcome, Err):
            return outcome
        page = outcome.ok_value
        revision = page.get("store_revision")
        if not isinstance(revision, int):
            return Err(PlatformError(ErrorKind.UNAVAILABLE, "no revision in a watch"))
        decoded = (
            (_decode(event.get("object")), bool(event.get("deleted")))
            for event in page.get("events", [])
            if isinstance(event, dict)
        )
        changes = tuple(ObjectChange(o, gone) for o, gone in decoded if o is not None)
        return Ok(Changes(changes, revision))

    def get(
        self, kind: str, name: str, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        """Return one object."""
        outcome = self._call("GET", _path(kind, name), deadline)
        return outcome.and_then(_decode_one)

    def create(
        self, kind: str, name: str, spec: Any, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        """Write a new object; CONFLICT where one has that name."""
        body = {"metadata": {"name": name}, "spec": spec}
        return self._call("POST", kind, deadline, body).and_then(_decode_one)

    def replace(
        self, kind: str, name: str, spec: Any, revision: int, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        """Replace an object's spec, if it still has that revision."""
        body = {"metadata": {"name": name, "revision": revision}, "spec": spec}
        return self._put(_path(kind, name), body, deadline)

    def replace_status(
        self, kind: str, name: str, status: Any, revision: int, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        """Replace an object's status, if it still has that revision."""
        body = {"metadata": {"name": name, "revision": revision}, "status": status}
        return self._put(f"{_path(kind, name)}/status", body, deadline)

    def _put(
        self, path: str, body: Any, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        return self._call("PUT", path, deadline, body).and_then(_decode_one)

    def _call(
        self, method: str, path: str, deadline: Deadline, body: Any = None
    ) -> Result[Any, PlatformError]:
        target = f"{names.OBJECTS_PATH}/{path}"
        data = None if body is None else json.dumps(body).encode()
        headers = {} if data is None else {"Content-Type": "application/json"}
        call = Call(method, target, deadline, headers, data)
        outcome = self._pool.exchange(call, fresh=method != "GET")
        if isinstance(outcome, Err):
            failure = outcome.err_value
            unsent = method == "GET" or failure.stage is Stage.CONNECTING
            kind = ErrorKind.UNAVAILABLE if unsent else ErrorKind.UNKNOWN
            return Err(PlatformError(kind, failure.message))
        return _judge(method, outcome.ok_value)


def _path(kind: str, name: str) -> str:
    return f"{kind}/{quote(name, safe='')}"


def _judge(method: str, answer: Answer) -> Result[Any, PlatformError]:
    """Return the body of a success, or what the status says."""
    if 200 <= answer.status < 300:
        try:
            return Ok(json.loads(answer.body))
        except ValueError as error:
            kind = ErrorKind.UNAVAILABLE if method == "GET" else ErrorKind.UNKNOWN
            return Err(PlatformError(kind, f"malformed answer: {error}"))
    known = _STATUS_ERRORS.get(answer.status)
    if known is None:
        unsure = method != "GET" and answer.status not in _NOT_DONE
        known = ErrorKind.UNKNOWN if unsure else ErrorKind.UNAVAILABLE
    return Err(PlatformError(known, f"the store answered {answer.status}"))


def _decode_one(row: Any) -> Result[PlatformObject, PlatformError]:
    found = _decode(row)
    if found is None:
        return Err(PlatformError(ErrorKind.UNKNOWN, "the answer holds no object"))
    return Ok(found)


def _decode(row: Any) -> PlatformObject | None:
    """Return an object, None if it has no name; its contents may still be unreadable.

    Entries of other writers are judged where their contents are decoded.
    """
    metadata = row.get("metadata") if isinstance(row, dict) else None
    if not isinstance(metadata, dict) or not isinstance(metadata.get("name"), str):
        return None
    return PlatformObject(
        metadata["name"],
        _whole(metadata.get("revision")),
        _whole(metadata.get("create_rev")),
        row.get("spec"),
        row.get("status"),
    )


def _whole(value: Any) -> int:
    return value if isinstance(value, int) else 0
