"""Rollouts over entry hosts that run as processes and are lost meanwhile."""

import http.client
import math
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress

import attrs
import pytest

from masticfork.core.backend_servers import Address
from standins.common import LOOPBACK, serving
from standins.entry_environment import (
    SERVICE,
    configuration,
    request_headers,
    server_entry,
)
from standins.object_store import ObjectStore
from standins.scripted_server import ScriptedServer, response
from tools.processes import stop_all
from tools.run_platform import start_host

HOSTS, SERVERS, SLOTS = 4, 3, 16
OVERLOADED_CALLS, FAILED_SHARE = 3, 0.5
WARMUP_SECONDS, AFTER_SECONDS = 5.0, 12.0
START_SECONDS, STOP_SECONDS = 15.0, 6.0
# The bound on deployments, which is the default of the hosts.
SHARE, SLACK = 0.15, 30.0
MAX_BAD_ANSWERS, ROLLBACK_SECONDS = 50, 5.0
# When hosts are killed, in seconds since the order, and for how long each is away.
LOSSES, AWAY_SECONDS = ((3.5, 0), (5.5, 1), (7.5, 2)), 0.5


@attrs.frozen
class Service:
    """The traffic of a service."""

    requests_per_second: float
    median_work_seconds: float


BUSY, LIGHT = Service(31.0, 0.3), Service(9.0, 0.015)


def good(others, age):
    return False


def overloaded(others, age):
    return others >= OVERLOADED_CALLS


def turned_bad(onset):
    """Return whether a version has turned bad, `onset` seconds after the order."""
    return lambda others, age: age >= onset


class Version:
    """The servers of one version, and what they have run."""

    def __init__(self, may_fail, work_seconds, seed):
        # Tells from the other calls of a server and from the seconds since the order.
        self._may_fail = may_fail
        self._work_seconds = work_seconds
        self.ordered_at = math.inf
        self.ran_at, self.bad_at = [], []
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self.servers = [self._server() for _ in range(SERVERS)]

    def _server(self):
        running = 0

        def answer(request):
            nonlocal running
            now = time.monotonic()
            with self._lock:
                others, running = running, running + 1
                self.ran_at.append(now)
                bad = self._may_fail(others, now - self.ordered_at)
                failed = bad and self._rng.random() < FAILED_SHARE
                work = self._work_seconds * self._rng.lognormvariate(0.0, 0.4)
            time.sleep(work)
            with self._lock:
                running -= 1
                if failed:
                    self.bad_at.append(time.monotonic())
            status = "500 Internal Server Error" if failed else "200 OK"
            yield response(request, b"x", status=status)

        return ScriptedServer(answer)

    def register(self, store, version):
        for number, server in enumerate(self.servers):
            entry = server_entry(server, SERVICE, version=version, slots=SLOTS)
            store.put("servers", f"{version}-{number}", entry)


