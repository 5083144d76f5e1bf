import signal
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.calling import Caller, wait_for
from proofs.counting import engine_names, generations, set_faults
from tools import launch
from tools.launch_options import Options

TOKENS = 60
OPTIONS = Options(
    hosts=2,
    engines_per_pool=3,
    service_servers=1,
    tokens=TOKENS,
    token_seconds=0.03,
    first_token_seconds=0,
)


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


@pytest.fixture
def caller(cluster):
    yield Caller(cluster)
    engines = [name for name in engine_names(cluster) if name in cluster.pids]
    set_faults(cluster, *engines, cut_after=0, freeze=False)


def assert_complete(stream):
    assert stream.status == 200
    assert stream.whole
    assert stream.tokens == TOKENS
    assert stream.content == stream.expected_content


def generating_engine(cluster):
    """Return the engine that generates the only open stream."""

    def running_engines():
        return [g["engine"] for g in generations(cluster) if g["state"] == "running"]

    return wait_for(running_engines, 5, "a running generation")[-1]


class TestCuts:
    def test_streams_are_resumed_after_each_connection_is_cut(self, cluster, caller):
        set_faults(cluster, *engine_names(cluster), cut_after=7)
        earlier_ids = {g["id"] for g in generations(cluster)}
        with ThreadPoolExecutor(8) as pool:
            opened = [caller.stream(n % 2, f"cut {n}") for n in range(8)]
            streams = list(pool.map(lambda stream: stream.read_all(), opened))
        for stream in streams:
            assert_complete(stream)
        # Each generation was resumed at the cut, not run again.
        new_generations = [
            g for g in generations(cluster) if g["id"] not in earlier_ids
        ]
        assert len(new_generations) == 8
        assert {g["state"] for g in new_generations} == {"done"}

    def test_plain_response_is_complete_after_a_cut(self, cluster, caller):
        set_faults(cluster, *engine_names(cluster), cut_after=5)
        response = caller.chat(0, "plain cut")
        assert response.status == 200
        assert response.body["usage"]["completion_tokens"] == TOKENS


class TestDisconnect:
    def test_disconnect_of_the_caller_cancels_its_generation(self, cluster, caller):
        earlier_ids = {g["id"] for g in generations(cluster)}
        stream = caller.stream(0, "nobody reads to the end").read(5)
        stream.close()

        def cancelled():
            new_generations = [
                g for g in generations(cluster) if g["id"] not in earlier_ids
            ]
            return (
                new_generations
                and {g["state"] for g in new_generations} == {"cancelled"}
                and new_generations
            )

        new_generations = wait_for(cancelled, 5, "the generation is cancelled")
        assert len(new_generations) == 1
        assert new_generations[0]["tokens"] < TOKENS


class TestEngines:
    """Runs last, because the killed engine is not restarted."""

    def test_stream_of_a_frozen_engine_is_completed(self, cluster, caller):
        stream = caller.stream(0, "frozen engine").read(5)
        frozen = generating_engine(cluster)
        cluster.signal(frozen, signal.SIGSTOP)
        try:
            assert_complete(stream.read_all())
        finally:
            cluster.signal(frozen, signal.SIGCONT)

    def test_stream_of_a_killed_engine_is_completed_by_another(self, cluster, caller):
        stream = caller.stream(1, "killed engine").read(5)
        killed = generating_engine(cluster)
        cluster.kill(killed)
        assert_complete(stream.read_all())
        done = [g for g in generations(cluster) if g["state"] == "done"]
        assert done[-1]["engine"] != killed
