"""A host that stops: what it still accepts, and how accepted requests end."""

import http.client
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest

from masticfork.platform.settings_file import Bounds
from masticfork.relay.exchange import Exchange
from masticfork.relay.server_call import Stage
from masticfork.systems.graceful_stop import STOP_MARGIN_SECONDS
from standins.entry_environment import (
    SERVICE,
    configuration,
    route,
    running_entry_host,
)
from standins.fake_exchange import (
    FakeCaller,
    FakeHost,
    caller_request,
    response_head,
)
from standins.scripted_server import overloaded_response, response
from standins.typed_routes import multi_model_route

GRACE_SECONDS = 6.0
# Time that the server takes for a request, and the time limit of the routes.
WORK_SECONDS = 0.9
TIMEOUT_MS = 4000


def slow_response(request):
    time.sleep(WORK_SECONDS)
    yield response(request, b"whole")


class Answers:
    """Requests that are sent side by side on connections of their own."""

    def __init__(self, env):
        self.env = env
        # Pairs of the status, 0 if the connection ended first, and its attempt ID.
        self.received = []
        self._threads = []

    def send(self, path):
        thread = threading.Thread(target=self._send, args=(path,))
        self._threads.append(thread)
        thread.start()

    def _send(self, path):
        headers = self.env.headers({"X-Masticfork-Deadline-Ms": str(TIMEOUT_MS)})
        connection = http.client.HTTPConnection(
            self.env.front.host, self.env.front.port, GRACE_SECONDS
        )
        try:
            connection.request("POST", path, b"x", headers)
            status = connection.getresponse().status
        except ConnectionRefusedError:
            return
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        self.received.append((status, headers["X-Masticfork-Attempt-Id"]))

    def join(self):
        for thread in self._threads:
            thread.join()

    def of(self, attempts):
        """Return the statuses that the attempts of these IDs have got."""
        return [status for status, attempt in self.received if attempt in attempts]


@contextmanager
def busy_host():
    """Run a host that an open connection keeps from stopping early."""
    routes = [
        route(kind, timeout_ms=TIMEOUT_MS, target_latency_ms=1000)
        for kind in ("safe", "unsafe")
    ]
    limits = {"idle_timeout_ms": 5000, "header_timeout_ms": 30_000}
    spec = configuration(1, *routes, limits=limits)
    bounds = Bounds(grace=GRACE_SECONDS)
    with (
        running_entry_host(spec, bounds) as env,
        socket.create_connection((env.front.host, env.front.port)) as sock,
    ):
        sock.sendall(b"POST /")
        yield env


class TestLateRequests:
    @pytest.mark.parametrize("answered_before", [0, 8])
    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    def test_accepted_requests_are_answered_by_their_server(
        self, kind, answered_before
    ):
        """Guards against requests that a stopping host accepts late and cuts off."""
        with busy_host() as env:
            server = env.add_server(slow_response, SERVICE, slots=64)
            env.wait_for_servers(1)
            answers = Answers(env)
            for _ in range(answered_before):
                answers.send(f"/{kind}/x")
            answers.join()
            env.host.request_stop()
            while env.host.loop.running:
                answers.send(f"/{kind}/x")
                time.sleep(0.1)
            answers.join()
            attempts = {request.attempt_id for request in server.requests}
        assert {200, 503} <= {status for status, _ in answers.received}
        assert set(answers.of(attempts)) == {200}

    @pytest.mark.parametrize(
        ("kind", "limit_ms", "status"),
        [("safe", 3000, 200), ("unsafe", 700, 200), ("unsafe", 3000, 503)],
    )
    def test_requests_are_accepted_while_they_end_in_time(self, kind, limit_ms, status):
        """Guards against refusals of requests that could still be answered."""
        limit = {"X-Masticfork-Deadline-Ms": str(limit_ms)}
        with busy_host() as env:
            env.add_server(lambda r: [response(r, b"whole")], SERVICE)
            env.wait_for_servers(1)
            for _ in range(8):
                assert env.send(f"/{kind}/x").status == 200
            env.host.request_stop()
            time.sleep(GRACE_SECONDS - STOP_MARGIN_SECONDS - 1.0)
            assert env.send(f"/{kind}/x", headers=limit).status == status

    @pytest.mark.parametrize("seconds", [1.5, 3.0])
    def test_request_that_may_not_be_repeated_never_depends_on_a_guess(self, seconds):
        """Guards against orders cut off as their server turns slow during the stop."""
        slow_from = float("inf")

        def turning_slow(request):
            time.sleep(seconds if time.monotonic() > slow_from else 0.02)
            yield response(request, b"whole")

        with busy_host() as env:
            server = env.add_server(turning_slow, SERVICE, slots=64)
            env.wait_for_servers(1)
            answers = Answers(env)
            for _ in range(8):
                answers.send("/unsafe/x")
            answers.join()
            env.host.request_stop()
            slow_from = time.monotonic() + 1.0
            while env.host.loop.running:
                answers.send("/unsafe/x")
                time.sleep(0.1)
            answers.join()
            attempts = {request.attempt_id for request in server.requests}
        assert {200, 503} <= {status for status, _ in answers.received}
        assert set(answers.of(attempts)) == {200}


