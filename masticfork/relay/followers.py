"""Threads that each read one kind of store objects and report changes."""

import random
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Protocol

from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.store_position import StorePosition
from masticfork.platform import names
from masticfork.platform.objects import (
    WATCH_MARGIN_SECONDS,
    Changes,
    Listing,
    PlatformObjects,
)
from masticfork.relay.loop import Loop
from masticfork.store.client import ErrorKind, PlatformError

# Longest time that one watch call blocks.
WATCH_WAIT_SECONDS = 4.0
# Time from the end of a watch without an answer until the changes that it has missed
# are applied: a back-off, a short watch, and the way to the loop.
CATCH_UP_SECONDS = 0.6
# The same for kinds that rarely change, and that are read from peers as well if this
# host's calls for other kinds fail.
WATCH_WAIT_SECONDS_BY_KIND = {names.KIND_EVACUATIONS: 10.0}
# Pause between the first listing and the first watch of such kinds: most hosts that
# start leave the watches to others by then.
FIRST_WATCH_DELAY_SECONDS_BY_KIND = {names.KIND_EVACUATIONS: 1.5}
# Wait of the first watch after a failure, short so that recovery is seen soon.
RECOVERY_WATCH_WAIT_SECONDS = 0.2
# Interval at which a paused follower checks whether the host stops.
PAUSE_CHECK_SECONDS = 1.0
# Pause after a watch that returned changes, so that later changes share one call.
# The one of servers can be longer, as leaving servers keep serving for 2 s or more.
BATCH_SECONDS_BY_KIND = {names.KIND_SERVERS: 0.6}
DEFAULT_BATCH_SECONDS = 0.2
# Delay of the first listing of a kind that is not watched.
FIRST_LIST_DELAY_SECONDS = 1.5
# Timeout of a listing. Each page has a shorter one of its own, and some hundred pages
# with objects of other writers are decoded within this time.
LIST_TIMEOUT_SECONDS = 30.0
# Back-off after a failed call: every call is charged, including refused ones.
MIN_BACKOFF_SECONDS = 0.15
MAX_BACKOFF_SECONDS = 0.6
# Interval and timeout of probes, as shares of the silence to be noticed. A
# store that has failed is noticed within this silence.
PROBE_INTERVAL_SHARE, PROBE_TIMEOUT_SHARE = 0.5, 0.25
# Interval at which is checked whether this host reads the store.
PROBE_CHECK_SECONDS = 0.25
# Probes in a row without an answer after which the store counts as failed: a single
# answer may be lost.
MAX_UNANSWERED_PROBES = 2


class StoreListener(Protocol):
    """Receives what a store thread has read; called on the loop's thread."""

    def on_listing(self, kind: str, listing: Listing) -> None:
        """Handle a listing of all objects of the kind."""

    def on_changes(self, kind: str, changes: Changes) -> None:
        """Handle changes since the previous listing or changes."""

    def on_store_failure(self, kind: str, error: PlatformError) -> None:
        """Handle the failure of a call to the store."""

    def on_probe(self, answered: bool) -> None:
        """Handle that the store has answered a probe, or several in a row not."""


class _StoreThread:
    """Base of the threads that read one kind of objects until the loop stops."""

    def __init__(
        self, kind: str, objects: PlatformObjects, loop: Loop, listener: StoreListener
    ) -> None:
        self._kind = kind
        self._objects = objects
        self._loop = loop
        self._listener = listener

    def start(self) -> None:
        """Start the thread."""
        name = f"store-{self._kind}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def _run(self) -> None:
        raise NotImplementedError

    def _report_failure(self, error: PlatformError) -> None:
        call = partial(self._listener.on_store_failure, self._kind, error)
        self._loop.post(call)

    def _read_all(self, stale: bool) -> Result[Listing, PlatformError]:
        """List all objects and pass them to the listener."""
        deadline = Deadline.after(time.monotonic(), LIST_TIMEOUT_SECONDS)
        outcome = self._objects.list_all(self._kind, deadline, stale)
        if isinstance(outcome, Ok):
            listing = outcome.ok_value
            self._loop.post(partial(self._listener.on_listing, self._kind, listing))
        return outcome


class Lister(_StoreThread):
    """Lists a kind periodically; stale reads are allowed, as they cost least."""

    def __init__(
        self,
        kind: str,
        objects: PlatformObjects,
        loop: Loop,
        listener: StoreListener,
        interval_seconds: Callable[[], float],
    ) -> None:
        super().__init__(kind, objects, loop, listener)
        self._interval_seconds = interval_seconds

    def _run(self) -> None:
        # All hosts start within a second; the first listing is to hold every one.
        time.sleep(FIRST_LIST_DELAY_SECONDS)
        while self._loop.running:
            outcome = self._read_all(stale=True)
            if isinstance(outcome, Err):
                self._report_failure(outcome.err_value)
            time.sleep(self._interval_seconds() * random.uniform(0.8, 1.2))


