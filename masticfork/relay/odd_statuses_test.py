"""Responses whose status is none: below 100 or above 599."""

import time

import pytest

from standins.entry_environment import ENGINES, SERVICE, running_entry_host
from standins.scripted_server import chunk, event, response, stream_head

STATUSES = ("000", "001", "099", "600", "999")
KINDS = ("safe", "unsafe", "streaming")


def odd(request, status, followed):
    """Return a response with a status that is none, and a sound one behind it."""
    data = response(request, b"first", status=f"{status} Odd")
    return data + (response(request, b"second") if followed else b"")


class TestStatuses:
    @pytest.mark.parametrize("followed", [False, True])
    @pytest.mark.parametrize("status", STATUSES)
    @pytest.mark.parametrize("kind", KINDS)
    def test_response_is_a_failure_of_the_server(self, kind, status, followed):
        """Guards against bodies that are joined, and callers that wait in vain."""

        def script(request):
            yield odd(request, status, followed)

        with running_entry_host() as env:
            env.add_server(script, ENGINES if kind == "streaming" else SERVICE)
            env.wait_for_servers(1)
            began = time.monotonic()
            answer = env.send(f"/{kind}/x")
            assert answer.status in (502, 503)
            assert answer.body == b""
            assert time.monotonic() - began < 1.0
            if kind != "safe":
                # It may have run.
                assert answer.status == 502

    def test_interim_response_precedes_the_final_one(self):
        def script(request):
            yield b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
            yield stream_head(request, 90) + chunk(event(1)) + b"0\r\n\r\n"

        with running_entry_host() as env:
            env.add_server(script, ENGINES)
            env.wait_for_servers(1)
            assert env.send("/streaming/x").status == 200
