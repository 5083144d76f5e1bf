import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor

import attrs
import pytest
from waitress.channel import HTTPChannel

from masticfork.core import ids
from standins.common import serving
from standins.engine import Engine, Settings
from standins.engine_answers import AnswerText, digest
from standins.engine_cache import PrefixCache
from standins.testing import HttpClient, client_for

CHAT = "/v1/chat/completions"
FAST_SETTINGS = Settings(
    versions=("a@1", "a@2"),
    slots=2,
    token_seconds=0.005,
    first_token_seconds=0.005,
    tokens=8,
    orphan_seconds=0.5,
    load_lag_seconds=0.0,
    load_seconds=0.01,
    cache_lag_seconds=0.0,
    cache_gap_share=0.0,
)
SLOW_TOKEN_SECONDS = 0.05


def settings_with(**changes):
    return attrs.evolve(FAST_SETTINGS, **changes)


@pytest.fixture
def client():
    with serving(Engine(FAST_SETTINGS), threads=16) as server:
        yield client_for(server)


def chat(text: str = "hello", **fields):
    """Return the body of a chat request."""
    messages = [{"role": "user", "content": text}]
    return {"model": "a@1", "messages": messages} | fields


class Reader:
    """A streaming request and the events read so far."""

    def __init__(
        self,
        client: HttpClient,
        payload: dict,
        request_id: str,
        after: int | None = None,
    ):
        self.connection = http.client.HTTPConnection("127.0.0.1", client.port, 30)
        headers = {"X-Request-Id": request_id}
        if after is not None:
            headers["Last-Event-ID"] = str(after)
        payload = payload | {"stream": True}
        self.connection.request("POST", CHAT, json.dumps(payload), headers)
        self.response = self.connection.getresponse()
        self.offsets: list[int] = []
        self.data: list = []

    @property
    def text(self) -> str:
        deltas = [
            chunk["choices"][0]["delta"] for chunk in self.data if chunk["choices"]
        ]
        return "".join(delta.get("content", "") for delta in deltas)

    def read(self, tokens: int = 1000) -> "Reader":
        while len(self.data) < tokens:
            line = self.response.readline().decode().strip()
            if line.startswith("id: "):
                self.offsets.append(int(line[4:]))
            if line == "data: [DONE]":
                assert self.response.read() == b"\n"
                break
            if line.startswith("data: "):
                self.data.append(json.loads(line[6:]))
        return self

    def close(self):
        self.connection.close()
        self.response.close()


def wait_for_state(client: HttpClient, request_id: str, state: str):
    for _ in range(1000):
        status, found = client("GET", f"/v1/requests/{request_id}")
        if status == 200 and found["state"] == state:
            return found
        time.sleep(0.005)
    raise AssertionError(found)


