"""Connections on which a response was not read as a whole, or more than one came."""

import itertools
import json
import time
from contextlib import contextmanager

import pytest
from result import Err

from masticfork.backends.connections import ConnectionPool, Request
from masticfork.backends.engine import EngineCall, EngineClient
from masticfork.backends.failures import FailureKind
from masticfork.backends.service import ServiceClient
from masticfork.backends.stream_reader import StreamReader
from masticfork.core.deadlines import Deadline
from masticfork.core.ids import AttemptId, ServerName, VersionId, ZoneName
from masticfork.core.manifest import BackendServer
from standins.scripted_server import CloseConnectionError, ScriptedServer

SHORT_SECONDS = 0.2


def sized(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def numbered(first):
    """Return a script that answers requests with their number, the first by `first`."""
    numbers = itertools.count(1)

    def script(request):
        number = next(numbers)
        yield from first() if number == 1 else [sized(b'{"number": %d}' % number)]

    return script


@contextmanager
def backend(script):
    """Run a scripted server; yield it and its description."""
    server = ScriptedServer(script)
    host, port = server.address.split(":")
    try:
        yield server, BackendServer(ServerName("s"), host, int(port), ZoneName("z"))
    finally:
        server.close()


def deadline(seconds=5.0):
    return Deadline.after(time.time(), seconds)


def generation(number):
    return EngineCall(AttemptId(f"attempt-{number}"), VersionId("a@1"), {}, 0)


@pytest.fixture
def engines():
    reader = StreamReader(time.time)
    yield EngineClient(ConnectionPool(time.time), reader, time.time)
    reader.stop()


class TestPartlyReadResponses:
    def test_late_rest_of_a_body_reaches_no_other_call(self, engines):
        """Guards against a half-read connection that is put back into the pool."""

        def slow_body():
            yield sized(b'{"number": 1}')[:-4]
            time.sleep(2 * SHORT_SECONDS)
            yield b": 1}"

        with backend(numbered(slow_body)) as (server, target):
            late = engines.load(target, deadline(SHORT_SECONDS))
            assert engines.load(target, deadline()).unwrap() == {"number": 2}
        assert isinstance(late, Err)
        assert server.connections == 2

    def test_truncated_body_is_a_failure(self, engines):
        """Guards against a lost report that counts as an empty one."""

        def truncated():
            yield sized(b'{"number": 1}')[:-4]
            raise CloseConnectionError

        with backend(numbered(truncated)) as (_, target):
            assert isinstance(engines.load(target, deadline()), Err)


class TestDoubledResponses:
    def test_second_response_of_a_service_reaches_no_other_call(self):
        """Guards against a late second response that the next call gets."""

        def doubled(request):
            body = request.target.encode()
            yield sized(body)
            time.sleep(SHORT_SECONDS)
            yield sized(body)

        client = ServiceClient(ConnectionPool(time.time), time.time)
        with backend(doubled) as (_, target):
            for path in ("/1", "/2", "/3"):
                request = Request("GET", path, ())
                called = client.call(target, request, deadline(), idempotent=True)
                assert called.unwrap().body == path.encode()


def early_hints_then(body, pause=SHORT_SECONDS):
    """Return a script's first response: an interim one, and later the final one."""

    def first():
        yield b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        time.sleep(pause)
        yield sized(body)

    return first


class TestInterimResponses:
    """Guards against a final response that the next call on a connection gets."""

    def test_service_call_leaves_no_response_to_the_next_one(self):
        pool = ConnectionPool(time.time)
        client = ServiceClient(pool, time.time)
        request = Request("GET", "/x", ())
        with backend(numbered(early_hints_then(b'{"number": 1}'))) as (_, target):
            first = client.call(target, request, deadline(), idempotent=True)
            second = client.call(target, request, deadline(), idempotent=True)
        assert isinstance(first, Err)
        assert second.unwrap().body == b'{"number": 2}'

    def test_generation_waits_for_the_final_response(self, engines):
        script = numbered(early_hints_then(generated("attempt-1", "own")))
        received = []
        with backend(script) as (_, target):
            stream = engines.start(target, generation("1"), deadline()).unwrap()
            assert stream.forward_frames(lambda f: received.append(f.raw)) is None
            stream.close()
            assert engines.load(target, deadline()).unwrap() == {"number": 2}
        assert received == [generated("attempt-1", "own").partition(b"\n\n")[0]]


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
class TestOddStatuses:
    """Guards against a response that is passed on though its status is none."""

    def odd_first(self, status, body):
        """Return a script: a response with the status, with a sound one behind it."""
        odd = sized(body).replace(b"200", status)
        return numbered(lambda: [odd + sized(body)])

    def test_service_call_fails(self, status):
        client = ServiceClient(ConnectionPool(time.time), time.time)
        request = Request("GET", "/x", ())
        with backend(self.odd_first(status, b'{"number": 1}')) as (_, target):
            first = client.call(target, request, deadline(), idempotent=False)
            second = client.call(target, request, deadline(), idempotent=False)
        assert isinstance(first, Err)
        assert second.unwrap().body == b'{"number": 2}'

    def test_generation_fails(self, engines, status):
        script = self.odd_first(status, generated("attempt-1", "own"))
        with backend(script) as (_, target):
            began = time.monotonic()
            started = engines.start(target, generation("1"), deadline())
            assert isinstance(started, Err)
            assert time.monotonic() - began < 1.0
            assert engines.load(target, deadline()).unwrap() == {"number": 2}


def generated(attempt_id, text):
    data = json.dumps({"id": attempt_id, "choices": [{"delta": {"content": text}}]})
    return f"id: 1\ndata: {data}\n\ndata: [DONE]\n\n".encode()


class TestLateSecondResponses:
    def test_generation_is_not_answered_with_another_one(self, engines):
        """Guards against tokens that were generated for another request (MIXED)."""

        def answer_the_first_twice(request):
            attempt_id = request.headers["x-request-id"]
            if attempt_id == "attempt-2":
                yield sized(generated("attempt-1", "first"))
            yield sized(generated(attempt_id, "own"))

        received = []
        with backend(answer_the_first_twice) as (_, target):
            for number in "12":
                stream = engines.start(target, generation(number), deadline()).unwrap()
                failure = stream.forward_frames(lambda f: received.append(f.raw))
                stream.close()
        assert b"first" not in b"".join(received)
        assert failure.kind is FailureKind.MALFORMED_ANSWER
