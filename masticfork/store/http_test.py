"""Faults at each stage of a call, made by a server that follows a script."""

import socket
import threading
import time

import pytest

from masticfork.core.deadlines import Deadline
from masticfork.store.client import CallKind, ErrorKind
from masticfork.store.http import HttpObjectStore


def status(code: int, body: bytes = b"{}", headers: bytes = b"") -> bytes:
    head = b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n"
    return head % (code, headers, len(body)) + body


CREATED = status(201, b'{"key": "k", "version": 7}')
OBJECT = status(200, b'{"key": "k", "version": 7, "value": {"n": 1}}')


class ScriptedServer:
    """Handle connections one by one; each is a list of steps.

    A step of bytes answers the next request, `hang` reads it and stays silent, and
    the connection is closed after the last step.
    """

    def __init__(self, *connections: list[bytes | str]) -> None:
        self.requests = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._closing = threading.Event()
        self._script = connections
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        self._closing.set()
        # A plain close would not wake the thread that accepts.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()

    def _serve(self) -> None:
        for steps in self._script:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self._play(connection, steps)

    def _play(self, connection: socket.socket, steps: list[bytes | str]) -> None:
        for step in steps:
            if step == "close unread":
                return
            if not connection.recv(1 << 16):
                return
            self.requests += 1
            if step == "hang":
                self._closing.wait(10)
                return
            assert isinstance(step, bytes)
            connection.sendall(step)


@pytest.fixture
def serve():
    started = []

    def start(*connections):
        server = ScriptedServer(*connections)
        store = HttpObjectStore(server.address, time.time)
        started.append((store, server))
        return store, server

    yield start
    for store, server in started:
        store.close()
        server.close()


def soon(seconds: float = 5.0) -> Deadline:
    return Deadline.after(time.time(), seconds)


# What the server does with a write, and what the write's failure must mean.
WRITE_FAULTS = [
    ("close unread", ErrorKind.UNKNOWN),
    (b"", ErrorKind.UNKNOWN),
    (b"HTTP/1.1 20", ErrorKind.UNKNOWN),
    (CREATED[:-5], ErrorKind.UNKNOWN),
    (b"nonsense\r\n\r\n", ErrorKind.UNKNOWN),
    (status(201, b"not json"), ErrorKind.UNKNOWN),
    (status(500), ErrorKind.UNKNOWN),
    (status(502), ErrorKind.UNKNOWN),
    (status(504), ErrorKind.UNKNOWN),
    (status(503), ErrorKind.UNAVAILABLE),
    (status(429), ErrorKind.UNAVAILABLE),
    (status(429)[:-1], ErrorKind.UNAVAILABLE),
    (status(412, b'{"version": 9}'), ErrorKind.CONFLICT),
    (status(413), ErrorKind.TOO_LARGE),
]


class TestWriteFaults:
    @pytest.mark.parametrize(("step", "kind"), WRITE_FAULTS)
    def test_stage_decides(self, serve, step, kind):
        store, server = serve([step])
        error = store.create("k", {"n": 1}, soon()).unwrap_err()
        assert error.kind is kind
        assert server.requests <= 1

    def test_refused_connection_is_unavailable(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        store = HttpObjectStore(address, time.time)
        error = store.create("k", {}, soon()).unwrap_err()
        assert error.kind is ErrorKind.UNAVAILABLE

    def test_silence_until_the_deadline_is_unknown(self, serve):
        store, _ = serve(["hang"])
        error = store.create("k", {}, soon(0.1)).unwrap_err()
        assert error.kind is ErrorKind.UNKNOWN

    def test_kept_connection_closed_under_a_write_is_unknown(self, serve):
        store, _ = serve([CREATED, b""])
        assert store.create("k", {}, soon()).unwrap().version == 7
        error = store.update("k", {}, 7, soon()).unwrap_err()
        assert error.kind is ErrorKind.UNKNOWN

    def test_connection_closed_while_idle_is_not_used(self, serve):
        store, server = serve([CREATED], [CREATED])
        assert store.create("k", {}, soon()).is_ok()
        time.sleep(0.05)  # lets the end of the connection arrive
        assert store.create("k", {}, soon()).is_ok()
        assert server.requests == 2

    def test_retry_after_becomes_a_deadline(self, serve):
        store, _ = serve([status(429, headers=b"Retry-After: 3\r\n")])
        before = time.time()
        error = store.create("k", {}, soon()).unwrap_err()
        assert error.retry_at is not None
        assert error.retry_at.at >= before + 3


class TestReads:
    def test_repeats_on_a_new_connection(self, serve):
        store, server = serve([OBJECT, b""], [OBJECT])
        assert store.get("k", soon()).unwrap().value == {"n": 1}
        assert store.get("k", soon()).unwrap().version == 7
        assert server.requests == 3
        assert store.counter.calls() == {CallKind.GET: 3}

    @pytest.mark.parametrize("step", ["close unread", b"", OBJECT[:-3], status(500)])
    def test_failure_is_unavailable(self, serve, step):
        store, _ = serve([step], [step])
        assert store.get("k", soon()).unwrap_err().kind is ErrorKind.UNAVAILABLE

    def test_malformed_object_is_unavailable(self, serve):
        store, _ = serve([status(200, b'{"key": 1}')])
        assert store.get("k", soon()).unwrap_err().kind is ErrorKind.UNAVAILABLE
