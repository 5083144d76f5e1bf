"""Several requests on one connection of a caller."""

import socket

import pytest

from standins.entry_environment import ENGINES, running_entry_host
from standins.scripted_server import events, stream_head

PAUSE_SECONDS = 0.5


def request_bytes(env, method, path):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in env.headers().items()]
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
