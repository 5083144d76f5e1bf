import time

import pytest

from proofs.admin_calling import admin
from proofs.calling import Caller, new_key, wait_for
from proofs.counting import generations, run_count, server_names
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
PROPAGATION_LIMIT_SECONDS = 3.0
POOL = "drafting-small"


@pytest.fixture(scope="module")
def cluster():
    with launch.start(OPTIONS) as running:
        yield running


def engines_used(cluster, caller, requests=16):
    """Return the engines that serve new chat requests sent to all hosts in turn."""
    earlier_ids = {g["id"] for g in generations(cluster)}
    responses = [caller.chat(n % 4, f"new work {new_key()}") for n in range(requests)]
    assert {r.status for r in responses} == {200}
    return {g["engine"] for g in generations(cluster) if g["id"] not in earlier_ids}


def set_listed_state(cluster, name, state):
    """Set a backend server's state, live or leaving, in the platform's host list."""
    server = next(server for server in cluster.servers if server.name == name)
    listed_host = {
        "name": name,
        "address": f"127.0.0.1:{server.port}",
        "zone": server.zone,
        "kind": "service" if server.group == SERVICE else "engine",
        "state": state,
    }
    status, _ = cluster.client("host-list")("PUT", f"/hosts/{name}", listed_host)
    assert status in (200, 201)


class TestDrain:
    def test_drained_engine_gets_no_new_requests_until_the_drain_is_cancelled(
        self, cluster
    ):
        caller = Caller(cluster, "catalogue")
        leaving_server, staying_server = server_names(cluster, POOL)
        path = f"/admin/v1/servers/{leaving_server}/drain"
        status, body = admin(cluster, 0, "POST", path, Submission_Id=new_key())
        assert status == 200, body
        time.sleep(PROPAGATION_LIMIT_SECONDS)
        assert engines_used(cluster, caller) == {staying_server}
        status, body = admin(cluster, 1, "DELETE", path, Submission_Id=new_key())
        assert status == 200, body

        def both_used():
            return engines_used(cluster, caller) == {leaving_server, staying_server}

        wait_for(both_used, 2 * PROPAGATION_LIMIT_SECONDS, "requests on both engines")


class TestEvacuation:
    def test_servers_of_an_evacuated_zone_get_no_new_requests(self, cluster):
        """Guards against work for a zone that an operator is emptying."""
        caller = Caller(cluster, "catalogue")
        used = {server.name: server.zone for server in cluster.servers}
        zone = used[server_names(cluster, POOL)[0]]
        path = f"/admin/v1/zones/{zone}/evacuation"
        status, body = admin(cluster, 0, "POST", path, Submission_Id=new_key())
        assert (status, body["active"]) == (200, True)
        time.sleep(PROPAGATION_LIMIT_SECONDS)
        assert all(used[name] != zone for name in engines_used(cluster, caller))
        _, listed = admin(cluster, 1, "GET", "/admin/v1/evacuations")
        assert [item["name"] for item in listed["items"]] == [zone]
        status, _ = admin(cluster, 2, "DELETE", path, Submission_Id=new_key())
        assert status == 200
        wait_for(
            lambda: any(used[name] == zone for name in engines_used(cluster, caller)),
            10.0,
            "requests in the zone that is taken back",
        )

    def test_zone_without_servers_is_a_typed_error(self, cluster):
        path = "/admin/v1/zones/nowhere/evacuation"
        status, body = admin(cluster, 0, "POST", path, Submission_Id=new_key())
        assert (status, body["code"]) == (404, "not_found")
        _, listed = admin(cluster, 0, "GET", "/admin/v1/evacuations")
        assert listed["items"] == []


class TestHostList:
    def test_leaving_engine_gets_no_new_requests(self, cluster):
        caller = Caller(cluster, "catalogue")
        leaving_server, staying_server = server_names(cluster, POOL)
        set_listed_state(cluster, leaving_server, "leaving")
        time.sleep(PROPAGATION_LIMIT_SECONDS)
        assert engines_used(cluster, caller) == {staying_server}
        set_listed_state(cluster, leaving_server, "live")

    def test_leaving_service_server_gets_no_new_requests(self, cluster):
        caller = Caller(cluster)
        leaving_server, staying_server = server_names(cluster, SERVICE)
        set_listed_state(cluster, leaving_server, "leaving")
        time.sleep(PROPAGATION_LIMIT_SECONDS)
        keys = [new_key() for _ in range(16)]
        for index, key in enumerate(keys):
            assert caller.reserve(index % 4, key).status == 201
        runs_of_staying = cluster.client(staying_server)("GET", "/_counts")[1]["runs"]
        assert set(keys) <= set(runs_of_staying)
        assert {run_count(cluster, key) for key in keys} == {1}
        set_listed_state(cluster, leaving_server, "live")


class TestKilledEngine:
    """Runs last, because the killed engine is not restarted."""

    def test_is_not_used_although_the_host_list_calls_it_live(self, cluster):
        caller = Caller(cluster, "catalogue")
        killed_engine, staying_server = server_names(cluster, POOL)
        cluster.kill(killed_engine)
        assert engines_used(cluster, caller) == {staying_server}
