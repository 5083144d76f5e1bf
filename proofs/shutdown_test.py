import http.client
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.calling import Caller, new_key, wait_for
from proofs.counting import run_count
from tools import launch
from tools.launch_options import Options

TOKENS = 20
# Takes 6 s, longer than a stopping host waits for anything but its requests.
LONG_TOKENS = 300
OPTIONS = Options(
    hosts=4,
    engines_per_pool=2,
    service_servers=1,
    tokens=LONG_TOKENS,
    token_seconds=0.02,
    first_token_seconds=0,
    settings={"shutdown": {"not_ready_seconds": 0.6, "finish_seconds": 10}},
)
PROBE_INTERVAL_SECONDS = 0.2
STOP_TIMEOUT_SECONDS = 15.0


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


class LoadBalancer:
    """Rotates over the hosts that were ready at the last probe."""

    def __init__(self, caller, hosts):
        self._caller = caller
        self._ready = dict.fromkeys(range(hosts), True)
        self._picks = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._probe_all)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stopped.set()
        self._thread.join()

    def pick(self):
        self._picks += 1
        ready = [host for host, is_ready in self._ready.items() if is_ready]
        return ready[self._picks % len(ready)]

    def _probe_all(self):
        while not self._stopped.wait(PROBE_INTERVAL_SECONDS):
            for host in self._ready:
                self._ready[host] = self._probe(host)

    def _probe(self, host):
        try:
            return self._caller.call(host, "GET", "/readyz").status == 200
        except (OSError, http.client.HTTPException):
            return False


class MixedLoad:
    """Sends streams, lookups and reservations in turn, without retries."""

    def __init__(self, caller, balancer):
        self.sent = 0
        self.failed = []
        self.reserved = []
        self._caller = caller
        self._balancer = balancer
        self._stopped = threading.Event()

    def stop(self):
        self._stopped.set()

    def run(self):
        for operation in iter(
            lambda: self._stopped.is_set() or self._next_operation(), True
        ):
            host = self._balancer.pick()
            try:
                outcome = operation(host)
            except (OSError, http.client.HTTPException) as error:
                outcome = repr(error)
            self.sent += 1
            if outcome is not True:
                self.failed.append((operation.__name__, host, outcome))

    def _next_operation(self):
        operations = (self._stream, self._look_up, self._reserve)
        return operations[self.sent % len(operations)]

    def _stream(self, host):
        text = f"rolling {new_key()}"
        stream = self._caller.stream(host, text, max_tokens=TOKENS).read_all()
        complete = stream.whole and stream.content == stream.expected_content
        return (complete and stream.tokens == TOKENS) or (stream.status, stream.content)

    def _look_up(self, host):
        response = self._caller.look_up(host)
        return response.status == 200 or response

    def _reserve(self, host):
        key = new_key()
        response = self._caller.reserve(host, key)
        self.reserved.append(key)
        return response.status == 201 or response


class TestRollingRestart:
    def test_no_request_fails(self, cluster):
        caller = Caller(cluster)
        with LoadBalancer(caller, 4) as balancer, ThreadPoolExecutor(6) as pool:
            loads = [MixedLoad(caller, balancer) for _ in range(6)]
            futures = [pool.submit(load.run) for load in loads]
            for host in cluster.hosts:
                earlier_pid = cluster.pids[host]
                assert cluster.stop(host, STOP_TIMEOUT_SECONDS)
                cluster.restart(host)
                assert cluster.pids[host] != earlier_pid
                # The balancer has to see the host ready before the next one stops.
                time.sleep(2 * PROBE_INTERVAL_SECONDS)
            for load in loads:
                load.stop()
            for future in futures:
                future.result()
        assert [failure for load in loads for failure in load.failed] == []
        assert sum(load.sent for load in loads) > 100
        reserved = [key for load in loads for key in load.reserved]
        assert {run_count(cluster, key) for key in reserved} == {1}


class TestTermination:
    def test_open_stream_is_finished_and_new_requests_are_not_run(self, cluster):
        caller = Caller(cluster)
        stream = caller.stream(0, "finished while stopping").read(1)
        cluster.signal("entry-1", signal.SIGTERM)

        def not_ready():
            return caller.call(0, "GET", "/readyz").status == 503

        wait_for(not_ready, 5, "a host that is not ready")

        def rejected_response():
            response = caller.reserve(0, key)
            return response if response.status == 503 else None

        key = new_key()
        response = wait_for(rejected_response, 5, "a rejected request")
        assert response.run_state == "not_run"
        assert int(response.headers["retry-after"]) >= 1
        stream.read_all()
        assert stream.whole
        assert (stream.tokens, stream.content) == (LONG_TOKENS, stream.expected_content)
        assert cluster.stop("entry-1", STOP_TIMEOUT_SECONDS)
        cluster.restart("entry-1")

    @pytest.mark.parametrize("attempt", range(3))
    def test_sigterm_right_after_a_freeze_ends_the_process(self, cluster, attempt):
        cluster.signal("entry-2", signal.SIGSTOP)
        time.sleep(0.3)
        cluster.signal("entry-2", signal.SIGCONT)
        cluster.signal("entry-2", signal.SIGTERM)
        ended = wait_for(
            lambda: "entry-2" not in cluster.pids,
            STOP_TIMEOUT_SECONDS,
            "the end of the process",
        )
        assert ended
        cluster.restart("entry-2")
