"""The platform's object API as the rest of the program sees it."""

import enum
import threading
from collections import Counter
from typing import Any, Protocol

import attrs
from result import Result

from masticfork.core.deadlines import Deadline

# A value is a JSON object; callers structure it into their own records.
JsonObject = dict[str, Any]

# Greatest size in bytes of a value as JSON text.
MAX_VALUE_BYTES = 1 << 20

# Greatest number of objects that one page of a list holds.
MAX_PAGE_ITEMS = 500


class ErrorKind(enum.Enum):
    """What kind of failure a call met."""

    # The condition did not hold; `version` tells the object's version.
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    # The call had no effect and will have none.
    UNAVAILABLE = "unavailable"
    # The call was sent and its answer lost: it may have taken effect.
    UNKNOWN = "unknown"
    TOO_LARGE = "too_large"
    # The revision is older than the history that the platform keeps.
    GONE = "gone"


@attrs.frozen
class PlatformError:
    """Why a call to the platform gave no result."""

    kind: ErrorKind
    message: str
    # When the call may be tried again, where the platform told.
    retry_at: Deadline | None = None
    # The object's version as it stands after a conflict, 0 where there is none.
    version: int = 0


@attrs.frozen
class StoredObject:
    """An object with the version that its last write gave it."""

    key: str
    version: int
    value: JsonObject


@attrs.frozen
class Page:
    """Some objects under a prefix, ordered by key, as of a revision."""

    items: tuple[StoredObject, ...]
    revision: int
    # Whether more objects follow the last item's key.
    more: bool = False


@attrs.frozen
class WatchEvent:
    """One change; a deleted object has no value."""

    key: str
    version: int
    value: JsonObject | None
    deleted: bool = False


@attrs.frozen
class WatchPage:
    """Changes since an earlier revision, oldest first; none at the timeout."""

    events: tuple[WatchEvent, ...]
    revision: int


class ObjectStore(Protocol):
    """Versioned objects with conditional writes.

    Versions are one growing number over all objects, also over delete and create.
    Reads fail with UNAVAILABLE, never with UNKNOWN.
    """

    def get(self, key: str, deadline: Deadline) -> Result[StoredObject, PlatformError]:
        """Return the object, or NOT_FOUND."""

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
        """Write a new object, or CONFLICT where the key exists."""

    def update(
        self, key: str, value: JsonObject, version: int, deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        """Replace the object, or CONFLICT where it does not have that version."""

    def delete(
        self, key: str, version: int, deadline: Deadline
    ) -> Result[None, PlatformError]:
        """Remove the object, or CONFLICT or NOT_FOUND."""

    def watch(
        self, prefix: str, since: int, deadline: Deadline
    ) -> Result[WatchPage, PlatformError]:
        """Wait until something under the prefix is newer, or the deadline; or GONE."""


class CallKind(enum.Enum):
    """Kinds of calls to the platform, as metrics count them."""

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
        """Count one call that goes out."""
        with self._lock:
            self._calls[kind] += 1

    def count_error(self, kind: CallKind, error: ErrorKind) -> None:
        """Count one call that failed."""
        with self._lock:
            self._errors[kind, error] += 1

    def calls(self) -> dict[CallKind, int]:
        """Return the calls so far by kind."""
        with self._lock:
            return dict(self._calls)

    def errors(self) -> dict[tuple[CallKind, ErrorKind], int]:
        """Return the failed calls so far by kind of call and of failure."""
        with self._lock:
            return dict(self._errors)
