import http.client
import json
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.common import Server, serving
from standins.platform import Platform
from standins.testing import Ask, asker


@pytest.fixture
def ask():
    with serving(Platform(), threads=8) as server:
        yield asker(server)


def create(ask: Ask, key: str, value: object = 1):
    return ask("PUT", f"/objects/{key}", value, {"If-None-Match": "*"})


class TestWrites:
    def test_create_update_and_delete_share_one_number(self, ask: Ask):
        assert create(ask, "a/b") == (201, {"key": "a/b", "version": 1})
        assert create(ask, "c")[1]["version"] == 2
        updated = ask("PUT", "/objects/a/b", {"x": 1}, {"If-Match": "1"})
        assert updated == (200, {"key": "a/b", "version": 3})
        assert ask("DELETE", "/objects/a/b", headers={"If-Match": "3"})[0] == 200
        assert create(ask, "a/b")[1]["version"] == 5

    def test_conflicts_tell_the_standing_version(self, ask: Ask):
        create(ask, "a")
        assert create(ask, "a") == (412, {"key": "a", "version": 1})
        missing = ask("PUT", "/objects/b", 1, {"If-Match": "7"})
        assert missing == (412, {"key": "b", "version": 0})
        assert ask("DELETE", "/objects/a", headers={"If-Match": "9"})[0] == 412
        assert ask("DELETE", "/objects/b", headers={"If-Match": "9"})[0] == 404

    def test_exactly_one_condition_is_needed(self, ask: Ask):
        both = {"If-None-Match": "*", "If-Match": "1"}
        assert ask("PUT", "/objects/a", 1)[0] == 428
        assert ask("PUT", "/objects/a", 1, both)[0] == 428

    def test_refuses_values_over_a_mebibyte(self, ask: Ask):
        assert create(ask, "a", "x" * 1024 * 1024)[0] == 413


class TestReads:
    def test_get_returns_the_value(self, ask: Ask):
        create(ask, "a/b", {"x": [1]})
        body = {"key": "a/b", "version": 1, "value": {"x": [1]}}
        assert ask("GET", "/objects/a/b") == (200, body)
        assert ask("GET", "/objects/none")[0] == 404

    def test_list_pages_by_key_under_the_prefix(self, ask: Ask):
        for key in ("p/2", "p/1", "q/1", "p/3"):
            create(ask, key)
        first = ask("GET", "/objects?prefix=p/&limit=2")[1]
        assert [item["key"] for item in first["items"]] == ["p/1", "p/2"]
        assert (first["more"], first["revision"]) == (True, 4)
        second = ask("GET", "/objects?prefix=p/&limit=2&after=p/2")[1]
        assert [item["key"] for item in second["items"]] == ["p/3"]
        assert not second["more"]


class TestWatch:
    def test_answers_with_newer_events_under_the_prefix(self, ask: Ask):
        create(ask, "p/1")
        create(ask, "q/1")
        ask("DELETE", "/objects/p/1", headers={"If-Match": "1"})
        body = ask("GET", "/watch?prefix=p/&since=1&timeout=5")[1]
        deleted = {"key": "p/1", "version": 3, "value": None, "deleted": True}
        assert body == {"events": [deleted], "revision": 3}

    def test_wakes_on_a_write(self, ask: Ask):
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(ask, "GET", "/watch?prefix=p/&since=0&timeout=30")
            create(ask, "q/1")
            create(ask, "p/1")
            events = waiting.result()[1]["events"]
        assert [event["key"] for event in events] == ["p/1"]

    def test_is_empty_at_the_timeout(self, ask: Ask):
        assert ask("GET", "/watch?since=0&timeout=0.01")[1]["events"] == []

    def test_a_forgotten_revision_is_gone(self):
        with serving(Platform(history=2), threads=4) as server:
            ask = asker(server)
            for key in "abcd":
                create(ask, key)
            assert ask("GET", "/watch?since=1&timeout=1")[0] == 410
            assert len(ask("GET", "/watch?since=2&timeout=1")[1]["events"]) == 2


class TestLimitsAndFaults:
    def test_writes_over_the_rate_are_refused(self):
        with serving(Platform(writes_per_second=1), threads=4) as server:
            ask = asker(server)
            statuses = {create(ask, key)[0] for key in "abc"}
            assert statuses == {201, 429}
            assert ask("GET", "/_counts")[1]["refused"] >= 1

    def test_a_lost_answer_took_effect(self, ask: Ask):
        ask("POST", "/_faults", {"lose_answers": 1})
        with pytest.raises(http.client.RemoteDisconnected):
            create(ask, "a")
        assert create(ask, "a") == (412, {"key": "a", "version": 1})

    def test_down_closes_connections_and_waiting_watches(self, ask: Ask):
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(ask, "GET", "/watch?since=0&timeout=30")
            assert ask("POST", "/_faults", {"down": True})[1]["down"] is True
            with pytest.raises((ConnectionError, http.client.HTTPException)):
                waiting.result()
            with pytest.raises((ConnectionError, http.client.HTTPException)):
                ask("GET", "/objects/a")
        assert ask("POST", "/_faults", {"down": None})[1]["down"] is False
        assert ask("GET", "/objects/a")[0] == 404

    def test_unknown_faults_are_refused(self, ask: Ask):
        assert ask("POST", "/_faults", {"down": True, "x": 1})[0] == 400
        assert ask("POST", "/_faults", {})[1]["down"] is False

    def test_malformed_json_is_refused(self, ask: Ask):
        connection = http.client.HTTPConnection("127.0.0.1", ask.port)
        connection.request("PUT", "/objects/a", b"{", {"If-None-Match": "*"})
        assert json.loads(connection.getresponse().read())["error"]["code"]
        connection.close()


def test_server_keeps_connections():
    with serving(Platform(), threads=2) as server:
        assert isinstance(server, Server)
        connection = http.client.HTTPConnection("127.0.0.1", server.port)
        for _ in range(2):
            connection.request("GET", "/objects/a")
            connection.getresponse().read()
            assert connection.sock is not None
        connection.close()
