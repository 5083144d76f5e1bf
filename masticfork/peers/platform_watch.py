"""Reading and watching of the configuration on the platform.

Every host reads once at its start; only the hosts selected as watchers watch.
"""

import json
import threading
from collections.abc import Callable

import logbook
from result import Err

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.peers.configuration_relay import ConfigurationRelay
from masticfork.store.client import ErrorKind, ObjectStore

CONFIGURATION_KEY = "configuration/current"
READ_TIMEOUT_SECONDS = 5.0
WATCH_TIMEOUT_SECONDS = 20.0
RETRY_DELAY_SECONDS = 0.5
# How often a host that is not a watcher checks whether it became one.
WATCHER_CHECK_SECONDS = 0.5

_log = logbook.Logger("masticfork.peers")


class PlatformWatch:
    """Passes the platform's configuration to the relay, on its own thread."""

    def __init__(
        self,
        store: ObjectStore,
        relay: ConfigurationRelay,
        is_watcher: Callable[[], bool],
        report: Callable[[Findings], None],
        now: Callable[[], float],
        watch_timeout_seconds: float = WATCH_TIMEOUT_SECONDS,
    ) -> None:
        self._watch_timeout_seconds = watch_timeout_seconds
        self._store = store
        self._relay = relay
        self._is_watcher = is_watcher
        self._report = report
        self._now = now
        self._stopped = threading.Event()
        # Revision of the platform's store up to which all changes were seen.
        self._revision: int | None = None
        # Configuration number that the platform last returned.
        self._number = 0

    def run(self) -> None:
        """Read, then watch while this host is a watcher, until stopped."""
        while not self._stopped.is_set() and not self._read():
            self._stopped.wait(RETRY_DELAY_SECONDS)
        while not self._stopped.is_set():
            if not self._is_watcher():
                # Changes are missed from now on, so the next watch starts with a read.
                self._revision = None
                self._stopped.wait(WATCHER_CHECK_SECONDS)
                continue
            revision = self._revision
            done = self._read() if revision is None else self._watch(revision)
            if not done:
                self._stopped.wait(RETRY_DELAY_SECONDS)

    def stop(self) -> None:
        """Stop after the current call to the platform."""
        self._stopped.set()

    def _read(self) -> bool:
        requested_at = self._now()
        deadline = Deadline.after(requested_at, READ_TIMEOUT_SECONDS)
        page = self._store.list(CONFIGURATION_KEY, deadline)
        if isinstance(page, Err):
            return False
        self._number = 0
        for item in page.ok_value.items:
            if item.key == CONFIGURATION_KEY:
                self._offer(item.version, item.value)
        self._revision = page.ok_value.revision
        self._relay.confirmed(self._number, requested_at)
        return True

    def _watch(self, revision: int) -> bool:
        requested_at = self._now()
        deadline = Deadline.after(requested_at, self._watch_timeout_seconds)
        page = self._store.watch(CONFIGURATION_KEY, revision, deadline)
        if isinstance(page, Err):
            if page.err_value.kind is ErrorKind.GONE:
                self._revision = None
            return False
        for event in page.ok_value.events:
            if event.key == CONFIGURATION_KEY and event.value is not None:
                self._offer(event.version, event.value)
        self._revision = max(revision, page.ok_value.revision)
        # Without an event, the number from the last call is still current.
        self._relay.confirmed(self._number, requested_at)
        return True

    def _offer(self, number: int, value: dict[str, object]) -> None:
        self._number = number
        submission = str(value.get("submission_id", ""))
        manifest = value.get("manifest", "")
        text = manifest if isinstance(manifest, str) else json.dumps(manifest)
        self._report(self._relay.apply_from_platform(number, submission, text))
