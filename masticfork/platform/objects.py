"""Client of the platform's object store, on the shared HTTP connection pool."""

import json
import threading
from collections.abc import Callable
from functools import partial
from typing import Any, Generic, TypeVar
from urllib.parse import quote, urlencode

import attrs
from result import Err, Ok, Result

from masticfork.core.bounded_reads import MAX_RESPONSE_BYTES
from masticfork.core.deadlines import Deadline
from masticfork.core.store_position import StorePosition
from masticfork.platform import names
from masticfork.platform.fields import is_text
from masticfork.platform.json_values import JsonReader, is_nested_deeper, read_json
from masticfork.platform.object_fields import UNREADABLE, reduce_object
from masticfork.store.client import ErrorKind, PlatformError
from masticfork.store.connections import (
    Call,
    ConnectionPool,
    Failure,
    HttpResponse,
    Stage,
)

# Extra time for a watch's response, beyond the wait that the request asks for.
WATCH_MARGIN_SECONDS = 1.0
# Levels of lists and objects beyond which a spec or a status is not decoded: the code
# that copies, encodes and compares it is recursive.
MAX_NESTED_LEVELS = 32
MAX_ODD_NAME_CHARACTERS = 100
# Time after which a call that is cut off has waited: the store may cut off watches.
MIN_CUT_WAIT_SECONDS = 0.3
# Timeout of a page of a listing; a healthy store answers in 4 ms.
PAGE_TIMEOUT_SECONDS = 2.0
# Digests hold revisions in 64 bits.
MAX_REVISION = (1 << 63) - 1
# Longest response to a watch. One that holds more is not read: a listing holds only the
# latest state, in pages of about 1 MB.
MAX_WATCH_BYTES = 4 << 20

_STATUS_ERRORS = {
    404: ErrorKind.NOT_FOUND,
    409: ErrorKind.CONFLICT,
    410: ErrorKind.GONE,
    413: ErrorKind.TOO_LARGE,
}
# Statuses that guarantee that the store did not apply a write.
_NOT_APPLIED_STATUSES = (400, 401, 403, 405, 429, 503)
# Statuses with which the store turns a host away.
_REFUSED_STATUSES = (429, 503)


T = TypeVar("T")


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
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the position as of which the objects are listed."""
        return StorePosition(self.era, self.revision)


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
    # If it is not the era of the earlier revision, earlier changes may be missing.
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the position up to which the changes reach."""
        return StorePosition(self.era, self.revision)


@attrs.frozen
class _Answer(Generic[T]):
    """What was read from the body of a success, and the era of the store it is from."""

    body: T
    era: int


@attrs.frozen
class _Page:
    """A page of a listing; None stands for a field that is missing or malformed."""

    objects: tuple[PlatformObject, ...] | None
    # The last name in it, empty without one.
    last_name: str
    truncated: bool
    revision: int | None


@attrs.frozen
class _Events:
    """The response to a watch; None stands for a field that is malformed."""

    changes: tuple[ObjectChange, ...] | None
    revision: int | None


