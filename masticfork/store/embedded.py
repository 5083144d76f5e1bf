"""An object store in memory, for tests and for a trial on one host."""

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

# Changes that a watch can still see; an older revision is GONE.
HISTORY_EVENTS = 10_000

T = TypeVar("T")
Now = Callable[[], float]
Write = Callable[[], Result[StoredObject, PlatformError]]


@attrs.define
class Faults:
    """Switchable faults; a field at its default is off."""

    # Every call fails before it has an effect.
    down: bool = False
    # The next N writes take effect and their answers are lost.
    lose_answers: int = 0
    # The next N writes have no effect, and the caller cannot tell.
    lose_requests: int = 0
    # The next N writes look lost and take effect when `land_delayed` is called.
    delay_writes: int = 0
    # Time in seconds that each call takes.
    slow_seconds: float = 0.0


@attrs.frozen
class _Entry:
    version: int
    text: str


class EmbeddedStore:
    """An ObjectStore in this process; safe to share between threads."""

    def __init__(
        self,
        now: Now = time.time,
        counter: CallCounter | None = None,
        sleep: Callable[[float], None] = time.sleep,
        history_events: int = HISTORY_EVENTS,
    ) -> None:
        self.faults = Faults()
        self.counter = counter or CallCounter()
        self._now = now
        self._sleep = sleep
        self._changed = threading.Condition(threading.RLock())
        self._entries: dict[str, _Entry] = {}
        self._revision = 0
        self._history: deque[WatchEvent] = deque()
        self._history_events = history_events
        # The newest change that the history no longer holds.
        self._forgotten = 0
        self._delayed: list[Write] = []

    def get(self, key: str, deadline: Deadline) -> Result[StoredObject, PlatformError]:
        """Return the object, or NOT_FOUND."""
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
            CallKind.LIST, deadline, lambda: Ok(self._page(prefix, after, limit))
        )

    def create(
        self, key: str, value: JsonObject, deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        """Write a new object, or CONFLICT where the key exists."""
        return self._write(CallKind.PUT, deadline, lambda: self._put(key, value, 0))

    def update(
        self, key: str, value: JsonObject, version: int, deadline: Deadline
    ) -> Result[StoredObject, PlatformError]:
        """Replace the object, or CONFLICT where it does not have that version."""
        return self._write(
            CallKind.PUT, deadline, lambda: self._put(key, value, version)
        )

    def delete(
        self, key: str, version: int, deadline: Deadline
    ) -> Result[None, PlatformError]:
        """Remove the object, or CONFLICT or NOT_FOUND."""
        removed = self._write(
            CallKind.DELETE, deadline, lambda: self._remove(key, version)
        )
        return removed.map(lambda _: None)

    def watch(
        self, prefix: str, since: int, deadline: Deadline
    ) -> Result[WatchPage, PlatformError]:
        """Wait until something under the prefix is newer, or the deadline; or GONE."""
        return self._read(
            CallKind.WATCH, deadline, lambda: self._wait(prefix, since, deadline)
        )

    def set_down(self, down: bool) -> None:
        """Start or end an outage; waiting watches fail at its start."""
        with self._changed:
            self.faults.down = down
            self._changed.notify_all()

    def land_delayed(self) -> None:
        """Let the delayed writes arrive, each under its own condition."""
        with self._changed:
            delayed, self._delayed = self._delayed, []
            for write in delayed:
                write()

    def _read(
        self,
        kind: CallKind,
        deadline: Deadline,
        act: Callable[[], Result[T, PlatformError]],
    ) -> Result[T, PlatformError]:
        self.counter.count(kind)
        in_time = self._spend(deadline)
        with self._changed:
            failed = self.faults.down or not in_time
            outcome = _unavailable() if failed else act()
        return self._noted(kind, outcome)

    def _write(
        self, kind: CallKind, deadline: Deadline, act: Write
    ) -> Result[StoredObject, PlatformError]:
        self.counter.count(kind)
        if deadline.expired(self._now()):
            return self._noted(kind, _unavailable())
        in_time = self._spend(deadline)
        with self._changed:
            outcome = self._write_with_faults(act)
        if not in_time and outcome.is_ok():
            outcome = _unknown()
        return self._noted(kind, outcome)

    def _write_with_faults(self, act: Write) -> Result[StoredObject, PlatformError]:
        faults = self.faults
        if faults.down:
            return _unavailable()
        if faults.lose_requests > 0:
            faults.lose_requests -= 1
            return _unknown()
        if faults.delay_writes > 0:
            faults.delay_writes -= 1
            self._delayed.append(act)
            return _unknown()
        outcome = act()
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            return _unknown()
        return outcome

    def _spend(self, deadline: Deadline) -> bool:
        """Take the time of a slow call; tell whether it ends before the deadline."""
        remaining = deadline.remaining(self._now())
        slow = self.faults.slow_seconds
        if slow > 0:
            self._sleep(min(slow, remaining))
        return slow < remaining

    def _noted(
        self, kind: CallKind, outcome: Result[T, PlatformError]
    ) -> Result[T, PlatformError]:
        if isinstance(outcome, Err):
            self.counter.count_error(kind, outcome.err_value.kind)
        return outcome

    def _get(self, key: str) -> Result[StoredObject, PlatformError]:
        entry = self._entries.get(key)
        if entry is None:
            return Err(PlatformError(ErrorKind.NOT_FOUND, f"no object {key!r}"))
        return Ok(_stored(key, entry))

    def _page(self, prefix: str, after: str, limit: int) -> Page:
        keys = sorted(k for k in self._entries if k.startswith(prefix) and k > after)
        items = tuple(_stored(key, self._entries[key]) for key in keys[:limit])
        return Page(items, self._revision, more=len(keys) > limit)

    def _put(
        self, key: str, value: JsonObject, expected: int
    ) -> Result[StoredObject, PlatformError]:
        text = json.dumps(value)
        if len(text.encode()) > MAX_VALUE_BYTES:
            return Err(PlatformError(ErrorKind.TOO_LARGE, f"{key!r} is too large"))
        current = self._version(key)
        if current != expected:
            return Err(_conflict(key, current))
        entry = _Entry(self._revision + 1, text)
        self._entries[key] = entry
        self._record(WatchEvent(key, entry.version, json.loads(text)))
        return Ok(_stored(key, entry))

    def _remove(self, key: str, expected: int) -> Result[StoredObject, PlatformError]:
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
        if len(self._history) > self._history_events:
            self._forgotten = self._history.popleft().version
        self._changed.notify_all()

    def _wait(
        self, prefix: str, since: int, deadline: Deadline
    ) -> Result[WatchPage, PlatformError]:
        def ready() -> bool:
            return self.faults.down or bool(self._newer(prefix, since))

        self._changed.wait_for(ready, timeout=deadline.remaining(self._now()))
        if self.faults.down:
            return _unavailable()
        if since < self._forgotten:
            message = f"revision {since} is older than the history"
            return Err(PlatformError(ErrorKind.GONE, message))
        return Ok(WatchPage(self._newer(prefix, since), self._revision))

    def _newer(self, prefix: str, since: int) -> tuple[WatchEvent, ...]:
        return tuple(
            event
            for event in self._history
            if event.version > since and event.key.startswith(prefix)
        )


def _stored(key: str, entry: _Entry) -> StoredObject:
    return StoredObject(key, entry.version, json.loads(entry.text))


def _conflict(key: str, version: int) -> PlatformError:
    return PlatformError(
        ErrorKind.CONFLICT, f"{key!r} has version {version}", version=version
    )


def _unavailable() -> Err[PlatformError]:
    return Err(PlatformError(ErrorKind.UNAVAILABLE, "the platform is not reachable"))


def _unknown() -> Err[PlatformError]:
    return Err(PlatformError(ErrorKind.UNKNOWN, "the answer was lost"))
