"""Responses that end inside their head, which is never a response to the caller."""

import itertools
import time
from collections import Counter

import pytest

from standins.entry_environment import (
    ENGINES,
    SERVICE,
    configuration,
    route,
    running_entry_host,
)
from standins.scripted_server import (
    CloseConnectionError,
    ResetConnectionError,
    events,
    response,
)

OWN = "X-Masticfork-Attempt-Id: {id}\r\nX-Masticfork-Server-Stamp: s1\r\n"
HEADS = {
    "length": "HTTP/1.1 200 OK\r\n" + OWN + "Content-Length: 0\r\n\r\n",
    "chunked": "HTTP/1.1 200 OK\r\n" + OWN + "Transfer-Encoding: chunked\r\n\r\n",
    "unframed": "HTTP/1.1 200 OK\r\n" + OWN + "Connection: close\r\n\r\n",
    "interim": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"
    + OWN
    + "Content-Length: 0\r\n\r\n",
    "http 1.0": "HTTP/1.0 200 OK\r\n" + OWN + "Content-Length: 0\r\n\r\n",
    "no content": "HTTP/1.1 204 No Content\r\n" + OWN + "\r\n",
    "events": "HTTP/1.1 200 OK\r\n"
    + OWN
    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    "refusal": "HTTP/1.1 503 Service Unavailable\r\nX-Masticfork-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n",
}
# Bytes between two cuts of a head.
STEP = 13
# Each request is sent once, so that a broken head is the response to it.
SPEC = configuration(
    1,
    route("safe", max_attempts=1),
    route("unsafe"),
    route("streaming", sizes=["small"], max_attempts=1),
)


def cuts(head):
    """Return the lengths at which a head is cut: its lines' ends and between them."""
    ends = [n for n, byte in enumerate(head) if byte == "\n"]
    return sorted({*range(0, len(head), STEP), *ends, len(head) - 1})


class CutHeads:
    """A script that answers the request for `/KIND/NUMBER` with so many bytes."""

    def __init__(self, head, end, pause=0.0):
        self._head, self._end, self._pause = head, end, pause

    def __call__(self, request):
        length = int(request.target.rpartition("/")[2])
        data = self._head.format(id=request.attempt_id).encode()[:length]
        parts = [data] if not self._pause else [bytes([byte]) for byte in data]
        for part in parts:
            yield part
            time.sleep(self._pause)
        raise self._end


def separate(number):
    """Return headers by which no two requests are alike, nor have a prompt part."""
    return {"X-Masticfork-Prompt-Prefix": f"p{number}:50", "Session": f"s-{number}"}


class TestHeads:
    @pytest.mark.parametrize("end", [CloseConnectionError, ResetConnectionError])
    @pytest.mark.parametrize("name", HEADS)
    @pytest.mark.parametrize("kind", ["safe", "unsafe", "streaming"])
    def test_cut_head_is_a_failure(self, kind, name, end):
        """Guards against a short or empty response that is framed as whole."""
        head = HEADS[name]
        with running_entry_host(SPEC) as env:
            service = ENGINES if kind == "streaming" else SERVICE
            server = env.add_server(CutHeads(head, end), service, slots=64)
            env.wait_for_servers(1)
            got = {
                length: env.send(f"/{kind}/{length}", headers=separate(length))
                for length in cuts(head.replace("{id}", ""))
            }
            ran = Counter(request.target for request in server.requests)
        for length, answer in got.items():
            assert answer.status == 502, (length, answer)
            assert ran[f"/{kind}/{length}"] == 1

    @pytest.mark.parametrize("name", HEADS)
    @pytest.mark.parametrize("kind", ["safe", "streaming"])
    def test_next_server_answers_a_request_that_may_be_repeated(self, kind, name):
        """Guards against bytes of two responses that are joined."""
        head, calls = HEADS[name], itertools.count()
        spec = configuration(1, route("safe"), route("streaming", sizes=["small"]))

        def script(request):
            if next(calls) % 2 == 0:
                yield head.format(id=request.attempt_id).encode()[:-1]
                raise CloseConnectionError
            if kind == "streaming":
                yield from events(request, 3, pause=0.0, confidence=90)
            else:
                yield response(request, b"id: whole")

        with running_entry_host(spec) as env:
            for _ in range(2):
                env.add_server(script, ENGINES if kind == "streaming" else SERVICE)
            env.wait_for_servers(2)
            got = env.send(f"/{kind}/x")
        assert (got.status, got.complete) == (200, True)
        assert got.body.count(b"id: ") == (3 if kind == "streaming" else 1)

    @pytest.mark.parametrize("end", [CloseConnectionError, ResetConnectionError])
    def test_cut_head_on_a_connection_that_was_used_before(self, end):
        """Guards against the first response's state in the second one."""
        head = HEADS["length"]

        def script(request):
            if request.target.endswith("/whole"):
                yield response(request, b"whole")
            else:
                yield from CutHeads(head, end)(request)

        with running_entry_host(SPEC) as env:
            server = env.add_server(script, SERVICE, slots=64)
            env.wait_for_servers(1)
            for length in cuts(head.replace("{id}", "")):
                assert env.send("/safe/whole").body == b"whole"
                connections = server.connections
                got = env.send(f"/safe/{length}")
                assert server.connections == connections
                assert got.status == 502

    @pytest.mark.parametrize("kind", ["safe", "unsafe", "streaming"])
    def test_head_that_trickles_in_until_the_time_limit(self, kind):
        """Guards against a request that waits for a head without end."""
        head = HEADS["length"]
        script = CutHeads(head, CloseConnectionError, pause=0.05)
        limit = {"X-Masticfork-Deadline-Ms": "700"}
        with running_entry_host(SPEC) as env:
            service = ENGINES if kind == "streaming" else SERVICE
            env.add_server(script, service, slots=64)
            env.wait_for_servers(1)
            began = time.monotonic()
            got = env.send(f"/{kind}/{len(head)}", headers=limit)
            seconds = time.monotonic() - began
        assert got.status in (502, 504)
        assert seconds < 1.2
