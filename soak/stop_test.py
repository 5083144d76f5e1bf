"""Stops of an entry host that runs as a process, with further signals meanwhile."""

import http.client
import signal
import threading
import time
from contextlib import ExitStack

import pytest

from masticfork.core.backend_servers import Address
from standins.common import LOOPBACK, serving
from standins.entry_environment import (
    SERVICE,
    configuration,
    request_headers,
    route,
    server_entry,
)
from standins.object_store import ObjectStore
from standins.scripted_server import ScriptedServer, response
from tools import run_platform
from tools.processes import stop_all

GRACE_SECONDS, CALLERS = 8, 12
START_SECONDS = 15.0
USUAL_SECONDS = 0.05
TIMEOUT_MS = 4000


class Server:
    """A server whose responses take longer from some time in the stop on."""

    def __init__(self, seconds):
        self.seconds, self.slow_from = seconds, float("inf")
        self.ran = set()
        self.scripted = ScriptedServer(self._answer)

    def _answer(self, request):
        self.ran.add(request.attempt_id)
        slow = time.monotonic() >= self.slow_from
        time.sleep(self.seconds if slow else USUAL_SECONDS)
        yield response(request, b"x")


class Caller:
    """Sends requests on one open connection until the host is gone."""

    def __init__(self, number, path, front):
        self._number, self._path = number, path
        self._front = front
        # Statuses by attempt ID, None if there was no complete response.
        self.got = {}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def join(self):
        self._thread.join()

    def _run(self):
        while True:
            connection = http.client.HTTPConnection(
                self._front.host, self._front.port, GRACE_SECONDS
            )
            try:
                connection.connect()
                self._use(connection)
            except ConnectionRefusedError:
                return
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()

    def _use(self, connection):
        while True:
            attempt = f"a-{self._number}-{len(self.got)}"
            limit = {"X-Masticfork-Deadline-Ms": str(TIMEOUT_MS)}
            self.got[attempt] = None
            headers = request_headers(attempt, limit)
            connection.request("POST", self._path, b"x", headers)
            got = connection.getresponse()
            got.read()
            self.got[attempt] = got.status
            if got.getheader("Connection") == "close":
                return


class TestStop:
    @pytest.mark.parametrize(("seconds", "slow_after"), [(0.9, 1.0), (3.0, 6.3)])
    def test_every_order_that_ran_is_answered(
        self, monkeypatch, tmp_path, seconds, slow_after
    ):
        """Guards against orders that a stopping host accepts late and cuts off."""
        monkeypatch.setattr(run_platform, "GRACE_SECONDS", GRACE_SECONDS)
        store, server = ObjectStore(), Server(seconds)
        unsafe = route("unsafe", timeout_ms=TIMEOUT_MS, target_latency_ms=1000)
        store.put("config", "main", configuration(1, unsafe))
        entry = server_entry(server.scripted, SERVICE, slots=64)
        store.put("servers", "i-1", entry)
        with ExitStack() as stack:
            address = Address(LOOPBACK, stack.enter_context(serving(store)).port)
            stack.callback(server.scripted.close)
            host = run_platform.start_host(0, address, tmp_path)
            stack.callback(stop_all, [host.program], GRACE_SECONDS + 2.0)
            wait_until_ready(host.ready)
            callers = [Caller(n, "/unsafe/x", host.front) for n in range(CALLERS)]
            time.sleep(2.0)
            server.slow_from = time.monotonic() + slow_after
            host.program.signal(signal.SIGTERM)
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                time.sleep(0.8)
                host.program.signal(number)
            assert host.program.wait(GRACE_SECONDS)
            for caller in callers:
                caller.join()
        got = {key: status for caller in callers for key, status in caller.got.items()}
        ran = {key: got[key] for key in server.ran}
        assert len(ran) > CALLERS
        assert set(ran.values()) == {200}


def wait_until_ready(address):
    deadline = time.monotonic() + START_SECONDS
    while True:
        connection = http.client.HTTPConnection(address.host, address.port, 2)
        try:
            connection.request("GET", "/masticfork/readiness")
            if connection.getresponse().status == 200:
                return
        except OSError:
            pass
        finally:
            connection.close()
        assert time.monotonic() < deadline, "the host is not ready"
        time.sleep(0.05)
