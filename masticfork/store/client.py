"""The interface of the platform's object store: protocol, records and errors."""

import enum
import threading
from collections import Counter
from typing import Any, Protocol

import attrs
from result import Result

from masticfork.core.deadlines import Deadline

# A value is a JSON object; callers convert it to their own records.
JsonObject = dict[str, Any]

# Maximum size of a value when encoded as JSON.
MAX_VALUE_BYTES = 1 << 20

# Maximum number of objects in one page of a listing.
MAX_PAGE_ITEMS = 500


class ErrorKind(enum.Enum):
    """Kinds of failed calls, by what a caller can conclude from them."""

    # The condition did not hold; the error's `version` is the object's current one.
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    # The call had no effect and will have none; a read gave no result.
    UNAVAILABLE = "unavailable"
    # The write was sent and its response was lost: it may have taken effect.
    UNKNOWN = "unknown"
    TOO_LARGE = "too_large"
    # The revision is older than the change history that the platform keeps.
    GONE = "gone"


@attrs.frozen
class PlatformError:
    """A failed call to the platform."""

    kind: ErrorKind
    message: str
    # Earliest time for a retry, if the platform gave one.
    retry_at: Deadline | None = None
    # The object's current version after a conflict; 0 if it does not exist.
    version: int = 0
    # Whether it does not tell that the platform fails now: it has answered this call or
    # another one since this one began, or has cut off a call that waited.
    outdated: bool = False


@attrs.frozen
class StoredObject:
    """An object with the version that its last write assigned to it."""

    key: str
    version: int
    value: JsonObject


@attrs.frozen
class Page:
    """One page of the objects under a prefix, ordered by key, as of a revision."""

    items: tuple[StoredObject, ...]
    revision: int
    # Whether more objects follow the last item's key.
    more: bool = False


@attrs.frozen
class WatchEvent:
    """One change of an object; `value` is None after a deletion."""

    key: str
    version: int
    value: JsonObject | None
    deleted: bool = False


@attrs.frozen
class WatchPage:
    """Changes since an earlier revision, oldest first; empty after a timeout."""

    events: tuple[WatchEvent, ...]
    revision: int


class ObjectStore(Protocol):
    """Versioned objects with conditional writes.

    Versions come from one increasing counter for all objects, so an object that is
    deleted and created again gets a greater version. A revision is the version of the
    last change. Reads fail with UNAVAILABLE, never with UNKNOWN.
    """

    def get(self, key: str, deadline: Deadline) -> Result[StoredObject, PlatformError]:
        """Return the object, or fail with NOT_FOUND."""

    def list(
        self,
        prefix: str,
        deadline: Deadline,
        after: str = "",
        limit: int = MAX_PAGE_ITEMS,
    ) -> Result[Page, PlatformError]:
        """Return the objects under the prefix whose keys follow `after`."""

    def create(
        self, key: str, value: JsonObject, deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        """Create an object, or fail with CONFLICT if the key exists."""

    def update(
        self, key: str, value: JsonObject, version: int, deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        """Replace the object, or fail with CONFLICT if its version is another one."""

    def delete(
        self, key: str, version: int, deadline: Deadline
    ) -> Result[None, PlatformError]:
        """Delete the object, or fail with CONFLICT or NOT_FOUND."""

    def watch(
        self, prefix: str, since: int, deadline: Deadline
    ) -> Result[WatchPage, PlatformError]:
        """Wait for changes under the prefix after revision `since`.

        Return no events at the deadline; fail with GONE if `since` is too old.
        """


class CallKind(enum.Enum):
    """Kinds of calls to the platform, by which the metrics count."""

    GET = "get"
    LIST = "list"
    PUT = "put"
    DELETE = "delete"
    WATCH = "watch"


class CallCounter:
    """Counts calls and failed calls by kind; safe to share between threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._calls: Counter[CallKind] = Counter()
        self._errors: Counter[tuple[CallKind, ErrorKind]] = Counter()

    def count(self, kind: CallKind) -> None:
        """Count one call that is sent."""
        with self._lock:
            self._calls[kind] += 1

    def count_error(self, kind: CallKind, error: ErrorKind) -> None:
        """Count one call that failed."""
        with self._lock:
            self._errors[kind, error] += 1

    def calls(self) -> dict[CallKind, int]:
        """Return the number of calls so far by kind."""
        with self._lock:
            return dict(self._calls)

    def errors(self) -> dict[tuple[CallKind, ErrorKind], int]:
        """Return the number of failed calls so far by kind of call and of error."""
        with self._lock:
            return dict(self._errors)
