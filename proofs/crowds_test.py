"""Clients that send much, of legal size, and stop just short of the end.

Each test starts an entry host as a process. It runs alone, see tools/run_tests.py.
"""

import http.client
import socket
import time

import pytest

from masticfork.core.routes import CallerLimits
from proofs.measuring import open_descriptors, peak_memory_mb, wait_until_rested
from standins.crowd import crowd
from standins.entry_environment import request_headers
from tools.run_platform import MachineLimits, running_platform

# A machine with less memory than any of the users', so that small crowds suffice.
LIMITS = MachineLimits(memory_mb=96, file_descriptors=1024)
BODY_BYTES = CallerLimits().max_body_bytes
HEADER_BYTES = CallerLimits().max_header_bytes
SMALL_BODY_BYTES = 1 << 20
# Time after which a test no longer waits for an answer; not a promise.
PATIENCE_SECONDS = 30.0


def head(*lines, path=b"/safe/x", changes=None):
    fields = request_headers("a-1", changes).items()
    headers = "".join(f"{name}: {value}\r\n" for name, value in fields)
    return b"POST %b HTTP/1.1\r\n%b" % (path, headers.encode()) + b"".join(lines)


def framed(body, **request):
    return head(b"Content-Length: %d\r\n\r\n" % len(body), **request) + body


def chunked(size, length):
    """Return a chunked request without its last chunk."""
    one = b"%x\r\n" % size + b"x" * size + b"\r\n"
    return head(b"Transfer-Encoding: chunked\r\n\r\n") + one * (length // size)


SHORT_LINES = b"a:\r\n" * ((HEADER_BYTES - 1024) // 4)
ODD_LINES = b"".join(b"%x:\t \r\n" % n for n in range((HEADER_BYTES - 1024) // 9))
WHOLE_BODY = framed(b"x" * BODY_BYTES)

ORDINARY = framed(b"hello")

# Connections of the crowd, and what each sends.
CROWDS = {
    "short header lines without end": (350, head(SHORT_LINES)),
    "odd header lines without end": (350, head(ODD_LINES)),
    "short header lines and a short body": (
        350,
        head(SHORT_LINES, b"Content-Length: 5\r\n\r\nhell"),
    ),
    "large bodies, one byte short": (64, WHOLE_BODY[:-1]),
    "large bodies, whole": (64, WHOLE_BODY),
    "large chunks, short of the end": (64, chunked(64 << 10, BODY_BYTES - 1)),
    "small chunks, short of the end": (16, chunked(2, SMALL_BODY_BYTES)),
    "small chunks, whole": (16, chunked(2, SMALL_BODY_BYTES) + b"0\r\n\r\n"),
    "more connections than places": (600, head(SHORT_LINES)),
}
# The same for crowds that open a new connection for each that is closed.
LASTING_CROWDS = {
    "silent": (600, b""),
    "a byte": (600, b"P"),
    "short header lines": (600, head(SHORT_LINES)),
    "bodies, one byte short": (600, framed(b"x" * 1000)[:-1]),
}


def ask(front, request=ORDINARY):
    """Send a request and return the status of its answer, 0 if there is none."""
    try:
        with socket.create_connection((front.host, front.port), 10) as sock:
            sock.sendall(request)
            answer = http.client.HTTPResponse(sock, method="POST")
            answer.begin()
            answer.read()
            return answer.status
    except (OSError, http.client.HTTPException):
        return 0


def is_served(front):
    """Return whether an ordinary request is answered; ask again if it is not."""
    deadline = time.monotonic() + PATIENCE_SECONDS
    while ask(front) != 200:
        if time.monotonic() >= deadline:
            return False
        time.sleep(0.2)
    return True


def check_beside(name, host, connections, data):
    """Check that a host lives within its limits beside a crowd and serves others."""
    pid = host.program.pid
    before = peak_memory_mb(pid)
    with crowd(host.front, connections, data):
        descriptors = open_descriptors(pid)
        wait_until_rested(pid)
        descriptors = max(descriptors, open_descriptors(pid))
        served_beside = is_served(host.front)
    served = is_served(host.front)
    peak = peak_memory_mb(pid)
    print(f"{name}: {before:.0f} to {peak:.0f} MB, {descriptors=}")
    assert host.program.alive
    assert peak <= LIMITS.memory_mb
    assert descriptors <= LIMITS.file_descriptors
    assert served_beside
    assert served


@pytest.fixture
def host():
    with running_platform(1, LIMITS) as platform:
        started = platform.hosts[0]
        assert is_served(started.front)
        yield started


class TestCrowds:
    @pytest.mark.parametrize("name", CROWDS)
    def test_host_lives_within_its_memory_and_serves_others(self, host, name):
        """Guards against clients who end a process by what they are allowed to send."""
        check_beside(name, host, *CROWDS[name])


class TestLastingCrowds:
    @pytest.mark.parametrize("name", LASTING_CROWDS)
    def test_others_get_places_beside_a_crowd_that_takes_all_of_them(self, host, name):
        """Guards against places that are kept by whoever came first."""
        connections, data = LASTING_CROWDS[name]
        with crowd(host.front, connections, data, lasting=True):
            answered = all(is_served(host.front) for _ in range(5))
        assert host.program.alive
        assert peak_memory_mb(host.program.pid) <= LIMITS.memory_mb
        assert answered


REQUESTS = {
    "one byte": framed(b"x"),
    "medium body": framed(b"x" * (64 << 10)),
    "largest body": WHOLE_BODY,
    "largest body in large chunks": chunked(64 << 10, BODY_BYTES) + b"0\r\n\r\n",
    "body in small chunks": chunked(2, SMALL_BODY_BYTES) + b"0\r\n\r\n",
    "most header lines": head(SHORT_LINES, b"Content-Length: 0\r\n\r\n"),
    "odd header lines": head(ODD_LINES, b"Content-Length: 0\r\n\r\n"),
}


class TestCalm:
    @pytest.mark.parametrize("name", REQUESTS)
    def test_single_request_inside_the_limits_is_served(self, host, name):
        """Guards against limits that requests inside those of the pages meet."""
        assert ask(host.front, REQUESTS[name]) == 200
