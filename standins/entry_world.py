"""An entry host with stand-ins around it, for tests of the whole path."""

import http.client
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

import attrs
import logbook

from masticfork.core.backend_servers import Address
from masticfork.platform.settings_file import Bounds, EntrySettings
from masticfork.relay.entry import EntryHost
from standins.common import LOOPBACK, serving
from standins.object_store import ObjectStore
from standins.ports import free_port
from standins.scripted_server import Script, ScriptedServer

READY_SECONDS = 10.0
POLL_SECONDS = 0.02
KEY = "key-1"
SERVICE = "desk"
ENGINES = "engines"
MODELS = ["small", "large"]


class _NoLog:
    def flush(self) -> None:
        """Do nothing."""

    def take_dropped(self) -> int:
        """Return none."""
        return 0


def route(kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration, with one service of its kind."""
    row: dict[str, Any] = {
        "name": f"r-{kind}",
        "host": "a.example",
        "path_prefix": f"/{kind}/",
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    if kind == "streaming":
        row.update(service=ENGINES, resumable=True, gap_aim_ms=300, max_attempts=3)
        row.update(sizes=MODELS, timeout_ms=4000)
    row.update(changes)
    return row


def configuration(version: int, *routes: dict[str, Any], **changes: Any) -> Any:
    """Return a configuration as the operator writes it."""
    rows = routes or (route("safe"), route("unsafe"), route("streaming"))
    engine = {"slots": 8, "kv_capacity_tokens": 100_000, "models": []}
    spec: dict[str, Any] = {
        "version": version,
        "routes": list(rows),
        "services": [
            {"name": SERVICE, "health_path": "/health", "max_connections": 90},
            {"name": ENGINES, "health_path": "/health", "engine": engine},
        ],
        "limits": {"idle_timeout_ms": 5000},
        "tenants": [{"name": "team-1", "api_keys": [KEY], "priority": 2}],
    }
    spec.update(changes)
    return spec


def request_headers(
    attempt_id: str, changes: dict[str, str] | None = None
) -> dict[str, str]:
    """Return the headers of a good request; a change to nothing leaves one out."""
    headers = {
        "Host": "a.example",
        "Authorization": f"Bearer {KEY}",
        "X-Masticfork-Attempt-Id": attempt_id,
        "X-Masticfork-Deadline-Ms": "3000",
        "X-Masticfork-Model": "*",
        "X-Masticfork-Token-Usage": "100,10",
        "X-Masticfork-Prompt-Prefix": "a1:60,b2:40",
        "Session": "s-1",
    }
    headers.update(changes or {})
    return {name: value for name, value in headers.items() if value}


def server_entry(server: ScriptedServer, service: str, **changes: Any) -> Any:
    """Return the entry of a server as it writes it."""
    spec = {
        "service": service,
        "address": server.address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
    }
    return {**spec, **changes}


@attrs.define
class Answered:
    """What a caller got; `whole` is False where the answer broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True


@attrs.define
class World:
    """An entry host, its store and its servers."""

    store: ObjectStore
    host: EntryHost
    front: Address
    ready: Address
    # Where other hosts reach this one.
    peer: Address
    log: logbook.TestHandler
    servers: list[ScriptedServer] = attrs.field(factory=list)
    _names: int = 0

    def add_server(
        self, script: Script, service: str, **changes: Any
    ) -> ScriptedServer:
        """Start a server and enter it into the store."""
        server = ScriptedServer(script)
        self.servers.append(server)
        self.store.put(
            "servers",
            f"i-{len(self.servers)}",
            server_entry(server, service, **changes),
        )
        return server

    def wait_until(self, condition: Callable[[], bool], seconds: float = 5.0) -> None:
        """Wait for a condition; fail if it does not come."""
        until = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < until, "the condition did not come"
            time.sleep(POLL_SECONDS)

    def logged(self, message: str, **fields: Any) -> bool:
        """Tell whether a line with these fields was logged."""
        return any(
            record.message == message
            and all(record.kwargs.get(name) == value for name, value in fields.items())
            for record in list(self.log.records)
        )

    def wait_for_servers(self, count: int) -> None:
        """Wait until the host knows this many servers."""
        self.wait_until(
            lambda: sum(r.message == "server added" for r in self.log.records) >= count
        )

    def ask(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"hello",
        headers: dict[str, str] | None = None,
    ) -> Answered:
        """Send one request on a connection of its own."""
        connection = http.client.HTTPConnection(self.front.host, self.front.port, 10)
        try:
            connection.request(method, path, body or None, self.headers(headers))
            return read_answer(connection)
        finally:
            connection.close()

    def headers(self, changes: dict[str, str] | None = None) -> dict[str, str]:
        """Return the headers of a good request."""
        self._names += 1
        return request_headers(f"attempt-{self._names}", changes)

    def is_ready(self) -> bool:
        """Ask the host whether it is ready."""
        connection = http.client.HTTPConnection(self.ready.host, self.ready.port, 5)
        try:
            connection.request("GET", "/masticfork/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()


def read_answer(connection: http.client.HTTPConnection) -> Answered:
    """Read an answer, also one that breaks off."""
    response = connection.getresponse()
    headers = {name.lower(): value for name, value in response.getheaders()}
    try:
        return Answered(response.status, headers, response.read())
    except (http.client.IncompleteRead, ConnectionError) as error:
        partial = getattr(error, "partial", b"")
        return Answered(response.status, headers, partial, whole=False)


def free_address() -> Address:
    """Return an address that nothing listens on."""
    return Address(LOOPBACK, free_port())


@contextmanager
def world(
    spec: Any = None,
    bounds: Bounds | None = None,
    *,
    wait: bool = True,
    host: str = "host-1",
) -> Iterator[World]:
    """Run an entry host in a thread, with a store that holds a configuration."""
    store = ObjectStore()
    if spec is not False:
        store.put("config", "main", spec or configuration(1))
    with ExitStack() as stack:
        log = stack.enter_context(logbook.TestHandler().applicationbound())
        served = stack.enter_context(serving(store))
        front, ready, peer = free_address(), free_address(), free_address()
        settings = EntrySettings(
            host=host,
            zone="zone-a",
            front=front,
            ready=ready,
            peer_ports=(peer.port, peer.port),
            store=f"{LOOPBACK}:{served.port}",
            seeds=(),
            memory_mb=256,
            file_descriptors=4096,
            bounds=bounds or Bounds(),
        )
        entry = EntryHost(settings, _NoLog())
        thread = threading.Thread(target=entry.run, daemon=True)
        thread.start()
        made = World(store, entry, front, ready, peer, log)
        try:
            if wait:
                made.wait_until(made.is_ready, READY_SECONDS)
            yield made
        finally:
            entry.loop.post(entry.loop.stop)
            thread.join(5.0)
            for server in made.servers:
                server.close()
