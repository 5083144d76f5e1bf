"""Servers that send bytes without end until their connection is closed."""

import http.client
import itertools
import socket
import threading
import time
from pathlib import Path

import pytest

from masticfork.core.framing import MAX_RESPONSE_HEAD_BYTES
from masticfork.relay.caller import MAX_UNSENT_RESPONSE_BYTES
from masticfork.relay.events import MAX_EVENT_BYTES
from masticfork.relay.exchange import MAX_RESPONSE_BODY_BYTES
from standins.entry_environment import (
    ENGINES,
    SERVICE,
    configuration,
    read_response,
    route,
    running_entry_host,
)
from standins.scripted_server import (
    chunk,
    event,
    events,
    response,
    stream_head,
    unframed_head,
)

PIECE_BYTES = 16 << 10
# Receive and send buffers of the two connections on the way, as large as the kernel
# lets them grow.
KERNEL_BUFFER_BYTES = 2 * sum(
    int(Path(f"/proc/sys/net/ipv4/{name}").read_text().split()[2])
    for name in ("tcp_rmem", "tcp_wmem")
)
# What the sockets on the way may hold, and the reads in progress.
SOCKET_BYTES = 12 << 20
# Less than the time limit of the routes (2 s).
PROMPT_SECONDS = 1.5


