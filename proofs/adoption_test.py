import time

import pytest

from proofs.calling import Caller, new_key, wait_for
from proofs.counting import generations
from tools import launch
from tools.launch_options import Options

# Minimum retry delay of the openai client.
RETRY_DELAY_SECONDS = 0.5
TOKENS = 120
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


class TestAdoption:
    def test_retry_on_another_host_resumes_the_generation_of_a_killed_host(
        self, cluster
    ):
        caller, key = Caller(cluster), new_key()
        earlier_ids = {g["id"] for g in generations(cluster)}

        def ten_tokens_generated():
            new_generations = [
                g for g in generations(cluster) if g["id"] not in earlier_ids
            ]
            return [g for g in new_generations if g["tokens"] >= 10]

        interrupted = caller.stream(0, "the quote of a lost host", key)
        wait_for(ten_tokens_generated, 5, "ten tokens")
        cluster.kill("entry-1")
        # The caller sees its stream break and waits before it retries, as the openai
        # client does.
        assert not interrupted.read_all().whole
        time.sleep(RETRY_DELAY_SECONDS)
        retried = caller.stream(1, "the quote of a lost host", key).read_all()
        assert retried.whole
        assert retried.content == retried.expected_content
        new_generations = [
            g for g in generations(cluster) if g["id"] not in earlier_ids
        ]
        assert [g["state"] for g in new_generations] == ["done"]
        cluster.restart("entry-1")

    def test_same_key_on_two_live_hosts_gets_complete_responses_from_both(
        self, cluster
    ):
        caller, key = Caller(cluster), new_key()
        first = caller.stream(0, "asked twice", key)
        second = caller.stream(1, "asked twice", key)
        for stream in (first.read_all(), second.read_all()):
            assert stream.whole
            assert stream.content == stream.expected_content
