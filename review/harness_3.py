"""Stand-ins and checks for the scripts of the third review; standard library only.

The store, the servers and the callers run in threads of the script. The entry hosts are
processes of their own, started with the command of the deploy file. They share all
ports and differ in their loopback address.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parent.parent
OBJECTS_PATH = "/masticfork/objects/"
# A page of a listing holds about 500 objects or 1 MB at most.
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
KEY = "key-of-the-team"
TEAM = "team-1"
CALLER_HOST = "desk.example"
SERVICE = "desk"
ENGINES = "engines"
MODEL = "model-1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# How long a server works on a request, and an engine reads a prompt.
WORK_SECONDS = 0.02
PROMPT_SECONDS = 1.0

# Values of the sheet of platno-route.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revocation": "false",
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.9,
    "budget_window_s": 10,
    "budget_slack": 52,
    "expose_share": 0.15,
    "expose_slack": 30,
    "rollback_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "session_s": 5,
}
ZONES = ("zone-a", "zone-a", "zone-b", "zone-c")


class Record:
    """Writes what happens to `record.txt`, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._lock = threading.Lock()
        self._file = (folder / "record.txt").open("w")

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{self.now:8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            self._file.close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    block_on_close = False

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that the other side has closed."""


class Store:
    """The platform's object store: kinds, revisions, watches and pages."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._changed = threading.Condition()
        # By kind and name: spec as JSON, status, revision and revision of creation.
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, bool, bytes]] = []
        self._revision = 1
        self._cuts = 0
        self._closed_ports: set[int] = set()
        self._server = _Server(("127.0.0.1", 0), self._handler())
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address as HOST:PORT."""
        return f"127.0.0.1:{self._server.server_address[1]}"

    def open_second_address(self) -> _Server:
        """Serve at a further address, which becomes `address`; return the old one."""
        old, self._server = self._server, _Server(("127.0.0.1", 0), self._handler())
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        return old

    def close_address(self, server: _Server) -> None:
        """Stop to serve at an address, and cut off what waits there."""
        server.shutdown()
        server.server_close()
        self._closed_ports.add(server.server_address[1])
        self.cut_watches()

    def put(self, kind: str, name: str, spec: Any) -> float:
        """Create an object or replace its spec; return the time of the ack."""
        return self.put_raw(kind, name, json.dumps(spec).encode())

    def put_raw(self, kind: str, name: str, spec: bytes) -> float:
        """Create an object with an encoded spec; return the time of the ack."""
        with self._changed:
            known = self._objects.setdefault(kind, {}).get(name)
            stored = known or {"created": self._revision + 1, "status": None}
            stored["spec"] = spec
            self._objects[kind][name] = stored
            self._log(kind, name, deleted=False)
        return self._record.now

    def remove(self, kind: str, name: str) -> float:
        """Remove an object; return the time of the ack."""
        with self._changed:
            self._log(kind, name, deleted=True)
            del self._objects[kind][name]
        return self._record.now

    def cut_watches(self) -> None:
        """Cut off all watches that are waiting."""
        with self._changed:
            self._cuts += 1
            self._changed.notify_all()

    def _log(self, kind: str, name: str, deleted: bool) -> None:
        self._revision += 1
        self._objects[kind][name]["revision"] = self._revision
        encoded = self._encoded(kind, name)
        self._events.append((self._revision, kind, deleted, encoded))
        self._changed.notify_all()

    def _encoded(self, kind: str, name: str) -> bytes:
        stored = self._objects[kind][name]
        metadata = {
            "name": name,
            "revision": stored["revision"],
            "create_rev": stored["created"],
            "finalizers": [],
            "deleting": False,
        }
        parts = (
            json.dumps(metadata).encode(),
            stored["spec"],
            json.dumps(stored["status"]).encode(),
        )
        return b'{"metadata":%b,"spec":%b,"status":%b}' % parts

    def _list(self, kind: str, after: str) -> bytes:
        items: list[bytes] = []
        size, truncated = 0, False
        for name in sorted(n for n in self._objects.get(kind, {}) if n > after):
            item = self._encoded(kind, name)
            size += len(item)
            if len(items) == PAGE_ITEMS or (items and size > PAGE_BYTES):
                truncated = True
                break
            items.append(item)
        body = (b",".join(items), str(truncated).lower().encode(), self._revision)
        return b'{"items":[%b],"truncated":%b,"store_revision":%d}' % body

    def _watch(self, kind: str, since: int, seconds: float) -> bytes | None:
        """Return the events after a revision, None if the watch is cut off."""
        until = time.monotonic() + seconds
        with self._changed:
            cuts = self._cuts
            while True:
                found = [e for e in self._events if e[0] > since and e[1] == kind]
                left = until - time.monotonic()
                if found or left <= 0:
                    break
                self._changed.wait(left)
                if self._cuts != cuts:
                    return None
            events = b",".join(
                b'{"deleted":%b,"object":%b}' % (str(e[2]).lower().encode(), e[3])
                for e in found
            )
            return b'{"events":[%b],"store_revision":%d}' % (events, self._revision)

    def _write(self, method: str, path: str, body: Any) -> tuple[int, bytes]:
        kind, _, rest = path.partition("/")
        name, _, part = rest.partition("/")
        name = urllib.parse.unquote(name)
        metadata = body.get("metadata", {})
        with self._changed:
            objects = self._objects.setdefault(kind, {})
            if method == "POST":
                name = metadata["name"]
                if name in objects:
                    return 409, self._encoded(kind, name)
                objects[name] = {"created": self._revision + 1, "status": None}
            elif name not in objects:
                return 404, b"{}"
            elif metadata.get("revision") not in (None, objects[name]["revision"]):
                return 409, self._encoded(kind, name)
            if part == "status":
                objects[name]["status"] = body.get("status")
            else:
                objects[name]["spec"] = json.dumps(body.get("spec")).encode()
            self._log(kind, name, deleted=False)
            return 200, self._encoded(kind, name)

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args: Any) -> None:
                """Write no log."""

            def handle_one_request(self) -> None:
                if self.server.server_address[1] in store._closed_ports:
                    self.close_connection = True
                    return
                super().handle_one_request()

            def do_GET(self) -> None:
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                kind, _, name = url.path.removeprefix(OBJECTS_PATH).partition("/")
                if "watch" in query:
                    wait = int(query.get("wait_ms", "0")) / 1000
                    body = store._watch(kind, int(query["watch"]), wait)
                    if body is None:
                        self.close_connection = True
                        self.connection.shutdown(socket.SHUT_RDWR)
                        return
                    self._reply(200, body)
                    return
                with store._changed:
                    if not name:
                        after = query.get("after_revision", "")
                        status, body = 200, store._list(kind, after)
                    elif urllib.parse.unquote(name) in store._objects.get(kind, {}):
                        body = store._encoded(kind, urllib.parse.unquote(name))
                        status = 200
                    else:
                        status, body = 404, b"{}"
                self._reply(status, body)

            def do_POST(self) -> None:
                length = int(self.headers.get("Content-Length", "0"))
                body = json.loads(self.rfile.read(length))
                path = self.path.removeprefix(OBJECTS_PATH)
                self._reply(*store._write(self.command, path, body))

            def do_PUT(self) -> None:
                self.do_POST()

            def _reply(self, status: int, body: bytes) -> None:
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        return Handler


class Worker:
    """A backend server of the plain service, which serves until it is closed."""

    def __init__(self, record: Record, name: str, port: int = 0) -> None:
        self.name = name
        self._record = record
        self._slots = threading.Semaphore(6)
        # Seconds, attempt id and body of each request that it was sent.
        self.arrivals: list[tuple[float, str, bytes]] = []
        self._server = _Server(("127.0.0.1", port), self._handler())
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the port."""
        return self._server.server_address[1]

    @property
    def address(self) -> str:
        """Return the address as HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return what the server writes about itself to the store."""
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
            **changes,
        }

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args: Any) -> None:
                """Write no log."""

            def do_POST(self) -> None:
                attempt_id = self.headers.get("X-Masticfork-Attempt-Id", "")
                body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
                expected = self.headers.get("X-Masticfork-Expect-Instance")
                if expected not in (None, worker.name):
                    worker._record.write(f"{worker.name} refused {attempt_id}: 421")
                    self._reply(421, b"", {})
                    return
                worker.arrivals.append((worker._record.now, attempt_id, body))
                worker._record.write(f"{worker.name} runs {attempt_id}: {body!r}")
                with worker._slots:
                    time.sleep(WORK_SECONDS)
                fields = {
                    "X-Masticfork-Attempt-Id": attempt_id,
                    "X-Masticfork-Server-Stamp": f"stamp-of-{worker.name}",
                }
                self._reply(200, b"done by " + worker.name.encode(), fields)

            def do_GET(self) -> None:
                self.do_POST()

            def _reply(self, status: int, body: bytes, fields: dict[str, str]) -> None:
                self.send_response(status)
                for name, value in fields.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        return Handler


