import pytest

from proofs.calling import Caller, new_key
from proofs.counting import (
    engine_names,
    generations,
    run_count,
    server_names,
    set_faults,
)
from tools import launch
from tools.launch_files import SERVICE
from tools.launch_options import Options

OPTIONS = Options(
    hosts=2,
    engines_per_pool=2,
    service_servers=2,
    tokens=16,
    token_seconds=0.005,
    first_token_seconds=0,
)
POOL = "drafting-small"


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


@pytest.fixture
def caller(cluster):
    yield Caller(cluster)
    running = [s.name for s in cluster.servers if s.name in cluster.pids]
    services = set(server_names(cluster, SERVICE))
    set_faults(cluster, *services.intersection(running), refuse=0)
    engines = set(engine_names(cluster))
    set_faults(cluster, *engines.intersection(running), refuse=0, close_idle=0)


class TestServices:
    def test_rejection_by_all_servers_is_not_run_and_the_key_stays_usable(
        self, cluster, caller
    ):
        key = new_key()
        set_faults(cluster, *server_names(cluster, SERVICE), refuse=10)
        response = caller.reserve(0, key)
        assert response.status >= 500
        assert response.run_state == "not_run"
        assert run_count(cluster, key) == 0
        set_faults(cluster, *server_names(cluster, SERVICE), refuse=0)
        assert caller.reserve(1, key).status == 201
        assert run_count(cluster, key) == 1

    def test_rejection_by_one_server_is_retried_on_another(self, cluster, caller):
        key = new_key()
        set_faults(cluster, server_names(cluster, SERVICE)[0], refuse=10)
        responses = [caller.reserve(host % 2, f"{key}-{host}") for host in range(4)]
        assert {r.status for r in responses} == {201}
        assert [run_count(cluster, f"{key}-{host}") for host in range(4)] == [1] * 4


class TestEngines:
    def test_rejection_by_all_engines_is_not_run(self, cluster, caller):
        count_before = len(generations(cluster))
        set_faults(cluster, *server_names(cluster, POOL), refuse=10)
        response = caller.chat(0, "refused")
        assert response.status >= 500
        assert response.body["error"]["run_state"] == "not_run"
        assert len(generations(cluster)) == count_before

    def test_reused_connections_closed_by_the_engine_cause_no_failure(
        self, cluster, caller
    ):
        assert caller.chat(0, "warm").status == 200
        for number in range(4):
            set_faults(cluster, *server_names(cluster, POOL), close_idle=1)
            assert caller.chat(0, f"closed {number}").status == 200


class TestKilledServers:
    """Runs last, because the killed backend servers are not restarted."""

    def test_call_to_a_killed_service_is_not_run(self, cluster, caller):
        for name in server_names(cluster, SERVICE):
            cluster.kill(name)
        for host in range(2):
            response = caller.reserve(host, new_key())
            assert response.status in (502, 503)
            assert response.run_state == "not_run"
            assert caller.look_up(host).run_state == "not_run"

    def test_chat_to_killed_engines_is_not_run(self, cluster, caller):
        for name in server_names(cluster, POOL):
            cluster.kill(name)
        for host in range(2):
            response = caller.chat(host, "to nobody")
            assert response.status in (502, 503)
            assert response.body["error"]["run_state"] == "not_run"
        assert caller.chat(0, "another pool", model="linen-large").status == 200
