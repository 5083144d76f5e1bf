"""Several requests on one connection of a caller."""

import socket
import time

import pytest

from standins.entry_environment import ENGINES, SERVICE, running_entry_host
from standins.scripted_server import events, response, stream_head

PAUSE_SECONDS = 0.5


def request_bytes(env, method, path, headers=None):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in env.headers(headers).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def received_bytes(sock):
    """Return what arrives until nothing has arrived for PAUSE_SECONDS."""
    sock.settimeout(PAUSE_SECONDS)
    received = b""
    while True:
        try:
            data = sock.recv(65536)
        except TimeoutError:
            return received
        if not data:
            return received
        received += data


def own_id(request):
    time.sleep(0.02)
    yield response(request, request.attempt_id.encode())


def head_of_stream(request):
    yield stream_head(request)


def no_content(request):
    stamp = "X-Masticfork-Server-Stamp: s1"
    attempt_id = f"X-Masticfork-Attempt-Id: {request.attempt_id}"
    yield f"HTTP/1.1 204 No Content\r\n{attempt_id}\r\n{stamp}\r\n\r\n".encode()


class TestConnectionReuse:
    @pytest.mark.parametrize(
        ("method", "bodiless"), [("HEAD", head_of_stream), ("POST", no_content)]
    )
    def test_nothing_follows_a_bodiless_response_of_a_streaming_route(
        self, method, bodiless
    ):
        """Guards against bytes that callers read as their next response (MIXED)."""
        with running_entry_host() as env:
            server = env.add_server(bodiless, ENGINES)
            env.wait_for_servers(1)
            with socket.create_connection((env.front.host, env.front.port)) as sock:
                sock.sendall(request_bytes(env, method, "/streaming/1"))
                assert received_bytes(sock).partition(b"\r\n\r\n")[2] == b""
                server.script = lambda request: events(request, 1)
                sock.sendall(request_bytes(env, "POST", "/streaming/2"))
                assert received_bytes(sock).startswith(b"HTTP/1.1 200 OK\r\n")

    def test_pipelined_requests_are_answered_in_order(self):
        """Guards against a response that goes to another request of a connection."""
        with running_entry_host() as env:
            env.add_server(own_id, SERVICE)
            env.wait_for_servers(1)
            requests = [request_bytes(env, "POST", "/safe/x") for _ in range(6)]
            with socket.create_connection((env.front.host, env.front.port)) as sock:
                # The second part begins within a request.
                data = b"".join(requests)
                sock.sendall(data[:700])
                time.sleep(0.03)
                sock.sendall(data[700:])
                heads = received_bytes(sock).split(b"HTTP/1.1 200 OK\r\n")[1:]
        ids = [f"attempt-{number}".encode() for number in range(1, 7)]
        assert [head.partition(b"\r\n\r\n")[2] for head in heads] == ids


class TestInvalidInput:
    @pytest.mark.parametrize(
        ("headers", "follows"),
        [
            (None, b"\0no request\r\n\r\n"),
            ({"Connection": "Upgrade", "Upgrade": "h2c"}, b""),
        ],
    )
    def test_request_ahead_of_it_is_answered(self, headers, follows):
        """Guards against a complete request that gets no answer at all."""
        with running_entry_host() as env:
            env.add_server(own_id, SERVICE)
            env.wait_for_servers(1)
            with socket.create_connection((env.front.host, env.front.port)) as sock:
                sock.sendall(request_bytes(env, "POST", "/safe/x", headers) + follows)
                got = received_bytes(sock)
        assert got.startswith(b"HTTP/1.1 200 OK\r\n")
        assert b"\r\nconnection: close\r\n" in got
        assert got.endswith(b"\r\n\r\nattempt-1")
