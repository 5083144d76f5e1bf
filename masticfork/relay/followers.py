"""Threads that follow the store's objects of one kind each."""

import random
import threading
import time
from functools import partial
from typing import Protocol

from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.platform import names
from masticfork.platform.objects import Changes, Listing, PlatformObjects
from masticfork.relay.loop import Loop
from masticfork.store.client import ErrorKind, PlatformError

# Longest wait in seconds of one watch. A store that accepts calls and does not answer
# them is noticed after it, so it may not be much longer than a configuration may take.
WATCH_WAIT = 4.0
# The same for the first watch after a failure.
FIRST_WAIT = 0.2
# Pause in seconds after a watch that brought changes: those that come meanwhile cost
# one call together. Servers that leave serve on for two seconds and more.
GATHER_PAUSES = {names.KIND_SERVERS: 0.6}
DEFAULT_GATHER_PAUSE = 0.2
# Pause in seconds between lists of a kind that is not watched.
LIST_PAUSE = 5.0
# Seconds after the start at which it is listed first.
FIRST_LIST = 1.5
# Time in seconds for a list to be answered; the store answers in 4 ms when it is well.
LIST_TIMEOUT = 2.0
# Pause in seconds after a failed call: every call is charged, refused ones too.
LEAST_PAUSE = 0.15
MOST_PAUSE = 0.6


class Following(Protocol):
    """Takes what a follower reads, on the loop's thread."""

    def on_listing(self, kind: str, listing: Listing) -> None:
        """Take all objects of the kind."""

    def on_changes(self, kind: str, changes: Changes) -> None:
        """Take changes since the last listing or changes."""

    def on_store_failure(self, kind: str, error: PlatformError) -> None:
        """Take the failure of a call."""


class _StoreThread:
    """Reads objects of one kind on a thread of its own until the loop is stopped."""

    def __init__(
        self, kind: str, objects: PlatformObjects, loop: Loop, sink: Following
    ) -> None:
        self._kind = kind
        self._objects = objects
        self._loop = loop
        self._sink = sink

    def start(self) -> None:
        """Start the thread."""
        name = f"store-{self._kind}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def _run(self) -> None:
        raise NotImplementedError

    def _tell_failure(self, error: PlatformError) -> None:
        call = partial(self._sink.on_store_failure, self._kind, error)
        self._loop.post(call)

    def _read_all(self, stale: bool) -> Result[Listing, PlatformError]:
        """List all objects and hand them to the sink."""
        deadline = Deadline.after(time.monotonic(), LIST_TIMEOUT)
        outcome = self._objects.list_all(self._kind, deadline, stale)
        if isinstance(outcome, Ok):
            listing = outcome.ok_value
            self._loop.post(partial(self._sink.on_listing, self._kind, listing))
        return outcome


class Lister(_StoreThread):
    """Lists a kind now and then, as cheaply as the store allows."""

    def _run(self) -> None:
        # The hosts start within a second, and all of them are to be on the first list.
        time.sleep(FIRST_LIST)
        while self._loop.running:
            outcome = self._read_all(stale=True)
            if isinstance(outcome, Err):
                self._tell_failure(outcome.err_value)
            time.sleep(LIST_PAUSE * random.uniform(0.8, 1.2))


class Follower(_StoreThread):
    """Lists a kind once, then watches it; lists again when its history is gone."""

    def __init__(
        self, kind: str, objects: PlatformObjects, loop: Loop, sink: Following
    ) -> None:
        super().__init__(kind, objects, loop, sink)
        self._pause = LEAST_PAUSE
        self._revision: int | None = None
        self._failed = False

    def _run(self) -> None:
        while self._loop.running:
            step = self._list if self._revision is None else self._watch
            error = step()
            if error is None:
                self._pause = LEAST_PAUSE
                continue
            self._tell_failure(error)
            if error.kind is ErrorKind.GONE:
                self._revision = None
                continue
            self._failed = True
            time.sleep(self._pause * random.uniform(0.7, 1.3))
            self._pause = min(MOST_PAUSE, self._pause * 1.5)

    def _list(self) -> PlatformError | None:
        outcome = self._read_all(stale=False)
        if isinstance(outcome, Err):
            return outcome.err_value
        self._revision = outcome.ok_value.revision
        return None

    def _watch(self) -> PlatformError | None:
        assert self._revision is not None
        # The first call after a failure returns soon, so that a store that is back is
        # known to be back.
        wait = FIRST_WAIT if self._failed else WATCH_WAIT
        outcome = self._objects.watch(self._kind, self._revision, wait)
        if isinstance(outcome, Err):
            return outcome.err_value
        self._failed = False
        changes = outcome.ok_value
        self._revision = changes.revision
        self._loop.post(partial(self._sink.on_changes, self._kind, changes))
        if changes.changes:
            time.sleep(GATHER_PAUSES.get(self._kind, DEFAULT_GATHER_PAUSE))
        return None
