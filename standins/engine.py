"""Stand-in for an inference engine with an OpenAI-compatible chat API."""

import collections
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import click

from standins.common import Faults, error_reply, run
from standins.engine_answers import (
    CHARACTERS_PER_TOKEN,
    AnswerText,
    EventEncoder,
    joined_content,
)
from standins.engine_batch import Batch, BatchSettings, Generation, State
from standins.engine_cache import PrefixCache
from standins.engine_orders import Orders
from standins.engine_sinks import StreamSink, WaitingSink
from standins.records import Call, Reply, Write

THREADS = 256
COMPLETIONS_PATH = "/v1/chat/completions"
REQUESTS_PATH = "/v1/requests/"
# Prompts up to this length take `first_token_seconds` to prefill when uncached; the
# prefill time of longer ones grows in proportion.
REFERENCE_PROMPT_CHARACTERS = 1024
# Share of the prefill time that remains when the whole prompt is cached.
MIN_PREFILL_SHARE = 0.1
LOAD_SAMPLE_INTERVAL_SECONDS = 0.05


@attrs.frozen
class Settings:
    """Capacity, timing and behaviour of an engine; times in seconds.

    `orphan_seconds` is how long a generation without a reader is kept, and a finished
    one remains resumable. `load_lag_seconds` and `cache_lag_seconds` delay the reported
    load and cache events; `cache_gap_share` is the fraction of cache events lost.
    """

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
    """Generates tokens at a fixed rate in a limited number of slots."""

    def __init__(self, settings: Settings) -> None:
        # `refuse` rejects that many generations with 503, `cut_after` drops each stream
        # once after that many tokens, and `close_idle` closes that many kept-alive
        # connections at their next request. `freeze` stops token production,
        # `bad_share` is the fraction of bad answers by version, and `slow_factor`
        # multiplies all generation times.
        self.faults = Faults(
            refuse=0,
            cut_after=0,
            close_idle=0,
            freeze=False,
            bad_share={},
            slow_factor=0,
        )
        self._settings = settings
        self._batch = Batch(
            settings.slots, settings.orphan_seconds, self._batch_settings
        )
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
            on_unload=lambda version: self._cache.remove_version(
                version, time.monotonic()
            ),
        )
        self._closed = threading.Event()
        self._pool = ThreadPoolExecutor(max_workers=1)
        initial_load = self._current_load()
        self._load_samples: collections.deque[dict[str, Any]] = collections.deque(
            [initial_load]
        )
        self._pool.submit(self._sample_load)

    def counts(self) -> dict[str, Any]:
        """Return all generations and orders received so far."""
        orders = self._orders.received()
        return {"generations": self._batch.reports(), "orders": orders}

    def should_close_before_read(self, *, reused: bool) -> bool:
        """Return whether the `close_idle` fault closes this kept-alive connection."""
        return reused and self.faults.consume("close_idle")

    def close(self) -> None:
        """Stop all threads."""
        self._closed.set()
        self._orders.close()
        self._batch.close()
        self._pool.shutdown()

    def handle(self, call: Call) -> Reply:
        """Handle one request."""
        if (call.method, call.path) == ("POST", COMPLETIONS_PATH):
            return self._handle_completion(call)
        if call.path.startswith(REQUESTS_PATH):
            return self._get_or_cancel(call)
        if (call.method, call.path) == ("GET", "/v1/load"):
            return Reply(200, self._reported_load())
        if (call.method, call.path) == ("GET", "/v1/cache-events"):
            after = int(call.query.get("after", "0"))
            return Reply(200, self._cache.events(after, time.monotonic()))
        if (call.method, call.path) == ("POST", "/v1/orders"):
            return self._orders.execute(call.json())
        return error_reply(404, "not_found")

    def _handle_completion(self, call: Call) -> Reply:
        body = call.json()
        last_event_id = call.header("Last-Event-ID")
        if last_event_id is not None:
            generation = self._batch.find(call.header("X-Request-Id") or "")
            if generation is None or generation.state is State.CANCELLED:
                return error_reply(404, "unknown_request")
            return self._generation_reply(
                call, generation, bool(body.get("stream")), int(last_event_id)
            )
        if self.faults.consume("refuse"):
            return error_reply(503, "refused")
        if body["model"] not in self._orders.versions():
            return error_reply(404, "version_not_loaded")
        return self._generation_reply(
            call, self._new_generation(call, body), bool(body.get("stream"))
        )

    def _new_generation(self, call: Call, body: dict[str, Any]) -> Generation:
        version, settings = body["model"], self._settings
        text = joined_content(body["messages"])
        cached_characters = self._cache.match_and_insert(
            version, text, time.monotonic()
        )
        characters = max(1, len(text))
        prefill_share = max(MIN_PREFILL_SHARE, 1 - cached_characters / characters)
        prefill_share *= max(1.0, characters / REFERENCE_PROMPT_CHARACTERS)
        max_tokens = body.get("max_tokens") or settings.tokens
        bad_share = self.faults.get("bad_share").get(version, 0.0)
        answer = AnswerText.of(version, text, bad_share)
        request_id = call.header("X-Request-Id") or uuid.uuid4().hex
        return Generation(
            id=request_id,
            version=version,
            answer=answer,
            token_limit=min(int(max_tokens), settings.tokens),
            finish_reason="length" if max_tokens < settings.tokens else "stop",
            priority=int(body.get("priority") or 0),
            prefill_seconds=settings.first_token_seconds * prefill_share,
            prompt_tokens=1 + characters // CHARACTERS_PER_TOKEN,
            cached_tokens=cached_characters // CHARACTERS_PER_TOKEN,
            encoder=EventEncoder(request_id, version, answer),
        )

    def _generation_reply(
        self,
        call: Call,
        generation: Generation,
        streaming: bool,
        resume_after: int | None = None,
    ) -> Reply:
        attach = self._batch.submit if resume_after is None else self._batch.resume

        def stream(write: Write) -> None:
            sink = StreamSink(write, call.disconnected, resume_after or 0)
            attach(generation, sink)
            sink.wait()

        if streaming:
            return Reply(200, content_type="text/event-stream", stream=stream)
        waiting_sink = WaitingSink(call.disconnected)
        attach(generation, waiting_sink)
        waiting_sink.wait()
        return Reply(200, _completion_object(generation, resume_after or 0))

    def _get_or_cancel(self, call: Call) -> Reply:
        generation = self._batch.find(call.path.removeprefix(REQUESTS_PATH))
        if generation is None:
            return error_reply(404, "unknown_request")
        if call.method == "DELETE":
            self._batch.cancel(generation)
        elif call.method != "GET":
            return error_reply(405, "method_not_allowed")
        return Reply(200, generation.report())

    def _batch_settings(self) -> BatchSettings:
        factor = float(self.faults.get("slow_factor") or 1)
        return BatchSettings(
            token_seconds=self._settings.token_seconds * factor,
            prefill_factor=factor,
            frozen=bool(self.faults.get("freeze")),
            cut_after=int(self.faults.get("cut_after")),
        )

    def _sample_load(self) -> None:
        while not self._closed.wait(LOAD_SAMPLE_INTERVAL_SECONDS):
            sample = self._current_load()
            self._load_samples.append(sample)
            # Report the newest sample that is at least as old as the lag.
            visible_until = sample["at"] - self._settings.load_lag_seconds
            while (
                len(self._load_samples) > 1
                and self._load_samples[1]["at"] <= visible_until
            ):
                self._load_samples.popleft()

    def _current_load(self) -> dict[str, Any]:
        running, queued = self._batch.load()
        return {
            "running": running,
            "queued": queued,
            "slots": self._settings.slots,
            "versions": list(self._orders.versions()),
            "role": self._orders.role(),
            "at": time.time(),
        }

    def _reported_load(self) -> dict[str, Any]:
        lagging = self._settings.load_lag_seconds > 0
        return self._load_samples[0] if lagging else self._current_load()


def _completion_object(generation: Generation, resume_after: int) -> dict[str, Any]:
    """Return the body of a non-streaming response."""
    done = generation.state is State.DONE
    content = generation.answer.text(generation.tokens, resume_after)
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
