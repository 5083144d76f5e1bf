import itertools
from concurrent.futures import ThreadPoolExecutor

import pytest

from proofs.admin_calling import admin
from proofs.calling import Caller, wait_for
from proofs.counting import engine_names, generations, set_faults
from tools import launch
from tools.launch_options import Options

OLD, NEW = "linen-large@3", "linen-large@4"
ROLLOUT = {
    "name": "large-4",
    "model": "linen-large",
    "from_version": OLD,
    "to_version": NEW,
    "steps": [0.1, 0.5, 1.0],
}
# The target for a version with 40% bad answers, over all hosts.
MOST_EXPOSED = 30
MOST_SECONDS = 60
CALLERS = 8


def with_rollout(manifest):
    return manifest | {"rollouts": [ROLLOUT]}


OPTIONS = Options(
    hosts=4,
    engines_per_pool=3,
    service_servers=1,
    tokens=3,
    token_seconds=0.001,
    first_token_seconds=0,
    slots=32,
    arguments={"rating": ["--delay-seconds", "0.2"]},
    change_manifest=with_rollout,
)


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


def rollout_of(cluster):
    status, answer = admin(cluster, 0, "GET", "/admin/v1/status")
    assert status == 200, answer
    return next((r for r in answer["rollouts"] if r["name"] == ROLLOUT["name"]), None)


class TestBadVersion:
    def test_is_withdrawn_by_itself_with_few_answers_exposed(self, cluster):
        set_faults(cluster, *engine_names(cluster), bad_share={NEW: 0.4})
        caller, numbers = Caller(cluster), itertools.count()

        def ask_some():
            def ask(number):
                answer = caller.chat(number % 4, f"quote {number}", "linen-large")
                assert answer.status == 200, answer
                return answer.headers["masticfork-version"]

            with ThreadPoolExecutor(CALLERS) as pool:
                list(pool.map(ask, itertools.islice(numbers, 40)))
            row = rollout_of(cluster)
            return row and row["state"] == "withdrawn"

        wait_for(ask_some, MOST_SECONDS, "the withdrawal")
        exposed = [g for g in generations(cluster) if g["version"] == NEW]
        assert 0 < len(exposed) <= MOST_EXPOSED
        answer = caller.chat(1, "afterwards", "linen-large")
        assert answer.headers["masticfork-version"] == OLD
