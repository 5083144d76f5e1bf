import time

import pytest

from proofs.admin_calling import admin
from proofs.calling import Caller, new_key, wait_for
from proofs.counting import generations, names, runs
from tools import launch
from tools.launch_files import SERVICE
from tools.launch_options import Options

OPTIONS = Options(
    hosts=4,
    engines_per_pool=2,
    service_servers=2,
    tokens=4,
    token_seconds=0.005,
    first_token_seconds=0,
    arguments={"host_list": ["--lag-seconds", "1"]},
)
LIMIT_SECONDS = 3.0
POOL = "drafting-small"


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


def engines_used(cluster, caller, requests=16):
    """Return the engines that served new chats on all hosts."""
    before = {g["id"] for g in generations(cluster)}
    answers = [caller.chat(n % 4, f"new work {new_key()}") for n in range(requests)]
    assert {a.status for a in answers} == {200}
    return {g["engine"] for g in generations(cluster) if g["id"] not in before}


def listed(cluster, name, state):
    """Let the platform's list call a backend server live or leaving."""
    server = next(server for server in cluster.servers if server.name == name)
    host = {
        "name": name,
        "address": f"127.0.0.1:{server.port}",
        "zone": server.zone,
        "kind": "service" if server.group == SERVICE else "engine",
        "state": state,
    }
    status, _ = cluster.ask("host-list")("PUT", f"/hosts/{name}", host)
    assert status in (200, 201)


class TestDrain:
    def test_a_drained_engine_gets_no_new_work_and_comes_back(self, cluster):
        caller = Caller(cluster, "catalogue")
        leaving, staying = names(cluster, POOL)
        path = f"/admin/v1/servers/{leaving}/drain"
        status, body = admin(cluster, 0, "POST", path, Submission_Id=new_key())
        assert status == 200, body
        time.sleep(LIMIT_SECONDS)
        assert engines_used(cluster, caller) == {staying}
        status, body = admin(cluster, 1, "DELETE", path, Submission_Id=new_key())
        assert status == 200, body

        def both_used():
            return engines_used(cluster, caller) == {leaving, staying}

        wait_for(both_used, 2 * LIMIT_SECONDS, "work for both")


class TestHostList:
    def test_a_leaving_engine_gets_no_new_work(self, cluster):
        caller = Caller(cluster, "catalogue")
        leaving, staying = names(cluster, POOL)
        listed(cluster, leaving, "leaving")
        time.sleep(LIMIT_SECONDS)
        assert engines_used(cluster, caller) == {staying}
        listed(cluster, leaving, "live")

    def test_a_leaving_service_server_gets_no_new_work(self, cluster):
        caller = Caller(cluster)
        leaving, staying = names(cluster, SERVICE)
        listed(cluster, leaving, "leaving")
        time.sleep(LIMIT_SECONDS)
        keys = [new_key() for _ in range(16)]
        for turn, key in enumerate(keys):
            assert caller.reserve(turn % 4, key).status == 201
        ran = cluster.ask(staying)("GET", "/_counts")[1]["runs"]
        assert set(keys) <= set(ran)
        assert {runs(cluster, key) for key in keys} == {1}
        listed(cluster, leaving, "live")


class TestDead:
    """The last class: a server stays away."""

    def test_a_dead_engine_is_hidden_though_the_list_calls_it_live(self, cluster):
        caller = Caller(cluster, "catalogue")
        dead, staying = names(cluster, POOL)
        cluster.kill(dead)
        assert engines_used(cluster, caller) == {staying}
