import time

import pytest
from result import Err

from masticfork.backends.connections import ConnectionPool
from masticfork.backends.engine import EngineCall, EngineClient
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
