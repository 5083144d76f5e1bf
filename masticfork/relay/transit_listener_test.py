import socket

import pytest

from masticfork.relay.transit_listener import MAX_HEAD_BYTES
from standins.entry_environment import running_entry_host

START = b"POST /server-connections/"


class TestHeads:
    @pytest.mark.parametrize(
        ("start", "data"),
        [
            (START, b"x"),
            (START + b"i-1 HTTP/1.1\r\nA: ", b"x"),
            (START + b"i-1 HTTP/1.1\r\n", b"A: b\r\n"),
        ],
    )
    def test_head_without_end_closes_the_connection(self, start, data):
        """Guards against memory that grows until the connection's time is over."""
        with running_entry_host() as env:
            port = env.host._settings.peer_ports[1]
            sent = 0
            with socket.create_connection((env.front.host, port), 5.0) as sock:
                sock.sendall(start)
                with pytest.raises(ConnectionError):
                    while sent < 64 << 20:
                        sock.sendall(data * (1000 // len(data)))
                        sent += 1000
        assert sent < MAX_HEAD_BYTES + (8 << 20)
