import contextlib
import socket
import threading
import time

import pytest

from masticfork.relay.loop import Loop
from masticfork.relay.page_listener import (
    MAX_CONNECTION_SECONDS,
    MAX_CONNECTIONS,
    PageListener,
)
from standins.entry_environment import free_address

PAGE = b"page " * 200_000
REQUEST = b"GET /x HTTP/1.1\r\n\r\n"


@pytest.fixture
def listener():
    """Run a listener; yield its address and the paths that were asked for."""
    loop, address, paths = Loop(), free_address(), []

    def handle(path):
        paths.append(path)
        return 200, PAGE

    PageListener(loop, address, handle)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    yield address, paths
    loop.post(loop.stop)
    thread.join(5.0)


def connect(address):
    return socket.create_connection((address.host, address.port), 5.0)


class TestPageListener:
    def test_requests_one_after_the_other_get_the_page(self, listener):
        address, paths = listener
        with connect(address) as sock:
            for _ in range(3):
                sock.sendall(REQUEST)
                received = b""
                while not received.endswith(b"\r\n\r\n" + PAGE):
                    received += sock.recv(65536)
        assert paths == [b"/x"] * 3

    @pytest.mark.parametrize(
        ("start", "data"),
        [
            (b"GET /", b"x"),
            (b"GET / HTTP/1.1\r\nA: ", b"x"),
            (b"GET / HTTP/1.1\r\n", b"A: b\r\n"),
            (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"x"),
            (b"", b"\r\n"),
            (b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", b"x"),
        ],
    )
    def test_request_without_end_closes_the_connection(self, listener, start, data):
        """Guards against memory that grows until the connection's time is over."""
        began = time.monotonic()
        with connect(listener[0]) as sock, pytest.raises(ConnectionError):
            sock.sendall(start)
            while time.monotonic() - began < MAX_CONNECTION_SECONDS / 2:
                sock.sendall(data * 1000)

    def test_pipelined_requests_do_not_gather_pages(self, listener):
        """Guards against a page in memory for each of 3,000 requests of one read."""
        address, paths = listener
        with connect(address) as sock:
            sock.sendall(REQUEST * 3000)
            time.sleep(0.5)
        assert 1 <= len(paths) <= 10

    def test_connections_that_ask_for_nothing_give_way_to_others(self, listener):
        """Guards against a host that counts as down since its page is not answered."""
        address, _ = listener
        idle = [connect(address) for _ in range(2 * MAX_CONNECTIONS)]
        with connect(address) as sock:
            sock.sendall(REQUEST)
            assert sock.recv(100).startswith(b"HTTP/1.1 200 ")
        closed = 0
        for sock in idle:
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                closed += sock.recv(1) == b""
            sock.close()
        assert closed >= MAX_CONNECTIONS
