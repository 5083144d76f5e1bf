import http.client
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.calling import Caller, new_key, wait_for
from proofs.counting import runs
from tools import launch
from tools.launch_options import Options

TOKENS = 20
# Six seconds, longer than anything that a stop waits for beside its requests.
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
PROBE_SECONDS = 0.2
STOP_SECONDS = 15.0


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


class Chooser:
    """Chooses among the hosts that were ready at the last probe, as a balancer does."""

    def __init__(self, caller, hosts):
        self._caller = caller
        self._ready = dict.fromkeys(range(hosts), True)
        self._turn = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._probe_all)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stopped.set()
        self._thread.join()

    def choose(self):
        self._turn += 1
        ready = [host for host, is_ready in self._ready.items() if is_ready]
        return ready[self._turn % len(ready)]

    def _probe_all(self):
        while not self._stopped.wait(PROBE_SECONDS):
            for host in self._ready:
                self._ready[host] = self._probe(host)

    def _probe(self, host):
        try:
            return self._caller.call(host, "GET", "/readyz").status == 200
        except (OSError, http.client.HTTPException):
            return False


class Load:
    """Streams, lookups and reservations in turn, without a single retry."""

    def __init__(self, caller, chooser):
        self.sent = 0
        self.failed = []
        self.reserved = []
        self._caller = caller
        self._chooser = chooser
        self._stopped = threading.Event()

    def stop(self):
        self._stopped.set()

    def run(self):
        for work in iter(lambda: self._stopped.is_set() or self._next(), True):
            host = self._chooser.choose()
            try:
                right = work(host)
            except (OSError, http.client.HTTPException) as error:
                right = repr(error)
            self.sent += 1
            if right is not True:
                self.failed.append((work.__name__, host, right))

    def _next(self):
        kinds = (self._stream, self._look_up, self._reserve)
        return kinds[self.sent % len(kinds)]

    def _stream(self, host):
        text = f"rolling {new_key()}"
        stream = self._caller.stream(host, text, max_tokens=TOKENS).read_all()
        whole = stream.whole and stream.content == stream.expected
        return (whole and stream.tokens == TOKENS) or (stream.status, stream.content)

    def _look_up(self, host):
        answer = self._caller.look_up(host)
        return answer.status == 200 or answer

    def _reserve(self, host):
        key = new_key()
        answer = self._caller.reserve(host, key)
        self.reserved.append(key)
        return answer.status == 201 or answer


class TestRollingRestart:
    def test_no_request_fails(self, cluster):
        caller = Caller(cluster)
        with Chooser(caller, 4) as chooser, ThreadPoolExecutor(6) as pool:
            loads = [Load(caller, chooser) for _ in range(6)]
            running = [pool.submit(load.run) for load in loads]
            for host in cluster.hosts:
                before = cluster.pids[host]
                assert cluster.stop(host, STOP_SECONDS)
                cluster.restart(host)
                assert cluster.pids[host] != before
                # The balancer has to see it before the next one leaves.
                time.sleep(2 * PROBE_SECONDS)
            for load in loads:
                load.stop()
            for future in running:
                future.result()
        assert [failure for load in loads for failure in load.failed] == []
        assert sum(load.sent for load in loads) > 100
        reserved = [key for load in loads for key in load.reserved]
        assert {runs(cluster, key) for key in reserved} == {1}


class TestTermination:
    def test_a_stream_under_way_is_finished_and_new_work_is_not_run(self, cluster):
        caller = Caller(cluster)
        stream = caller.stream(0, "finished while stopping").read(1)
        cluster.signal("entry-1", signal.SIGTERM)

        def not_ready():
            return caller.call(0, "GET", "/readyz").status == 503

        wait_for(not_ready, 5, "not ready")

        def refused():
            answer = caller.reserve(0, key)
            return answer if answer.status == 503 else None

        key = new_key()
        answer = wait_for(refused, 5, "refused")
        assert answer.run_state == "not_run"
        assert int(answer.headers["retry-after"]) >= 1
        stream.read_all()
        assert stream.whole
        assert (stream.tokens, stream.content) == (LONG_TOKENS, stream.expected)
        assert cluster.stop("entry-1", STOP_SECONDS)
        cluster.restart("entry-1")

    @pytest.mark.parametrize("turn", range(3))
    def test_right_after_a_freeze_ends_the_process(self, cluster, turn):
        cluster.signal("entry-2", signal.SIGSTOP)
        time.sleep(0.3)
        cluster.signal("entry-2", signal.SIGCONT)
        cluster.signal("entry-2", signal.SIGTERM)
        gone = wait_for(lambda: "entry-2" not in cluster.pids, STOP_SECONDS, "end")
        assert gone
        cluster.restart("entry-2")
