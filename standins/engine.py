"""Stand-in for a model engine."""

import collections
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import click

from standins.common import Faults, failure, run
from standins.engine_answers import (
    CHARACTERS_PER_TOKEN,
    AnswerText,
    Chunks,
    content_of,
)
from standins.engine_batch import Batch, Generation, Pace, State
from standins.engine_cache import PrefixCache
from standins.engine_orders import Orders
from standins.engine_sinks import StreamSink, WaitingSink
from standins.records import Call, Reply, Write

THREADS = 256
COMPLETIONS = "/v1/chat/completions"
REQUESTS = "/v1/requests/"
# Length of a prompt whose prefill takes `first_token_seconds` when uncached.
ORDINARY_CHARACTERS = 1024
LEAST_PREFILL_SHARE = 0.1
LOAD_SAMPLE_SECONDS = 0.05


@attrs.frozen
class Settings:
    """How an engine behaves; times in seconds."""

    name: str = "engine"
    versions: tuple[str, ...] = ("a@1",)
    slots: int = 8
    token_seconds: float = 0.057
    first_token_seconds: float = 0.2
    cache_blocks: int = 1000
    checks_fencing: bool = False
    tokens: int = 64
    orphan_seconds: float = 30.0
    load_lag_seconds: float = 0.5
    load_seconds: float = 1.0
    cache_lag_seconds: float = 0.5
    cache_gap_share: float = 0.05
    role: str = "general"
    weight_store: str | None = None


class Engine:
    """Generates tokens at a pace, in slots, and obeys orders."""

    def __init__(self, settings: Settings) -> None:
        self.faults = Faults(
            refuse=0,
            cut_after=0,
            close_idle=0,
            freeze=False,
            bad_share={},
            slow_factor=0,
        )
        self._settings = settings
        self._batch = Batch(settings.slots, settings.orphan_seconds, self._pace)
        self._cache = PrefixCache(
            settings.cache_blocks,
            settings.cache_lag_seconds,
            settings.cache_gap_share,
            settings.name,
        )
        self._orders = Orders(
            settings.versions,
            settings.role,
            checks_fencing=settings.checks_fencing,
            load_seconds=settings.load_seconds,
            weight_store=settings.weight_store,
            unloaded=lambda version: self._cache.forget(version, time.monotonic()),
        )
        self._closed = threading.Event()
        self._pool = ThreadPoolExecutor(max_workers=1)
        first = self._load_now()
        self._loads: collections.deque[dict[str, Any]] = collections.deque([first])
        self._pool.submit(self._sample_loads)

    def counts(self) -> dict[str, Any]:
        """Return all generations and orders."""
        orders = self._orders.received()
        return {"generations": self._batch.reports(), "orders": orders}

    def closes_unread(self, *, reused: bool) -> bool:
        """Close kept-alive connections where that fault is on."""
        return reused and self.faults.take("close_idle")

    def close(self) -> None:
        """End all threads."""
        self._closed.set()
        self._orders.close()
        self._batch.close()
        self._pool.shutdown()

    def handle(self, call: Call) -> Reply:
        """Answer one call."""
        if (call.method, call.path) == ("POST", COMPLETIONS):
            return self._complete(call)
        if call.path.startswith(REQUESTS):
            return self._request(call)
        if (call.method, call.path) == ("GET", "/v1/load"):
            return Reply(200, self._load())
        if (call.method, call.path) == ("GET", "/v1/cache-events"):
            after = int(call.query.get("after", "0"))
            return Reply(200, self._cache.events(after, time.monotonic()))
        if (call.method, call.path) == ("POST", "/v1/orders"):
            return self._orders.obey(call.json())
        return failure(404, "not_found")

    def _complete(self, call: Call) -> Reply:
        body = call.json()
        after = call.header("Last-Event-ID")
        if after is not None:
            found = self._batch.find(call.header("X-Request-Id") or "")
            if found is None or found.state is State.CANCELLED:
                return failure(404, "unknown_request")
            return self._answer(call, found, bool(body.get("stream")), int(after))
        if self.faults.take("refuse"):
            return failure(503, "refused")
        if body["model"] not in self._orders.versions():
            return failure(404, "version_not_loaded")
        return self._answer(call, self._new(call, body), bool(body.get("stream")))

    def _new(self, call: Call, body: dict[str, Any]) -> Generation:
        version, settings = body["model"], self._settings
        text = content_of(body["messages"])
        cached = self._cache.use(version, text, time.monotonic())
        size = max(1, len(text))
        share = max(LEAST_PREFILL_SHARE, 1 - cached / size)
        share *= max(1.0, size / ORDINARY_CHARACTERS)
        wanted = body.get("max_tokens") or settings.tokens
        bad_share = self.faults.get("bad_share").get(version, 0.0)
        answer = AnswerText.of(version, text, bad_share)
        request_id = call.header("X-Request-Id") or uuid.uuid4().hex
        return Generation(
            id=request_id,
            version=version,
            answer=answer,
            total=min(int(wanted), settings.tokens),
            finish_reason="length" if wanted < settings.tokens else "stop",
            priority=int(body.get("priority") or 0),
            prefill_seconds=settings.first_token_seconds * share,
            prompt_tokens=1 + size // CHARACTERS_PER_TOKEN,
            cached_tokens=cached // CHARACTERS_PER_TOKEN,
            chunks=Chunks(request_id, version, answer),
        )

    def _answer(
        self,
        call: Call,
        generation: Generation,
        streams: bool,
        after: int | None = None,
    ) -> Reply:
        begin = self._batch.submit if after is None else self._batch.resume

        def stream(write: Write) -> None:
            sink = StreamSink(write, call.disconnected, after or 0)
            begin(generation, sink)
            sink.wait()

        if streams:
            return Reply(200, content_type="text/event-stream", stream=stream)
        waiting = WaitingSink(call.disconnected)
        begin(generation, waiting)
        waiting.wait()
        return Reply(200, _completion(generation, after or 0))

    def _request(self, call: Call) -> Reply:
        found = self._batch.find(call.path.removeprefix(REQUESTS))
        if found is None:
            return failure(404, "unknown_request")
        if call.method == "DELETE":
            self._batch.cancel(found)
        elif call.method != "GET":
            return failure(405, "method_not_allowed")
        return Reply(200, found.report())

    def _pace(self) -> Pace:
        factor = float(self.faults.get("slow_factor") or 1)
        return Pace(
            token_seconds=self._settings.token_seconds * factor,
            prefill_factor=factor,
            frozen=bool(self.faults.get("freeze")),
            cut_after=int(self.faults.get("cut_after")),
        )

    def _sample_loads(self) -> None:
        while not self._closed.wait(LOAD_SAMPLE_SECONDS):
            sample = self._load_now()
            self._loads.append(sample)
            # The newest sample older than the lag is the one to be told.
            told_until = sample["at"] - self._settings.load_lag_seconds
            while len(self._loads) > 1 and self._loads[1]["at"] <= told_until:
                self._loads.popleft()

    def _load_now(self) -> dict[str, Any]:
        running, queued = self._batch.load()
        return {
            "running": running,
            "queued": queued,
            "slots": self._settings.slots,
            "versions": list(self._orders.versions()),
            "role": self._orders.role(),
            "at": time.time(),
        }

    def _load(self) -> dict[str, Any]:
        lags = self._settings.load_lag_seconds > 0
        return self._loads[0] if lags else self._load_now()


