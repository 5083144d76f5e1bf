"""Simulated callers, which reuse a connection until its host closes it."""

import contextlib
import http.client
import random
import threading
import time

import attrs

from masticfork.core.backend_servers import Address
from soak.records import Attempt, RequestKind
from soak.servers import DEADLY_BODY
from standins.entry_environment import request_headers

# Timeout of each socket operation, including connecting.
SOCKET_TIMEOUT_SECONDS = 8.0
# Pause after a failed attempt to connect.
CONNECT_RETRY_SECONDS = 0.05
# Longest pause between two requests of a caller.
MAX_PAUSE_SECONDS = 0.08
# Share of streams whose connection the caller closes before the end.
EARLY_CLOSE_SHARE = 0.08
# Share of safe requests with the body that crashes servers.
DEADLY_SHARE = 0.02
# Relative frequency of each kind of request.
KIND_WEIGHTS = {
    RequestKind.SAFE: 4,
    RequestKind.UNSAFE: 4,
    RequestKind.STREAM: 3,
    RequestKind.EXTRA: 1,
}
# Deadline that callers send; longer than the timeout of every route.
DEADLINE_MS = 5000


@attrs.define
class Target:
    """An entry host and the address at which callers reach it."""

    index: int
    front: Address
    # Number of times the host process was restarted.
    restarts: int = 0


@attrs.define
class SharedState:
    """State that the callers share with the soak environment."""

    targets: list[Target]
    attempts: list[Attempt] = attrs.field(factory=list)
    # Latest version of the configuration that was written.
    version: int = 1
    stopped: threading.Event = attrs.field(factory=threading.Event)


class Caller:
    """A caller that sends one request at a time over a persistent connection."""

    def __init__(self, name: str, seed: str, shared: SharedState) -> None:
        self._name = name
        self._rng = random.Random(seed)
        self._shared = shared
        self._count = 0
        self._target = shared.targets[0]
        self._connection: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Send requests until `stopped` is set."""
        while not self._shared.stopped.is_set():
            if self._connection is None:
                self._connect()
            else:
                kinds = list(KIND_WEIGHTS)
                kind = self._rng.choices(kinds, list(KIND_WEIGHTS.values()))[0]
                self._shared.attempts.append(self.send_request(kind))
                time.sleep(self._rng.uniform(0.0, MAX_PAUSE_SECONDS))
        self._close()

    def send_request(self, kind: RequestKind, *, newest: bool = False) -> Attempt:
        """Send one request over the open connection and return its outcome.

        An EXTRA request goes to the route of the latest configuration version, or,
        unless `newest` is set, sometimes to that of the version before.
        """
        connection = self._connection
        assert connection is not None
        self._count += 1
        version = self._choose_version(newest) if kind is RequestKind.EXTRA else 0
        initial = Attempt(
            id=f"{self._name}-{self._count}",
            kind=kind,
            host=self._target.index,
            restarts=self._target.restarts,
            sent_at=time.monotonic(),
            ended_at=0.0,
            version=version,
        )
        attempt = initial
        try:
            path = f"/extra-{version}/x" if version else f"/{kind.value}/x"
            body = b"body %d" % self._count
            if kind is RequestKind.SAFE and self._rng.random() < DEADLY_SHARE:
                body = DEADLY_BODY
            connection.request("POST", path, body, self._headers(initial.id))
            response = connection.getresponse()
            attempt = attrs.evolve(initial, status=response.status)
            attempt = self._read(attempt, response)
        except (OSError, http.client.HTTPException):
            self._close()
        return attrs.evolve(attempt, ended_at=time.monotonic())

    def connect_to(self, target: Target) -> bool:
        """Open a connection to a host; return whether it was accepted."""
        self._target = target
        address = target.front
        connection = http.client.HTTPConnection(
            address.host, address.port, SOCKET_TIMEOUT_SECONDS
        )
        try:
            connection.connect()
        except OSError:
            return False
        self._connection = connection
        return True

    def _connect(self) -> None:
        if not self.connect_to(self._rng.choice(self._shared.targets)):
            time.sleep(CONNECT_RETRY_SECONDS)

    def _read(self, attempt: Attempt, response: http.client.HTTPResponse) -> Attempt:
        closes_early = (
            attempt.kind is RequestKind.STREAM
            and self._rng.random() < EARLY_CLOSE_SHARE
        )
        body = b""
        try:
            while data := response.read1() if closes_early else response.read():
                body += data
                if closes_early:
                    self._close()
                    return attrs.evolve(attempt, disconnected_at=time.monotonic())
            # `read1` does not mark an empty body as consumed, and http.client sends
            # no further request until it is.
            response.read()
        except http.client.IncompleteRead as error:
            self._close()
            return attrs.evolve(attempt, body=body + error.partial)
        if response.will_close:
            self._close()
        return attrs.evolve(attempt, complete=True, body=body)

    def _close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            with contextlib.suppress(OSError):
                connection.close()

    def _choose_version(self, newest: bool) -> int:
        """Return the latest configuration version, or at times the one before."""
        versions_back = 0 if newest else self._rng.choice((0, 0, 1))
        return max(1, self._shared.version - versions_back)

    def _headers(self, attempt_id: str) -> dict[str, str]:
        changes = {
            "X-Masticfork-Deadline-Ms": str(DEADLINE_MS),
            "X-Masticfork-Prompt-Prefix": f"p{self._count % 5}:60,own:40",
            "Session": self._name,
        }
        return request_headers(attempt_id, changes)
