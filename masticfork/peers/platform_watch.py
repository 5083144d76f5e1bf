"""Read the configuration from the platform: once at the start, then on watch duty."""

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
READ_SECONDS = 5.0
WATCH_SECONDS = 20.0
RETRY_SECONDS = 0.5
# How often a host without watch duty looks whether it has it now.
DUTY_SECONDS = 0.5

_log = logbook.Logger("masticfork.peers")


class PlatformWatch:
    """Hands the platform's configuration to the relay, on a thread of its own."""

    def __init__(
        self,
        store: ObjectStore,
        relay: ConfigurationRelay,
        on_duty: Callable[[], bool],
        report: Callable[[Findings], None],
        now: Callable[[], float],
        watch_seconds: float = WATCH_SECONDS,
    ) -> None:
        self._watch_seconds = watch_seconds
        self._store = store
        self._relay = relay
        self._on_duty = on_duty
        self._report = report
        self._now = now
        self._stopped = threading.Event()
        # The platform's number up to which everything was seen.
        self._revision: int | None = None
        # The configuration's number when the platform last told it.
        self._number = 0

    def run(self) -> None:
        """Read, then watch while on duty, until stopped."""
        while not self._stopped.is_set() and not self._read():
            self._stopped.wait(RETRY_SECONDS)
        while not self._stopped.is_set():
            if not self._on_duty():
                # The watch starts over from a read when duty comes back.
                self._revision = None
                self._stopped.wait(DUTY_SECONDS)
                continue
            revision = self._revision
            done = self._read() if revision is None else self._watch(revision)
            if not done:
                self._stopped.wait(RETRY_SECONDS)

    def stop(self) -> None:
        """End after the call under way."""
        self._stopped.set()

    def _read(self) -> bool:
        asked_at = self._now()
        deadline = Deadline.after(asked_at, READ_SECONDS)
        page = self._store.list(CONFIGURATION_KEY, deadline)
        if isinstance(page, Err):
            return False
        self._number = 0
        for item in page.ok_value.items:
            if item.key == CONFIGURATION_KEY:
                self._offer(item.version, item.value)
        self._revision = page.ok_value.revision
        self._relay.confirmed(self._number, asked_at)
        return True

    def _watch(self, revision: int) -> bool:
        asked_at = self._now()
        deadline = Deadline.after(asked_at, self._watch_seconds)
        page = self._store.watch(CONFIGURATION_KEY, revision, deadline)
        if isinstance(page, Err):
            if page.err_value.kind is ErrorKind.GONE:
                self._revision = None
            return False
        for event in page.ok_value.events:
            if event.key == CONFIGURATION_KEY and event.value is not None:
                self._offer(event.version, event.value)
        self._revision = max(revision, page.ok_value.revision)
        # No event means that the number of the last call still stands.
        self._relay.confirmed(self._number, asked_at)
        return True

    def _offer(self, number: int, value: dict[str, object]) -> None:
        self._number = number
        submission = str(value.get("submission_id", ""))
        manifest = value.get("manifest", "")
        text = manifest if isinstance(manifest, str) else json.dumps(manifest)
        self._report(self._relay.offer(number, submission, text))
