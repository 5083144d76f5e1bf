"""Servers that send much and no end to many calls at once.

Each test starts an entry host as a process. It runs alone, see tools/run_tests.py.
"""

import time

import pytest

from proofs.crowds_test import LIMITS, check_beside, framed, is_served
from standins.scripted_server import chunk, event, stream_head
from tools.run_platform import running_platform

CALLERS = 100
# What is sent to a call: the limits of the host bound each of these by itself.
HEAD_LINES = b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 16_000
EVENT_BYTES = 1_000_000
PIECE = b"x" * 50_000
# Time for which a server keeps a call that it has not ended.
STAY_SECONDS = 20.0


def stay():
    time.sleep(STAY_SECONDS)
    yield b""


def head_without_end(request):
    yield HEAD_LINES
    yield from stay()


def event_without_end(request):
    yield stream_head(request) + chunk(event(1) + b"id: 2\ndata: ")
    for _ in range(EVENT_BYTES // len(PIECE)):
        yield chunk(PIECE)
    yield from stay()


def events_in_small_chunks(request):
    yield stream_head(request) + chunk(event(1) + b"id: 2\ndata: ")
    yield chunk(b"x") * 100_000
    yield from stay()


def no_answer(request):
    while True:
        yield b"\x00" * 50_000


def endless_body(request):
    yield stream_head(request)
    number = 0
    while True:
        number += 1
        yield chunk(event(number, "x" * 50_000))


SCRIPTS = [
    head_without_end,
    event_without_end,
    events_in_small_chunks,
    no_answer,
    endless_body,
]


CALL = framed(b"x", path=b"/streaming/x", changes={"X-Masticfork-Deadline-Ms": "8000"})


class TestEndlessServers:
    @pytest.mark.parametrize("script", SCRIPTS)
    def test_host_lives_within_its_memory_and_serves_others(self, script):
        """Guards against servers who end a process by bytes that are no answer."""
        with running_platform(1, LIMITS, engine_script=script) as platform:
            host = platform.hosts[0]
            assert is_served(host.front)
            check_beside(script.__name__, host, CALLERS, CALL)
