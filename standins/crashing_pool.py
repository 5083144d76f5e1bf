"""Stand-ins for the servers of one service that crash on certain requests."""

import threading
import time
from collections.abc import Callable, Iterator

import attrs

from standins.entry_environment import EntryHostEnvironment
from standins.scripted_server import (
    CloseConnectionError,
    ReceivedRequest,
    Script,
    ScriptedServer,
)

# Time from the beginning of a deadly request to the crash of its server.
CRASH_DELAY_SECONDS = 0.05
RESTART_SECONDS = 0.6


@attrs.define(eq=False)
class CrashingPool:
    """Servers that crash on deadly requests, each followed by a new incarnation.

    A crash closes all connections of the server. The entry of the crashed incarnation
    is deleted as the next one registers.
    """

    environment: EntryHostEnvironment
    service: str
    answer: Script
    is_deadly: Callable[[ReceivedRequest], bool]
    # Times of the crashes, in seconds of the monotonic clock.
    crashes: list[float] = attrs.field(factory=list)
    # Deadly requests that reached a server.
    deadly_requests: int = 0
    closed: bool = False
    _servers: dict[str, ScriptedServer] = attrs.field(factory=dict)
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def start(self, count: int) -> None:
        """Start the first servers."""
        for _ in range(count):
            self._add_server()

    def _add_server(self) -> None:
        with self._lock:
            name = f"i-{len(self.environment.servers) + 1}"
            server = self.environment.add_server(
                lambda request: self._serve(name, request), self.service
            )
            self._servers[name] = server

    def _serve(self, name: str, request: ReceivedRequest) -> Iterator[bytes]:
        if not self.is_deadly(request):
            yield from self.answer(request)
            return
        self.deadly_requests += 1
        time.sleep(CRASH_DELAY_SECONDS)
        self._crash(name)
        raise CloseConnectionError

    def _crash(self, name: str) -> None:
        with self._lock:
            server = self._servers.pop(name, None)
        if server is None:
            return
        self.crashes.append(time.monotonic())
        server.close()
        threading.Timer(RESTART_SECONDS, self._restart, (name,)).start()

    def _restart(self, name: str) -> None:
        if not self.closed:
            self.environment.store.remove("servers", name)
            self._add_server()
