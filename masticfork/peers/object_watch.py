"""Watching of the platform's shared objects while this host is a watcher."""

import threading
from collections.abc import Callable

from result import Err

from masticfork.core.deadlines import Deadline
from masticfork.peers.object_relay import SHARED_PREFIX, ObjectRelay
from masticfork.store.client import ErrorKind, ObjectStore, StoredObject

READ_TIMEOUT_SECONDS = 5.0
WATCH_TIMEOUT_SECONDS = 20.0
RETRY_DELAY_SECONDS = 0.5


class ObjectWatch:
    """Passes the platform's shared objects to the relay, on its own thread."""

    def __init__(
        self,
        store: ObjectStore,
        relay: ObjectRelay,
        is_watcher: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._relay = relay
        self._is_watcher = is_watcher
        self._now = now
        self._stopped = threading.Event()
        self._revision: int | None = None

    def start(self) -> None:
        """Start a thread that reads once, then watches while this host is a watcher."""
        threading.Thread(target=self._run, name="objects", daemon=True).start()

    def stop(self) -> None:
        """Stop after the current call to the platform."""
        self._stopped.set()

    def _run(self) -> None:
        read_once = False
        while not self._stopped.is_set():
            if read_once and not self._is_watcher():
                self._revision = None
                self._stopped.wait(RETRY_DELAY_SECONDS)
            elif self._revision is None:
                read_once = self._read() or read_once
            else:
                self._watch(self._revision)

    def _read(self) -> bool:
        after, more = "", True
        while more:
            deadline = Deadline.after(self._now(), READ_TIMEOUT_SECONDS)
            page = self._store.list(SHARED_PREFIX, deadline, after)
            if isinstance(page, Err):
                self._stopped.wait(RETRY_DELAY_SECONDS)
                return False
            items, more = page.ok_value.items, page.ok_value.more
            self._relay.apply_newer(items)
            after = items[-1].key if items else ""
            # A watch from the first page's revision sees changes made while paging.
            self._revision = self._revision or page.ok_value.revision
        return True

    def _watch(self, revision: int) -> None:
        deadline = Deadline.after(self._now(), WATCH_TIMEOUT_SECONDS)
        page = self._store.watch(SHARED_PREFIX, revision, deadline)
        if isinstance(page, Err):
            if page.err_value.kind is ErrorKind.GONE:
                self._revision = None
            self._stopped.wait(RETRY_DELAY_SECONDS)
            return
        events = page.ok_value.events
        self._relay.apply_newer(
            StoredObject(event.key, event.version, event.value)
            for event in events
            if event.value is not None
        )
        self._revision = max(revision, page.ok_value.revision)
