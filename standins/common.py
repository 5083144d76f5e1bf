"""What all stand-ins share: calls, replies, faults, the server and its run loop."""

import json
import logging
import signal
import socket
import threading
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any, NoReturn, Protocol

from waitress import wasyncore
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.server import create_server
from waitress.task import WSGITask

from standins.records import Call, ConnectionDroppedError, Environ, Reply, Write

LOOPBACK = "127.0.0.1"
DEFAULT_THREADS = 64
CONNECTION_LIMIT = 4000
MAX_BODY_BYTES = 8 * 1024 * 1024
POLL_SECONDS = 1.0
PEEK_BYTES = 32
REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    413: "Content Too Large",
    428: "Precondition Required",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


class Faults:
    """Faults by name, each with the value that means off."""

    def __init__(self, **off: Any) -> None:
        self._off = off
        self._values = dict(off)
        self._lock = threading.Lock()

    def get(self, name: str) -> Any:
        """Return the value of a fault."""
        return self._values[name]

    def set(self, changes: dict[str, Any]) -> list[str]:
        """Set faults, null means off; return the unknown names, nothing set then."""
        unknown = [name for name in changes if name not in self._off]
        if not unknown:
            with self._lock:
                for name, value in changes.items():
                    self._values[name] = self._off[name] if value is None else value
        return unknown

    def take(self, name: str) -> bool:
        """Use up one of the next N that a fault names; tell whether one was left."""
        with self._lock:
            left = int(self._values[name])
            self._values[name] = max(0, left - 1)
            return left > 0

    def all(self) -> dict[str, Any]:
        """Return all faults as they stand."""
        return dict(self._values)


class StandIn(Protocol):
    """A system that is stood in for."""

    faults: Faults

    def handle(self, call: Call) -> Reply:
        """Answer one call."""

    def counts(self) -> dict[str, Any]:
        """Return what was done so far."""

    def closes_unread(self, *, reused: bool) -> bool:
        """Tell whether to close a connection instead of reading its next request."""

    def close(self) -> None:
        """End what runs in the background."""


class _Task(WSGITask):  # type: ignore[misc]
    """Keep the connection after a chunked answer, as the systems meant do."""

    def set_close_on_finish(self) -> None:
        if not self.chunked_response:
            super().set_close_on_finish()


class _Channel(HTTPChannel):  # type: ignore[misc]
    """Close connections before a request is read, where a fault says so."""

    task_class = _Task
    _reused = False

    def handle_read(self) -> None:
        awaits_request = self._reused or not self.requests
        if self.request is None and awaits_request and self._closes():
            self.handle_close()
        else:
            super().handle_read()

    def write_soon(self, data: Any) -> int:
        # The main loop polls in a busy loop for as long as another thread holds
        # bytes in the buffers, so they are used only for what the socket refuses.
        # A caller may ask again as soon as it has the answer, before service() returns.
        self._reused = True
        size = len(data)
        if data and self.connected and not self.total_outbufs_len:
            with self.outbuf_lock:
                data = data[self._send_now(data) :]
        if data:
            super().write_soon(data)
        return size

    def _send_now(self, data: bytes) -> int:
        try:
            return int(self.socket.send(data))
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ClientDisconnected from error

    def _closes(self) -> bool:
        try:
            start = self.socket.recv(PEEK_BYTES, socket.MSG_PEEK)
        except OSError:
            return False
        control = start.split(b" ")[1:2] and start.split(b" ")[1].startswith(b"/_")
        if not start or control:
            return False
        return bool(self.server.standin.closes_unread(reused=self._reused))


class Application:
    """The WSGI application around a stand-in."""

    def __init__(self, standin: StandIn) -> None:
        self._standin = standin

    def __call__(
        self, environ: Environ, start: Callable[..., Write]
    ) -> Iterable[bytes]:
        """Answer one request."""
        call = Call.of(environ)
        reply = self._reply(call)
        reason = REASONS.get(reply.status, "Unknown")
        headers = [("Content-Type", reply.content_type), *reply.headers]
        if reply.stream is not None:
            reply.stream(start(f"{reply.status} {reason}", headers))
            return []
        body = json.dumps(reply.body).encode()
        headers.append(("Content-Length", str(len(body))))
        write = start(f"{reply.status} {reason}", headers)
        if reply.cut:
            write(body[: len(body) // 2])
            raise ConnectionDroppedError
        return [body]

    def _reply(self, call: Call) -> Reply:
        try:
            if call.path == "/_faults":
                return self._faults(call)
            if call.path == "/_counts":
                return Reply(200, self._standin.counts())
            return self._standin.handle(call)
        except (ValueError, KeyError, TypeError) as error:
            return failure(400, "malformed", repr(error))

    def _faults(self, call: Call) -> Reply:
        unknown = self._standin.faults.set(call.json() if call.body else {})
        if unknown:
            return failure(400, "unknown_fault", ", ".join(unknown))
        return Reply(200, self._standin.faults.all())


class Server:
    """A stand-in that listens on the loopback interface."""

    def __init__(
        self, standin: StandIn, port: int = 0, threads: int = DEFAULT_THREADS
    ) -> None:
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        self._map: dict[int, Any] = {}
        self._stopping = threading.Event()
        self._ending = threading.Lock()
        self._ended = False
        self._server = create_server(
            Application(standin),
            map=self._map,
            host=LOOPBACK,
            port=port,
            threads=threads,
            # Without lookahead a caller that left is seen only when written to.
            channel_request_lookahead=1,
            connection_limit=CONNECTION_LIMIT,
            max_request_body_size=MAX_BODY_BYTES,
            ident=None,
            # A dropped connection must not be answered with an error page.
            log_socket_errors=False,
        )
        self._server.channel_class = _Channel
        self._server.standin = standin
        self._standin = standin

    @property
    def port(self) -> int:
        """Return the port listened on."""
        return int(self._server.effective_port)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{LOOPBACK}:{self.port}"

    def run(self) -> None:
        """Serve until closed."""
        while not self._stopping.is_set():
            wasyncore.loop(POLL_SECONDS, use_poll=True, map=self._map, count=1)
        self._standin.close()
        self._server.task_dispatcher.shutdown()
        with self._ending:
            self._ended = True
            wasyncore.close_all(self._map)

    def close(self) -> None:
        """End `run` soon; callable from any thread."""
        # The number of a closed trigger's file may belong to another file.
        with self._ending:
            self._stopping.set()
            if not self._ended:
                self._server.pull_trigger()


def failure(status: int, code: str, message: str = "") -> Reply:
    """Return an error answer with a stable code."""
    return Reply(status, {"error": {"code": code, "message": message}})


def run(standin: StandIn, port: int, threads: int = DEFAULT_THREADS) -> NoReturn:
    """Serve as a program until a signal ends it."""
    # Nothing here survives the process, so signals may end it at once.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_DFL)
    server = Server(standin, port, threads)
    print(json.dumps({"ready": True, "port": server.port}), flush=True)
    server.run()
    raise SystemExit(0)


@contextmanager
def serving(standin: StandIn, threads: int = DEFAULT_THREADS) -> Iterator[Server]:
    """Serve from a thread of this process, on a free port."""
    server = Server(standin, threads=threads)
    with ThreadPoolExecutor(max_workers=1) as pool:
        pool.submit(server.run)
        try:
            yield server
        finally:
            server.close()
