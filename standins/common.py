"""Shared parts of the stand-ins: fault injection, HTTP server and run loop."""

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
POLL_TIMEOUT_SECONDS = 1.0
# Enough for the method and the start of the path.
PEEK_BYTES = 32
REASON_PHRASES = {
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
    """Thread-safe injected faults by name.

    The keyword arguments give each fault's name and its default, which means off.
    """

    def __init__(self, **defaults: Any) -> None:
        self._defaults = defaults
        self._values = dict(defaults)
        self._lock = threading.Lock()

    def get(self, name: str) -> Any:
        """Return the current value of a fault."""
        return self._values[name]

    def set(self, changes: dict[str, Any]) -> list[str]:
        """Set faults by name; None turns one off.

        Return the unknown names. If there are any, no fault is changed.
        """
        unknown = [name for name in changes if name not in self._defaults]
        if not unknown:
            with self._lock:
                for name, value in changes.items():
                    self._values[name] = (
                        self._defaults[name] if value is None else value
                    )
        return unknown

    def consume(self, name: str) -> bool:
        """Decrement a fault that counts occurrences; return whether any was left."""
        with self._lock:
            remaining = int(self._values[name])
            self._values[name] = max(0, remaining - 1)
            return remaining > 0

    def all(self) -> dict[str, Any]:
        """Return the current values of all faults."""
        return dict(self._values)


class StandIn(Protocol):
    """The interface of a simulated system."""

    faults: Faults

    def handle(self, call: Call) -> Reply:
        """Handle one request."""

    def counts(self) -> dict[str, Any]:
        """Return the counters served at `/_counts`."""

    def should_close_before_read(self, *, reused: bool) -> bool:
        """Return whether to close a connection instead of reading its next request.

        `reused` is whether the connection has already carried a response.
        """

    def close(self) -> None:
        """Stop the background threads and wake waiting requests."""


class _Task(WSGITask):  # type: ignore[misc]
    """Keep the connection open after a chunked response, as the real systems do."""

    def set_close_on_finish(self) -> None:
        if not self.chunked_response:
            super().set_close_on_finish()


class _Channel(HTTPChannel):  # type: ignore[misc]
    """Close a connection before its next request is read if a fault requires it."""

    task_class = _Task
    _reused = False

    def handle_read(self) -> None:
        expects_request = self._reused or not self.requests
        if self.request is None and expects_request and self._should_close():
            self.handle_close()
        else:
            super().handle_read()

    def write_soon(self, data: Any) -> int:
        # While a worker thread holds bytes in the output buffers, the main loop polls
        # without blocking. So send directly and buffer only what the socket rejects.
        # `_reused` is set before sending: a client may send its next request as soon as
        # it has the response, before service() returns.
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

    def _should_close(self) -> bool:
        try:
            data = self.socket.recv(PEEK_BYTES, socket.MSG_PEEK)
        except OSError:
            return False
        is_control = data.split(b" ")[1:2] and data.split(b" ")[1].startswith(b"/_")
        if not data or is_control:
            return False
        return bool(self.server.standin.should_close_before_read(reused=self._reused))


class Application:
    """The WSGI application that serves a stand-in and its control paths."""

    def __init__(self, standin: StandIn) -> None:
        self._standin = standin

    def __call__(
        self, environ: Environ, start_response: Callable[..., Write]
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        call = Call.from_environ(environ)
        reply = self._reply(call)
        reason = REASON_PHRASES.get(reply.status, "Unknown")
        headers = [("Content-Type", reply.content_type), *reply.headers]
        if reply.stream is not None:
            reply.stream(start_response(f"{reply.status} {reason}", headers))
            return []
        body = json.dumps(reply.body).encode()
        headers.append(("Content-Length", str(len(body))))
        write = start_response(f"{reply.status} {reason}", headers)
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
            return error_reply(400, "malformed", repr(error))

    def _faults(self, call: Call) -> Reply:
        unknown = self._standin.faults.set(call.json() if call.body else {})
        if unknown:
            return error_reply(400, "unknown_fault", ", ".join(unknown))
        return Reply(200, self._standin.faults.all())


class Server:
    """An HTTP server for a stand-in, listening on the loopback interface."""

    def __init__(
        self, standin: StandIn, port: int = 0, threads: int = DEFAULT_THREADS
    ) -> None:
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        self._socket_map: dict[int, Any] = {}
        self._stopping = threading.Event()
        self._close_lock = threading.Lock()
        self._closed = False
        self._server = create_server(
            Application(standin),
            map=self._socket_map,
            host=LOOPBACK,
            port=port,
            threads=threads,
            # Without lookahead a closed connection is noticed only on a write.
            channel_request_lookahead=1,
            connection_limit=CONNECTION_LIMIT,
            max_request_body_size=MAX_BODY_BYTES,
            ident=None,
            # Descriptors of a long test run exceed what `select` takes.
            asyncore_use_poll=True,
            # Do not send an error page on a connection that is to be dropped.
            log_socket_errors=False,
        )
        self._server.channel_class = _Channel
        self._server.standin = standin
        self._standin = standin

    @property
    def port(self) -> int:
        """Return the listening port."""
        return int(self._server.effective_port)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{LOOPBACK}:{self.port}"

    def run(self) -> None:
        """Serve requests until `close` is called."""
        while not self._stopping.is_set():
            wasyncore.loop(
                POLL_TIMEOUT_SECONDS, use_poll=True, map=self._socket_map, count=1
            )
        self._standin.close()
        self._server.task_dispatcher.shutdown()
        with self._close_lock:
            self._closed = True
            wasyncore.close_all(self._socket_map)

    def close(self) -> None:
        """Ask `run` to stop; callable from any thread."""
        # Once `run` has closed the trigger, its file descriptor may have been reused
        # for another file, so pull the trigger only while it is open.
        with self._close_lock:
            self._stopping.set()
            if not self._closed:
                self._server.pull_trigger()


def error_reply(status: int, code: str, message: str = "") -> Reply:
    """Return an error response with a machine-readable code."""
    return Reply(status, {"error": {"code": code, "message": message}})


def run(standin: StandIn, port: int, threads: int = DEFAULT_THREADS) -> NoReturn:
    """Serve as the main program until a signal ends the process."""
    # All state is in memory, so signals may end the process immediately.
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, signal.SIG_DFL)
    server = Server(standin, port, threads)
    print(json.dumps({"ready": True, "port": server.port}), flush=True)
    server.run()
    raise SystemExit(0)


@contextmanager
def serving(standin: StandIn, threads: int = DEFAULT_THREADS) -> Iterator[Server]:
    """Serve a stand-in from a thread of this process, on a free port."""
    server = Server(standin, threads=threads)
    with ThreadPoolExecutor(max_workers=1) as pool:
        pool.submit(server.run)
        try:
            yield server
        finally:
            server.close()
