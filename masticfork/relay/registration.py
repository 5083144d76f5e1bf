"""Registration of this host in the store, by which other hosts discover it."""

import threading
import time

from result import Ok

from masticfork.core.backend_servers import Address
from masticfork.core.deadlines import Deadline
from masticfork.platform import names
from masticfork.platform.objects import PlatformObjects
from masticfork.platform.server_format import decode_host, encode_host
from masticfork.store.client import ErrorKind

CALL_TIMEOUT_SECONDS = 2.0
RETRY_INTERVAL_SECONDS = 1.0


class Registration:
    """Writes the host's entry unless the store already holds the same address."""

    def __init__(self, objects: PlatformObjects, host: str, address: Address) -> None:
        self._objects = objects
        self._host = host
        self._address = address

    def start(self) -> None:
        """Start a thread that retries until the entry is written."""
        threading.Thread(target=self._run, name="register", daemon=True).start()

    def _run(self) -> None:
        while not self._write_entry():
            time.sleep(RETRY_INTERVAL_SECONDS)

    def _write_entry(self) -> bool:
        """Create or update the entry; return whether the store now holds it."""
        kind, spec = names.KIND_HOSTS, encode_host(self._address)
        created = self._objects.create(kind, self._host, spec, _call_deadline())
        if isinstance(created, Ok):
            return True
        if created.err_value.kind is not ErrorKind.CONFLICT:
            return False
        stored = self._objects.get(kind, self._host, _call_deadline())
        if not isinstance(stored, Ok):
            return False
        if decode_host(stored.ok_value) == Ok(self._address):
            return True
        revision = stored.ok_value.revision
        replaced = self._objects.replace(
            kind, self._host, spec, revision, _call_deadline()
        )
        return isinstance(replaced, Ok)


def _call_deadline() -> Deadline:
    return Deadline.after(time.monotonic(), CALL_TIMEOUT_SECONDS)
