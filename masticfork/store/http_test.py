"""Errors of HttpObjectStore after faults at each stage of a call."""

import socket
import threading
import time

import pytest

from masticfork.core.deadlines import Deadline
from masticfork.store.client import CallKind, ErrorKind
from masticfork.store.http import HttpObjectStore


def response(code: int, body: bytes = b"{}", headers: bytes = b"") -> bytes:
    head = b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n"
    return head % (code, headers, len(body)) + body


CREATED = response(201, b'{"key": "k", "version": 7}')
OBJECT = response(200, b'{"key": "k", "version": 7, "value": {"n": 1}}')
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"


class ScriptedServer:
    """A server that handles one connection after the other, each by a list of steps.

    A step of bytes is the response to the next request, `hang` reads the request and
    sends no response, and `close unread` closes the connection without reading. The
    connection is closed after the last step.
    """

    def __init__(self, *connections: list[bytes | str]) -> None:
        self.requests = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._closing = threading.Event()
        self._connections = connections
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        self._closing.set()
        # Closing the socket alone would not wake the thread blocked in accept().
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()

    def _serve(self) -> None:
        for steps in self._connections:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self._run_steps(connection, steps)

    def _run_steps(self, connection: socket.socket, steps: list[bytes | str]) -> None:
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
def start_server():
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


def make_deadline(seconds: float = 5.0) -> Deadline:
    return Deadline.after(time.time(), seconds)


# Each case: the server's step on a write, and the kind of error expected.
WRITE_FAULTS = [
    ("close unread", ErrorKind.UNKNOWN),
    (b"", ErrorKind.UNKNOWN),
    (b"HTTP/1.1 20", ErrorKind.UNKNOWN),
    (CREATED[:-5], ErrorKind.UNKNOWN),
    (INTERIM, ErrorKind.UNKNOWN),
    (b"nonsense\r\n\r\n", ErrorKind.UNKNOWN),
    (response(201, b"not json"), ErrorKind.UNKNOWN),
    (response(500), ErrorKind.UNKNOWN),
    (response(502), ErrorKind.UNKNOWN),
    (response(504), ErrorKind.UNKNOWN),
    (response(503), ErrorKind.UNAVAILABLE),
    (response(429), ErrorKind.UNAVAILABLE),
    (response(429)[:-1], ErrorKind.UNAVAILABLE),
    (response(412, b'{"version": 9}'), ErrorKind.CONFLICT),
    (response(413), ErrorKind.TOO_LARGE),
]


class TestWriteFaults:
    @pytest.mark.parametrize(("step", "kind"), WRITE_FAULTS)
    def test_error_kind_follows_from_the_fault(self, start_server, step, kind):
        store, server = start_server([step])
        error = store.create("k", {"n": 1}, make_deadline()).unwrap_err()
        assert error.kind is kind
        assert server.requests <= 1

    def test_refused_connection_is_unavailable(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        store = HttpObjectStore(address, time.time)
        error = store.create("k", {}, make_deadline()).unwrap_err()
        assert error.kind is ErrorKind.UNAVAILABLE

    def test_no_response_before_the_deadline_is_unknown(self, start_server):
        store, _ = start_server(["hang"])
        error = store.create("k", {}, make_deadline(0.1)).unwrap_err()
        assert error.kind is ErrorKind.UNKNOWN

    def test_idle_connection_closed_during_a_write_is_unknown(self, start_server):
        store, _ = start_server([CREATED, b""])
        assert store.create("k", {}, make_deadline()).unwrap().version == 7
        error = store.update("k", {}, 7, make_deadline()).unwrap_err()
        assert error.kind is ErrorKind.UNKNOWN

    def test_connection_closed_while_idle_is_not_reused(self, start_server):
        store, server = start_server([CREATED], [CREATED])
        assert store.create("k", {}, make_deadline()).is_ok()
        time.sleep(0.05)  # wait until the client's socket sees the close
        assert store.create("k", {}, make_deadline()).is_ok()
        assert server.requests == 2

    def test_retry_after_becomes_a_deadline(self, start_server):
        store, _ = start_server([response(429, headers=b"Retry-After: 3\r\n")])
        before = time.time()
        error = store.create("k", {}, make_deadline()).unwrap_err()
        assert error.retry_at is not None
        assert error.retry_at.at >= before + 3


class TestReads:
    def test_lost_read_is_repeated_on_a_new_connection(self, start_server):
        store, server = start_server([OBJECT, b""], [OBJECT])
        assert store.get("k", make_deadline()).unwrap().value == {"n": 1}
        assert store.get("k", make_deadline()).unwrap().version == 7
        assert server.requests == 3
        assert store.counter.calls() == {CallKind.GET: 3}

    def test_final_response_after_an_interim_one_reaches_no_other_call(
        self, start_server
    ):
        """Guards against a connection that is used again with a response to come."""
        newer = response(200, b'{"key": "k", "version": 8, "value": {"n": 2}}')
        store, _ = start_server([INTERIM, OBJECT], [newer])
        assert store.create("k", {"n": 1}, make_deadline()).is_err()
        assert store.get("k", make_deadline()).unwrap().version == 8

    @pytest.mark.parametrize("step", ["close unread", b"", OBJECT[:-3], response(500)])
    def test_failure_is_unavailable(self, start_server, step):
        store, _ = start_server([step], [step])
        assert (
            store.get("k", make_deadline()).unwrap_err().kind is ErrorKind.UNAVAILABLE
        )

    def test_malformed_object_is_unavailable(self, start_server):
        store, _ = start_server([response(200, b'{"key": 1}')])
        assert (
            store.get("k", make_deadline()).unwrap_err().kind is ErrorKind.UNAVAILABLE
        )