class Engine(Worker):
    """A model engine, whose answers are streams of events with ids from 1 on.

    Until its first event it sends some comments, as the format of the streams allows.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        events: int,
        comments: int = 0,
        prompt_seconds: float = PROMPT_SECONDS,
    ) -> None:
        super().__init__(record, name)
        self._events = events
        self._comments = comments
        self._prompt_seconds = prompt_seconds

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        engine = self

        class Handler(super()._handler()):  # type: ignore[misc]
            def _reply(self, status: int, body: bytes, fields: dict[str, str]) -> None:
                if status != 200:
                    super()._reply(status, body, fields)
                    return
                self.send_response(200)
                for name, value in fields.items():
                    self.send_header(name, value)
                self.send_header("Content-Type", "text/event-stream")
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                for _ in range(engine._comments):
                    self._send(b": reading the prompt\n\n")
                    time.sleep(engine._prompt_seconds / (engine._comments + 1))
                time.sleep(engine._prompt_seconds / (engine._comments + 1))
                first = int(self.headers.get("Last-Event-Id", "0")) + 1
                for number in range(first, engine._events + 1):
                    self._send(b"id: %d\ndata: word\n\n" % number)
                    time.sleep(0.02)
                self.wfile.write(b"0\r\n\r\n")

            def _send(self, event: bytes) -> None:
                self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
                self.wfile.flush()

        return Handler


def configuration(version: int = 1) -> dict[str, Any]:
    """Return a configuration with a safe and an unsafe route to the plain service."""
    usual = {
        "host": CALLER_HOST,
        "timeout_ms": 1500,
        "target_latency_ms": 125,
        "priority": 1,
        "service": SERVICE,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return {
        "version": version,
        "routes": [
            {
                **usual,
                "name": "r-safe",
                "path_prefix": "/safe/",
                "kind": "safe",
                "max_attempts": 2,
            },
            {
                **usual,
                "name": "r-unsafe",
                "path_prefix": "/unsafe/",
                "kind": "unsafe",
                "max_attempts": 1,
            },
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_connections": 96,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TEAM, "api_keys": [KEY], "priority": 1}],
    }


def configuration_of_engines() -> dict[str, Any]:
    """Return a configuration with one route, to streams of the engines."""
    spec = configuration()
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 618648,
        "models": [{"name": MODEL, "cost": 0.06}],
    }
    spec["services"] = [
        {
            "name": ENGINES,
            "health_path": "/health",
            "max_connections": 360,
            "protocol": "h1",
            "tls": False,
            "engine": engine,
        }
    ]
    spec["routes"] = [
        {
            **spec["routes"][0],
            "name": "r-stream",
            "path_prefix": "/stream/",
            "kind": "streaming",
            "timeout_ms": 12000,
            "target_latency_ms": 2000,
            "service": ENGINES,
            "max_attempts": 3,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 1000,
        }
    ]
    return spec


class EntryHost:
    """One entry host: a process that is started with the command of the deploy file."""

    def __init__(self, fleet: "Fleet", number: int, zone: str) -> None:
        self._fleet = fleet
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = f"127.0.3.{10 + number}"
        self.settings_path = fleet.folder / f"{self.name}.toml"
        self._process: subprocess.Popen[bytes] | None = None

    def write_settings(self) -> None:
        """Write the settings file as it is now."""
        self.settings_path.write_text(self._settings())

    def start(self) -> None:
        """Start the process."""
        self.write_settings()
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        command[command.index("9464")] = str(self._fleet.ports["metrics"])
        passed = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in passed if name in os.environ}
        env["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        env["MASTICFORK_CONFIG"] = str(self.settings_path)
        log = (self._fleet.folder / f"{self.name}.log").open("ab")
        self._process = subprocess.Popen(
            command, cwd=REPOSITORY, env=env, stdout=log, stderr=log
        )
        log.close()
        self._fleet.record.write(f"{self.name} started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._fleet.record.write(f"{self.name} gets {number.name}")
        self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None

    def is_ready(self) -> bool:
        """Return whether the host reports that it is ready."""
        connection = http.client.HTTPConnection(self.ip, self._fleet.ports["ready"], 1)
        try:
            connection.request("GET", "/masticfork/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def _settings(self) -> str:
        ports, ip = self._fleet.ports, self.ip
        seeds = ",".join(f'"{h.ip}:{ports["control"]}"' for h in self._fleet.hosts[:3])
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        zones = "\n".join(f'{zone} = "region-1"' for zone in sorted(set(ZONES)))
        return f"""