class TestLateRetries:
    def test_refused_request_is_not_sent_once_more(self):
        """Guards against a late retry that the end of the host cuts off."""

        def refusing(request):
            time.sleep(2.0)
            yield overloaded_response()

        with busy_host() as env:
            servers = [env.add_server(refusing, SERVICE) for _ in range(2)]
            env.wait_for_servers(2)
            answers = Answers(env)
            env.host.request_stop()
            time.sleep(2.2)
            answers.send("/safe/x")
            answers.join()
        assert [status for status, _ in answers.received] == [503]
        assert sum(len(server.requests) for server in servers) == 1


class SlowReader:
    """Reads a long response at the pace of a slow link."""

    SEGMENT_BYTES, WINDOW_BYTES = 1400, 16_384

    def __init__(self, env, path):
        self._sock = socket.socket()
        tcp, option = socket.IPPROTO_TCP, socket.TCP_MAXSEG
        self._sock.setsockopt(tcp, option, self.SEGMENT_BYTES)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.WINDOW_BYTES)
        self._sock.settimeout(GRACE_SECONDS)
        self._sock.connect((env.front.host, env.front.port))
        headers = env.headers({"X-Masticfork-Deadline-Ms": "12000"})
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([f"POST {path} HTTP/1.1", "Content-Length: 0", *lines])
        self._sock.sendall(head.encode() + b"\r\n\r\n")

    def read(self, seconds, size):
        """Return the bytes that arrive, so many within this time at an even pace."""
        received, began = 0, time.monotonic()
        while received < size:
            try:
                data = self._sock.recv(4096)
            except OSError:
                return received
            if not data:
                return received
            received += len(data)
            due = began + seconds * received / size
            time.sleep(max(0.0, due - time.monotonic()))
        return received


class TestUnsentResponses:
    # The sizes differ, so that some responses end with much that is unsent.
    SIZES = range(2_200_000, 2_700_000, 60_000)

    def test_ends_of_long_answers_are_sent_before_the_host_exits(self):
        """Guards against an answer whose unsent end is lost with its host."""

        def long_response(request):
            yield response(request, b"x" * int(request.target.rpartition("/")[2]))

        seconds = GRACE_SECONDS - STOP_MARGIN_SECONDS - 0.6
        spec = configuration(1, route("safe", timeout_ms=12_000))
        bounds = Bounds(grace=GRACE_SECONDS)
        with running_entry_host(spec, bounds) as env:
            env.add_server(long_response, SERVICE)
            env.wait_for_servers(1)
            readers = {size: SlowReader(env, f"/safe/{size}") for size in self.SIZES}
            time.sleep(0.3)
            env.host.request_stop()
            with ThreadPoolExecutor(len(readers)) as pool:
                reading = {
                    size: pool.submit(reader.read, seconds, size)
                    for size, reader in readers.items()
                }
            missing = {
                size: size - read.result()
                for size, read in reading.items()
                if read.result() < size
            }
            assert not missing
            env.wait_until(lambda: not env.host.loop.running, 2.0)


class TestEscalation:
    @pytest.mark.parametrize(("stopping", "calls"), [(False, 2), (True, 1)])
    def test_answer_is_kept_if_a_larger_model_would_be_cut_off(self, stopping, calls):
        """Guards against usable answers that are dropped for one that is cut off."""
        host, caller = FakeHost(), FakeCaller()
        exchange = Exchange(
            host=host,
            caller=caller,
            request=caller_request(model="*", model_chosen_by_router=True),
            route=multi_model_route(),
            service="s",
            team=None,
            priority=1,
            deadline=12.0,
        )
        exchange.start()
        host.stopping = stopping
        host.calls[-1].stage = Stage.ANSWERING
        exchange.on_head(response_head(confidence=5))
        assert len(host.calls) == calls


class TestEnd:
    def test_unanswered_request_ends_with_a_failure(self):
        """Guards against connections that close without any response."""

        def silent(request):
            time.sleep(GRACE_SECONDS)
            yield b""

        with busy_host() as env:
            env.add_server(silent, SERVICE)
            env.wait_for_servers(1)
            answers = Answers(env)
            env.host.request_stop()
            time.sleep(2.2)
            answers.send("/unsafe/x")
            answers.join()
        assert [status for status, _ in answers.received] == [502]
