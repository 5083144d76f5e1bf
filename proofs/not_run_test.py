import pytest

from proofs.calling import Caller, new_key
from proofs.counting import engine_names, generations, names, runs, set_faults
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
    services = set(names(cluster, SERVICE))
    set_faults(cluster, *services.intersection(running), refuse=0)
    engines = set(engine_names(cluster))
    set_faults(cluster, *engines.intersection(running), refuse=0, close_idle=0)


class TestServices:
    def test_a_refusal_of_all_servers_is_not_run_and_the_key_stays_free(
        self, cluster, caller
    ):
        key = new_key()
        set_faults(cluster, *names(cluster, SERVICE), refuse=10)
        answer = caller.reserve(0, key)
        assert answer.status >= 500
        assert answer.run_state == "not_run"
        assert runs(cluster, key) == 0
        set_faults(cluster, *names(cluster, SERVICE), refuse=0)
        assert caller.reserve(1, key).status == 201
        assert runs(cluster, key) == 1

    def test_a_refusal_of_one_server_is_hidden_by_another(self, cluster, caller):
        key = new_key()
        set_faults(cluster, names(cluster, SERVICE)[0], refuse=10)
        answers = [caller.reserve(host % 2, f"{key}-{host}") for host in range(4)]
        assert {a.status for a in answers} == {201}
        assert [runs(cluster, f"{key}-{host}") for host in range(4)] == [1] * 4


class TestEngines:
    def test_a_refusal_of_all_engines_is_not_run(self, cluster, caller):
        before = len(generations(cluster))
        set_faults(cluster, *names(cluster, POOL), refuse=10)
        answer = caller.chat(0, "refused")
        assert answer.status >= 500
        assert answer.body["error"]["run_state"] == "not_run"
        assert len(generations(cluster)) == before

    def test_kept_connections_closed_under_the_request_are_no_failure(
        self, cluster, caller
    ):
        assert caller.chat(0, "warm").status == 200
        for number in range(4):
            set_faults(cluster, *names(cluster, POOL), close_idle=1)
            assert caller.chat(0, f"closed {number}").status == 200


class TestStopped:
    """The last class: its programs stay away."""

    def test_a_stopped_service_is_not_run(self, cluster, caller):
        for name in names(cluster, SERVICE):
            cluster.kill(name)
        for host in range(2):
            answer = caller.reserve(host, new_key())
            assert answer.status in (502, 503)
            assert answer.run_state == "not_run"
            assert caller.look_up(host).run_state == "not_run"

    def test_dead_engines_are_not_run(self, cluster, caller):
        for name in names(cluster, POOL):
            cluster.kill(name)
        for host in range(2):
            answer = caller.chat(host, "to nobody")
            assert answer.status in (502, 503)
            assert answer.body["error"]["run_state"] == "not_run"
        assert caller.chat(0, "another pool", model="linen-large").status == 200