class PlatformObjects:
    """Object store client; safe to share between threads.

    `now` is a clock in seconds, the one that deadlines are measured by.
    """

    def __init__(self, address: str, now: Callable[[], float]) -> None:
        self._now = now
        self._pool = ConnectionPool(address, now)
        self._era_lock = threading.Lock()
        # Held while a response is decoded: an object of other writers may take forty
        # times its size until it is reduced.
        self._decode_lock = threading.Lock()
        self._era = 0
        self._answered_at = float("-inf")

    @property
    def answered_at(self) -> float:
        """Return the time of the store's latest answer that was not a refusal."""
        return self._answered_at

    @property
    def era(self) -> int:
        """Return the latest era of the store that an answer has shown."""
        return self._era

    def list_all(
        self, kind: str, deadline: Deadline, stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """Return all objects of a kind, with the revision of the first page.

        With `stale`, the listing may be seconds old, at a tenth of the cost.
        """
        objects: list[PlatformObject] = []
        revision: int | None = None
        era: int | None = None
        last_name = ""
        while True:
            # Despite its name, `after_revision` takes the previous page's last name.
            query = {"after_revision": last_name} if last_name else {}
            if stale:
                query["allow_stale"] = "1"
            path = f"{kind}?{urlencode(query)}" if query else kind
            page_deadline = Deadline.after(self._now(), PAGE_TIMEOUT_SECONDS)
            outcome = self._call(
                "GET", path, page_deadline.earliest(deadline), partial(_read_page, kind)
            )
            if isinstance(outcome, Err):
                return outcome
            if era not in (None, outcome.ok_value.era):
                return _unavailable("the store was restored between two pages")
            era, page = outcome.ok_value.era, outcome.ok_value.body
            if page.objects is None:
                return _unavailable("list response has no items")
            objects += page.objects
            if revision is None:
                revision = page.revision
            if not page.truncated:
                break
            if page.last_name <= last_name:
                return _unavailable("truncated list response has no further name")
            last_name = page.last_name
        if revision is None:
            return _unavailable("list response has no store_revision")
        return Ok(Listing(tuple(objects), revision, era or 0))

    def watch(
        self, kind: str, since: int, wait: float
    ) -> Result[Changes, PlatformError]:
        """Return the changes since a revision, waiting up to `wait` seconds.

        GONE if they cannot be had, or take more than a listing.
        """
        query = urlencode({"watch": since, "wait_ms": int(wait * 1000)})
        deadline = Deadline.after(self._now(), wait + WATCH_MARGIN_SECONDS)
        outcome = self._call(
            "GET",
            f"{kind}?{query}",
            deadline,
            partial(_read_events, kind),
            max_bytes=MAX_WATCH_BYTES,
        )
        if isinstance(outcome, Err):
            return outcome
        events = outcome.ok_value.body
        if events.revision is None:
            return _unavailable("watch response has no store_revision")
        if events.changes is None:
            return _unavailable("the events of a watch response are not a list")
        return Ok(Changes(events.changes, events.revision, outcome.ok_value.era))

    def get(
        self, kind: str, name: str, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        """Return one object; NOT_FOUND where there is none."""
        path = _path(kind, name)
        return self._call_object("GET", kind, path, deadline).and_then(_single)

    def answers(self, kind: str, name: str, deadline: Deadline) -> bool:
        """Return whether the store answers a read of one object, which may be stale."""
        path = f"{_path(kind, name)}?allow_stale=1"
        outcome = self._call_object("GET", kind, path, deadline)
        return isinstance(outcome, Ok) or outcome.err_value.kind is ErrorKind.NOT_FOUND

    def create(
        self, kind: str, name: str, spec: Any, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        """Create an object; CONFLICT where the name is taken."""
        body = {"metadata": {"name": name}, "spec": spec}
        return self._call_object("POST", kind, kind, deadline, body).and_then(_single)

    def replace(
        self, kind: str, name: str, spec: Any, revision: int, deadline: Deadline
    ) -> Result[PlatformObject, PlatformError]:
        """Replace an object's spec; CONFLICT unless it still has that revision."""
        body = {"metadata": {"name": name, "revision": revision}, "spec": spec}
        path = _path(kind, name)
        return self._call_object("PUT", kind, path, deadline, body).and_then(_single)

    def replace_status(
        self,
        kind: str,
        name: str,
        status: Any,
        position: StorePosition,
        deadline: Deadline,
    ) -> Result[PlatformObject, PlatformError]:
        """Replace an object's status; CONFLICT unless it is still at that position.

        After a restoration of the store, another object may have the same revision.
        """
        if position.era < self._era:
            return Err(PlatformError(ErrorKind.CONFLICT, "the store was restored"))
        metadata = {"name": name, "revision": position.revision}
        body = {"metadata": metadata, "status": status}
        path = f"{_path(kind, name)}/status"
        outcome = self._call_object("PUT", kind, path, deadline, body)
        if isinstance(outcome, Ok) and outcome.ok_value.era > position.era:
            return Err(PlatformError(ErrorKind.UNKNOWN, "written to a restored store"))
        return outcome.and_then(_single)

    def _call_object(
        self, method: str, kind: str, path: str, deadline: Deadline, body: Any = None
    ) -> Result[_Answer[PlatformObject | None], PlatformError]:
        """Make a call that one object of a kind answers."""
        return self._call(method, path, deadline, partial(_read_object, kind), body)

    def _call(
        self,
        method: str,
        path: str,
        deadline: Deadline,
        read: Callable[[JsonReader], T],
        body: Any = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> Result[_Answer[T], PlatformError]:
        target = f"{names.OBJECTS_PATH}/{path}"
        encoded_body = None if body is None else json.dumps(body).encode()
        headers = {} if encoded_body is None else {"Content-Type": "application/json"}
        call = Call(method, target, deadline, headers, encoded_body, max_bytes)
        began = self._now()
        outcome = self._pool.exchange(call, fresh=method != "GET")
        if isinstance(outcome, Err):
            failure = outcome.err_value
            outdated = self._is_outdated(failure, began)
            if failure.too_large:
                return Err(
                    PlatformError(ErrorKind.GONE, failure.message, outdated=outdated)
                )
            not_applied = method == "GET" or failure.stage is Stage.CONNECTING
            kind = ErrorKind.UNAVAILABLE if not_applied else ErrorKind.UNKNOWN
            return Err(PlatformError(kind, failure.message, outdated=outdated))
        response = outcome.ok_value
        refused = response.status in _REFUSED_STATUSES
        if not refused:
            self._answered_at = self._now()
        era = self._judge_era(response)
        with self._decode_lock:
            decoded = _decode_response(method, response, read)
        if isinstance(decoded, Err):
            return Err(attrs.evolve(decoded.err_value, outdated=not refused))
        if era is None:
            kind = ErrorKind.UNAVAILABLE if method == "GET" else ErrorKind.UNKNOWN
            message = "the response is not from the latest era of the store"
            return Err(PlatformError(kind, message))
        return Ok(_Answer(decoded.ok_value, era))

    def _is_outdated(self, failure: Failure, began: float) -> bool:
        """Return whether a failure does not tell that the store fails now."""
        if failure.timed_out:
            return self._answered_at > began
        if failure.stage is Stage.CONNECTING:
            return False
        # If the store fails, the next call tells at once.
        return failure.too_large or self._now() - began >= MIN_CUT_WAIT_SECONDS

    def _judge_era(self, response: HttpResponse) -> int | None:
        """Return the era of a response, None if it is older than the latest known.

        A store that never states an era is in era 0.
        """
        stated = response.headers.get(names.STORE_ERA, "")
        era = int(stated) if stated.isascii() and stated.isdigit() else 0
        with self._era_lock:
            if era < self._era:
                return None
            self._era = era
        return era


def _unavailable(message: str) -> Err[PlatformError]:
    return Err(PlatformError(ErrorKind.UNAVAILABLE, message))


def _path(kind: str, name: str) -> str:
    return f"{kind}/{quote(name, safe='')}"


def _decode_response(
    method: str, response: HttpResponse, read: Callable[[JsonReader], T]
) -> Result[T, PlatformError]:
    """Read the JSON body of a success, or return the error that the status stands for.

    A status without a kind of its own means UNKNOWN where a write may have been
    applied, UNAVAILABLE otherwise.
    """
    if 200 <= response.status < 300:
        kind = ErrorKind.UNAVAILABLE if method == "GET" else ErrorKind.UNKNOWN
        try:
            return Ok(read_json(response.body, read))
        except (TypeError, ValueError) as error:
            message = f"malformed JSON in the store's response: {error}"
            return Err(PlatformError(kind, message))
    error_kind = _STATUS_ERRORS.get(response.status)
    if error_kind is None:
        maybe_applied = method != "GET" and response.status not in _NOT_APPLIED_STATUSES
        error_kind = ErrorKind.UNKNOWN if maybe_applied else ErrorKind.UNAVAILABLE
    return Err(
        PlatformError(error_kind, f"the store returned status {response.status}")
    )


def _read_page(kind: str, reader: JsonReader) -> _Page:
    decoded, rest = reader.list_and_rest("items", partial(_decode_object, kind))
    if decoded is None:
        return _Page(None, "", False, None)
    objects = tuple(item for item in decoded if item is not None)
    return _Page(
        objects,
        objects[-1].name if objects else "",
        bool(rest.get("truncated")),
        _revision(rest),
    )


def _read_events(kind: str, reader: JsonReader) -> _Events:
    decoded, rest = reader.list_and_rest("events", partial(_decode_event, kind))
    if decoded is None and "events" in rest:
        return _Events(None, _revision(rest))
    changes = tuple(change for change in decoded or () if change is not None)
    return _Events(changes, _revision(rest))


def _revision(page: dict[str, Any]) -> int | None:
    revision = page.get("store_revision")
    return revision if isinstance(revision, int) else None


def _read_object(kind: str, reader: JsonReader) -> PlatformObject | None:
    record = reader.value()
    if not isinstance(record, dict):
        raise TypeError("the store's response is not an object")
    return _decode_object(kind, record)


def _single(
    answer: _Answer[PlatformObject | None],
) -> Result[PlatformObject, PlatformError]:
    if answer.body is None:
        return Err(
            PlatformError(ErrorKind.UNKNOWN, "the store's response holds no object")
        )
    return Ok(answer.body)


def _decode_event(kind: str, event: Any) -> ObjectChange | None:
    """Return a change, None if it names no object."""
    if not isinstance(event, dict):
        return None
    stored = _decode_object(kind, event.get("object"))
    return None if stored is None else ObjectChange(stored, bool(event.get("deleted")))


def _decode_object(kind: str, record: Any) -> PlatformObject | None:
    """Return an object, None if it has no name."""
    metadata = record.get("metadata") if isinstance(record, dict) else None
    if not isinstance(metadata, dict):
        return None
    return stored_object(
        kind,
        metadata.get("name"),
        metadata.get("revision"),
        metadata.get("create_rev"),
        record.get("spec"),
        record.get("status"),
    )


def stored_object(
    kind: str, name: Any, revision: Any, created: Any, spec: Any, status: Any
) -> PlatformObject | None:
    """Return an object of a kind, reduced to what is read, None without a name."""
    spec, status = reduce_object(kind, name, spec, status)
    return bounded_object(name, revision, created, spec, status)


def bounded_object(
    name: Any, revision: Any, created: Any, spec: Any, status: Any
) -> PlatformObject | None:
    """Return an object that hosts can hash, encode and compare, None without a name.

    Other writers may have placed anything in it. Spec and status may still be
    malformed; they are validated where they are decoded.
    """
    if not isinstance(name, str):
        return None
    if not is_text(name):
        # It is still told apart from others in findings.
        name, spec, status = ascii(name)[:MAX_ODD_NAME_CHARACTERS], UNREADABLE, None
    if is_nested_deeper(spec, MAX_NESTED_LEVELS):
        spec = UNREADABLE
    if is_nested_deeper(status, MAX_NESTED_LEVELS):
        status = UNREADABLE
    return PlatformObject(
        name, _int_or_zero(revision), _int_or_zero(created), spec, status
    )


def _int_or_zero(value: Any) -> int:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return value if is_int and abs(value) <= MAX_REVISION else 0
