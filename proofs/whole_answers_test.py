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


def assert_whole(stream):
    assert stream.status == 200
    assert stream.whole
    assert stream.tokens == TOKENS
    assert stream.content == stream.expected


def engine_at_work(cluster):
    """Return the engine that generates the only stream under way."""

    def found():
        return [g["engine"] for g in generations(cluster) if g["state"] == "running"]

    return wait_for(found, 5, "an engine that generates")[-1]


class TestCuts:
    def test_every_connection_cut_once(self, cluster, caller):
        set_faults(cluster, *engine_names(cluster), cut_after=7)
        before = {g["id"] for g in generations(cluster)}
        with ThreadPoolExecutor(8) as pool:
            opened = [caller.stream(n % 2, f"cut {n}") for n in range(8)]
            streams = list(pool.map(lambda stream: stream.read_all(), opened))
        for stream in streams:
            assert_whole(stream)
        # Each was resumed where it was cut, not run again.
        made = [g for g in generations(cluster) if g["id"] not in before]
        assert len(made) == 8
        assert {g["state"] for g in made} == {"done"}

    def test_plain_answers_are_whole_too(self, cluster, caller):
        set_faults(cluster, *engine_names(cluster), cut_after=5)
        answer = caller.chat(0, "plain cut")
        assert answer.status == 200
        assert answer.body["usage"]["completion_tokens"] == TOKENS


class TestCallers:
    def test_a_caller_that_goes_away_cancels_its_generation(self, cluster, caller):
        before = {g["id"] for g in generations(cluster)}
        stream = caller.stream(0, "nobody reads to the end").read(5)
        stream.close()

        def cancelled():
            made = [g for g in generations(cluster) if g["id"] not in before]
            return made and {g["state"] for g in made} == {"cancelled"} and made

        made = wait_for(cancelled, 5, "the generation is cancelled")
        assert len(made) == 1
        assert made[0]["tokens"] < TOKENS


class TestEngines:
    """The last class: an engine stays away."""

    def test_a_frozen_engine_is_left(self, cluster, caller):
        stream = caller.stream(0, "frozen engine").read(5)
        frozen = engine_at_work(cluster)
        cluster.signal(frozen, signal.SIGSTOP)
        try:
            assert_whole(stream.read_all())
        finally:
            cluster.signal(frozen, signal.SIGCONT)

    def test_a_killed_engine_leads_to_the_same_answer_from_another(
        self, cluster, caller
    ):
        stream = caller.stream(1, "killed engine").read(5)
        killed = engine_at_work(cluster)
        cluster.kill(killed)
        assert_whole(stream.read_all())
        done = [g for g in generations(cluster) if g["state"] == "done"]
        assert done[-1]["engine"] != killed
