import http.client
import socket
from concurrent.futures import Future

import pytest

from masticfork.backends.connections import Connection
from masticfork.backends.engine_stream import EngineStream
from masticfork.backends.failures import FailureKind
from masticfork.core.deadlines import Deadline
from masticfork.core.ids import AttemptId

FRAME = b'id: 1\ndata: {"id": "attempt-1"}'
FRAMES = FRAME + b"\n\ndata: [DONE]\n\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(FRAMES), FRAMES)


class StreamOnSocket:
    """A generation stream whose bytes the test feeds in place of the reader thread."""

    def __init__(self):
        self.sockets = socket.socketpair()
        http_connection = http.client.HTTPConnection("127.0.0.1")
        http_connection.sock = self.sockets[0]
        deadline = Deadline.after(0.0, 5.0)
        connection = Connection(http_connection, fresh=True, idle_deadline=deadline)
        self.released = []
        self.stream = EngineStream(
            connection,
            AttemptId("attempt-1"),
            deadline,
            lambda: 0.0,
            lambda _, reuse: self.released.append(reuse),
        )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for sock in self.sockets:
            sock.close()

    def feed(self, data):
        """Feed data as the reader thread does."""
        if not self.stream.feed(data):
            self.stream.finish()

    def frames(self):
        received = []
        failure = self.stream.forward_frames(lambda f: received.append(f.raw))
        return received, failure


class TestEngineStream:
    @pytest.mark.parametrize(
        "extra", [b"x", b"HTTP/1.1 200 OK\r\nX-", RESPONSE, RESPONSE[:60]]
    )
    def test_bytes_after_the_response_are_ignored(self, extra):
        """Guards against a second response that fails the first or the next one."""
        with StreamOnSocket() as on_socket:
            on_socket.feed(RESPONSE + extra)
            assert on_socket.frames() == ([FRAME], None)
            on_socket.stream.close()
            assert on_socket.released == [False]

    def test_connection_on_which_another_attempt_is_answered_is_closed(self):
        """Guards against an own response that comes once the connection is reused."""
        with StreamOnSocket() as on_socket:
            on_socket.feed(RESPONSE.replace(b"attempt-1", b"attempt-2"))
            received, failure = on_socket.frames()
            assert received == []
            assert failure.kind is FailureKind.MALFORMED_ANSWER
            on_socket.stream.close()
            assert on_socket.released == [False]

    def test_connection_of_a_complete_response_is_released_for_reuse(self):
        with StreamOnSocket() as on_socket:
            on_socket.feed(RESPONSE)
            on_socket.stream.close()
            assert on_socket.released == [True]

    def test_connection_in_use_again_is_not_closed(self, monkeypatch):
        """Guards against a close while the reader thread reports the end."""
        with StreamOnSocket() as on_socket:
            set_result = Future.set_result

            def close_first(future, result):
                set_result(future, result)
                if result is None:
                    on_socket.stream.close()

            monkeypatch.setattr(Future, "set_result", close_first)
            on_socket.feed(RESPONSE)
            assert on_socket.released == [True]
