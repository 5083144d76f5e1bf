"""Callers of a soak, which keep their connections until the process is gone."""

import contextlib
import http.client
import random
import threading
import time

import attrs

from masticfork.core.backend_servers import Address
from soak.records import Attempt, RequestKind
from standins.entry_world import request_headers

# Seconds for which a caller waits for any byte.
PATIENCE = 8.0
# Pause in seconds after a connection that failed.
RETRY_PAUSE = 0.05
# Greatest pause in seconds between two requests of a caller.
MOST_PAUSE = 0.08
# Share of the streams that a caller leaves before the end.
LEAVING_SHARE = 0.08
# How often each kind is asked for.
WEIGHTS = {
    RequestKind.SAFE: 4,
    RequestKind.UNSAFE: 4,
    RequestKind.STREAM: 3,
    RequestKind.EXTRA: 1,
}
# What the callers say of their time, in milliseconds; routes allow less.
DEADLINE_MS = 5000


@attrs.define
class Target:
    """An entry host as the callers know it."""

    index: int
    front: Address
    boot: int = 0


@attrs.define
class Shared:
    """What the callers share with the soak."""

    targets: list[Target]
    attempts: list[Attempt] = attrs.field(factory=list)
    # Newest version of the configuration that was written.
    version: int = 1
    stopped: threading.Event = attrs.field(factory=threading.Event)


class Caller:
    """Sends one request after the other."""

    def __init__(self, name: str, seed: str, shared: Shared) -> None:
        self._name = name
        self._source = random.Random(seed)
        self._shared = shared
        self._count = 0
        self._target = shared.targets[0]
        self._connection: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Send requests until the soak ends."""
        while not self._shared.stopped.is_set():
            if self._connection is None:
                self._connect()
            else:
                kinds = list(WEIGHTS)
                kind = self._source.choices(kinds, list(WEIGHTS.values()))[0]
                self._shared.attempts.append(self.ask(kind))
                time.sleep(self._source.uniform(0.0, MOST_PAUSE))
        self._drop()

    def ask(self, kind: RequestKind, *, newest: bool = False) -> Attempt:
        """Send one request and read its answer.

        With `newest`, one of a configuration's own route goes to the newest one's.
        """
        connection = self._connection
        assert connection is not None
        self._count += 1
        version = self._version(newest) if kind is RequestKind.EXTRA else 0
        begun = Attempt(
            id=f"{self._name}-{self._count}",
            kind=kind,
            host=self._target.index,
            boot=self._target.boot,
            sent_at=time.monotonic(),
            ended_at=0.0,
            version=version,
        )
        seen = begun
        try:
            path = f"/extra-{version}/x" if version else f"/{kind.value}/x"
            connection.request("POST", path, b"body", self._headers(begun.id))
            response = connection.getresponse()
            seen = attrs.evolve(begun, status=response.status)
            seen = self._read(seen, response)
        except (OSError, http.client.HTTPException):
            self._drop()
        return attrs.evolve(seen, ended_at=time.monotonic())

    def connect_to(self, target: Target) -> bool:
        """Open a connection to a host; return whether it took it."""
        self._target = target
        address = target.front
        connection = http.client.HTTPConnection(address.host, address.port, PATIENCE)
        try:
            connection.connect()
        except OSError:
            return False
        self._connection = connection
        return True

    def _connect(self) -> None:
        if not self.connect_to(self._source.choice(self._shared.targets)):
            time.sleep(RETRY_PAUSE)

    def _read(self, seen: Attempt, response: http.client.HTTPResponse) -> Attempt:
        leaves = (
            seen.kind is RequestKind.STREAM and self._source.random() < LEAVING_SHARE
        )
        body = b""
        try:
            while data := response.read1() if leaves else response.read():
                body += data
                if leaves:
                    self._drop()
                    return attrs.evolve(seen, left_at=time.monotonic())
            # `read1` does not mark an empty answer as read, so that none could follow.
            response.read()
        except http.client.IncompleteRead as error:
            self._drop()
            return attrs.evolve(seen, body=body + error.partial)
        if response.will_close:
            self._drop()
        return attrs.evolve(seen, whole=True, body=body)

    def _drop(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            with contextlib.suppress(OSError):
                connection.close()

    def _version(self, newest: bool) -> int:
        """Return the newest version of the configuration, or the one before."""
        older = 0 if newest else self._source.choice((0, 0, 1))
        return max(1, self._shared.version - older)

    def _headers(self, attempt_id: str) -> dict[str, str]:
        changes = {
            "X-Masticfork-Deadline-Ms": str(DEADLINE_MS),
            "X-Masticfork-Prompt-Prefix": f"p{self._count % 5}:60,own:40",
            "Session": self._name,
        }
        return request_headers(attempt_id, changes)