class TestAnswers:
    def test_plain_and_streamed_answers_are_the_same(self, client: HttpClient):
        headers = {"X-Request-Id": "r1"}
        status, plain = client("POST", CHAT, chat(), headers)
        assert (status, plain["id"], plain["model"]) == (200, "r1", "a@1")
        expected = AnswerText.of("a@1", "hello").text(8)
        assert plain["choices"][0]["message"]["content"] == expected
        assert plain["usage"]["completion_tokens"] == 8
        reader = Reader(client, chat(), "r2").read()
        assert reader.text == expected
        assert reader.offsets == list(range(1, 9))
        assert {chunk["id"] for chunk in reader.data} == {"r2"}
        finish, usage = reader.data[-2:]
        assert finish["choices"][0]["finish_reason"] == "stop"
        assert (usage["choices"], usage["usage"]["completion_tokens"]) == ([], 8)

    def test_a_stream_keeps_its_connection(self, client: HttpClient):
        reader = Reader(client, chat(), "r").read()
        reader.connection.request("GET", "/v1/load")
        assert reader.connection.getresponse().status == 200
        reader.close()

    def test_answers_differ_by_version_and_message(self):
        texts = {AnswerText.of(v, m).text(3) for v in ("a@1", "a@2") for m in "xy"}
        assert len(texts) == 4

    def test_max_tokens_limits_the_answer(self, client: HttpClient):
        response = client("POST", CHAT, chat(max_tokens=3))[1]
        assert response["usage"]["completion_tokens"] == 3
        assert response["choices"][0]["finish_reason"] == "length"

    def test_content_parts_are_joined(self, client: HttpClient):
        parts = [{"type": "text", "text": "hel"}, {"type": "text", "text": "lo"}]
        response = client("POST", CHAT, chat(parts))[1]
        expected = AnswerText.of("a@1", "hello").text(8)
        assert response["choices"][0]["message"]["content"] == expected

    def test_a_version_that_is_not_loaded_generates_nothing(self, client: HttpClient):
        status, response = client("POST", CHAT, chat() | {"model": "b@1"})
        assert (status, response["error"]["code"]) == (404, "version_not_loaded")
        assert client("GET", "/_counts")[1]["generations"] == []

    def test_malformed_requests_are_rejected(self, client: HttpClient):
        assert client("POST", CHAT, {"model": "a@1"})[0] == 400
        assert client("POST", CHAT, [])[0] == 400


class TestResuming:
    def test_a_dropped_stream_keeps_generating_and_can_be_resumed(self):
        with serving(
            Engine(settings_with(token_seconds=SLOW_TOKEN_SECONDS)), threads=8
        ) as server:
            client = client_for(server)
            first = Reader(client, chat(), "r").read(2)
            first.close()
            rest = Reader(client, chat(), "r", after=2).read()
            assert rest.offsets == list(range(3, 9))
            assert first.text + rest.text == AnswerText.of("a@1", "hello").text(8)
            assert len(client("GET", "/_counts")[1]["generations"]) == 1

    def test_a_finished_stream_can_be_resumed(self, client: HttpClient):
        Reader(client, chat(), "r").read()
        assert Reader(client, chat(), "r", after=6).read().offsets == [7, 8]
        assert Reader(client, chat(), "r", after=0).read().offsets == list(range(1, 9))

    def test_a_second_reader_replaces_the_first(self):
        with serving(
            Engine(settings_with(token_seconds=SLOW_TOKEN_SECONDS)), threads=8
        ) as server:
            client = client_for(server)
            first = Reader(client, chat(), "r").read(2)
            assert Reader(client, chat(), "r", after=1).read().offsets[0] == 2
            with pytest.raises(http.client.IncompleteRead):
                first.response.read()

    def test_an_unknown_request_cannot_be_resumed(self, client: HttpClient):
        headers = {"X-Request-Id": "r", "Last-Event-ID": "1"}
        status, response = client("POST", CHAT, chat(), headers)
        assert (status, response["error"]["code"]) == (404, "unknown_request")

    def test_an_orphan_is_cancelled_after_its_timeout(self):
        with serving(Engine(settings_with(tokens=10_000)), threads=8) as server:
            client = client_for(server)
            Reader(client, chat(), "r").read(1).close()
            assert wait_for_state(client, "r", "running")
            for _ in range(1000):
                if (
                    client("GET", "/_counts")[1]["generations"][0]["state"]
                    == "cancelled"
                ):
                    break
                time.sleep(0.01)
            else:
                raise AssertionError
            assert client("GET", "/v1/load")[1]["running"] == 0


