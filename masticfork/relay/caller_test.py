"""Callers that send without end, or do not read."""

import socket
import time

import pytest

from standins.entry_environment import (
    SERVICE,
    configuration,
    request_headers,
    running_entry_host,
)
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
