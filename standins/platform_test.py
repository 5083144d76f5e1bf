import http.client
import json
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.common import Server, serving
from standins.platform import Platform
from standins.testing import HttpClient, client_for


@pytest.fixture
def client():
    with serving(Platform(), threads=8) as server:
        yield client_for(server)


def create(client: HttpClient, key: str, value: object = 1):
    return client("PUT", f"/objects/{key}", value, {"If-None-Match": "*"})


class TestWrites:
    def test_create_update_and_delete_share_one_revision(self, client: HttpClient):
        assert create(client, "a/b") == (201, {"key": "a/b", "version": 1})
        assert create(client, "c")[1]["version"] == 2
        updated = client("PUT", "/objects/a/b", {"x": 1}, {"If-Match": "1"})
        assert updated == (200, {"key": "a/b", "version": 3})
        assert client("DELETE", "/objects/a/b", headers={"If-Match": "3"})[0] == 200
        assert create(client, "a/b")[1]["version"] == 5

    def test_conflicts_report_the_current_version(self, client: HttpClient):
        create(client, "a")
        assert create(client, "a") == (412, {"key": "a", "version": 1})
        missing = client("PUT", "/objects/b", 1, {"If-Match": "7"})
        assert missing == (412, {"key": "b", "version": 0})
        assert client("DELETE", "/objects/a", headers={"If-Match": "9"})[0] == 412
        assert client("DELETE", "/objects/b", headers={"If-Match": "9"})[0] == 404

    def test_exactly_one_condition_is_required(self, client: HttpClient):
        both = {"If-None-Match": "*", "If-Match": "1"}
        assert client("PUT", "/objects/a", 1)[0] == 428
        assert client("PUT", "/objects/a", 1, both)[0] == 428

    def test_rejects_values_over_one_mebibyte(self, client: HttpClient):
        assert create(client, "a", "x" * 1024 * 1024)[0] == 413


class TestReads:
    def test_get_returns_the_value(self, client: HttpClient):
        create(client, "a/b", {"x": [1]})
        body = {"key": "a/b", "version": 1, "value": {"x": [1]}}
        assert client("GET", "/objects/a/b") == (200, body)
        assert client("GET", "/objects/none")[0] == 404

    def test_list_pages_by_key_under_the_prefix(self, client: HttpClient):
        for key in ("p/2", "p/1", "q/1", "p/3"):
            create(client, key)
        first = client("GET", "/objects?prefix=p/&limit=2")[1]
        assert [item["key"] for item in first["items"]] == ["p/1", "p/2"]
        assert (first["more"], first["revision"]) == (True, 4)
        second = client("GET", "/objects?prefix=p/&limit=2&after=p/2")[1]
        assert [item["key"] for item in second["items"]] == ["p/3"]
        assert not second["more"]


class TestWatch:
    def test_returns_newer_events_under_the_prefix(self, client: HttpClient):
        create(client, "p/1")
        create(client, "q/1")
        client("DELETE", "/objects/p/1", headers={"If-Match": "1"})
        body = client("GET", "/watch?prefix=p/&since=1&timeout=5")[1]
        deleted = {"key": "p/1", "version": 3, "value": None, "deleted": True}
        assert body == {"events": [deleted], "revision": 3}

    def test_wakes_on_a_write(self, client: HttpClient):
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(client, "GET", "/watch?prefix=p/&since=0&timeout=30")
            create(client, "q/1")
            create(client, "p/1")
            events = waiting.result()[1]["events"]
        assert [event["key"] for event in events] == ["p/1"]

    def test_is_empty_at_the_timeout(self, client: HttpClient):
        assert client("GET", "/watch?since=0&timeout=0.01")[1]["events"] == []

    def test_watching_from_a_compacted_revision_returns_410(self):
        with serving(Platform(history=2), threads=4) as server:
            client = client_for(server)
            for key in "abcd":
                create(client, key)
            assert client("GET", "/watch?since=1&timeout=1")[0] == 410
            assert len(client("GET", "/watch?since=2&timeout=1")[1]["events"]) == 2


class TestLimitsAndFaults:
    def test_writes_over_the_rate_are_rejected(self):
        with serving(Platform(writes_per_second=1), threads=4) as server:
            client = client_for(server)
            statuses = {create(client, key)[0] for key in "abc"}
            assert statuses == {201, 429}
            assert client("GET", "/_counts")[1]["refused"] >= 1

    def test_a_write_with_a_lost_response_takes_effect(self, client: HttpClient):
        client("POST", "/_faults", {"lose_answers": 1})
        with pytest.raises(http.client.RemoteDisconnected):
            create(client, "a")
        assert create(client, "a") == (412, {"key": "a", "version": 1})

    def test_down_closes_connections_and_waiting_watches(self, client: HttpClient):
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(client, "GET", "/watch?since=0&timeout=30")
            assert client("POST", "/_faults", {"down": True})[1]["down"] is True
            with pytest.raises((ConnectionError, http.client.HTTPException)):
                waiting.result()
            with pytest.raises((ConnectionError, http.client.HTTPException)):
                client("GET", "/objects/a")
        assert client("POST", "/_faults", {"down": None})[1]["down"] is False
        assert client("GET", "/objects/a")[0] == 404

    def test_unknown_faults_are_rejected(self, client: HttpClient):
        assert client("POST", "/_faults", {"down": True, "x": 1})[0] == 400
        assert client("POST", "/_faults", {})[1]["down"] is False

    def test_malformed_json_is_rejected(self, client: HttpClient):
        connection = http.client.HTTPConnection("127.0.0.1", client.port)
        connection.request("PUT", "/objects/a", b"{", {"If-None-Match": "*"})
        assert json.loads(connection.getresponse().read())["error"]["code"]
        connection.close()


def test_server_keeps_connections_open():
    with serving(Platform(), threads=2) as server:
        assert isinstance(server, Server)
        connection = http.client.HTTPConnection("127.0.0.1", server.port)
        for _ in range(2):
            connection.request("GET", "/objects/a")
            connection.getresponse().read()
            assert connection.sock is not None
        connection.close()