class TestRequests:
    def test_cancel_ends_a_stream_and_frees_its_slot(self):
        with serving(Engine(settings_with(tokens=10_000)), threads=8) as server:
            client = client_for(server)
            reader = Reader(client, chat(), "r").read(1)
            assert client("DELETE", "/v1/requests/r")[1]["state"] == "cancelled"
            reason = reader.read().data[-2]["choices"][0]["finish_reason"]
            assert reason == "cancelled"
            assert client("GET", "/v1/load")[1]["running"] == 0
            headers = {"X-Request-Id": "r", "Last-Event-ID": "1"}
            assert client("POST", CHAT, chat(), headers)[0] == 404

    def test_unknown_requests_are_not_found(self, client: HttpClient):
        assert client("GET", "/v1/requests/none")[0] == 404
        assert client("DELETE", "/v1/requests/none")[0] == 404

    def test_lower_priority_numbers_run_first(self):
        engine = Engine(settings_with(slots=1, first_token_seconds=0.1, tokens=1))
        with serving(engine, threads=16) as server, ThreadPoolExecutor(4) as pool:
            client = client_for(server)
            calls = []
            for name, priority in (("first", 0), ("late", 5), ("soon", 1)):
                payload, headers = chat(priority=priority), {"X-Request-Id": name}
                calls.append(pool.submit(client, "POST", CHAT, payload, headers))
                state = "running" if name == "first" else "queued"
                wait_for_state(client, name, state)
            load = client("GET", "/v1/load")[1]
            assert (load["running"], load["queued"], load["slots"]) == (1, 2, 1)
            calls[2].result()
            assert client("GET", "/v1/requests/late")[1]["state"] != "done"
            calls[1].result()

    def test_the_reported_load_lags(self):
        lagging = settings_with(tokens=10_000, load_lag_seconds=30.0)
        with serving(Engine(lagging), threads=8) as server:
            client = client_for(server)
            reader = Reader(client, chat(), "r").read(1)
            assert client("GET", "/v1/load")[1]["running"] == 0
            reader.close()


class TestOrders:
    def send_order(self, client: HttpClient, kind: str, fencing: int, **fields):
        return client("POST", "/v1/orders", {"kind": kind, "fencing": fencing} | fields)

    def test_load_unload_and_role(self, client: HttpClient):
        assert self.send_order(client, "load", 1, version="b@1")[0] == 200
        for _ in range(1000):
            if "b@1" in client("GET", "/v1/load")[1]["versions"]:
                break
            time.sleep(0.005)
        assert client("POST", CHAT, chat() | {"model": "b@1"})[0] == 200
        self.send_order(client, "unload", 1, version="a@1")
        assert client("POST", CHAT, chat())[0] == 404
        self.send_order(client, "role", 1, role="prefill")
        assert client("GET", "/v1/load")[1]["role"] == "prefill"
        assert len(client("GET", "/_counts")[1]["orders"]) == 3

    def test_stale_fencing_is_rejected_when_checked(self):
        with serving(Engine(settings_with(checks_fencing=True)), threads=4) as server:
            client = client_for(server)
            assert self.send_order(client, "role", 7, role="x")[0] == 200
            status, response = self.send_order(client, "role", 6, role="y")
            assert (status, response["error"]["code"]) == (409, "stale_fencing")
            assert client("GET", "/v1/load")[1]["role"] == "x"

    def test_stale_fencing_is_accepted_when_not_checked(self, client: HttpClient):
        self.send_order(client, "role", 7, role="x")
        assert self.send_order(client, "role", 6, role="y")[0] == 200


