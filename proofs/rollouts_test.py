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
# Targets for a version that gives 40% bad answers, counted over all hosts.
MAX_EXPOSED_ANSWERS = 30
WITHDRAWAL_LIMIT_SECONDS = 60
CONCURRENT_CALLERS = 8


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


def rollout_status(cluster):
    status, response = admin(cluster, 0, "GET", "/admin/v1/status")
    assert status == 200, response
    return next((r for r in response["rollouts"] if r["name"] == ROLLOUT["name"]), None)


class TestBadVersion:
    def test_is_withdrawn_automatically_after_few_exposed_answers(self, cluster):
        set_faults(cluster, *engine_names(cluster), bad_share={NEW: 0.4})
        caller, numbers = Caller(cluster), itertools.count()

        def withdrawn_after_more_requests():
            def send(number):
                response = caller.chat(number % 4, f"quote {number}", "linen-large")
                assert response.status == 200, response
                return response.headers["masticfork-version"]

            with ThreadPoolExecutor(CONCURRENT_CALLERS) as pool:
                list(pool.map(send, itertools.islice(numbers, 40)))
            rollout = rollout_status(cluster)
            return rollout and rollout["state"] == "withdrawn"

        wait_for(
            withdrawn_after_more_requests,
            WITHDRAWAL_LIMIT_SECONDS,
            "the withdrawal of the bad version",
        )
        exposed = [g for g in generations(cluster) if g["version"] == NEW]
        assert 0 < len(exposed) <= MAX_EXPOSED_ANSWERS
        response = caller.chat(1, "afterwards", "linen-large")
        assert response.headers["masticfork-version"] == OLD