def _completion(generation: Generation, after: int) -> dict[str, Any]:
    """Return the whole answer as one object."""
    done = generation.state is State.DONE
    content = generation.answer.text(generation.tokens, after)
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": content},
        "finish_reason": generation.finish_reason if done else "cancelled",
    }
    return {
        "id": generation.id,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": generation.version,
        "choices": [choice],
        "usage": generation.usage,
    }


@click.command()
@click.option("--port", type=int, default=0)
@click.option("--name", default="engine")
@click.option("--versions", default="a@1")
@click.option("--slots", type=int, default=8)
@click.option("--token-seconds", type=float, default=0.057)
@click.option("--first-token-seconds", type=float, default=0.2)
@click.option("--cache-blocks", type=int, default=1000)
@click.option("--checks-fencing", is_flag=True)
@click.option("--tokens", type=int, default=64)
@click.option("--orphan-seconds", type=float, default=30.0)
@click.option("--load-lag-seconds", type=float, default=0.5)
@click.option("--load-seconds", type=float, default=1.0)
@click.option("--cache-lag-seconds", type=float, default=0.5)
@click.option("--cache-gap-share", type=float, default=0.05)
@click.option("--role", default="general")
@click.option("--weight-store", default=None)
@click.option("--threads", type=int, default=THREADS)
def main(port: int, threads: int, versions: str, **options: Any) -> None:
    """Run the engine."""
    loaded = tuple(version for version in versions.split(",") if version)
    run(Engine(Settings(versions=loaded, **options)), port, threads)


if __name__ == "__main__":
    main()
