"""Servers that answer an upload early, without a length, and reset the connection."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from masticfork.relay.unreachable_servers_test import Fleet, fleet  # noqa: F401
from standins.entry_environment import SERVICE, running_entry_host, server_entry
from standins.scripted_server import LINGER_RESET
from standins.server_paths import Cut

REQUESTS = 24
# Time within which a host that is cut off calls servers through others.
CUT_KNOWN_SECONDS = 2.0


class EarlyServer:
    """Answers as soon as a head has arrived, and resets after a pause."""

    def __init__(self, pause):
        self.pause = pause
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with sock:
            head = sock.recv(2048)
            name = b"x-masticfork-attempt-id: "
            start = head.lower().find(name) + len(name)
            attempt = head[start : head.find(b"\r", start)]
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nX-Masticfork-Attempt-Id: %b\r\n"
                b"X-Masticfork-Server-Stamp: s\r\n\r\npart" % attempt
            )
            time.sleep(self.pause)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def upload(env, kind, size):
    """Send uploads; return the statuses of those that were answered as complete."""
    with ThreadPoolExecutor(8) as pool:
        sent = [
            pool.submit(env.send, f"/{kind}/x", body=b"b" * size)
            for _ in range(REQUESTS)
        ]
    answers = [item.result() for item in sent]
    return {answer.status for answer in answers if answer.complete}


@pytest.mark.parametrize("pause", [0.0, 0.002, 0.05])
@pytest.mark.parametrize("size", [60_000, 240_000, 900_000])
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
class TestEarlyResponses:
    """Guards against a part of a response that is passed on as a whole one."""

    def test_reset_response_is_not_complete(self, kind, size, pause):
        with running_entry_host() as env:
            server = EarlyServer(pause)
            env.store.put("servers", "early", server_entry(server, SERVICE, slots=64))
            env.wait_until(lambda: env.host.knows_server("early"))
            assert 200 not in upload(env, kind, size)
            server.close()


class TestEarlyResponsesThroughOtherHosts:
    """Guards against the same where another host writes the upload in pieces."""

    @pytest.mark.parametrize("pause", [0.0, 0.002, 0.05])
    def test_reset_response_is_not_complete(self, fleet: Fleet, pause):  # noqa: F811
        server = EarlyServer(pause)
        env = fleet.hosts[0]
        for number in range(1, 4):
            env.store.remove("servers", f"i-{number}")
        env.store.put("servers", "early", server_entry(server, SERVICE, slots=64))
        for host in fleet.hosts:
            host.wait_until(lambda host=host: host.host.knows_server("early"))
            host.wait_until(lambda host=host: not host.host.knows_server("i-1"))
        fleet.paths[0].cut(Cut.REFUSE)
        fleet.send_for(0, CUT_KNOWN_SECONDS)
        for kind in ("safe", "unsafe"):
            for size in (60_000, 240_000, 900_000):
                assert 200 not in upload(env, kind, size)
        server.close()
