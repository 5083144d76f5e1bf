"""Stand-ins and process control that the scripts of the review share.

The entry hosts are the project's own program, started with the command of the deploy
file. Each has a loopback address of its own, so that all hosts use the same ports. The
store is the project's stand-in; workers, clients and the platform's ingress follow the
users' pages.
"""

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
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
sys.path[:0] = [str(ROOT), str(DEPS)]

from standins.common import serving  # noqa: E402
from standins.object_store import ObjectStore  # noqa: E402
from standins.ports import free_port  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Bounds of the small deployments, as their settings files hold them.
GRACE_SECONDS = 8.0
CONTACT_SECONDS = 3.0
CONFIG_APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
READY_TIMEOUT_SECONDS = 20.0
READ_BYTES = 65536
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST_HEADER = "ficu95.example"
TRACE_HEADERS = (
    "x-masticfork-attempt-id",
    "x-masticfork-deadline-ms",
    "x-masticfork-tenant",
)

SETTINGS = """\
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internal_ports = [{first_port}, {last_port}]
seeds = {seeds}
bootstrap = true
count_loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", \
"stream", "tenants", "platform", "rollout"]
[zones]
{zones}
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{control_port}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_budget_ratio = 0.9
budget_window_s = 10
budget_slack = 52
expose_share = 0.15
expose_slack = 30
rollback_ms = 5000
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
session_s = 5
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CannotRunError(Exception):
    """Raised if a case could not be run."""


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self._path = folder / "record.txt"
        self._file = self._path.open("w")

    @property
    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start

    def write(self, what: str, **fields: Any) -> float:
        """Write one line and return its time."""
        now = self.now
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{now:9.3f} {what} {text}\n")
                self._file.flush()
        return now

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            self._file.close()


class Request:
    """A request as a worker has received it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def attempt_id(self) -> str:
        """Return the id of the requester's attempt."""
        return self.headers.get("x-masticfork-attempt-id", "")


# Returns the status, the body and the seconds after which a request is answered.
Handler = Callable[[Request], tuple[int, bytes, float]]


class Worker:
    """A worker of a plain service, which answers after the time of its handler."""

    def __init__(self, record: Record, name: str, handler: Handler) -> None:
        self.name = name
        self._record = record
        self._handler = handler
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        # Returns the headers of an answer beside the usual ones.
        self.extra_headers: Callable[[], dict[str, str]] = dict
        # Times at which a run began and ended, by the id of the attempt.
        self.begun: dict[str, list[float]] = {}
        self.ended: dict[str, float] = {}
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the listening address as IP:PORT."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = b""
        with sock, contextlib.suppress(OSError):
            while True:
                request, buffer = _read_request(sock, buffer)
                if request is None:
                    return
                sock.sendall(self._answer(request))

    def _answer(self, request: Request) -> bytes:
        expected = request.headers.get("x-masticfork-expect-instance", self.name)
        if expected != self.name:
            return _head("421 Misdirected Request", request, 0)
        attempt_id = request.attempt_id
        trace = {name[13:]: request.headers.get(name) for name in TRACE_HEADERS}
        at = self._record.write("run-begins", worker=self.name, **trace)
        self.begun.setdefault(attempt_id, []).append(at)
        status, body, seconds = self._handler(request)
        time.sleep(seconds)
        at = self._record.write("run-ends", worker=self.name, id=attempt_id)
        self.ended[attempt_id] = at
        extra = self.extra_headers()
        return _head(f"{status} OK", request, len(body), self.name, extra) + body


