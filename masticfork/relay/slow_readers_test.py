"""Callers who read slowly, over real sockets."""

import socket
import time

from masticfork.relay.caller import MAX_UNSENT_RESPONSE_BYTES
from standins.entry_environment import (
    SERVICE,
    configuration,
    request_headers,
    route,
    running_entry_host,
)
from standins.scripted_server import response

# More than the kernel buffers for one connection.
BODY_BYTES = 8 << 20
SLOW_CALLERS = 8
OTHER_KEY = "key-2"


def large_answer(request):
    yield response(request, b"x" * BODY_BYTES)


def start_slow_caller(env, attempt):
    """Send a request and read nothing of its response."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((env.front.host, env.front.port))
    headers = request_headers(attempt)
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    sock.sendall(f"GET /safe/x HTTP/1.1\r\n{lines}\r\n".encode())
    return sock


def two_teams():
    spec = configuration(1, route("safe", timeout_ms=20_000))
    spec["tenants"].append({"name": "team-2", "api_keys": [OTHER_KEY], "priority": 2})
    return spec


class TestSlowReaders:
    def test_one_team_of_slow_readers_costs_no_other_team_a_request(self):
        """Guards against a host whose memory fills with unsent responses."""
        with running_entry_host(two_teams(), scarce_room=True, memory_mb=8) as env:
            env.add_server(large_answer, SERVICE)
            env.wait_for_servers(1)
            callers = [start_slow_caller(env, f"slow-{n}") for n in range(SLOW_CALLERS)]
            env.wait_until(lambda: env.logged("slow reader cut off", team="team-1"))
            answer = env.send(
                "/safe/x", "GET", b"", {"Authorization": f"Bearer {OTHER_KEY}"}
            )
            assert answer.status == 200
            assert len(answer.body) == BODY_BYTES
            assert not env.logged("slow reader cut off", team="team-2")
            for caller in callers:
                caller.close()

    def test_reading_from_the_server_stops(self):
        """Guards against a response that gathers in the host instead."""
        with running_entry_host(two_teams(), scarce_room=True) as env:
            server = env.add_server(large_answer, SERVICE)
            env.wait_for_servers(1)
            caller = start_slow_caller(env, "slow-1")
            env.wait_until(lambda: len(server.requests) == 1)
            time.sleep(0.7)
            (connection,) = env.host.caller_connections
            # One read of the server's response may go beyond the bound.
            assert connection.unsent_bytes <= 2 * MAX_UNSENT_RESPONSE_BYTES
            caller.close()

    def test_deployment_that_does_not_ask_for_it_cuts_off_nobody(self):
        with running_entry_host(two_teams(), memory_mb=8) as env:
            env.add_server(large_answer, SERVICE)
            env.wait_for_servers(1)
            callers = [start_slow_caller(env, f"slow-{n}") for n in range(SLOW_CALLERS)]
            time.sleep(1.5)
            assert not env.logged("slow reader cut off")
            for caller in callers:
                caller.close()
