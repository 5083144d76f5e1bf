"""An object store in memory, for tests and for trying the router on one host."""

import json
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import TypeVar

import attrs
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
    WatchEvent,
    WatchPage,
)

# Changes kept for watches; a watch from an older revision fails with GONE.
MAX_HISTORY_EVENTS = 10_000

T = TypeVar("T")
Clock = Callable[[], float]
Write = Callable[[], Result[StoredObject, PlatformError]]


@attrs.define
class Faults:
    """Faults that a test can inject; a field at its default is off."""

    # Every call fails without an effect.
    down: bool = False
    # The next N writes take effect, but their responses are lost.
    lose_answers: int = 0
    # The next N writes are lost before they take effect; the caller gets UNKNOWN.
    lose_requests: int = 0
    # The next N writes fail with UNKNOWN; `apply_delayed_writes` applies them.
    delay_writes: int = 0
    # Latency of each call.
    slow_seconds: float = 0.0


@attrs.frozen
class _Entry:
    version: int
    text: str


class EmbeddedStore:
    """An ObjectStore in the memory of this process; safe to share between threads."""

    def __init__(
        self,
        now: Clock = time.time,
        counter: CallCounter | None = None,
        sleep: Callable[[float], None] = time.sleep,
        max_history_events: int = MAX_HISTORY_EVENTS,
    ) -> None:
        self.faults = Faults()
        self.counter = counter or CallCounter()
        self._now = now
        self._sleep = sleep
        self._changed = threading.Condition(threading.RLock())
        self._entries: dict[str, _Entry] = {}
        self._revision = 0
        self._history: deque[WatchEvent] = deque()
        self._max_history_events = max_history_events
        # Version of the newest change that was dropped from the history.
        self._last_dropped_version = 0
        self._delayed: list[Write] = []

    def get(self, key: str, deadline: Deadline) -> Result[StoredObject, PlatformError]:
        """Return the object, or fail with NOT_FOUND."""
        return self._read(CallKind.GET, deadline, lambda: self._get(key))

    def list(
        self,
        prefix: str,
        deadline: Deadline,
        after: str = "",
        limit: int = MAX_PAGE_ITEMS,
    ) -> Result[Page, PlatformError]:
        """Return the objects under the prefix whose keys follow `after`."""
        return self._read(
            CallKind.LIST, deadline, lambda: Ok(self._list_page(prefix, after, limit))
        )

    def create(
        self, key: str, value: JsonObject, deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        """Create an object, or fail with CONFLICT if the key exists."""
        return self._write(CallKind.PUT, deadline, lambda: self._put(key, value, 0))

    def update(
        self, key: str, value: JsonObject, version: int, deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        """Replace the object, or fail with CONFLICT if its version is another one."""
        return self._write(
            CallKind.PUT, deadline, lambda: self._put(key, value, version)
        )

    def delete(
        self, key: str, version: int, deadline: Deadline
    ) -> Result[None, PlatformError]:
        """Delete the object, or fail with CONFLICT or NOT_FOUND."""
        removed = self._write(
            CallKind.DELETE, deadline, lambda: self._delete(key, version)
        )
        return removed.map(lambda _: None)

    def watch(
        self, prefix: str, since: int, deadline: Deadline
    ) -> Result[WatchPage, PlatformError]:
        """Wait for changes under the prefix after `since`, or fail with GONE."""
        return self._read(
            CallKind.WATCH,
            deadline,
            lambda: self._wait_for_events(prefix, since, deadline),
        )

    def set_down(self, down: bool) -> None:
        """Start or end an outage; running watches fail when it starts."""
        with self._changed:
            self.faults.down = down
            self._changed.notify_all()

    def apply_delayed_writes(self) -> None:
        """Apply the delayed writes, each only if its condition holds now."""
        with self._changed:
            delayed, self._delayed = self._delayed, []
            for write in delayed:
                write()

    def _read(
        self,
        kind: CallKind,
        deadline: Deadline,
        operation: Callable[[], Result[T, PlatformError]],
    ) -> Result[T, PlatformError]:
        self.counter.count(kind)
        in_time = self._simulate_latency(deadline)
        with self._changed:
            failed = self.faults.down or not in_time
            outcome = _unavailable() if failed else operation()
        return self._count_outcome(kind, outcome)

    def _write(
        self, kind: CallKind, deadline: Deadline, operation: Write
    ) -> Result[StoredObject, PlatformError]:
        self.counter.count(kind)
        if deadline.expired(self._now()):
            return self._count_outcome(kind, _unavailable())
        in_time = self._simulate_latency(deadline)
        with self._changed:
            outcome = self._write_with_faults(operation)
        if not in_time and outcome.is_ok():
            outcome = _unknown()
        return self._count_outcome(kind, outcome)

    def _write_with_faults(
        self, operation: Write
    ) -> Result[StoredObject, PlatformError]:
        faults = self.faults
        if faults.down:
            return _unavailable()
        if faults.lose_requests > 0:
            faults.lose_requests -= 1
            return _unknown()
        if faults.delay_writes > 0:
            faults.delay_writes -= 1
            self._delayed.append(operation)
            return _unknown()
        outcome = operation()
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            return _unknown()
        return outcome

    def _simulate_latency(self, deadline: Deadline) -> bool:
        """Sleep for the injected latency; return whether the call ends in time."""
        remaining = deadline.remaining(self._now())
        latency = self.faults.slow_seconds
        if latency > 0:
            self._sleep(min(latency, remaining))
        return latency < remaining

    def _count_outcome(
        self, kind: CallKind, outcome: Result[T, PlatformError]
    ) -> Result[T, PlatformError]:
        if isinstance(outcome, Err):
            self.counter.count_error(kind, outcome.err_value.kind)
        return outcome

    def _get(self, key: str) -> Result[StoredObject, PlatformError]:
        entry = self._entries.get(key)
        if entry is None:
            return Err(
                PlatformError(ErrorKind.NOT_FOUND, f"object {key!r} does not exist")
            )
        return Ok(_to_object(key, entry))

    def _list_page(self, prefix: str, after: str, limit: int) -> Page:
        keys = sorted(k for k in self._entries if k.startswith(prefix) and k > after)
        items = tuple(_to_object(key, self._entries[key]) for key in keys[:limit])
        return Page(items, self._revision, more=len(keys) > limit)

    def _put(
        self, key: str, value: JsonObject, expected: int
    ) -> Result[StoredObject, PlatformError]:
        text = json.dumps(value)
        if len(text.encode()) > MAX_VALUE_BYTES:
            return Err(
                PlatformError(ErrorKind.TOO_LARGE, f"the value of {key!r} is too large")
            )
        current = self._version(key)
        if current != expected:
            return Err(_conflict(key, current))
        entry = _Entry(self._revision + 1, text)
        self._entries[key] = entry
        self._record(WatchEvent(key, entry.version, json.loads(text)))
        return Ok(_to_object(key, entry))

    def _delete(self, key: str, expected: int) -> Result[StoredObject, PlatformError]:
        found = self._get(key)
        if isinstance(found, Ok):
            if found.ok_value.version != expected:
                return Err(_conflict(key, found.ok_value.version))
            del self._entries[key]
            self._record(WatchEvent(key, self._revision + 1, None, deleted=True))
        return found

    def _version(self, key: str) -> int:
        entry = self._entries.get(key)
        return 0 if entry is None else entry.version

    def _record(self, event: WatchEvent) -> None:
        self._revision = event.version
        self._history.append(event)
        if len(self._history) > self._max_history_events:
            self._last_dropped_version = self._history.popleft().version
        self._changed.notify_all()

    def _wait_for_events(
        self, prefix: str, since: int, deadline: Deadline
    ) -> Result[WatchPage, PlatformError]:
        def ready() -> bool:
            return self.faults.down or bool(self._events_after(prefix, since))

        self._changed.wait_for(ready, timeout=deadline.remaining(self._now()))
        if self.faults.down:
            return _unavailable()
        if since < self._last_dropped_version:
            message = f"revision {since} is older than the change history"
            return Err(PlatformError(ErrorKind.GONE, message))
        return Ok(WatchPage(self._events_after(prefix, since), self._revision))

    def _events_after(self, prefix: str, since: int) -> tuple[WatchEvent, ...]:
        return tuple(
            event
            for event in self._history
            if event.version > since and event.key.startswith(prefix)
        )


def _to_object(key: str, entry: _Entry) -> StoredObject:
    return StoredObject(key, entry.version, json.loads(entry.text))


def _conflict(key: str, version: int) -> PlatformError:
    return PlatformError(
        ErrorKind.CONFLICT, f"{key!r} has version {version}", version=version
    )


def _unavailable() -> Err[PlatformError]:
    return Err(PlatformError(ErrorKind.UNAVAILABLE, "the platform is unreachable"))


def _unknown() -> Err[PlatformError]:
    return Err(PlatformError(ErrorKind.UNKNOWN, "the response was lost"))
