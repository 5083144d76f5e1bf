"""Enters this host into the store, so that the other hosts find it."""

import threading
import time

from result import Ok

from masticfork.core.backend_servers import Address
from masticfork.core.deadlines import Deadline
from masticfork.platform import names
from masticfork.platform.objects import PlatformObjects
from masticfork.platform.server_format import decode_host, encode_host
from masticfork.store.client import ErrorKind

CALL_TIMEOUT = 2.0
# Pause in seconds after a failed try.
RETRY_PAUSE = 1.0


class Registration:
    """Writes the host's address once, and again only if it has changed."""

    def __init__(self, objects: PlatformObjects, host: str, address: Address) -> None:
        self._objects = objects
        self._host = host
        self._address = address

    def start(self) -> None:
        """Write on a thread of its own until it is written."""
        threading.Thread(target=self._run, name="register", daemon=True).start()

    def _run(self) -> None:
        while not self._write():
            time.sleep(RETRY_PAUSE)

    def _write(self) -> bool:
        """Tell whether the entry stands as it should."""
        kind, spec = names.KIND_HOSTS, encode_host(self._address)
        created = self._objects.create(kind, self._host, spec, _soon())
        if isinstance(created, Ok):
            return True
        if created.err_value.kind is not ErrorKind.CONFLICT:
            return False
        found = self._objects.get(kind, self._host, _soon())
        if not isinstance(found, Ok):
            return False
        if decode_host(found.ok_value) == Ok(self._address):
            return True
        revision = found.ok_value.revision
        replaced = self._objects.replace(kind, self._host, spec, revision, _soon())
        return isinstance(replaced, Ok)


def _soon() -> Deadline:
    return Deadline.after(time.monotonic(), CALL_TIMEOUT)
