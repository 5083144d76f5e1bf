import socket
import threading

import pytest

from masticfork.relay.caller import CallerConnection
from masticfork.relay.caller_memory import REQUEST_MEMORY_SHARE, CallerMemory
from masticfork.relay.caller_test import FakeCallerHost, FakeChannel, request_start
from masticfork.relay.metrics import RelayMetrics
from masticfork.systems.request_memory import STALL_SECONDS
from standins.entry_environment import SERVICE, running_entry_host
from standins.fake_exchange import response_head
from standins.fake_loop import FakeLoop
from standins.scripted_server import response

MEMORY_BYTES = 80_000_000
LIMIT_BYTES = int(MEMORY_BYTES * REQUEST_MEMORY_SHARE)
BODY_BYTES = 3_000_000


class Host(FakeCallerHost):
    """A host that accounts for the memory of its callers."""

    def __init__(self):
        super().__init__()
        self.loop = FakeLoop(100.0)
        self.lines = []
        self.memory = CallerMemory(
            self.loop,
            RelayMetrics(),
            lambda message, **fields: self.lines.append(message),
            MEMORY_BYTES,
        )
        self.account = self.memory.update

    @property
    def begun(self):
        return len(self.requests)

    def connect(self):
        caller = CallerConnection(self.loop, Channel(), self)
        caller.channel = caller._channel
        return caller

    def error_headers(self, attempt_id, retry_after=None):
        return [(b"retry-after", b"%d" % retry_after)] if retry_after else []

    def remove_connection(self, caller):
        pass


class Channel(FakeChannel):
    """A connection that keeps what is written."""

    def __init__(self):
        super().__init__()
        self.written = b""

    def write(self, data):
        self.written += data

    def close_when_sent(self, on_closed):
        on_closed()


@pytest.fixture
def host():
    return Host()


def send(caller, length, declared=BODY_BYTES):
    head = request_start("a") + b"Content-Length: %d\r\n\r\n" % declared
    caller.on_data(head)
    more(caller, length)


def more(caller, length):
    while length:
        piece = min(length, 1 << 16)
        caller.on_data(b"x" * piece)
        length -= piece


class TestCallersWhoStop:
    def test_their_requests_are_refused_and_have_not_run(self, host):
        callers = [host.connect() for _ in range(8)]
        for caller in callers:
            send(caller, BODY_BYTES - 1)
            host.loop.now += 2 * STALL_SECONDS
        assert host.memory.held_bytes <= LIMIT_BYTES
        assert host.begun == 0
        answers = [caller.channel.written for caller in callers]
        got = [answer for answer in answers if answer]
        assert len(got) == 5
        for answer in got:
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"retry-after: 1\r\n" in answer
            assert b"connection: close\r\n" in answer

    def test_slow_caller_who_goes_on_is_served_beside_them(self, host):
        """Guards against an honest caller who is refused for being slow."""
        slow = host.connect()
        send(slow, 0)
        for _ in range(20):
            send(host.connect(), BODY_BYTES - 1)
            host.loop.now += STALL_SECONDS / 2
            more(slow, BODY_BYTES // 20)
        assert slow.channel.written == b""
        assert host.begun == 1

    def test_what_is_held_for_them_is_given_back_as_they_leave(self, host):
        callers = [host.connect() for _ in range(3)]
        for caller in callers:
            send(caller, BODY_BYTES - 1)
            caller.on_closed(None)
        assert host.memory.held_bytes == 0


class TestHandledRequests:
    def test_they_count_until_their_response_ends(self, host):
        caller = host.connect()
        send(caller, BODY_BYTES)
        assert host.memory.held_bytes > 2 * BODY_BYTES
        caller.start_response(response_head(), 0)
        caller.end_response()
        assert host.memory.held_bytes == 0

    def test_large_request_beside_them_is_not_admitted(self, host):
        first, second, small = host.connect(), host.connect(), host.connect()
        send(first, BODY_BYTES)
        send(second, 2_000_000, 2_000_000)
        assert not host.memory.admits(second)
        send(small, 1000, 1000)
        assert host.memory.admits(small)


class TestHost:
    def test_large_requests_beyond_the_limit_get_a_true_refusal(self):
        """Guards against a refusal of a request that a server has run."""

        def hold(request):
            released.wait(20.0)
            yield response(request, b"done")

        released = threading.Event()
        with running_entry_host(memory_mb=64) as env:
            server = env.add_server(hold, SERVICE)
            env.wait_for_servers(1)
            body = b"x" * (2 << 20)
            with socket.create_connection((env.front.host, env.front.port)) as sock:
                head = request_start("a-1", **{"X-Masticfork-Deadline-Ms": "1900"})
                sock.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
                env.wait_until(lambda: len(server.requests) == 1)
                refused = [env.send("/safe/x", body=2 * body) for _ in range(3)]
                released.set()
                assert sock.recv(100).startswith(b"HTTP/1.1 200 ")
            assert {answer.status for answer in refused} == {503}
            assert all(float(a.headers["retry-after"]) > 0 for a in refused)
            assert len(server.requests) == 1
