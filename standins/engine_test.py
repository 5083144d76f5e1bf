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
from standins.testing import Ask, asker

CHAT = "/v1/chat/completions"
QUICK = Settings(
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
SLOW = 0.05


def settings(**changes):
    return attrs.evolve(QUICK, **changes)


@pytest.fixture
def ask():
    with serving(Engine(QUICK), threads=16) as server:
        yield asker(server)


def body(text: str = "hello", **fields):
    messages = [{"role": "user", "content": text}]
    return {"model": "a@1", "messages": messages} | fields


class Reader:
    """One streamed call."""

    def __init__(self, ask: Ask, sent: dict, request_id: str, after: int | None = None):
        self.connection = http.client.HTTPConnection("127.0.0.1", ask.port, 30)
        headers = {"X-Request-Id": request_id}
        if after is not None:
            headers["Last-Event-ID"] = str(after)
        sent = sent | {"stream": True}
        self.connection.request("POST", CHAT, json.dumps(sent), headers)
        self.answer = self.connection.getresponse()
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
            line = self.answer.readline().decode().strip()
            if line.startswith("id: "):
                self.offsets.append(int(line[4:]))
            if line == "data: [DONE]":
                assert self.answer.read() == b"\n"
                break
            if line.startswith("data: "):
                self.data.append(json.loads(line[6:]))
        return self

    def close(self):
        self.connection.close()
        self.answer.close()


def wait_for(ask: Ask, request_id: str, state: str):
    for _ in range(1000):
        status, found = ask("GET", f"/v1/requests/{request_id}")
        if status == 200 and found["state"] == state:
            return found
        time.sleep(0.005)
    raise AssertionError(found)


class TestAnswers:
    def test_plain_and_streamed_answers_are_the_same(self, ask: Ask):
        headers = {"X-Request-Id": "r1"}
        status, plain = ask("POST", CHAT, body(), headers)
        assert (status, plain["id"], plain["model"]) == (200, "r1", "a@1")
        expected = AnswerText.of("a@1", "hello").text(8)
        assert plain["choices"][0]["message"]["content"] == expected
        assert plain["usage"]["completion_tokens"] == 8
        reader = Reader(ask, body(), "r2").read()
        assert reader.text == expected
        assert reader.offsets == list(range(1, 9))
        assert {chunk["id"] for chunk in reader.data} == {"r2"}
        finish, usage = reader.data[-2:]
        assert finish["choices"][0]["finish_reason"] == "stop"
        assert (usage["choices"], usage["usage"]["completion_tokens"]) == ([], 8)

    def test_a_stream_keeps_its_connection(self, ask: Ask):
        reader = Reader(ask, body(), "r").read()
        reader.connection.request("GET", "/v1/load")
        assert reader.connection.getresponse().status == 200
        reader.close()

    def test_other_versions_and_messages_answer_otherwise(self):
        texts = {AnswerText.of(v, m).text(3) for v in ("a@1", "a@2") for m in "xy"}
        assert len(texts) == 4

    def test_max_tokens_shortens(self, ask: Ask):
        answer = ask("POST", CHAT, body(max_tokens=3))[1]
        assert answer["usage"]["completion_tokens"] == 3
        assert answer["choices"][0]["finish_reason"] == "length"

    def test_parts_of_a_content_are_joined(self, ask: Ask):
        parts = [{"type": "text", "text": "hel"}, {"type": "text", "text": "lo"}]
        answer = ask("POST", CHAT, body(parts))[1]
        expected = AnswerText.of("a@1", "hello").text(8)
        assert answer["choices"][0]["message"]["content"] == expected

    def test_a_version_not_loaded_runs_nothing(self, ask: Ask):
        status, answer = ask("POST", CHAT, body() | {"model": "b@1"})
        assert (status, answer["error"]["code"]) == (404, "version_not_loaded")
        assert ask("GET", "/_counts")[1]["generations"] == []

    def test_malformed_calls_are_refused(self, ask: Ask):
        assert ask("POST", CHAT, {"model": "a@1"})[0] == 400
        assert ask("POST", CHAT, [])[0] == 400


class TestResuming:
    def test_a_dropped_stream_goes_on_and_is_resumed(self):
        with serving(Engine(settings(token_seconds=SLOW)), threads=8) as server:
            ask = asker(server)
            first = Reader(ask, body(), "r").read(2)
            first.close()
            rest = Reader(ask, body(), "r", after=2).read()
            assert rest.offsets == list(range(3, 9))
            assert first.text + rest.text == AnswerText.of("a@1", "hello").text(8)
            assert len(ask("GET", "/_counts")[1]["generations"]) == 1

    def test_a_finished_stream_is_kept(self, ask: Ask):
        Reader(ask, body(), "r").read()
        assert Reader(ask, body(), "r", after=6).read().offsets == [7, 8]
        assert Reader(ask, body(), "r", after=0).read().offsets == list(range(1, 9))

    def test_a_second_reader_takes_over(self):
        with serving(Engine(settings(token_seconds=SLOW)), threads=8) as server:
            ask = asker(server)
            first = Reader(ask, body(), "r").read(2)
            assert Reader(ask, body(), "r", after=1).read().offsets[0] == 2
            with pytest.raises(http.client.IncompleteRead):
                first.answer.read()

    def test_an_unknown_request_cannot_be_resumed(self, ask: Ask):
        headers = {"X-Request-Id": "r", "Last-Event-ID": "1"}
        status, answer = ask("POST", CHAT, body(), headers)
        assert (status, answer["error"]["code"]) == (404, "unknown_request")

    def test_an_orphan_is_cancelled_at_last(self):
        with serving(Engine(settings(tokens=10_000)), threads=8) as server:
            ask = asker(server)
            Reader(ask, body(), "r").read(1).close()
            assert wait_for(ask, "r", "running")
            for _ in range(1000):
                if ask("GET", "/_counts")[1]["generations"][0]["state"] == "cancelled":
                    break
                time.sleep(0.01)
            else:
                raise AssertionError
            assert ask("GET", "/v1/load")[1]["running"] == 0


class TestRequests:
    def test_cancel_ends_a_stream_and_frees_its_slot(self):
        with serving(Engine(settings(tokens=10_000)), threads=8) as server:
            ask = asker(server)
            reader = Reader(ask, body(), "r").read(1)
            assert ask("DELETE", "/v1/requests/r")[1]["state"] == "cancelled"
            reason = reader.read().data[-2]["choices"][0]["finish_reason"]
            assert reason == "cancelled"
            assert ask("GET", "/v1/load")[1]["running"] == 0
            headers = {"X-Request-Id": "r", "Last-Event-ID": "1"}
            assert ask("POST", CHAT, body(), headers)[0] == 404

    def test_unknown_requests_are_not_found(self, ask: Ask):
        assert ask("GET", "/v1/requests/none")[0] == 404
        assert ask("DELETE", "/v1/requests/none")[0] == 404

    def test_lower_priority_numbers_go_first(self):
        engine = Engine(settings(slots=1, first_token_seconds=0.1, tokens=1))
        with serving(engine, threads=16) as server, ThreadPoolExecutor(4) as pool:
            ask = asker(server)
            calls = []
            for name, priority in (("first", 0), ("late", 5), ("soon", 1)):
                sent, headers = body(priority=priority), {"X-Request-Id": name}
                calls.append(pool.submit(ask, "POST", CHAT, sent, headers))
                state = "running" if name == "first" else "queued"
                wait_for(ask, name, state)
            load = ask("GET", "/v1/load")[1]
            assert (load["running"], load["queued"], load["slots"]) == (1, 2, 1)
            calls[2].result()
            assert ask("GET", "/v1/requests/late")[1]["state"] != "done"
            calls[1].result()

    def test_the_load_lags(self):
        lagging = settings(tokens=10_000, load_lag_seconds=30.0)
        with serving(Engine(lagging), threads=8) as server:
            ask = asker(server)
            reader = Reader(ask, body(), "r").read(1)
            assert ask("GET", "/v1/load")[1]["running"] == 0
            reader.close()


class TestOrders:
    def order(self, ask: Ask, kind: str, fencing: int, **fields):
        return ask("POST", "/v1/orders", {"kind": kind, "fencing": fencing} | fields)

    def test_load_unload_and_role(self, ask: Ask):
        assert self.order(ask, "load", 1, version="b@1")[0] == 200
        for _ in range(1000):
            if "b@1" in ask("GET", "/v1/load")[1]["versions"]:
                break
            time.sleep(0.005)
        assert ask("POST", CHAT, body() | {"model": "b@1"})[0] == 200
        self.order(ask, "unload", 1, version="a@1")
        assert ask("POST", CHAT, body())[0] == 404
        self.order(ask, "role", 1, role="prefill")
        assert ask("GET", "/v1/load")[1]["role"] == "prefill"
        assert len(ask("GET", "/_counts")[1]["orders"]) == 3

    def test_stale_fencing_is_refused_where_it_is_checked(self):
        with serving(Engine(settings(checks_fencing=True)), threads=4) as server:
            ask = asker(server)
            assert self.order(ask, "role", 7, role="x")[0] == 200
            status, answer = self.order(ask, "role", 6, role="y")
            assert (status, answer["error"]["code"]) == (409, "stale_fencing")
            assert ask("GET", "/v1/load")[1]["role"] == "x"

    def test_stale_fencing_is_obeyed_elsewhere(self, ask: Ask):
        self.order(ask, "role", 7, role="x")
        assert self.order(ask, "role", 6, role="y")[0] == 200


class TestFaults:
    def test_refused_generations_did_not_run(self, ask: Ask):
        ask("POST", "/_faults", {"refuse": 1})
        assert ask("POST", CHAT, body())[0] == 503
        assert ask("GET", "/_counts")[1]["generations"] == []
        assert ask("POST", CHAT, body())[0] == 200

    def test_streams_are_cut_once_each(self, ask: Ask):
        ask("POST", "/_faults", {"cut_after": 3})
        reader = Reader(ask, body(), "r").read(3)
        with pytest.raises(http.client.IncompleteRead):
            reader.answer.read()
        assert Reader(ask, body(), "r", after=3).read().offsets == [4, 5, 6, 7, 8]

    def test_close_idle_hits_kept_connections_only(self, ask: Ask):
        ask("POST", "/_faults", {"close_idle": 1})
        connection = http.client.HTTPConnection("127.0.0.1", ask.port, 30)
        connection.request("GET", "/v1/load")
        connection.getresponse().read()
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            connection.request("POST", CHAT, json.dumps(body()))
            connection.getresponse()
        connection.close()
        assert ask("GET", "/_counts")[1]["generations"] == []

    def test_close_idle_hits_callers_that_ask_again_at_once(
        self, ask: Ask, monkeypatch: pytest.MonkeyPatch
    ):
        serve = HTTPChannel.service

        def served_late(channel: HTTPChannel) -> None:
            serve(channel)
            time.sleep(0.1)

        monkeypatch.setattr(HTTPChannel, "service", served_late)
        self.test_close_idle_hits_kept_connections_only(ask)

    def test_frozen_streams_go_on_afterwards(self, ask: Ask):
        ask("POST", "/_faults", {"freeze": True})
        with ThreadPoolExecutor(1) as pool:
            reading = pool.submit(lambda: Reader(ask, body(), "r").read())
            wait_for(ask, "r", "running")
            assert ask("GET", "/v1/requests/r")[1]["tokens"] == 0
            ask("POST", "/_faults", {"freeze": None})
            assert len(reading.result().offsets) == 8

    def test_the_share_of_bad_answers_is_by_version(self, ask: Ask):
        ask("POST", "/_faults", {"bad_share": {"a@2": 1.0}})
        bad = ask("POST", CHAT, body() | {"model": "a@2"})[1]
        assert bad["choices"][0]["message"]["content"].startswith("BAD ")
        good = ask("POST", CHAT, body())[1]
        assert not good["choices"][0]["message"]["content"].startswith("BAD ")
        drawn = [AnswerText.of("a@2", str(i), 0.4).bad for i in range(2000)]
        assert 0.35 < sum(drawn) / len(drawn) < 0.45


class TestPrefixCache:
    def test_a_digest_is_the_products_own(self):
        assert digest("a@1", "text") == ids.digest("a@1", "text")

    def test_a_held_prefix_counts_as_cached(self, ask: Ask):
        text = "x" * 600
        uncached = ask("POST", CHAT, body(text))[1]["usage"]
        cached = ask("POST", CHAT, body(text + "y"))[1]["usage"]
        assert uncached["prompt_tokens_details"]["cached_tokens"] == 0
        assert cached["prompt_tokens_details"]["cached_tokens"] == 512 // 4
        events = ask("GET", "/v1/cache-events?after=0")[1]
        assert [event["kind"] for event in events["events"]] == ["stored", "stored"]
        assert events["next"] == 2

    def test_the_least_recently_used_block_leaves(self):
        cache = PrefixCache(blocks=2)
        cache.use("a@1", "x" * 256, 0)
        cache.use("a@1", "y" * 256, 0)
        cache.use("a@1", "x" * 256, 0)
        cache.use("a@1", "z" * 256, 0)
        assert cache.use("a@1", "x" * 256, 0) == 256
        assert cache.use("a@1", "y" * 256, 0) == 0

    def test_versions_share_nothing_and_are_forgotten(self):
        cache = PrefixCache(blocks=10)
        cache.use("a@1", "x" * 256, 0)
        assert cache.use("a@2", "x" * 256, 0) == 0
        cache.forget("a@1", 0)
        assert cache.use("a@1", "x" * 256, 0) == 0

    def test_events_are_late_and_with_gaps(self):
        cache = PrefixCache(blocks=1000, lag_seconds=1, gap_share=0.5)
        for i in range(100):
            cache.use("a@1", f"{i:04}" * 64, now=i)
        told = cache.events(0, now=50)
        assert told["next"] == 50
        assert 10 < len(told["events"]) < 40