node = "{self.name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{self.zone}"
region = "region-1"
internal_ports = [{ports["internal"]},{ports["internal"] + 1}]
seeds = [{seeds}]
bootstrap = true
count_loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","tenants","platform"]
[zones]
{zones}
[listen]
front = "{ip}:{ports["front"]}"
ready = "{ip}:{ports["ready"]}"
control = "{ip}:{ports["control"]}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
{bounds}
[platform]
address = "{self._fleet.store.address}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Fleet:
    """The entry hosts, behind a balancer that asks once a second whether each is ready.

    A caller's new connection goes to any host in rotation, or to any if there is none.
    """

    def __init__(self, record: Record, store: Store, count: int = 4) -> None:
        self.record = record
        self.store = store
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.hosts: list[EntryHost] = []
        ips = [f"127.0.3.{10 + number}" for number in range(count)]
        self.ports = _free_ports(ips)
        for number in range(count):
            self.hosts.append(EntryHost(self, number, ZONES[number % len(ZONES)]))
        self._misses = dict.fromkeys(self.hosts, 2)
        self._closed = False
        threading.Thread(target=self._check, daemon=True).start()

    def start(self) -> None:
        """Start all hosts."""
        for host in self.hosts:
            host.start()

    @property
    def ready_hosts(self) -> list[EntryHost]:
        """Return the hosts in rotation."""
        return [host for host, misses in self._misses.items() if misses < 2]

    def choose(self) -> EntryHost:
        """Return the host that gets a new connection."""
        return random.choice(self.ready_hosts or self.hosts)

    def close(self) -> None:
        """End all hosts."""
        self._closed = True
        for host in self.hosts:
            host.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _check(self) -> None:
        while not self._closed:
            for host in self.hosts:
                was_ready = self._misses[host] < 2
                self._misses[host] = 0 if host.is_ready() else self._misses[host] + 1
                if was_ready != (self._misses[host] < 2):
                    change = "leaves" if was_ready else "enters"
                    self.record.write(f"{host.name} {change} the rotation")
            time.sleep(1.0)


