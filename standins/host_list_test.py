import http.client

import pytest

from standins.common import serving
from standins.host_list import HostList
from standins.testing import HttpClient, client_for

HOST = {
    "name": "e1",
    "address": "127.0.0.1:80",
    "zone": "z1",
    "kind": "entry",
    "state": "live",
}


@pytest.fixture
def client():
    with serving(HostList(lag_seconds=0), threads=4) as server:
        yield client_for(server)


class TestHosts:
    def test_hosts_are_added_changed_and_removed(self, client: HttpClient):
        assert client("PUT", "/hosts/e1", HOST)[0] == 200
        assert client("GET", "/hosts")[1] == {"hosts": [HOST]}
        leaving = HOST | {"state": "leaving"}
        client("PUT", "/hosts/e1", leaving)
        assert client("GET", "/hosts")[1] == {"hosts": [leaving]}
        assert client("DELETE", "/hosts/e1")[0] == 200
        assert client("GET", "/hosts")[1] == {"hosts": []}
        assert client("DELETE", "/hosts/e1")[0] == 404

    def test_malformed_hosts_are_rejected(self, client: HttpClient):
        assert client("PUT", "/hosts/e1", HOST | {"state": "x"})[0] == 400
        assert client("PUT", "/hosts/e2", HOST)[0] == 400
        assert client("PUT", "/hosts/e1", {"name": "e1"})[0] == 400

    def test_the_list_lags(self):
        with serving(HostList(lag_seconds=60), threads=4) as server:
            client = client_for(server)
            client("PUT", "/hosts/e1", HOST)
            assert client("GET", "/hosts")[1] == {"hosts": []}

    def test_down_drops_connections(self, client: HttpClient):
        client("POST", "/_faults", {"down": True})
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            client("GET", "/hosts")
