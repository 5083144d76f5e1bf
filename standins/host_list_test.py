import http.client

import pytest

from standins.common import serving
from standins.host_list import HostList
from standins.testing import Ask, asker

HOST = {
    "name": "e1",
    "address": "127.0.0.1:80",
    "zone": "z1",
    "kind": "entry",
    "state": "live",
}


@pytest.fixture
def ask():
    with serving(HostList(lag_seconds=0), threads=4) as server:
        yield asker(server)


class TestHosts:
    def test_hosts_come_change_and_go(self, ask: Ask):
        assert ask("PUT", "/hosts/e1", HOST)[0] == 200
        assert ask("GET", "/hosts")[1] == {"hosts": [HOST]}
        leaving = HOST | {"state": "leaving"}
        ask("PUT", "/hosts/e1", leaving)
        assert ask("GET", "/hosts")[1] == {"hosts": [leaving]}
        assert ask("DELETE", "/hosts/e1")[0] == 200
        assert ask("GET", "/hosts")[1] == {"hosts": []}
        assert ask("DELETE", "/hosts/e1")[0] == 404

    def test_malformed_hosts_are_refused(self, ask: Ask):
        assert ask("PUT", "/hosts/e1", HOST | {"state": "x"})[0] == 400
        assert ask("PUT", "/hosts/e2", HOST)[0] == 400
        assert ask("PUT", "/hosts/e1", {"name": "e1"})[0] == 400

    def test_the_list_lags(self):
        with serving(HostList(lag_seconds=60), threads=4) as server:
            ask = asker(server)
            ask("PUT", "/hosts/e1", HOST)
            assert ask("GET", "/hosts")[1] == {"hosts": []}

    def test_down(self, ask: Ask):
        ask("POST", "/_faults", {"down": True})
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            ask("GET", "/hosts")
