"""Callers that send without end, or do not read."""

import socket
import time

import pytest

from masticfork.core.routes import CallerLimits
from masticfork.platform.wire import decode_caller_head
from masticfork.relay.caller import (
    MAX_QUEUED_REQUESTS,
    MAX_UNSENT_RESPONSE_BYTES,
    CallerConnection,
    NoExchange,
)
from standins.entry_environment import (
    SERVICE,
    configuration,
    request_headers,
    running_entry_host,
)
from standins.fake_exchange import response_head
from standins.fake_loop import FakeLoop
from standins.scripted_server import response

LIMITS = {"max_header_bytes": 4000, "max_body_bytes": 20_000}
# What is sent beyond the limits before the answer arrives, read in parts of this size.
READ_BYTES = 1 << 16


def request_start(attempt_id, **changes):
    lines = ["POST /safe/x HTTP/1.1"]
    lines += [f"{k}: {v}" for k, v in request_headers(attempt_id, changes).items()]
    return "\r\n".join(lines).encode() + b"\r\n"


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def send_without_end(env, start, data, max_bytes, pause=0.0):
    """Send until the host answers; return the answer, "" if there is none."""
    piece = data * (1000 // len(data) + 1)
    sent = 0
    with socket.create_connection((env.front.host, env.front.port), 5) as sock:
        sock.sendall(start)
        sock.setblocking(False)
        while sent < max_bytes:
            try:
                return sock.recv(READ_BYTES).partition(b"\r\n")[0].decode()
            except BlockingIOError:
                pass
            try:
                sent += sock.send(piece)
            except BlockingIOError:
                time.sleep(0.001)
            time.sleep(pause)
    return ""


class TestCallersThatSendWithoutEnd:
    @pytest.mark.parametrize(
        ("start", "data", "status"),
        [
            (b"", b"\r\n", "431"),
            (b"GET /", b"x", "431"),
            (b"GET /safe/x HTTP/1.1\r\nA: ", b"x", "431"),
            (b"GET /safe/x HTTP/1.1\r\nA: b\r\nB: ", b"x", "431"),
            (b"GET /safe/x HTTP/1.1\r\n", b"A: b\r\n", "431"),
            (request_start("a-1") + CHUNKED, b"3e8\r\n" + b"x" * 1000 + b"\r\n", "413"),
            (request_start("a-1") + CHUNKED + b"5;", b"x", "400"),
            (request_start("a-1") + CHUNKED, b"0", "400"),
            (request_start("a-1") + CHUNKED + b"0\r\n", b"A: b\r\n", "400"),
            (request_start("a-1") + CHUNKED + b"0\r\nA: ", b"x", "400"),
        ],
    )
    def test_request_is_rejected_before_its_time_is_over(self, start, data, status):
        """Guards against memory that grows with what one caller sends."""
        with running_entry_host(configuration(1, limits=LIMITS)) as env:
            began = time.monotonic()
            got = send_without_end(env, start, data, 16 << 20)
            assert got.startswith(f"HTTP/1.1 {status}")
            assert time.monotonic() - began < 2.0

    @pytest.mark.parametrize("first_byte", ["POST /safe/x HTTP/1.1\r\n", ""])
    def test_trickling_head_is_ended_by_its_time_limit(self, first_byte):
        limits = {**LIMITS, "header_timeout_ms": 300}
        with running_entry_host(configuration(1, limits=limits)) as env:
            began = time.monotonic()
            with socket.create_connection((env.front.host, env.front.port), 5) as sock:
                sock.sendall(first_byte.encode())
                sock.settimeout(0.02)
                received = b""
                while not received and time.monotonic() - began < 2.0:
                    sock.sendall(b"A")
                    try:
                        received = sock.recv(100)
                    except TimeoutError:
                        continue
            assert received.startswith((b"HTTP/1.1 408", b"HTTP/1.1 400"))

    def test_trailers_are_no_headers_of_the_request(self):
        """Guards against a trailer that replaces the identity of its request."""
        with running_entry_host() as env:
            server = env.add_server(lambda a: iter([response(a, b"x")]), SERVICE)
            env.wait_for_servers(1)
            with socket.create_connection((env.front.host, env.front.port), 5) as sock:
                sock.sendall(
                    request_start("a-1")
                    + CHUNKED
                    + b"1\r\nx\r\n0\r\nX-Masticfork-Attempt-Id: a-2\r\nB: c\r\n\r\n"
                )
                assert b" 200 " in sock.recv(READ_BYTES)
        assert [request.attempt_id for request in server.requests] == ["a-1"]
        assert "b" not in server.requests[0].headers


class FakeChannel:
    """A connection that records whether it is read."""

    def __init__(self):
        self.reading, self.closed, self.unsent_bytes = True, False, 0

    def write(self, data):
        pass

    def pause(self):
        self.reading = False

    def resume(self):
        self.reading = True


class FakeCallerHost:
    """A host whose exchanges the test ends."""

    limits, stopping = CallerLimits(), False

    def __init__(self):
        self.requests = []

    def decode_head(self, headers):
        return decode_caller_head(headers, forward_authorization=False)

    def begin_exchange(self, caller, request):
        self.requests.append(request)
        return NoExchange()

    def account(self, caller, size):
        self.size = size


class TestPipelining:
    def test_reading_goes_on_once_few_requests_are_queued(self):
        """Guards against a queue that grows with each response (650 of a read)."""
        loop, channel, host = FakeLoop(), FakeChannel(), FakeCallerHost()
        caller = CallerConnection(loop, channel, host)
        count = 100
        caller.on_data((request_start("a") + b"Content-Length: 0\r\n\r\n") * count)
        for number in range(1, count + 1):
            assert len(host.requests) == number
            waiting = count - number
            assert channel.reading == (waiting <= MAX_QUEUED_REQUESTS)
            caller.start_response(response_head(), 0)
            caller.end_response()
            loop.advance(0.0)
        assert channel.reading


class TestCallersThatDoNotRead:
    def test_pipelined_requests_wait_until_responses_are_read(self):
        """Guards against responses that gather in the host's memory."""
        body, count = b"x" * 200_000, 200
        with running_entry_host() as env:
            server = env.add_server(lambda a: iter([response(a, body)]), SERVICE)
            env.wait_for_servers(1)
            with socket.create_connection((env.front.host, env.front.port), 5) as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
                for number in range(count):
                    head = request_start(f"a-{number}") + b"Content-Length: 1\r\n\r\n"
                    sock.sendall(head + b"x")
                time.sleep(1.5)
                before_reading = len(server.requests)
                assert sock.recv(READ_BYTES).startswith(b"HTTP/1.1 200")
                # Reading lets further requests through.
                env.wait_until(
                    lambda: (
                        bool(sock.recv(READ_BYTES))
                        and len(server.requests) > before_reading
                    )
                )
        socket_bytes = 8 << 20
        unread = (socket_bytes + 2 * MAX_UNSENT_RESPONSE_BYTES) // len(body)
        assert before_reading <= unread + MAX_QUEUED_REQUESTS


class TestHeaderSize:
    @pytest.mark.parametrize("line", [b"a:\r\n", b"a: b\r\n", b"%s:%s\r\n"])
    def test_head_of_legal_size_is_accepted_whatever_its_lines(self, line):
        """Guards against a count that takes more for a line than the caller sent."""
        host, channel = FakeCallerHost(), FakeChannel()
        caller = CallerConnection(FakeLoop(), channel, host)
        start = request_start("a")
        count = (CallerLimits().max_header_bytes - len(start)) // len(line)
        caller.on_data(start + line * count + b"\r\n")
        assert len(host.requests) == 1