class TestFaults:
    def test_refused_requests_generate_nothing(self, client: HttpClient):
        client("POST", "/_faults", {"refuse": 1})
        assert client("POST", CHAT, chat())[0] == 503
        assert client("GET", "/_counts")[1]["generations"] == []
        assert client("POST", CHAT, chat())[0] == 200

    def test_each_stream_is_cut_once(self, client: HttpClient):
        client("POST", "/_faults", {"cut_after": 3})
        reader = Reader(client, chat(), "r").read(3)
        with pytest.raises(http.client.IncompleteRead):
            reader.response.read()
        assert Reader(client, chat(), "r", after=3).read().offsets == [4, 5, 6, 7, 8]

    def test_close_idle_affects_only_reused_connections(self, client: HttpClient):
        client("POST", "/_faults", {"close_idle": 1})
        connection = http.client.HTTPConnection("127.0.0.1", client.port, 30)
        connection.request("GET", "/v1/load")
        connection.getresponse().read()
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            connection.request("POST", CHAT, json.dumps(chat()))
            connection.getresponse()
        connection.close()
        assert client("GET", "/_counts")[1]["generations"] == []

    def test_close_idle_affects_an_immediate_second_request(
        self, client: HttpClient, monkeypatch: pytest.MonkeyPatch
    ):
        serve = HTTPChannel.service

        def delayed_service(channel: HTTPChannel) -> None:
            serve(channel)
            time.sleep(0.1)

        monkeypatch.setattr(HTTPChannel, "service", delayed_service)
        self.test_close_idle_affects_only_reused_connections(client)

    def test_frozen_streams_continue_after_unfreezing(self, client: HttpClient):
        client("POST", "/_faults", {"freeze": True})
        with ThreadPoolExecutor(1) as pool:
            reading = pool.submit(lambda: Reader(client, chat(), "r").read())
            wait_for_state(client, "r", "running")
            assert client("GET", "/v1/requests/r")[1]["tokens"] == 0
            client("POST", "/_faults", {"freeze": None})
            assert len(reading.result().offsets) == 8

    def test_bad_answer_share_is_per_version(self, client: HttpClient):
        client("POST", "/_faults", {"bad_share": {"a@2": 1.0}})
        bad = client("POST", CHAT, chat() | {"model": "a@2"})[1]
        assert bad["choices"][0]["message"]["content"].startswith("BAD ")
        good = client("POST", CHAT, chat())[1]
        assert not good["choices"][0]["message"]["content"].startswith("BAD ")
        drawn = [AnswerText.of("a@2", str(i), 0.4).bad for i in range(2000)]
        assert 0.35 < sum(drawn) / len(drawn) < 0.45


class TestPrefixCache:
    def test_digest_is_the_same_as_in_masticfork(self):
        assert digest("a@1", "text") == ids.digest("a@1", "text")

    def test_a_cached_prefix_counts_as_cached_tokens(self, client: HttpClient):
        text = "x" * 600
        uncached = client("POST", CHAT, chat(text))[1]["usage"]
        cached = client("POST", CHAT, chat(text + "y"))[1]["usage"]
        assert uncached["prompt_tokens_details"]["cached_tokens"] == 0
        assert cached["prompt_tokens_details"]["cached_tokens"] == 512 // 4
        events = client("GET", "/v1/cache-events?after=0")[1]
        assert [event["kind"] for event in events["events"]] == ["stored", "stored"]
        assert events["next"] == 2

    def test_the_least_recently_used_block_is_evicted(self):
        cache = PrefixCache(blocks=2)
        cache.match_and_insert("a@1", "x" * 256, 0)
        cache.match_and_insert("a@1", "y" * 256, 0)
        cache.match_and_insert("a@1", "x" * 256, 0)
        cache.match_and_insert("a@1", "z" * 256, 0)
        assert cache.match_and_insert("a@1", "x" * 256, 0) == 256
        assert cache.match_and_insert("a@1", "y" * 256, 0) == 0

    def test_versions_are_separate_and_can_be_removed(self):
        cache = PrefixCache(blocks=10)
        cache.match_and_insert("a@1", "x" * 256, 0)
        assert cache.match_and_insert("a@2", "x" * 256, 0) == 0
        cache.remove_version("a@1", 0)
        assert cache.match_and_insert("a@1", "x" * 256, 0) == 0

    def test_events_are_delayed_and_some_are_missing(self):
        cache = PrefixCache(blocks=1000, lag_seconds=1, gap_share=0.5)
        for i in range(100):
            cache.match_and_insert("a@1", f"{i:04}" * 64, now=i)
        visible = cache.events(0, now=50)
        assert visible["next"] == 50
        assert 10 < len(visible["events"]) < 40
