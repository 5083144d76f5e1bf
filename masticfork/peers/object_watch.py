"""Follow the shared objects at the platform while this host has watch duty."""

import threading
from collections.abc import Callable

from result import Err

from masticfork.core.deadlines import Deadline
from masticfork.peers.object_relay import SHARED_PREFIX, ObjectRelay
from masticfork.store.client import ErrorKind, ObjectStore, StoredObject

READ_SECONDS = 5.0
WATCH_SECONDS = 20.0
RETRY_SECONDS = 0.5


class ObjectWatch:
    """Hands the platform's shared objects to the relay, on its own thread."""

    def __init__(
        self,
        store: ObjectStore,
        relay: ObjectRelay,
        on_duty: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._relay = relay
        self._on_duty = on_duty
        self._now = now
        self._stopped = threading.Event()
        self._revision: int | None = None

    def start(self) -> None:
        """Read once, then watch while on duty, until stopped."""
        threading.Thread(target=self._run, name="objects", daemon=True).start()

    def stop(self) -> None:
        """End after the call under way."""
        self._stopped.set()

    def _run(self) -> None:
        read_once = False
        while not self._stopped.is_set():
            if read_once and not self._on_duty():
                self._revision = None
                self._stopped.wait(RETRY_SECONDS)
            elif self._revision is None:
                read_once = self._read() or read_once
            else:
                self._watch(self._revision)

    def _read(self) -> bool:
        after, more = "", True
        while more:
            deadline = Deadline.after(self._now(), READ_SECONDS)
            page = self._store.list(SHARED_PREFIX, deadline, after)
            if isinstance(page, Err):
                self._stopped.wait(RETRY_SECONDS)
                return False
            items, more = page.ok_value.items, page.ok_value.more
            self._relay.offer(items)
            after = items[-1].key if items else ""
            # Changes made while paging are seen by the watch from the first page on.
            self._revision = self._revision or page.ok_value.revision
        return True

    def _watch(self, revision: int) -> None:
        deadline = Deadline.after(self._now(), WATCH_SECONDS)
        page = self._store.watch(SHARED_PREFIX, revision, deadline)
        if isinstance(page, Err):
            if page.err_value.kind is ErrorKind.GONE:
                self._revision = None
            self._stopped.wait(RETRY_SECONDS)
            return
        events = page.ok_value.events
        self._relay.offer(
            StoredObject(event.key, event.version, event.value)
            for event in events
            if event.value is not None
        )
        self._revision = max(revision, page.ok_value.revision)