class StoreProbe(_StoreThread):
    """Checks whether the store still answers while this host reads it.

    It tells when the store fails and returns. A watch doesn't: it is answered only when
    something changes, or seconds later.
    """

    def __init__(
        self,
        kind: str,
        name: str,
        objects: PlatformObjects,
        loop: Loop,
        listener: StoreListener,
        noticed_silence: Callable[[], float | None],
    ) -> None:
        super().__init__(kind, objects, loop, listener)
        # The object that is read; it need not exist.
        self._name = name
        # Returns the silence in seconds that is to be noticed, None if this host does
        # not read the store.
        self._noticed_silence = noticed_silence

    def _run(self) -> None:
        unanswered = 0
        while self._loop.running:
            silence = self._noticed_silence()
            if silence is None:
                unanswered = 0
                time.sleep(PROBE_CHECK_SECONDS)
                continue
            interval = PROBE_INTERVAL_SHARE * silence
            deadline = Deadline.after(time.monotonic(), PROBE_TIMEOUT_SHARE * silence)
            # Answers to other calls make a probe unnecessary.
            if self._seconds_since_answer < interval or self._objects.answers(
                self._kind, self._name, deadline
            ):
                unanswered = 0
                pause = max(0.0, interval - self._seconds_since_answer)
            else:
                unanswered += 1
                # A refused call fails at once.
                pause = deadline.remaining(time.monotonic())
            if not 0 < unanswered < MAX_UNANSWERED_PROBES:
                self._loop.post(partial(self._listener.on_probe, not unanswered))
            time.sleep(pause)

    @property
    def _seconds_since_answer(self) -> float:
        return time.monotonic() - self._objects.answered_at


class Follower(_StoreThread):
    """Lists a kind once, then watches it; lists again if the history has expired."""

    def __init__(
        self,
        kind: str,
        objects: PlatformObjects,
        loop: Loop,
        listener: StoreListener,
        tolerated_silence: Callable[[], float] = lambda: float("inf"),
    ) -> None:
        super().__init__(kind, objects, loop, listener)
        # Returns the seconds from the return of a silent store within which its changes
        # have to take effect: a watch that began before the return is never answered.
        self._tolerated_silence = tolerated_silence
        self._backoff = MIN_BACKOFF_SECONDS
        self._position: StorePosition | None = None
        self._resume_position: StorePosition | None = None
        self._resumed = threading.Event()
        self._resumed.set()
        self._failed = False

    @property
    def kind(self) -> str:
        """Return the kind of objects."""
        return self._kind

    def pause(self) -> None:
        """Make no further calls after the one in progress."""
        self._resumed.clear()

    def resume(self, position: StorePosition) -> None:
        """Follow the changes after a position; list all objects if it is unknown."""
        self._resume_position = position if position.revision else None
        self._resumed.set()

    def _run(self) -> None:
        while self._loop.running:
            if not self._resumed.is_set():
                if not self._resumed.wait(PAUSE_CHECK_SECONDS):
                    continue
                self._position = self._resume_position
                self._failed = False
            step = self._list if self._position is None else self._watch
            try:
                error = step()
            except Exception as unexpected:
                # A thread that ends leaves the host with what it knows by then.
                error = PlatformError(ErrorKind.UNAVAILABLE, repr(unexpected))
            if error is None:
                self._backoff = MIN_BACKOFF_SECONDS
                continue
            self._report_failure(error)
            if error.kind is ErrorKind.GONE:
                self._position = None
                continue
            self._failed = True
            time.sleep(self._backoff * random.uniform(0.7, 1.3))
            self._backoff = min(MAX_BACKOFF_SECONDS, self._backoff * 1.5)

    def _list(self) -> PlatformError | None:
        outcome = self._read_all(stale=False)
        if isinstance(outcome, Err):
            return outcome.err_value
        self._position = outcome.ok_value.position
        time.sleep(FIRST_WATCH_DELAY_SECONDS_BY_KIND.get(self._kind, 0.0))
        return None

    @property
    def _watch_wait(self) -> float:
        """Return the seconds for which the next watch waits for changes."""
        if self._failed:
            # Short, so that the recovery of the store is noticed soon.
            return RECOVERY_WATCH_WAIT_SECONDS
        usual = WATCH_WAIT_SECONDS_BY_KIND.get(self._kind, WATCH_WAIT_SECONDS)
        longest = self._tolerated_silence() - WATCH_MARGIN_SECONDS - CATCH_UP_SECONDS
        return max(RECOVERY_WATCH_WAIT_SECONDS, min(usual, longest))

    def _watch(self) -> PlatformError | None:
        assert self._position is not None
        outcome = self._objects.watch(
            self._kind, self._position.revision, self._watch_wait
        )
        if isinstance(outcome, Err):
            return outcome.err_value
        self._failed = False
        changes = outcome.ok_value
        if changes.era != self._position.era:
            # Revisions were given out again, so earlier changes may be missing.
            self._position = None
            return None
        self._position = changes.position
        self._loop.post(partial(self._listener.on_changes, self._kind, changes))
        if changes.changes:
            time.sleep(BATCH_SECONDS_BY_KIND.get(self._kind, DEFAULT_BATCH_SECONDS))
        return None
