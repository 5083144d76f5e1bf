"""An entry host with a simulated store and backend servers, for end-to-end tests."""

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
from standins.fault_proxy import FaultProxy
from standins.object_store import ObjectStore
from standins.ports import free_port
from standins.scripted_server import Script, ScriptedServer

READY_TIMEOUT_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 0.02
KEY = "key-1"
SERVICE = "desk"
ENGINES = "engines"
MODELS = ["small", "large"]


class _NullLogSink:
    def flush(self) -> None:
        """Do nothing."""

    def take_dropped(self) -> int:
        """Return 0, the number of dropped log lines."""
        return 0


def route(kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration; `kind` also selects its service."""
    fields: dict[str, Any] = {
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
        fields.update(service=ENGINES, resumable=True, gap_aim_ms=300, max_attempts=3)
        fields.update(sizes=MODELS, timeout_ms=4000)
    fields.update(changes)
    return fields


def configuration(version: int, *routes: dict[str, Any], **changes: Any) -> Any:
    """Return a configuration in the format that operators write.

    Without routes it has one safe, one unsafe and one streaming route.
    """
    route_list = routes or (route("safe"), route("unsafe"), route("streaming"))
    engine = {"slots": 8, "kv_capacity_tokens": 100_000, "models": []}
    spec: dict[str, Any] = {
        "version": version,
        "routes": list(route_list),
        "services": [
            {"name": SERVICE, "health_path": "/health", "max_connections": 90},
            {"name": ENGINES, "health_path": "/health", "engine": engine},
        ],
        "limits": {"idle_timeout_ms": 5000},
        "tenants": [{"name": "team-1", "api_keys": [KEY], "priority": 2}],
    }
    spec.update(changes)
    return spec


def large_configuration(version: int) -> Any:
    """Return a configuration that is too large for a datagram between hosts."""
    many = [route("safe", name=f"r{n}", host=f"h{n}.example") for n in range(900)]
    keys = [{"name": "team-1", "api_keys": [f"key-{n * 7919}" for n in range(900)]}]
    return configuration(version, *many, tenants=keys)


def request_headers(
    attempt_id: str, changes: dict[str, str] | None = None
) -> dict[str, str]:
    """Return the headers of a valid request; an empty value removes a header."""
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
    """Return the store entry that a server writes about itself."""
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
class Response:
    """A response as received; `complete` is False if it was truncated."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True


@attrs.define
class EntryHostEnvironment:
    """A running entry host with its store and servers.

    `front` is the address for callers, `ready` the one for readiness checks.
    """

    store: ObjectStore
    host: EntryHost
    front: Address
    ready: Address
    # The address for other hosts.
    peer: Address
    log: logbook.TestHandler
    # The host's connections to the store, if they lead through a proxy.
    store_link: FaultProxy | None = None
    servers: list[ScriptedServer] = attrs.field(factory=list)
    _attempts: int = 0

    def add_server(
        self, script: Script, service: str, **changes: Any
    ) -> ScriptedServer:
        """Start a server and register it in the store."""
        server = ScriptedServer(script)
        self.servers.append(server)
        self.store.put(
            "servers",
            f"i-{len(self.servers)}",
            server_entry(server, service, **changes),
        )
        return server

    def wait_until(self, condition: Callable[[], bool], seconds: float = 5.0) -> None:
        """Poll until a condition holds; fail after `seconds`."""
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, "condition not met in time"
            time.sleep(POLL_INTERVAL_SECONDS)

    def logged(self, message: str, **fields: Any) -> bool:
        """Return whether a record with this message and these fields was logged."""
        return any(
            record.message == message
            and all(record.kwargs.get(name) == value for name, value in fields.items())
            for record in list(self.log.records)
        )

    def wait_for_servers(self, count: int) -> None:
        """Wait until the host has logged the addition of this many servers."""
        self.wait_until(
            lambda: sum(r.message == "server added" for r in self.log.records) >= count
        )

    def send(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"hello",
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send one request on a new connection and return the response."""
        connection = http.client.HTTPConnection(self.front.host, self.front.port, 10)
        try:
            connection.request(method, path, body or None, self.headers(headers))
            return read_response(connection)
        finally:
            connection.close()

    def read_stream(self, path: str) -> Response:
        """Send one request and return all that arrives before the end or a reset."""
        connection = http.client.HTTPConnection(self.front.host, self.front.port, 10)
        received = None
        try:
            connection.request("POST", path, b"x", self.headers())
            response = connection.getresponse()
            received = Response(response.status, {}, b"", complete=False)
            while data := response.read1():
                received.body += data
            received.complete = response.isclosed()
        except (http.client.IncompleteRead, ConnectionError):
            if received is None:
                raise
        finally:
            connection.close()
        return received

    def headers(self, changes: dict[str, str] | None = None) -> dict[str, str]:
        """Return the headers of a valid request with a new attempt ID."""
        self._attempts += 1
        return request_headers(f"attempt-{self._attempts}", changes)

    def is_ready(self) -> bool:
        """Return whether the host reports that it is ready."""
        connection = http.client.HTTPConnection(self.ready.host, self.ready.port, 5)
        try:
            connection.request("GET", "/masticfork/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()


def read_response(connection: http.client.HTTPConnection) -> Response:
    """Read a response, including a truncated one."""
    response = connection.getresponse()
    headers = {name.lower(): value for name, value in response.getheaders()}
    try:
        return Response(response.status, headers, response.read())
    except (http.client.IncompleteRead, ConnectionError) as error:
        partial = getattr(error, "partial", b"")
        return Response(response.status, headers, partial, complete=False)


def free_address() -> Address:
    """Return a loopback address with an unused port."""
    return Address(LOOPBACK, free_port())


@contextmanager
def running_entry_host(
    spec: Any = None,
    bounds: Bounds | None = None,
    *,
    wait: bool = True,
    host: str = "host-1",
    zone: str = "zone-a",
    store: ObjectStore | None = None,
    zone_regions: dict[str, str] | None = None,
    scarce_room: bool = False,
    memory_mb: int = 256,
    with_store_link: bool = False,
) -> Iterator[EntryHostEnvironment]:
    """Run an entry host in a thread, with a store that holds a configuration.

    `spec` is the configuration: the default one if None, or none at all if False. A
    `store` shared with other hosts keeps the one that it has. `with_store_link` leads
    the host's connections to the store through a proxy.
    """
    shared_store, store = store, store or ObjectStore()
    if spec is not False and shared_store is None:
        store.put("config", "main", spec or configuration(1))
    with ExitStack() as stack:
        log = stack.enter_context(logbook.TestHandler().applicationbound())
        store_server = stack.enter_context(serving(store))
        store_address = Address(LOOPBACK, store_server.port)
        store_link = FaultProxy(store_address) if with_store_link else None
        if store_link is not None:
            stack.callback(store_link.close)
            store_address = store_link.address
        front, ready, peer = free_address(), free_address(), free_address()
        transit = free_address()
        settings = EntrySettings(
            host=host,
            zone=zone,
            front=front,
            ready=ready,
            peer_ports=(peer.port, transit.port),
            store=str(store_address),
            seeds=(),
            memory_mb=memory_mb,
            file_descriptors=4096,
            bounds=bounds or Bounds(),
            zone_regions=zone_regions or {},
            scarce_room=scarce_room,
        )
        entry = EntryHost(settings, _NullLogSink())
        thread = threading.Thread(target=entry.run, daemon=True)
        thread.start()
        environment = EntryHostEnvironment(
            store, entry, front, ready, peer, log, store_link
        )
        try:
            if wait:
                environment.wait_until(environment.is_ready, READY_TIMEOUT_SECONDS)
            yield environment
        finally:
            entry.loop.post(entry.loop.stop)
            thread.join(5.0)
            for server in environment.servers:
                server.close()
