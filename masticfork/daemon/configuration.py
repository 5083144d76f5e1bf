"""Follow the configuration at the platform and put newer ones in force."""

import threading
from collections.abc import Callable

import logbook
from result import Err

from masticfork.core.configuration import Configuration
from masticfork.core.deadlines import Deadline
from masticfork.core.tables import Tables
from masticfork.daemon.ticker import log_finding
from masticfork.platform.client import ErrorKind, ObjectStore, StoredObject
from masticfork.settings.manifest import parse_manifest
from masticfork.systems.servers import put_in_force

CONFIGURATION_PREFIX = "configuration/current"
WATCH_SECONDS = 20.0
RETRY_SECONDS = 0.5

_log = logbook.Logger("configuration")


class ConfigurationWatch:
    """Watches the platform on a thread of its own."""

    def __init__(
        self,
        store: ObjectStore,
        tables: Tables,
        confirm_seconds: float,
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._tables = tables
        self._confirm_seconds = confirm_seconds
        self._now = now
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="watch", daemon=True)

    def start(self) -> None:
        """Watch in the background."""
        self._thread.start()

    def stop(self) -> None:
        """End the watch; a call under way is left to its deadline."""
        self._stopped.set()

    def _run(self) -> None:
        revision = self._read_until_known()
        while not self._stopped.is_set():
            revision = self._wait(revision)

    def _read_until_known(self) -> int:
        while not self._stopped.is_set():
            deadline = Deadline.after(self._now(), WATCH_SECONDS)
            page = self._store.list(CONFIGURATION_PREFIX, deadline)
            if not isinstance(page, Err):
                for item in page.ok_value.items:
                    self._apply(item)
                self._confirm()
                return page.ok_value.revision
            self._stopped.wait(RETRY_SECONDS)
        return 0

    def _wait(self, revision: int) -> int:
        deadline = Deadline.after(self._now(), WATCH_SECONDS)
        page = self._store.watch(CONFIGURATION_PREFIX, revision, deadline)
        if isinstance(page, Err):
            if page.err_value.kind is ErrorKind.GONE:
                return self._read_until_known()
            self._stopped.wait(RETRY_SECONDS)
            return revision
        for event in page.ok_value.events:
            if event.value is not None:
                self._apply(StoredObject(event.key, event.version, event.value))
        self._confirm()
        return page.ok_value.revision

    def _confirm(self) -> None:
        deadline = Deadline.after(self._now(), self._confirm_seconds)
        self._tables.confirmed_until = deadline

    def _apply(self, stored: StoredObject) -> None:
        text = str(stored.value.get("manifest", ""))
        submission = str(stored.value.get("submission_id", ""))
        parsed = parse_manifest(text, f"submission {submission}")
        if isinstance(parsed, Err):
            # The configuration in force stays: a broken one is never applied.
            for finding in parsed.err_value:
                log_finding(finding)
            return
        manifest, _ = parsed.ok_value
        configuration = Configuration(stored.version, submission, manifest)
        if put_in_force(self._tables, configuration):
            _log.info("configuration in force", number=stored.version)
