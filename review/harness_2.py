"""Stand-ins and processes for the scripts of the second review (cases 6 and up).

Everything runs on loopback addresses, on the real clock, with the standard library
alone: the platform's store, workers and requesters live in the process of the script,
and each entry host is a process of its own, started as the deploy file says.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
KEY = "n2ctnfzs989anu6wsjnb"
HOST_NAME = "desk.example"
MODEL = "daka510000"
# The small sites: four machines in three zones, and their bounds.
ZONES = ("zilina-a", "zilina-a", "zilina-b", "martin-c")
BOUNDS: dict[str, Any] = {
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
    "strict_revocation": False,
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
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "platform",
    "rollout",
]


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file in which a script notes what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._lines: list[str] = []
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def note(self, what: str, /, **fields: Any) -> None:
        """Add a line."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{self.now:8.3f} {what} {words}")

    def close(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


# HTTP/1.1.


@dataclass
class Message:
    """A request or a response; `complete` tells whether all of it has arrived."""

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head, None if the connection ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    return Message(first.split(" ", 2), headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request, None if the connection ends before it is complete."""
    request = await read_head(reader)
    if request is None:
        return None
    length = int(request.headers.get("content-length", "0"))
    try:
        request.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return request


async def read_response(
    reader: asyncio.StreamReader, on_data: Callable[[bytes], None] = lambda _: None
) -> Message | None:
    """Read a response to its end, or to where its connection ends too soon."""
    response = await read_head(reader)
    if response is None:
        return None
    try:
        if response.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                data = (await reader.readexactly(size + 2))[:-2]
                response.body += data
                on_data(data)
            await reader.readexactly(2)
        else:
            length = int(response.headers.get("content-length", "0"))
            response.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        response.complete = False
    return response


def encode_response(
    status: str, headers: dict[str, str], body: bytes | None = b""
) -> bytes:
    """Return a response; without a body its chunks follow."""
    lines = [f"HTTP/1.1 {status}", *(f"{n}: {v}" for n, v in headers.items())]
    if body is None:
        lines.append("Transfer-Encoding: chunked")
        body = b""
    else:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Listener:
    """A stand-in that serves HTTP connections."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError


# The platform's store.


def encode_json(value: Any) -> bytes:
    """Encode a body; lone surrogates stand for bytes that are not UTF-8."""
    text = json.dumps(value, separators=(",", ":"), ensure_ascii=False)
    return text.encode("utf-8", "surrogateescape")


class Store(Listener):
    """The platform's store of objects, with watches and conditional writes."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, bool, bytes]] = []
        self._encoded: dict[tuple[str, str], bytes] = {}
        self._revision = 10
        self._changed = asyncio.Event()
        # While it is set, calls get no answer, and calls that came meanwhile never do.
        self.silent = False
        self.silences = 0

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object's spec, as the operator or a worker does."""
        objects = self._objects.setdefault(kind, {})
        stored = objects.get(name)
        if stored is None:
            meta = {"name": name, "revision": 0, "create_rev": self._revision + 1}
            meta |= {"finalizers": [], "deleting": False}
            stored = objects[name] = {"metadata": meta, "spec": None, "status": None}
        stored["spec"] = spec
        self._log(kind, stored, False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._log(kind, stored, True)

    def status(self, kind: str, name: str) -> Any:
        """Return the status of an object."""
        stored = self._objects.get(kind, {}).get(name)
        return None if stored is None else stored["status"]

    def _log(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self._revision += 1
        stored["metadata"]["revision"] = self._revision
        # Encoded once: what the store holds may be large.
        encoded = encode_json(stored)
        self._encoded[kind, stored["metadata"]["name"]] = encoded
        self._events.append((self._revision, kind, deleted, encoded))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        name = stored["metadata"]["name"]
        if kind != "masticfork-hosts":
            self._record.note("store", kind=kind, name=ascii(name), deleted=deleted)

    def begin_silence(self) -> None:
        """Answer no more calls, neither waiting nor new ones."""
        self.silent = True
        self.silences += 1

    def end_silence(self) -> None:
        """Answer the calls that come from now on."""
        self.silent = False

    async def handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a call."""
        silences = self.silences
        if self.silent:
            await self._hang(reader)
            return False
        await asyncio.sleep(0.004)
        status, body = await self._answer(request)
        if self.silent or silences != self.silences:
            await self._hang(reader)
            return False
        if request.first[0] != "GET":
            path = request.first[1].removeprefix("/masticfork/objects/")
            self._record.note("call", method=request.first[0], path=path, status=status)
        headers = {"Content-Type": "application/json"}
        writer.write(encode_response(status, headers, body))
        await writer.drain()
        return True

    async def _hang(self, reader: asyncio.StreamReader) -> None:
        while await reader.read(4096):
            pass

    async def _answer(self, request: Message) -> tuple[str, bytes]:
        method, target = request.first[0], urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        rest = target.path.removeprefix("/masticfork/objects/")
        kind, _, name = rest.partition("/")
        name, _, part = name.partition("/")
        name = unquote(name, errors="surrogateescape")
        objects = self._objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return "200 OK", await self._watch(kind, query)
        if method == "GET" and not name:
            return "200 OK", self._page(kind, query.get("after_revision", ""))
        body = json.loads(request.body or b"{}")
        if method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return "409 Conflict", self._encoded[kind, name]
            self.put(kind, name, body.get("spec"))
            return "200 OK", self._encoded[kind, name]
        stored = objects.get(name)
        if stored is None:
            return "404 Not Found", b"{}"
        if method == "GET":
            return "200 OK", self._encoded[kind, name]
        wanted = body.get("metadata", {}).get("revision") or query.get("revision")
        if wanted is not None and int(wanted) != stored["metadata"]["revision"]:
            return "409 Conflict", self._encoded[kind, name]
        if method == "DELETE":
            self.remove(kind, name)
            return "200 OK", self._encoded[kind, name]
        if part == "status":
            stored["status"] = body.get("status")
        else:
            stored["spec"] = body.get("spec")
        self._log(kind, stored, False)
        return "200 OK", self._encoded[kind, name]

    def _page(self, kind: str, after: str) -> bytes:
        """Return the objects after a name, 500 or 1 MB of them at most."""
        items: list[bytes] = []
        size = 0
        truncated = False
        for name in sorted(name for name in self._objects[kind] if name > after):
            encoded = self._encoded[kind, name]
            size += len(encoded)
            truncated = len(items) == PAGE_ITEMS or (size > PAGE_BYTES and bool(items))
            if truncated:
                break
            items.append(encoded)
        return b'{"items":[%b],"truncated":%b,"store_revision":%d}' % (
            b",".join(items),
            b"true" if truncated else b"false",
            self._revision,
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        since = int(query["watch"])
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            found = [e for e in self._events if e[0] > since and e[1] == kind]
            left = deadline - time.monotonic()
            if found or left <= 0:
                events = (
                    b'{"deleted":%b,"object":%b}'
                    % (b"true" if e[2] else b"false", e[3])
                    for e in found
                )
                return b'{"events":[%b],"store_revision":%d}' % (
                    b",".join(events),
                    self._revision,
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


# Workers.


@dataclass
class Run:
    """A request that a worker has begun to work on."""

    at: float
    attempt: str
    worker: str
    version: str
    ended: float | None = None
    # Whether the worker gave its whole answer.
    whole: bool = False


class Worker(Listener):
    """A worker of a service: an engine that streams events, or a plain one."""

    def __init__(
        self,
        record: Record,
        store: Store,
        runs: list[Run],
        service: str,
        worker_id: str,
        zone: str,
        version: str = "v1",
        slots: int = 64,
    ) -> None:
        super().__init__()
        self._record = record
        self._store = store
        self._runs = runs
        self.service = service
        self.id = worker_id
        self.zone = zone
        self.version = version
        self.slots = slots
        self.running = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)
        # Events of a stream and the seconds before each; seconds of plain work.
        self.events = 10
        self.gap: Callable[[Message, int], float] = lambda _request, _number: 0.1
        self.work_seconds = 0.02

    async def register(self) -> None:
        """Start and write the own entry."""
        await self.start()
        self.write_entry("ready")

    def write_entry(self, state: str) -> None:
        """Write the own entry to the store."""
        self._sequence += 1
        self._store.put(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "cold_remaining_ms": 0,
                "born": self._born,
                "sequence": self._sequence,
            },
        )

    async def handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request, unless it is meant for another worker or there is no room."""
        attempt = request.headers.get("x-masticfork-attempt-id", "")
        own = {"X-Masticfork-Attempt-Id": attempt}
        if request.headers.get("x-masticfork-expect-instance", self.id) != self.id:
            own["X-Masticfork-Instance-Id"] = self.id
            writer.write(encode_response("421 Misdirected Request", own))
            return True
        if self.running >= self.slots:
            own["X-Masticfork-Not-Executed"] = "1"
            writer.write(encode_response("503 Service Unavailable", own))
            return True
        if self.fails(request):
            return await self._fail(attempt, own, writer)
        run = Run(self._record.now, attempt, self.id, self.version)
        self._runs.append(run)
        self._record.note("run", attempt=attempt, worker=self.id, version=self.version)
        own["X-Masticfork-Server-Stamp"] = f"{self.id}.{len(self._runs)}"
        self.running += 1
        try:
            run.whole = await self._run(request, own, reader, writer)
        finally:
            self.running -= 1
            run.ended = self._record.now
            self._record.note("ran", attempt=attempt, whole=run.whole)
        return run.whole

    def fails(self, request: Message) -> bool:
        """Return whether the worker answers with a failure of its own."""
        return False

    async def _fail(
        self, attempt: str, own: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Answer with a failure of the own; such a request has run."""
        now = self._record.now
        run = Run(now, attempt, self.id, self.version, ended=now)
        self._runs.append(run)
        self._record.note("run", attempt=attempt, worker=self.id, failed=True)
        own["X-Masticfork-Server-Stamp"] = f"{self.id}.{len(self._runs)}"
        await asyncio.sleep(0.02)
        writer.write(encode_response("500 Internal Server Error", own))
        await writer.drain()
        return True

    async def _run(
        self,
        request: Message,
        own: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if "x-masticfork-model" not in request.headers:
            await asyncio.sleep(self.work_seconds)
            if reader.at_eof():
                return False
            writer.write(encode_response("200 OK", own, b"done"))
            await writer.drain()
            return True
        first = int(request.headers.get("last-event-id") or 0) + 1
        own["Content-Type"] = "text/event-stream"
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap(request, number))
            if reader.at_eof() or writer.transport.is_closing():
                return False
            data = chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))
            if number == first:
                data = encode_response("200 OK", own, None) + data
            writer.write(data)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# Entry hosts.


@dataclass
class EntryHost:
    """A process of the project, started as the deploy file says."""

    name: str
    zone: str
    ip: str
    settings: Path
    log: Path
    front_port: int
    ready_port: int
    process: subprocess.Popen[bytes] | None = None
    started_at: float = -1e9
    ready: bool = False
    misses: int = 9
    memory_mb: int = 300

    def start(self, now: float) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["MASTICFORK_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_at = now
        self.misses = 9
        self.ready = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None


def _free_ports(addresses: list[str], count: int) -> list[int]:
    """Return consecutive ports that are free at all addresses."""
    for _ in range(200):
        first = random.randrange(20000, 31000)
        ports = range(first, first + count)
        try:
            for address in addresses:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((address, port))
        except OSError:
            continue
        return list(ports)
    raise RuntimeError("no free ports")


class Platform:
    """Settings, starts, readiness and the address at which requesters connect."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        store: Store,
        zones: tuple[str, ...] = ZONES,
        bounds: dict[str, Any] = BOUNDS,
    ) -> None:
        self._record = record
        self._folder = folder
        self._store = store
        self.bounds = dict(bounds)
        net = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        addresses = [f"{net}.{n + 1}" for n in range(len(zones))]
        self._ports = _free_ports(addresses, 20)
        self.hosts: list[EntryHost] = []
        for number, (zone, ip) in enumerate(zip(zones, addresses, strict=True)):
            name = f"front-{zone}-{number + 1}"
            self.hosts.append(
                EntryHost(
                    name,
                    zone,
                    ip,
                    folder / f"{name}.toml",
                    folder / f"{name}.log",
                    self._ports[0],
                    self._ports[1],
                )
            )
        self._task: asyncio.Task[None] | None = None

    def write_settings(self, host: EntryHost) -> None:
        """Write the settings file of a host."""
        ports = self._ports
        seeds = [f"{h.ip}:{ports[2]}" for h in self.hosts[:3]]
        lines = [
            f"node = {json.dumps(host.name)}",
            'role = "entry"',
            'machine_class = "front"',
            'serves = ["front","control"]',
            f'ip = "{host.ip}"',
            f'zone = "{host.zone}"',
            'region = "sk-central"',
            f"internal_ports = [{ports[3]},{ports[18]}]",
            f"seeds = {json.dumps(seeds)}",
            "bootstrap = true",
            "count_loss = false",
            'discovery = "platform"',
            'entry = "virtual_ip"',
            "heartbeat_ms = 1200",
            f"contracts = {json.dumps(CONTRACTS)}",
            "[zones]",
            *(f'{z} = "sk-central"' for z in dict.fromkeys(h.zone for h in self.hosts)),
            "[listen]",
            f'front = "{host.ip}:{ports[0]}"',
            f'ready = "{host.ip}:{ports[1]}"',
            f'control = "{host.ip}:{ports[2]}"',
            "[limits]",
            "cpu_share = 0.537",
            "cores = 2",
            f"memory_mb = {host.memory_mb}",
            "file_descriptors = 4100",
            "link_mbps = 1000.0",
            "disk_mb = 0",
            "[tolerate]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            *(f"{name} = {json.dumps(value)}" for name, value in self.bounds.items()),
            "[platform]",
            f'address = "{self._store.address}"',
            'form = "objects"',
            "writes_per_s = 400",
            "reads_per_s = 2000",
            "history_s = 20",
            "value_bytes = 1048576",
            "ttl_min_ms = 1000",
        ]
        host.settings.write_text("\n".join(lines) + "\n")

    async def start(self) -> bool:
        """Start all hosts; return whether all became ready."""
        for host in self.hosts:
            self.write_settings(host)
            host.start(self._record.now)
        self._task = asyncio.create_task(self._ask())
        for _ in range(300):
            if all(host.ready for host in self.hosts):
                return True
            await asyncio.sleep(0.1)
        return False

    async def _ask(self) -> None:
        """Ask each host once a second whether it is ready."""
        while True:
            await asyncio.gather(*(self._ask_host(host) for host in self.hosts))
            await asyncio.sleep(1.0)

    async def _ask_host(self, host: EntryHost) -> None:
        ready = False
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host.ip, host.ready_port)
                writer.write(
                    b"GET /masticfork/readiness HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                response = await read_head(reader)
                writer.close()
                ready = response is not None and response.status == 200
        host.misses = 0 if ready else host.misses + 1
        host.ready = host.misses < 2

    def choose(self) -> EntryHost:
        """Return the host for a new channel."""
        ready = [host for host in self.hosts if host.ready]
        return random.choice(ready or self.hosts)

    async def stop(self) -> None:
        """End all processes."""
        if self._task is not None:
            self._task.cancel()
        for host in self.hosts:
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()


# Requesters.


@dataclass
class Attempt:
    """One attempt of a requester and what came of it."""

    id: str
    host: str
    sent: float
    session: str = ""
    status: int | None = None
    complete: bool = False
    stamped: bool = False
    ended: float = 0.0
    pieces: int = 0
    # Loop times at which each part of the body has arrived.
    parts: list[float] = field(default_factory=list)


def _encode_request(
    attempt: Attempt, path: str, method: str, limit_ms: int, stream: bool
) -> bytes:
    headers = {
        "Host": HOST_NAME,
        "X-Masticfork-Attempt-Id": attempt.id,
        "X-Masticfork-Deadline-Ms": str(limit_ms),
        "Authorization": f"Bearer {KEY}",
    }
    if stream:
        headers["X-Masticfork-Model"] = MODEL
        headers["X-Masticfork-Token-Usage"] = "410,50"
        own_part = f"{random.getrandbits(32):08x}"
        headers["X-Masticfork-Prompt-Prefix"] = f"5c1e07a2:210,{own_part}:200"
    if attempt.session:
        headers["Session"] = attempt.session
    body = b"" if method == "GET" else b"order"
    if body:
        headers["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class RequesterChannel:
    """A requester's channel to one host, kept open for any number of requests."""

    def __init__(self, record: Record, host: EntryHost) -> None:
        self._record = record
        self.host = host
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        path: str,
        *,
        method: str = "POST",
        session: str = "",
        limit_ms: int = 1500,
        stream: bool = False,
    ) -> Attempt:
        """Send one request and return what came of it."""
        record, name = self._record, self.host.name
        attempt = Attempt(f"{random.getrandbits(64):016x}", name, record.now, session)
        record.note(
            "sent", attempt=attempt.id, host=name, path=path, session=session or "-"
        )
        data = _encode_request(attempt, path, method, limit_ms, stream)
        response = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(limit_ms / 1000 + 1.0):
                if self._reader is None or self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self.host.ip, self.host.front_port
                    )
                self._writer.write(data)
                response = await read_response(
                    self._reader, lambda _: attempt.parts.append(record.now)
                )
        attempt.ended = record.now
        if response is not None:
            attempt.status = response.status
            attempt.complete = response.complete
            attempt.stamped = "x-masticfork-server-stamp" in response.headers
            attempt.pieces = response.body.count(b"id: ")
        if (
            response is None
            or not response.complete
            or response.headers.get("connection") == "close"
        ):
            self.close()
        record.note(
            "answer",
            attempt=attempt.id,
            status=attempt.status,
            complete=attempt.complete,
            pieces=attempt.pieces,
        )
        return attempt

    @property
    def is_open(self) -> bool:
        """Return whether the channel can take another request."""
        return self._writer is not None

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def send(
    record: Record,
    host: EntryHost,
    path: str,
    *,
    method: str = "POST",
    session: str = "",
    limit_ms: int = 1500,
    stream: bool = False,
) -> Attempt:
    """Send one request on a channel of its own and return what came of it."""
    channel = RequesterChannel(record, host)
    try:
        return await channel.ask(
            path, method=method, session=session, limit_ms=limit_ms, stream=stream
        )
    finally:
        channel.close()


def route(name: str, path: str, kind: str, service: str, **changes: Any) -> Any:
    """Return a route of a configuration."""
    fields: dict[str, Any] = {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 125,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return fields | changes


def configuration(version: int, routes: list[Any], services: list[Any]) -> Any:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


def engine_service(name: str, slots: int = 64) -> Any:
    """Return a service of model engines in a configuration."""
    engine = {
        "slots": slots,
        "kv_capacity_tokens": 618648,
        "models": [{"name": MODEL, "cost": 0.06}],
    }
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 360,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }


def plain_service(name: str) -> Any:
    """Return a plain service in a configuration."""
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 96,
        "protocol": "h1",
        "tls": False,
    }


Case = Callable[[Record, Path], Awaitable[int]]


def main(case: Case, folder: Path, seconds: float = 110.0) -> None:
    """Play a case and exit with its result; 2 if it could not run."""
    record = Record(folder)

    async def play(work: Path) -> int:
        async with asyncio.timeout(seconds):
            return await case(record, work)

    # The processes end with the script if it is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    result = NOT_RUN
    with tempfile.TemporaryDirectory() as work:
        try:
            result = asyncio.run(play(Path(work)))
        except Exception as error:
            record.note("not run", error=repr(error))
            print(f"not run: {error!r}")
        finally:
            if keep := os.environ.get("KEEP_LOGS"):
                for log in Path(work).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
            record.note("result", trouble=trouble(), code=result)
            record.close()
    sys.exit(result)
