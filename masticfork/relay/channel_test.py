"""Tests of the ends of connections that are written and read at the same time."""

import selectors
import socket
import time

import pytest

from masticfork.core.backend_servers import Address
from masticfork.relay.channel import connect
from standins.fake_loop import FakeLoop
from standins.scripted_server import LINGER_RESET

# More than both sockets buffer.
UPLOAD = b"x" * (32 << 20)


class Loop(FakeLoop):
    """A loop whose sockets the test finds ready."""

    def register(self, sock, events, owner):
        pass

    modify = register

    def unregister(self, sock):
        pass


class Owner:
    """Records what the channel reports."""

    def __init__(self):
        self.data, self.ends = b"", []

    def on_connected(self):
        pass

    def on_drained(self):
        pass

    def on_data(self, data):
        self.data += data

    def on_closed(self, error):
        self.ends.append(error)


@pytest.fixture
def pair():
    """Return the loop, a connected channel, its owner and the peer's socket."""
    loop, owner = Loop(), Owner()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        channel = connect(loop, Address(*listener.getsockname()))
        channel.owner = owner
        peer, _ = listener.accept()
        with peer:
            channel.on_events(selectors.EVENT_WRITE)
            yield loop, channel, owner, peer
    channel.close()


def read_to_the_end(channel, owner):
    """Let the channel read until it reports its end."""
    deadline = time.monotonic() + 2.0
    while not owner.ends and time.monotonic() < deadline:
        channel.on_events(selectors.EVENT_READ)
        time.sleep(0.01)


class TestEnds:
    """Guards against a response without a length that is cut off and looks complete."""

    def test_reset_that_a_write_has_met_is_no_clean_end(self, pair):
        _, channel, owner, peer = pair
        peer.sendall(b"part")
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        peer.close()
        time.sleep(0.05)
        # The write takes the error from the socket, and its report comes later.
        channel.write(b"piece")
        read_to_the_end(channel, owner)
        assert [type(error) for error in owner.ends] == [ConnectionResetError]

    def test_end_before_all_is_sent_is_no_clean_end(self, pair):
        _, channel, owner, peer = pair
        channel.write(UPLOAD)
        assert channel.unsent_bytes
        peer.sendall(b"part")
        peer.shutdown(socket.SHUT_WR)
        read_to_the_end(channel, owner)
        assert owner.data == b"part"
        assert [type(error) for error in owner.ends] == [BrokenPipeError]

    def test_end_after_all_is_sent_is_clean(self, pair):
        _, channel, owner, peer = pair
        channel.write(b"request")
        peer.sendall(b"response")
        peer.shutdown(socket.SHUT_WR)
        read_to_the_end(channel, owner)
        assert (owner.data, owner.ends) == (b"response", [None])

    def test_failed_write_is_reported_if_nothing_is_read(self, pair):
        loop, channel, owner, peer = pair
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        peer.close()
        time.sleep(0.05)
        channel.write(b"piece")
        loop.advance(0.0)
        assert [type(error) for error in owner.ends] == [ConnectionResetError]