class Flood:
    """A script that sends the same data without end, and counts what is taken."""

    def __init__(self, start, data, pause=0.0):
        self._start, self._data, self._pause = start, data, pause
        self.sent_bytes = 0
        self.running = 0

    def __call__(self, request):
        start, data = self._start, self._data
        head = start(request) if callable(start) else start
        piece = data if self._pause else data * (PIECE_BYTES // len(data) + 1)
        self.running += 1
        try:
            yield head
            while True:
                yield piece
                self.sent_bytes += len(piece)
                time.sleep(self._pause)
        finally:
            self.running -= 1


def chunked_head(request):
    return stream_head(request)


def error_head(request):
    return unframed_head(request, "404 Not Found")


def after_response(request):
    return response(request, b"whole")


def failing_once(flood, then):
    """Return a script that runs the flood for its first request."""
    requests = itertools.count()

    def script(request):
        yield from (flood if next(requests) == 0 else then)(request)

    return script


def whole(request):
    yield response(request, b"whole")


HEAD_FLOODS = [
    (b"", b"\x00"),
    (b"", b"no answer "),
    (b"", b"\r\n"),
    (b"HTTP/1.1 200 ", b"x"),
    (b"HTTP/1.1 200 OK\r\nA: ", b"x"),
    (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
]
FRAMING_FLOODS = [
    (lambda request: chunked_head(request) + b"5;", b"x"),
    (lambda request: chunked_head(request), b"0"),
    (lambda request: chunked_head(request) + b"0\r\n", b"A: b\r\n"),
]


class TestFloodsInsteadOfAResponse:
    @pytest.mark.parametrize(("start", "data"), HEAD_FLOODS + FRAMING_FLOODS)
    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    def test_call_ends_soon_and_the_caller_gets_a_true_answer(self, kind, start, data):
        flood = Flood(start, data)
        with running_entry_host() as env:
            script = failing_once(flood, whole)
            servers = [env.add_server(script, SERVICE) for _ in range(2)]
            env.wait_for_servers(2)
            began = time.monotonic()
            got = env.send(f"/{kind}/x")
            seconds = time.monotonic() - began
            env.wait_until(lambda: flood.running == 0)
            env.wait_until(lambda: env.logged("call failed", outcome="broken"))
        assert (got.status, got.body) == (
            (200, b"whole") if kind == "safe" else (502, b"")
        )
        assert seconds < PROMPT_SECONDS
        assert flood.sent_bytes < MAX_RESPONSE_HEAD_BYTES + SOCKET_BYTES
        assert sum(len(server.requests) for server in servers) == 1 + (kind == "safe")

    @pytest.mark.parametrize(
        "data",
        [b"x", b"x\n", b"data: x\n", chunk(b"x")],
    )
    @pytest.mark.parametrize("resumable", [True, False])
    def test_event_without_end_breaks_the_stream_off(self, data, resumable):
        piece = data if data.endswith(b"\r\n") else chunk(data * 1000)
        flood = Flood(
            lambda request: chunked_head(request) + chunk(event(1) + b"id: 2\nda"),
            piece,
        )
        spec = configuration(1, route("streaming", resumable=resumable))
        with running_entry_host(spec) as env:
            script = failing_once(flood, lambda request: events(request, 3))
            for _ in range(2):
                env.add_server(script, ENGINES)
            env.wait_for_servers(2)
            began = time.monotonic()
            got = env.send("/streaming/x")
            seconds = time.monotonic() - began
            env.wait_until(lambda: flood.running == 0)
        assert got.complete == resumable
        if resumable:
            assert got.body == event(1) + event(2) + event(3)
        assert seconds < 2.0
        assert flood.sent_bytes < 6 * MAX_EVENT_BYTES + SOCKET_BYTES


class TestFloodsInABody:
    @pytest.mark.parametrize("kind", ["safe", "unsafe", "streaming"])
    def test_body_without_end_is_cut_at_its_limit(self, kind):
        """Guards against a body that is passed on until the caller's deadline."""
        flood = Flood(error_head, b"x" * 1000)
        spec = configuration(1, route(kind, timeout_ms=20_000))
        with running_entry_host(spec) as env:
            for service in (SERVICE, ENGINES):
                env.add_server(flood, service)
            env.wait_for_servers(2)
            headers = {"X-Masticfork-Deadline-Ms": "20000"}
            got = env.send(f"/{kind}/x", headers=headers)
            env.wait_until(lambda: flood.running == 0)
            assert env.logged("call failed", why="body is larger than 64 MiB")
        assert not got.complete
        assert flood.sent_bytes < MAX_RESPONSE_BODY_BYTES + SOCKET_BYTES

    def test_trickling_body_is_replaced_by_another_response(self):
        flood = Flood(unframed_head, b"x", pause=0.02)
        with running_entry_host() as env:
            script = failing_once(flood, whole)
            for _ in range(2):
                env.add_server(script, SERVICE)
            env.wait_for_servers(2)
            got = env.send("/safe/x")
            env.wait_until(lambda: flood.running == 0)
        assert (got.status, got.body) == (200, b"whole")

    def test_flood_stops_while_the_caller_does_not_read(self):
        flood = Flood(unframed_head, b"x" * 1000)
        spec = configuration(1, route("unsafe", timeout_ms=3000))
        with running_entry_host(spec) as env:
            env.add_server(flood, SERVICE)
            env.wait_for_servers(1)
            connection = http.client.HTTPConnection(env.front.host, env.front.port, 5)
            connection.request("POST", "/unsafe/x", b"x", env.headers())
            time.sleep(0.6)
            sent_bytes = flood.sent_bytes
            time.sleep(0.6)
            assert flood.sent_bytes == sent_bytes
            # The time limit of the route ends the call.
            env.wait_until(lambda: flood.running == 0)
            connection.close()
        assert 0 < sent_bytes < KERNEL_BUFFER_BYTES + MAX_UNSENT_RESPONSE_BYTES


class TestFloodsBehindAResponse:
    @pytest.mark.parametrize("pause", [0.0, 0.01])
    def test_connection_is_closed_and_not_used_again(self, pause):
        flood = Flood(after_response, b"HTTP/1.1 200 OK\r\n\r\n", pause)
        with running_entry_host() as env:
            server = env.add_server(flood, SERVICE)
            env.wait_for_servers(1)
            for _ in range(2):
                got = env.send("/unsafe/x")
                assert (got.status, got.body) == (200, b"whole")
                env.wait_until(lambda: flood.running == 0)
            env.wait_until(lambda: env.logged("stray data from server"))
        assert flood.sent_bytes < SOCKET_BYTES
        assert server.connections == 2


class TestOtherRequests:
    @pytest.mark.parametrize(
        ("start", "data"),
        [
            (chunked_head, chunk(b"x")),
            (unframed_head, b"x" * 1000),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        ],
    )
    def test_requests_are_served_during_floods(self, start, data):
        """Guards against a connection that keeps the loop for itself."""
        spec = configuration(1, route("safe"), route("streaming", resumable=False))
        flood = Flood(start, data)
        floods = 4
        with running_entry_host(spec) as env:
            env.add_server(flood, ENGINES)
            env.add_server(whole, SERVICE)
            env.wait_for_servers(2)
            threads = [
                threading.Thread(target=env.send, args=("/streaming/x",))
                for _ in range(floods)
            ]
            for thread in threads:
                thread.start()
            slowest = 0.0
            for _ in range(20):
                began = time.monotonic()
                assert env.send("/safe/x").body == b"whole"
                slowest = max(slowest, time.monotonic() - began)
            for thread in threads:
                thread.join(10)
            env.wait_until(lambda: flood.running == 0)
        assert slowest < 1.0


class TestSoundResponses:
    def test_stream_of_a_caller_that_reads_slowly_is_not_cut(self):
        """Guards against a server that counts as silent while it is not read."""
        count, text = 60, "x" * 100_000

        def script(request):
            first = int(request.headers.get("last-event-id", "0")) + 1
            yield stream_head(request)
            for number in range(first, count + 1):
                yield chunk(event(number, text))
            yield b"0\r\n\r\n"

        with running_entry_host() as env:
            servers = [env.add_server(script, ENGINES) for _ in range(2)]
            env.wait_for_servers(2)
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
            sock.connect((env.front.host, env.front.port))
            connection = http.client.HTTPConnection(env.front.host, env.front.port, 5)
            connection.sock = sock
            connection.request("POST", "/streaming/x", b"x", env.headers())
            time.sleep(1.5)
            got = read_response(connection)
            connection.close()
        assert got.complete
        assert got.body == b"".join(event(n, text) for n in range(1, count + 1))
        assert sum(len(server.requests) for server in servers) == 1

    def test_slow_stream_is_not_cut(self):
        with running_entry_host() as env:
            servers = [
                env.add_server(lambda request: events(request, 8, 0.25), ENGINES)
                for _ in range(2)
            ]
            env.wait_for_servers(2)
            got = env.send("/streaming/x")
        assert got.complete
        assert sum(len(server.requests) for server in servers) == 1