class Traffic:
    """Sends safe and unsafe requests in turn, or ones for streams, at a fixed rate."""

    def __init__(
        self,
        record: Record,
        fleet: Fleet,
        per_second: float,
        path: str = "",
        extra_headers: dict[str, str] | None = None,
    ) -> None:
        self._record = record
        self._fleet = fleet
        self._per_second = per_second
        # The path of all requests; if empty, the routes of the plain service in turn.
        self._path = path
        self._extra_headers = extra_headers or {}
        # Seconds of sending, attempt id and status, 0 without an answer.
        self.ends: list[tuple[float, str, int]] = []
        # Bodies by attempt id.
        self.bodies: dict[str, bytes] = {}
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._sender = threading.Thread(target=self._run, daemon=True)
        self._sender.start()

    def stop(self) -> None:
        """Send no more, and wait for all answers."""
        self._stopped.set()
        self._sender.join()
        for thread in self._threads:
            thread.join(15.0)

    def complete_streams(self, events: int) -> set[str]:
        """Return the attempt ids whose streams hold all events."""
        last = b"id: %d\n" % events
        return {name for name, body in self.bodies.items() if last in body}

    def _run(self) -> None:
        number = 0
        while not self._stopped.wait(1.0 / self._per_second):
            number += 1
            arguments = f"{number:016x}", number % 2 == 1
            thread = threading.Thread(target=self._send, args=arguments, daemon=True)
            self._threads.append(thread)
            thread.start()

    def _send(self, attempt_id: str, is_safe: bool) -> None:
        """Send one request."""
        path = self._path or ("/safe/x" if is_safe else "/unsafe/x")
        deadline_ms = 12_000 if self._path else 1500
        host = self._fleet.choose()
        sent_at = self._record.now
        headers = {
            "Host": CALLER_HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Masticfork-Attempt-Id": attempt_id,
            "X-Masticfork-Deadline-Ms": str(deadline_ms),
            **self._extra_headers,
        }
        if self._path:
            headers |= {
                "X-Masticfork-Model": MODEL,
                "X-Masticfork-Token-Usage": "1460,80",
                "X-Masticfork-Prompt-Prefix": f"5c1e07a2:800,{attempt_id}:660",
            }
        connection = http.client.HTTPConnection(
            host.ip, self._fleet.ports["front"], 0.5 + deadline_ms / 1000
        )
        status, body = 0, b""
        try:
            connection.request("POST", path, order(attempt_id), headers)
            response = connection.getresponse()
            body = response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        self.bodies[attempt_id] = body
        self.ends.append((sent_at, attempt_id, status))
        self._record.write(f"{host.name} answers {attempt_id}: {status} {body!r}")


