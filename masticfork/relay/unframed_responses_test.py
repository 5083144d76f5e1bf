"""Responses with neither a length nor chunks, which end with their connection."""

import http.client
import socket
import time

import pytest

from masticfork.relay.exchange import MAX_BUFFERED_RESPONSE_BYTES
from standins.entry_environment import (
    ENGINES,
    SERVICE,
    configuration,
    read_response,
    route,
    running_entry_host,
)
from standins.scripted_server import (
    CloseConnectionError,
    ResetConnectionError,
    event,
    unframed_head,
)

LARGE_BODY = b"0123456789abcdef" * (MAX_BUFFERED_RESPONSE_BYTES // 8)
# Its silence limits, twice the target and the gap, are far above the pauses of servers.
SLOW_ROUTE = configuration(
    1, route("streaming", target_latency_ms=2000, gap_aim_ms=1500)
)


def unframed(*parts, end=CloseConnectionError, status="200 OK"):
    """Return a script that sends the parts 50 ms apart and ends the connection."""

    def script(request):
        yield unframed_head(request, status)
        for part in parts:
            yield part
            time.sleep(0.05)
        raise end

    return script


def failing_first(first, then):
    """Return a script that runs `first` for its first request and `then` for others."""
    requests = []

    def script(request):
        requests.append(request)
        yield from (first if len(requests) == 1 else then)(request)

    return script


def run_events(first, last, run):
    return b"".join(event(n, f"run {run} ") for n in range(first, last + 1))


def continue_stream(run, last=5):
    """Return a script that sends the events after those asked for, without framing."""

    def script(request):
        yield unframed_head(request)
        first = int(request.headers.get("last-event-id", "0")) + 1
        yield run_events(first, last, run)
        raise CloseConnectionError

    return script


def exchange_raw(env, data):
    """Send bytes on a new connection and return all that is received until its end."""
    with socket.create_connection((env.front.host, env.front.port), 5) as sock:
        sock.sendall(data)
        received = b""
        while part := sock.recv(65536):
            received += part
        return received


def raw_request(env, path, version="1.1", **changes):
    lines = [f"POST {path} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in env.headers(changes).items()]
    lines += ["Content-Length: 1", "", "x"]
    return "\r\n".join(lines).encode()


class TestPlainResponses:
    @pytest.mark.parametrize("body", [b"", b"all of it", LARGE_BODY])
    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    def test_body_is_complete_at_a_clean_close(self, kind, body):
        with running_entry_host() as env:
            env.add_server(unframed(body), SERVICE)
            env.wait_for_servers(1)
            got = env.send(f"/{kind}/x")
            env.wait_until(lambda: env.logged("end", status=200, why="answered"))
        assert (got.status, got.body, got.complete) == (200, body, True)

    def test_error_status_is_passed_on_with_its_body(self):
        with running_entry_host() as env:
            env.add_server(unframed(b"why", status="404 Not Found"), SERVICE)
            env.wait_for_servers(1)
            got = env.send("/unsafe/x")
        assert (got.status, got.body, got.complete) == (404, b"why", True)

    @pytest.mark.parametrize("body", [b"", b"half", LARGE_BODY[:1000]])
    def test_reset_breaks_the_response_off(self, body):
        broken = unframed(body, end=ResetConnectionError)
        with running_entry_host(configuration(1, route("safe"))) as env:
            script = failing_first(broken, unframed(b"whole"))
            servers = [env.add_server(script, SERVICE) for _ in range(2)]
            env.wait_for_servers(2)
            got = env.send("/safe/x")
            env.wait_until(lambda: env.logged("call failed", outcome="broken"))
        assert (got.status, got.body) == (200, b"whole")
        assert sum(len(server.requests) for server in servers) == 2

    def test_reset_of_a_call_that_may_not_be_repeated_gives_502(self):
        with running_entry_host() as env:
            env.add_server(unframed(b"half", end=ResetConnectionError), SERVICE)
            env.wait_for_servers(1)
            assert env.send("/unsafe/x").status == 502

    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    def test_reset_of_a_response_that_has_begun_aborts_it(self, kind):
        """Guards against bodies of two servers that are joined (MIXED)."""
        broken = unframed(LARGE_BODY, end=ResetConnectionError)
        with running_entry_host() as env:
            script = failing_first(broken, unframed(b"body of another server"))
            servers = [env.add_server(script, SERVICE) for _ in range(2)]
            env.wait_for_servers(2)
            got = env.send(f"/{kind}/x")
            env.wait_until(lambda: env.logged("end", status=0))
        assert not got.complete
        assert b"another" not in got.body
        assert sum(len(server.requests) for server in servers) == 1

    def test_slow_response_that_has_begun_is_not_cut_by_silence(self):
        """Guards against a sound response that is given up though none can follow."""

        def slow(request):
            yield unframed_head(request) + LARGE_BODY
            time.sleep(0.8)
            yield b"end"
            raise CloseConnectionError

        with running_entry_host() as env:
            for _ in range(2):
                env.add_server(slow, SERVICE)
            env.wait_for_servers(2)
            got = env.send("/safe/x")
        assert got.complete
        assert got.body == LARGE_BODY + b"end"

    def test_next_request_gets_a_new_connection(self):
        with running_entry_host() as env:
            server = env.add_server(unframed(b"all of it"), SERVICE)
            env.wait_for_servers(1)
            bodies = [env.send("/safe/x").body for _ in range(3)]
        assert bodies == [b"all of it"] * 3
        assert server.connections == 3


class TestStreams:
    def test_stream_is_complete_at_a_clean_close_between_events(self):
        with running_entry_host() as env:
            server = env.add_server(unframed(event(1) + event(2), event(3)), ENGINES)
            env.wait_for_servers(1)
            got = env.send("/streaming/x")
        assert got.complete
        assert got.body == event(1) + event(2) + event(3)
        assert len(server.requests) == 1

    @pytest.mark.parametrize(
        ("data", "resumed_after"),
        [
            (event(1)[:-1], None),
            (event(1)[:4], None),
            (run_events(1, 2, 1) + b"id: 3\ndata: run 1", "2"),
            (run_events(1, 2, 1) + b"i", "2"),
        ],
    )
    @pytest.mark.parametrize("end", [CloseConnectionError, ResetConnectionError])
    def test_stream_that_ends_inside_an_event_is_continued_elsewhere(
        self, data, resumed_after, end
    ):
        with running_entry_host(SLOW_ROUTE) as env:
            script = failing_first(unframed(data, end=end), continue_stream(2))
            servers = [env.add_server(script, ENGINES) for _ in range(2)]
            env.wait_for_servers(2)
            got = env.send("/streaming/x")
            env.wait_until(lambda: env.logged("call failed", outcome="broken"))
        first = 1 if resumed_after is None else int(resumed_after) + 1
        assert got.complete
        assert got.body == run_events(1, first - 1, 1) + run_events(first, 5, 2)
        later = [r for s in servers for r in s.requests][-1]
        assert sum(len(s.requests) for s in servers) == 2
        assert {r.headers.get("last-event-id") for s in servers for r in s.requests} | {
            later.headers.get("last-event-id")
        } == {None, resumed_after}

    def test_stream_that_may_not_resume_and_ends_inside_an_event_is_aborted(self):
        spec = configuration(1, route("streaming", resumable=False))
        with running_entry_host(spec) as env:
            env.add_server(unframed(event(1) + b"id: 2\nda"), ENGINES)
            env.wait_for_servers(1)
            got = env.send("/streaming/x")
            env.wait_until(lambda: env.logged("end", status=0))
        assert not got.complete

    def test_stream_that_may_not_resume_and_ends_in_its_first_event_gives_502(self):
        spec = configuration(1, route("streaming", resumable=False))
        with running_entry_host(spec) as env:
            env.add_server(unframed(b"id: 1\nda"), ENGINES)
            env.wait_for_servers(1)
            assert env.send("/streaming/x").status == 502

    def test_reset_between_events_breaks_the_stream_off(self):
        with running_entry_host() as env:
            broken = unframed(run_events(1, 2, 1), end=ResetConnectionError)
            script = failing_first(broken, continue_stream(2))
            for _ in range(2):
                env.add_server(script, ENGINES)
            env.wait_for_servers(2)
            got = env.send("/streaming/x")
        assert got.complete
        assert got.body == run_events(1, 2, 1) + run_events(3, 5, 2)

    def test_error_of_a_large_body_is_not_joined_with_a_stream(self):
        """Guards against an error response continued by a stream (MIXED)."""
        broken = unframed(LARGE_BODY, end=ResetConnectionError, status="404 Not Found")
        with running_entry_host() as env:
            script = failing_first(broken, continue_stream(2))
            servers = [env.add_server(script, ENGINES) for _ in range(2)]
            env.wait_for_servers(2)
            got = env.send("/streaming/x")
        assert not got.complete
        assert b"run 2" not in got.body
        assert sum(len(server.requests) for server in servers) == 1


class TestResponsesWithoutBody:
    @pytest.mark.parametrize("path", ["/safe/x", "/streaming/x"])
    @pytest.mark.parametrize("framing", ["", "Content-Length: 7\r\n"])
    def test_head_request_gets_no_byte_of_a_body(self, path, framing):
        """Guards against bytes ahead of the next response on the connection."""

        def script(request):
            head = unframed_head(request).removesuffix(b"\r\n") + framing.encode()
            yield head + b"\r\n"

        with running_entry_host() as env:
            for service in (SERVICE, ENGINES):
                env.add_server(script, service)
            env.wait_for_servers(2)
            head = raw_request(env, path).replace(b"POST", b"HEAD", 1)
            got = exchange_raw(
                env, head + raw_request(env, "/other/x", Connection="close")
            )
        first, _, rest = got.partition(b"\r\n\r\n")
        assert first.startswith(b"HTTP/1.1 200")
        assert rest.startswith(b"HTTP/1.1 404")
        length = b"content-length: 7" if framing else b""
        assert length in first
        assert b"content-length: 0" not in first

    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/streaming/x"])
    @pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
    def test_status_without_body_is_complete_at_once(self, path, status):
        """Guards against chunks behind a status that has no body."""

        def script(request):
            yield unframed_head(request, status)
            time.sleep(4)

        with running_entry_host() as env:
            for service in (SERVICE, ENGINES):
                env.add_server(script, service)
            env.wait_for_servers(2)
            began = time.monotonic()
            data = raw_request(env, path)
            data += raw_request(env, "/other/x", Connection="close")
            got = exchange_raw(env, data)
        # Earlier than the time limit of the routes.
        assert time.monotonic() - began < 1.9
        first, _, rest = got.partition(b"\r\n\r\n")
        assert first.startswith(b"HTTP/1.1 " + status.encode())
        assert b"transfer-encoding" not in first
        assert b"content-length" not in first
        assert rest.startswith(b"HTTP/1.1 404")


class TestCallersConnections:
    def test_kept_alive_connection_serves_the_next_request(self):
        with running_entry_host() as env:
            env.add_server(unframed(LARGE_BODY), SERVICE)
            env.add_server(unframed(event(1)), ENGINES)
            env.wait_for_servers(2)
            connection = http.client.HTTPConnection(env.front.host, env.front.port, 5)
            bodies = []
            for path in ("/safe/1", "/streaming/2", "/unsafe/3"):
                connection.request("POST", path, b"x", env.headers())
                bodies.append(read_response(connection).body)
            connection.close()
        assert bodies == [LARGE_BODY, event(1), LARGE_BODY]

    @pytest.mark.parametrize(
        ("path", "body"),
        [("/safe/x", b"small"), ("/safe/x", LARGE_BODY), ("/streaming/x", event(1))],
    )
    def test_caller_that_asks_for_a_close_gets_the_whole_body(self, path, body):
        with running_entry_host() as env:
            env.add_server(unframed(body), ENGINES if path[2] == "t" else SERVICE)
            env.wait_for_servers(1)
            got = env.send(path, headers={"Connection": "close"})
        assert got.complete
        assert got.body == body
        assert got.headers["connection"] == "close"

    @pytest.mark.parametrize("connection", ["", "keep-alive"])
    @pytest.mark.parametrize(
        ("path", "body"),
        [("/safe/x", b"small"), ("/safe/x", LARGE_BODY), ("/streaming/x", event(1))],
    )
    def test_http_1_0_caller_gets_no_chunks(self, path, body, connection):
        """Guards against chunk sizes that such a caller reads as the body (MIXED)."""
        with running_entry_host() as env:
            env.add_server(unframed(body), ENGINES if path[2] == "t" else SERVICE)
            env.wait_for_servers(1)
            with socket.create_connection((env.front.host, env.front.port), 5) as sock:
                sock.sendall(raw_request(env, path, "1.0", Connection=connection))
                got = http.client.HTTPResponse(sock)
                got.begin()
                assert got.getheader("transfer-encoding") is None
                assert got.read() == body
                if got.getheader("content-length") is None:
                    assert got.getheader("connection") == "close"

    @pytest.mark.parametrize("path", ["/safe/x", "/streaming/x"])
    def test_http_1_0_caller_sees_a_broken_response_as_a_reset(self, path):
        data = event(1) if path[2] == "t" else LARGE_BODY
        spec = configuration(1, route("safe"), route("streaming", resumable=False))
        with running_entry_host(spec) as env:
            script = unframed(data, end=ResetConnectionError)
            env.add_server(script, ENGINES if path[2] == "t" else SERVICE)
            env.wait_for_servers(1)
            with pytest.raises(ConnectionResetError):
                exchange_raw(env, raw_request(env, path, "1.0"))