def _head(
    status: str,
    request: Request,
    length: int,
    stamp: str = "",
    extra: dict[str, str] | None = None,
) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"X-Masticfork-Attempt-Id: {request.attempt_id}"]
    if stamp:
        lines.append(f"X-Masticfork-Server-Stamp: {stamp}")
    lines.append(f"Content-Length: {length}")
    lines += [f"{name}: {value}" for name, value in (extra or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _read_request(sock: socket.socket, buffer: bytes) -> tuple[Request | None, bytes]:
    while b"\r\n\r\n" not in buffer:
        data = sock.recv(READ_BYTES)
        if not data:
            return None, b""
        buffer += data
    head, _, buffer = buffer.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    length = int(headers.get("content-length", "0"))
    parts, received = [buffer], len(buffer)
    while received < length:
        data = sock.recv(READ_BYTES)
        if not data:
            return None, b""
        parts.append(data)
        received += len(data)
    buffer = b"".join(parts)
    return Request(method, target, headers, buffer[:length]), buffer[length:]


class Host:
    """An entry host on an address of its own, started as the deploy file says."""

    def __init__(
        self, site: "Site", name: str, ip: str, zone: str, memory_mb: int
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.memory_mb = memory_mb
        self._site = site
        self._settings = site.folder / f"{name}.toml"
        self._log_path = site.folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def alive(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def memory_used_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
        return int(sizes[0]) / 1024 if sizes else 0.0

    @property
    def log(self) -> list[dict[str, Any]]:
        """Return the decoded log lines."""
        lines = self._log_path.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def start(self) -> None:
        """Write the settings and start the process."""
        site = self._site
        zones = sorted({host.zone for host in site.hosts} | {self.zone})
        seeds = [f"{host.ip}:{site.control_port}" for host in site.hosts[:3]]
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                first_port=site.first_port,
                last_port=site.last_port,
                seeds=json.dumps(seeds),
                zones="\n".join(f'{zone} = "region-1"' for zone in zones),
                front_port=site.front_port,
                ready_port=site.ready_port,
                control_port=site.control_port,
                memory_mb=self.memory_mb,
                store=site.store_address,
            )
        )
        keep = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment = {
            **keep,
            "MASTICFORK_CONFIG": str(self._settings),
            "PYTHONPATH": str(DEPS),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        command = [*deploy_command(), "--metrics-port", str(site.metrics_port)]
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        site.record.write("host-started", host=self.name, pid=self.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.alive:
            self._site.record.write("signal", host=self.name, signal=number.name)
            os.kill(self.pid, number)

    def stop(self) -> None:
        """Stop the process as the platform does."""
        self.signal(signal.SIGTERM)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            if self.alive:
                self._process.kill()
            self._process.wait()

    def is_ready(self) -> bool:
        """Ask as the platform does whether the host takes new channels."""
        try:
            with socket.create_connection(
                (self.ip, self._site.ready_port), timeout=0.8
            ) as sock:
                sock.sendall(b"GET /masticfork/readiness HTTP/1.1\r\nHost: h\r\n\r\n")
                return b" 200 " in sock.recv(256)
        except OSError:
            return False


def deploy_command() -> list[str]:
    """Return the command of the deploy file without the port of the metrics."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    command = shlex.split(deploy["roles"]["entry"]["run"])
    return command[: command.index("--metrics-port")]


class Site:
    """A small deployment: a store, workers and entry hosts."""

    def __init__(self, record: Record, folder: Path, store: ObjectStore) -> None:
        self.record = record
        self.folder = folder
        self.store = store
        self.store_address = ""
        self.hosts: list[Host] = []
        self.workers: list[Worker] = []
        self.front_port, self.ready_port, self.control_port = (
            free_port() for _ in range(3)
        )
        self.metrics_port = free_port()
        self.first_port, self.last_port = sorted((free_port(), free_port()))

    def add_worker(self, service: str, handler: Handler, **changes: Any) -> Worker:
        """Start a worker and register it in the store."""
        worker = Worker(self.record, f"i-{len(self.workers) + 1:04d}", handler)
        self.workers.append(worker)
        self.put_worker(worker, service, **changes)
        return worker

    def put_worker(self, worker: Worker, service: str, **changes: Any) -> None:
        """Write a worker's entry."""
        entry = {
            "service": service,
            "address": worker.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
            **changes,
        }
        self.store.put("servers", worker.name, entry)

    def put_config(self, config: dict[str, Any]) -> float:
        """Write a config as the operator does; return the time of the ack."""
        self.store.put("config", "main", config)
        return self.record.write("config-acked", version=config["version"])

    def add_host(self, zone: str = "zone-a", memory_mb: int = 300) -> Host:
        """Add a host, which is not started yet."""
        number = len(self.hosts) + 1
        host = Host(self, f"host-{number}", f"127.0.0.{20 + number}", zone, memory_mb)
        self.hosts.append(host)
        return host

    def start_hosts(self) -> None:
        """Start all hosts and wait until they are ready and know each other."""
        for host in self.hosts:
            host.start()
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > deadline or not all(h.alive for h in self.hosts):
                raise CannotRunError("the hosts did not get ready")
            time.sleep(0.1)
        self.record.write("hosts-ready")

    def runs(self, attempt_id: str) -> list[float]:
        """Return the times at which workers began to run an attempt."""
        return sorted(
            at for worker in self.workers for at in worker.begun.get(attempt_id, [])
        )

    def run_end(self, attempt_id: str) -> float | None:
        """Return the time at which a worker had run an attempt."""
        ends = [w.ended[attempt_id] for w in self.workers if attempt_id in w.ended]
        return max(ends, default=None)


@contextlib.contextmanager
def running_site(folder: Path) -> Iterator[Site]:
    """Serve a store, and end all processes afterwards."""
    record = Record(folder)
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        store = ObjectStore()
        with serving(store) as server:
            site = Site(record, Path(temporary), store)
            site.store_address = f"127.0.0.1:{server.port}"
            try:
                yield site
            finally:
                for host in site.hosts:
                    host.end()
                for worker in site.workers:
                    worker.close()
                keep_logs = os.environ.get("KEEP_LOGS")
                if keep_logs:
                    for host in site.hosts:
                        target = Path(keep_logs) / f"{host.name}.log"
                        target.write_text((site.folder / target.name).read_text())
                record.close()


class Ingress:
    """The platform's ingress to one zone: which host gets a new channel."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._misses = {host.name: 0 for host in site.hosts}
        self._stopped = threading.Event()
        for host in site.hosts:
            threading.Thread(target=self._probe, args=(host,), daemon=True).start()

    def close(self) -> None:
        """Stop asking the hosts whether they are ready."""
        self._stopped.set()

    def choose(self, rng: random.Random) -> Host:
        """Return the host for a new channel.

        If fewer than half of the zone's hosts are in rotation, all are used.
        """
        hosts = self._site.hosts
        rotation = [host for host in hosts if self._misses[host.name] < 2]
        usable = hosts if len(rotation) * 2 < len(hosts) else rotation
        return rng.choice(usable)

    def _probe(self, host: Host) -> None:
        while not self._stopped.wait(1.0):
            ready = host.is_ready()
            before = self._misses[host.name]
            misses = 0 if ready else before + 1
            if (before < 2) != (misses < 2):
                state = "in" if misses < 2 else "out"
                self._site.record.write("rotation", host=host.name, state=state)
            self._misses[host.name] = misses


class Attempt:
    """One attempt of a requester and what became of it."""

    def __init__(self, attempt_id: str, host: Host) -> None:
        self.attempt_id = attempt_id
        self.host = host
        self.connected = False
        self.sent_at: float | None = None
        self.ended_at: float | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        # Whether the requester ended the attempt at its time limit.
        self.gave_up = False
        self.error = ""


def send_attempt(
    record: Record,
    host: Host,
    port: int,
    path: str,
    *,
    attempt_id: str,
    method: str = "POST",
    body: bytes = b"{}",
    deadline_ms: int = 4000,
    key: str = KEY,
    session: str = "",
    socket_options: Callable[[socket.socket], None] | None = None,
    read_pause: Callable[[int], float] | None = None,
    bytes_per_second: float | None = None,
) -> Attempt:
    """Send one request on a new channel and read its answer.

    `read_pause` returns the seconds to wait after reading some bytes, and
    `bytes_per_second` is the rate at which the request is sent.
    """
    attempt = Attempt(attempt_id, host)
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n"
        f"X-Masticfork-Attempt-Id: {attempt_id}\r\n"
        f"X-Masticfork-Deadline-Ms: {deadline_ms}\r\n"
        f"Authorization: Bearer {key}\r\n"
    )
    if session:
        head += f"Session: {session}\r\n"
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    data = head.encode() + b"\r\n" + (body if method != "GET" else b"")
    limit = time.monotonic() + deadline_ms / 1000
    sock = socket.socket()
    try:
        if socket_options is not None:
            socket_options(sock)
        sock.settimeout(1.0)
        sock.connect((host.ip, port))
        attempt.connected = True
        if bytes_per_second is None:
            sock.sendall(data)
        else:
            sock.settimeout(deadline_ms / 1000)
            _send_paced(sock, data, bytes_per_second)
        attempt.sent_at = record.write("sent", id=attempt_id, host=host.name, path=path)
        _read_answer(sock, attempt, limit, read_pause)
    except TimeoutError:
        attempt.gave_up = attempt.sent_at is not None
        attempt.error = "timeout"
    except OSError as error:
        attempt.error = type(error).__name__
    finally:
        sock.close()
    attempt.ended_at = record.write(
        "answered" if attempt.complete else "ended",
        id=attempt_id,
        host=host.name,
        status=attempt.status,
        body=len(attempt.body),
        complete=attempt.complete,
        error=attempt.error or "-",
    )
    return attempt


def _send_paced(sock: socket.socket, data: bytes, rate: float) -> None:
    began = time.monotonic()
    for start in range(0, len(data), READ_BYTES):
        time.sleep(max(0.0, began + start / rate - time.monotonic()))
        sock.sendall(data[start : start + READ_BYTES])


def _read_answer(
    sock: socket.socket,
    attempt: Attempt,
    limit: float,
    read_pause: Callable[[int], float] | None,
) -> None:
    buffer = b""
    while b"\r\n\r\n" not in buffer:
        buffer += _receive(sock, limit)
    head, _, body = buffer.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    attempt.status = int(first.split(" ")[1])
    pairs = (line.split(":", 1) for line in lines)
    attempt.headers = {name.strip().lower(): value.strip() for name, value in pairs}
    length = int(attempt.headers.get("content-length", "0"))
    attempt.body = body
    while len(attempt.body) < length:
        data = _receive(sock, limit, 4096 if read_pause else READ_BYTES)
        attempt.body += data
        if read_pause is not None:
            time.sleep(read_pause(len(data)))
    attempt.complete = True


def _receive(sock: socket.socket, limit: float, size: int = READ_BYTES) -> bytes:
    remaining = limit - time.monotonic()
    if remaining <= 0:
        raise TimeoutError
    sock.settimeout(remaining)
    data = sock.recv(size)
    if not data:
        raise ConnectionError("closed")
    return data


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a config."""
    return {
        "name": name,
        "host": HOST_HEADER,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 1 if kind == "unsafe" else 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        **changes,
    }


def config(version: int, *routes: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """Return a config with these routes and one tenant."""
    services = sorted({item["service"] for item in routes})
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 360}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        **changes,
    }


def with_trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, case: Callable[[Site], list[str]]) -> None:
    """Run a case and exit with its result; each returned line is a broken rule."""
    try:
        with running_site(folder) as site:
            broken = case(site)
            for line in broken:
                site.record.write("BROKEN", text=line)
            site.record.write("result", broken=len(broken))
    except CannotRunError as error:
        print(f"could not run: {error}")
        sys.exit(COULD_NOT_RUN)
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    for line in broken[:10]:
        print(line)
    print(f"{len(broken)} times broken" if broken else "held")
    sys.exit(BROKEN if broken else HELD)