class Rollout:
    """A rollout over processes, with callers that do not wait for each other."""

    def __init__(
        self, folder, may_fail, seed, duration=24.0, losses=LOSSES, service=BUSY
    ):
        self._folder, self._rng = folder, random.Random(seed)
        self.duration, self._losses = duration, losses
        self._service = service
        self.store = ObjectStore()
        self.store.put("config", "main", configuration(1))
        work_seconds = service.median_work_seconds
        self.old = Version(good, work_seconds, seed)
        self.new = Version(may_fail, work_seconds, seed + 1)
        self.hosts = []
        self.ordered_at = self.ended_at = 0.0
        self.final = None

    def play(self):
        with ExitStack() as stack:
            port = stack.enter_context(serving(self.store)).port
            for server in self.old.servers + self.new.servers:
                stack.callback(server.close)
            self.old.register(self.store, "v1")
            address = Address(LOOPBACK, port)
            for number in range(HOSTS):
                self.hosts.append(start_host(number, address, self._folder))
            programs = [host.program for host in self.hosts]
            stack.callback(stop_all, programs, STOP_SECONDS)
            self._wait_until_ready()
            pool = stack.enter_context(ThreadPoolExecutor(96))
            sender = threading.Thread(target=self._send_all, args=(pool,), daemon=True)
            sender.start()
            time.sleep(WARMUP_SECONDS)
            self._roll_out()
            sender.join()
        return self

    def _wait_until_ready(self):
        deadline = time.monotonic() + START_SECONDS
        for host in self.hosts:
            while not _is_ready(host.ready):
                assert time.monotonic() < deadline, "a host is not ready"
                time.sleep(0.05)

    def _roll_out(self):
        spec = {"service": SERVICE, "target": "v2", "duration_s": self.duration}
        self.store.put("rollouts", SERVICE, spec)
        self.ordered_at = time.monotonic()
        self.new.ordered_at = self.ordered_at
        self.ended_at = self.ordered_at + self.duration
        self.new.register(self.store, "v2")
        actions = [(at, host, False) for at, host in self._losses]
        actions += [(at + AWAY_SECONDS, host, True) for at, host in self._losses]
        actions.sort()
        while time.monotonic() < self.ended_at + AFTER_SECONDS:
            age = time.monotonic() - self.ordered_at
            while actions and actions[0][0] <= age:
                _, number, start = actions.pop(0)
                program = self.hosts[number].program
                program.start() if start else program.kill()
            self._follow_state(age)
            time.sleep(0.02)

    def _follow_state(self, age):
        state = (self.store.status("rollouts", SERVICE) or {}).get("state")
        if self.final is None and state in ("done", "rolled_back"):
            self.final = state, age
            if state == "done":
                for number, server in enumerate(self.old.servers):
                    server.close()
                    self.store.remove("servers", f"v1-{number}")

    def _send_all(self, pool):
        number, at = 0, time.monotonic()
        while not self.ended_at or at < self.ended_at + AFTER_SECONDS:
            at += self._rng.expovariate(self._service.requests_per_second)
            time.sleep(max(0.0, at - time.monotonic()))
            number += 1
            pool.submit(self._send, number, self._rng.choice(self.hosts).front)

    def _send(self, number, front):
        headers = request_headers(f"a-{number}", {"Session": f"s-{number}"})
        connection = http.client.HTTPConnection(front.host, front.port, 4)
        with suppress(OSError, http.client.HTTPException):
            connection.request("GET", "/safe/x", headers=headers)
            connection.getresponse().read()
        connection.close()

    def sent(self, version):
        """Return the requests that have reached a version within the time limit."""
        return sum(self.ordered_at <= at <= self.ended_at for at in version.ran_at)

    @property
    def allowed(self):
        return SHARE * (self.sent(self.old) + self.sent(self.new)) + SLACK

    @property
    def late(self):
        """Return the requests to the new version after it had to be withdrawn."""
        if len(self.new.bad_at) < MAX_BAD_ANSWERS:
            return 0
        withdrawn_at = sorted(self.new.bad_at)[MAX_BAD_ANSWERS - 1] + ROLLBACK_SECONDS
        return sum(at > withdrawn_at for at in self.new.ran_at)


def _is_ready(address):
    connection = http.client.HTTPConnection(address.host, address.port, 2)
    try:
        connection.request("GET", "/masticfork/readiness")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


@pytest.mark.parametrize("seed", [1])
class TestRollout:
    def test_version_that_fails_under_load_is_rolled_back(self, tmp_path, seed):
        """Guards against completion before the answers under full load are known."""
        played = Rollout(tmp_path, overloaded, seed).play()
        assert played.sent(played.new) <= played.allowed
        assert played.late == 0
        assert played.final is not None
        assert played.final[0] == "rolled_back"

    def test_short_rollout_of_a_version_that_fails_under_load(self, tmp_path, seed):
        """Guards against completion where the bound leaves only a short full load."""
        played = Rollout(tmp_path, overloaded, seed, 10.0, ()).play()
        assert played.sent(played.new) <= played.allowed
        assert played.late == 0

    @pytest.mark.parametrize("onset", [13.6])
    def test_version_that_turns_bad_late_is_rolled_back(self, tmp_path, onset, seed):
        """Guards against completion on answers from before a version turned bad."""
        fault = turned_bad(onset)
        played = Rollout(tmp_path, fault, seed, 16.0, (), LIGHT).play()
        assert played.sent(played.new) <= played.allowed
        assert played.late == 0
        assert played.final is not None
        assert played.final[0] == "rolled_back"

    def test_good_version_is_done_in_time(self, tmp_path, seed):
        """Guards against good versions refused as hosts are lost."""
        played = Rollout(tmp_path, good, seed).play()
        assert played.final is not None
        assert played.final[0] == "done"
        assert played.final[1] < played.duration
