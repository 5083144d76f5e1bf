import pytest

from masticfork.core.backend_servers import Address, BackendServer
from masticfork.platform.wire import decode_response_head
from masticfork.relay.server_call import ServerCall, ServerConnectionPool
from standins.fake_loop import FakeLoop

SERVER = BackendServer("i-1", "s", Address("127.0.0.1", 1), "zone-a", "v1", 6, False)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class FakeChannel:
    """A connection to which nothing is sent."""

    unsent_bytes = 0

    def __init__(self):
        self.owner = None
        self.closed = False
        self.pending_input = False

    def write(self, data):
        """Do nothing."""

    def resume(self):
        """Do nothing."""

    def close(self):
        self.closed = True

    def has_no_pending_input(self):
        return not self.pending_input


class RecordingSink:
    """Records the callbacks of a call; cancels the call in one of them."""

    def __init__(self, cancel_in=None):
        self.received = []
        self.cancel_in = cancel_in
        self.call = None

    def on_head(self, head):
        self.record("head")

    def on_body(self, data):
        self.record("body")

    def on_end(self):
        self.record("end")

    def on_failed(self, failure):
        self.record("failed")

    def record(self, callback):
        self.received.append(callback)
        if callback == self.cancel_in:
            self.call.cancel()


class CallOnIdleConnection:
    """A call that is sent on a connection that the pool has kept."""

    def __init__(self, cancel_in=None):
        self.loop, self.channel = FakeLoop(), FakeChannel()
        self.pool = ServerConnectionPool(self.loop, SERVER, lambda *_, **__: None)
        self.pool.put_back(self.channel, None)
        self.sink = RecordingSink(cancel_in)
        self.call = ServerCall(
            self.loop, self.pool, decode_response_head, self.sink, False
        )
        self.sink.call = self.call
        self.call.start(b"", require_new=False)


class TestServerCall:
    @pytest.mark.parametrize("callback", ["head", "body", "end"])
    def test_cancelled_call_reports_nothing_more(self, callback):
        """Guards against an earlier call that reaches the next one's exchange."""
        on_idle = CallOnIdleConnection(cancel_in=callback)
        on_idle.call.on_data(RESPONSE + RESPONSE)
        on_idle.call.on_closed(None)
        on_idle.loop.advance(0.1)
        received = on_idle.sink.received
        assert received == ["head", "body", "end"][: received.index(callback) + 1]
        assert on_idle.channel.closed

    def test_connection_is_not_kept_if_more_arrives_before_it_is_released(self):
        """Guards against a late second response on a connection in use again."""
        on_idle = CallOnIdleConnection()
        on_idle.call.on_data(RESPONSE)
        on_idle.call.on_data(b"H")
        on_idle.loop.advance(0.1)
        assert on_idle.sink.received == ["head", "body", "end"]
        assert on_idle.channel.closed


class TestServerConnectionPool:
    def test_connection_that_comes_back_after_the_end_is_closed(self):
        """Guards against connections to removed servers that nothing closes."""
        on_idle = CallOnIdleConnection()
        on_idle.pool.close()
        on_idle.call.on_data(RESPONSE)
        on_idle.loop.advance(0.1)
        assert on_idle.sink.received == ["head", "body", "end"]
        assert on_idle.channel.closed
