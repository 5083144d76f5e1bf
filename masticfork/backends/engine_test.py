import http.client
import socket
import time

import pytest
from result import Err

from masticfork.backends.connections import Connection, ConnectionPool
from masticfork.backends.engine import EngineCall, EngineClient
from masticfork.backends.engine_stream import MAX_EVENT_BYTES, EngineStream
from masticfork.backends.failures import FailureKind, Stage
from masticfork.backends.stream_reader import StreamReader
from masticfork.core.deadlines import Deadline
from masticfork.core.ids import AttemptId, ServerName, VersionId, ZoneName
from masticfork.core.manifest import BackendServer
from standins.common import serving
from standins.engine import Engine, Settings

VERSION = VersionId("a@1")
SETTINGS = Settings(versions=(VERSION,), token_seconds=0.001, first_token_seconds=0)
BODY = {"messages": [{"role": "user", "content": "quote"}], "max_tokens": 3}


@pytest.fixture
def reader():
    reader = StreamReader(time.time)
    yield reader
    reader.stop()


def make_deadline():
    return Deadline.after(time.time(), 10.0)


def call(number, version=VERSION):
    return EngineCall(AttemptId(f"attempt-{number}"), version, BODY, 0)


def generate_offsets(client, server, number):
    stream = client.start(server, call(number), make_deadline()).unwrap()
    frames = []
    failure = stream.forward_frames(
        lambda frame: frames.append(frame) if frame.offset else None
    )
    stream.close()
    assert failure is None
    return [frame.offset for frame in frames]


class TestEngineClient:
    def test_replaces_a_closed_idle_connection(self, reader):
        engine = Engine(SETTINGS)
        with serving(engine, threads=8) as running:
            server = BackendServer(
                ServerName("e"), "127.0.0.1", running.port, ZoneName("z")
            )
            client = EngineClient(ConnectionPool(time.time), reader, time.time)
            assert generate_offsets(client, server, 1) == [1, 2, 3]
            engine.faults.set({"close_idle": 1})
            assert generate_offsets(client, server, 2) == [1, 2, 3]
            assert engine.faults.get("close_idle") == 0

    def test_calls_that_did_not_run_are_reported_as_such(self, reader):
        engine = Engine(SETTINGS)
        with serving(engine, threads=8) as running:
            server = BackendServer(
                ServerName("e"), "127.0.0.1", running.port, ZoneName("z")
            )
            client = EngineClient(ConnectionPool(time.time), reader, time.time)
            unknown = client.start(server, call(1, VersionId("b@1")), make_deadline())
            assert isinstance(unknown, Err)
            assert unknown.err_value.kind is FailureKind.NOT_LOADED
            engine.faults.set({"refuse": 1})
            refused = client.start(server, call(2), make_deadline())
            assert isinstance(refused, Err)
            assert refused.err_value.kind is FailureKind.REFUSED
        unreachable = client.start(server, call(3), make_deadline())
        assert isinstance(unreachable, Err)
        assert unreachable.err_value.stage is Stage.CONNECTING


class ScriptedStream:
    """A connection whose other end the test writes to, with an EngineStream on it."""

    def __init__(self):
        self.peer, sock = socket.socketpair()
        http_connection = http.client.HTTPConnection("engine")
        http_connection.sock = sock
        deadline = make_deadline()
        connection = Connection(http_connection, fresh=True, idle_deadline=deadline)
        attempt = AttemptId("attempt-1")
        self.stream = EngineStream(
            connection, attempt, deadline, time.time, lambda *_: None
        )

    def feed_until_rejected(self, start, data, max_bytes):
        """Feed data without end; return how many bytes were taken, None for all."""
        piece = data * (1000 // len(data) + 1)
        fed = len(start)
        keep_reading = self.stream.feed(start)
        while keep_reading and fed < max_bytes:
            keep_reading = self.stream.feed(piece)
            fed += len(piece)
        self.stream.finish()
        return None if keep_reading else fed


OK_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class TestResponsesWithoutEnd:
    @pytest.mark.parametrize(
        ("start", "data"),
        [
            (b"HTTP/1.1 200 ", b"x"),
            (b"HTTP/1.1 200 OK\r\nA: ", b"x"),
            (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
            (b"\r\n", b"\r\n"),
            (OK_HEAD + b"1;", b"x"),
            (OK_HEAD + b"0\r\n", b"A: b\r\n"),
            (OK_HEAD, b"3e8\r\n" + b"x" * 1000 + b"\r\n"),
        ],
    )
    def test_response_without_end_fails(self, start, data):
        """Guards against a head, framing or event that is kept without bound."""
        stream = ScriptedStream()
        assert stream.feed_until_rejected(start, data, 4 << 20) is not None
        failure = stream.stream.forward_frames(lambda frame: None)
        assert failure.kind is FailureKind.MALFORMED_ANSWER

    def test_large_event_in_small_pieces_takes_linear_time(self):
        """Guards against a copy of the whole event for every piece."""
        stream = ScriptedStream()
        stream.stream.feed(b"HTTP/1.1 200 OK\r\n\r\n")
        began = time.process_time()
        for _ in range((MAX_EVENT_BYTES - 100) // 16):
            assert stream.stream.feed(b"x" * 16)
        assert time.process_time() - began < 3.0