def order(attempt_id: str) -> bytes:
    """Return the body of the request with an attempt id."""
    return f"the order of {attempt_id}".encode()


def _free_ports(ips: list[str]) -> dict[str, int]:
    """Return ports that are free at all addresses."""
    for _ in range(100):
        base = random.randrange(20_000, 30_000, 10)
        numbers = range(base, base + 8)
        try:
            for ip in ips:
                for number in numbers:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((ip, number))
        except OSError:
            continue
        names = ("front", "ready", "control", "metrics", "internal")
        return dict(zip(names, numbers, strict=False))
    raise RuntimeError("no free ports")


def wait_until(condition: Callable[[], bool], seconds: float) -> bool:
    """Poll until a condition holds; return whether it did within the time."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            return False
        time.sleep(0.02)
    return True


def run_case(
    folder: Path, case: Callable[[Record, Store, Fleet, bool], tuple[int, str]]
) -> None:
    """Run a case in a small deployment, and exit with its result.

    The case returns 0, 1 or 2 and a line that tells why.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the hosts as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder)
    store = Store(record)
    fleet = Fleet(record, store)
    try:
        result, why = case(record, store, fleet, with_trouble)
    except Exception as error:
        result, why = NOT_RUN, f"the case could not run: {error!r}"
    finally:
        fleet.close()
    record.write(f"result {result}: {why}")
    record.close()
    print(f"{result}: {why}")
    sys.stdout.flush()
    os._exit(result)
