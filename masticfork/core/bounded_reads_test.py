"""Responses that arrive without end, through both pools that read with http.client."""

import contextlib
import socket
import threading
import time

import pytest
from result import Err, Ok

from masticfork.backends.connections import ConnectionPool as ServerPool
from masticfork.backends.connections import Request
from masticfork.backends.service import ServiceClient
from masticfork.core.bounded_reads import MAX_RESPONSE_BYTES
from masticfork.core.deadlines import Deadline
from masticfork.core.ids import ServerName, ZoneName
from masticfork.core.manifest import BackendServer
from masticfork.store.connections import Call, ConnectionPool

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SECONDS = 0.6


@pytest.fixture
def flood():
    """Yield a function that starts a server and returns its port and its counter."""
    listener = socket.create_server(("127.0.0.1", 0))
    sent = [0]

    def serve(start, data, pause):
        sock, _ = listener.accept()
        with sock, contextlib.suppress(OSError):
            sock.recv(65536)
            sock.sendall(start)
            while data:
                sock.sendall(data)
                sent[0] += len(data)
                time.sleep(pause)

    def start_server(start, data, pause=0.0):
        threading.Thread(target=serve, args=(start, data, pause), daemon=True).start()
        return listener.getsockname()[1], sent

    yield start_server
    listener.close()


def call_store(port, seconds):
    pool = ConnectionPool(f"127.0.0.1:{port}", time.monotonic)
    call = Call("GET", "/x", Deadline.after(time.monotonic(), seconds))
    return pool.exchange(call, fresh=True)


def call_service(port, seconds):
    server = BackendServer(ServerName("s"), "127.0.0.1", port, ZoneName("z"))
    client = ServiceClient(ServerPool(time.monotonic), time.monotonic)
    deadline = Deadline.after(time.monotonic(), seconds)
    return client.call(server, Request("GET", "/x", ()), deadline, idempotent=False)


def call_in_thread(call, port, seconds, most_seconds):
    """Return the outcome of a call; fail if it takes longer than `most_seconds`."""
    outcomes = []
    thread = threading.Thread(
        target=lambda: outcomes.append(call(port, seconds)), daemon=True
    )
    thread.start()
    thread.join(most_seconds)
    assert outcomes, "the call does not end"
    return outcomes[0]


@pytest.mark.parametrize("call", [call_store, call_service])
class TestResponsesWithoutEnd:
    @pytest.mark.parametrize(
        ("start", "data"),
        [
            (HEAD + b"\r\n", b"x"),
            (HEAD + b"Content-Length: 1000000000\r\n\r\n", b"x"),
            (CHUNKED, b"1\r\nx\r\n"),
            (CHUNKED + b"0\r\n", b"A: b\r\n"),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            (HEAD + b"A: ", b"x"),
        ],
    )
    def test_trickle_ends_at_the_deadline(self, flood, call, start, data):
        """Guards against a timeout that every byte renews."""
        port, _ = flood(start, data, pause=0.02)
        outcome = call_in_thread(call, port, SECONDS, SECONDS + 1.0)
        assert isinstance(outcome, Err)

    def test_flood_ends_at_the_size_limit(self, flood, call):
        """Guards against a response that fills the memory."""
        port, sent = flood(HEAD + b"\r\n", b"x" * 65536)
        assert isinstance(call_in_thread(call, port, 8.0, 6.0), Err)
        assert sent[0] < MAX_RESPONSE_BYTES + (12 << 20)

    def test_response_that_ends_with_its_connection_is_complete(self, flood, call):
        port, _ = flood(HEAD + b"\r\nwhole", b"")
        outcome = call(port, SECONDS)
        assert isinstance(outcome, Ok)
        assert outcome.ok_value.body == b"whole"
