"""Continuous batching: slots, a priority queue and one token-producing thread."""

import enum
import heapq
import itertools
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs

from standins.engine_answers import AnswerText, EventEncoder
from standins.engine_sinks import Sink

# How often to check for closed connections and expired generations.
SWEEP_INTERVAL_SECONDS = 0.1
# Tokens due within this time are produced in the same wake-up.
DUE_SLACK_SECONDS = 0.0005


class State(enum.Enum):
    """State of a generation."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@attrs.define(eq=False)
class Generation:
    """One generation; modified only while holding the batch's lock."""

    id: str
    version: str
    answer: AnswerText
    token_limit: int
    finish_reason: str
    # Lower numbers run first.
    priority: int
    prefill_seconds: float
    prompt_tokens: int
    cached_tokens: int
    encoder: EventEncoder
    # Tokens produced so far.
    tokens: int = 0
    state: State = State.QUEUED
    sink: Sink | None = None
    # Whether the `cut_after` fault has dropped its stream.
    cut: bool = False
    # When a running generation without a reader is cancelled, or an ended one removed;
    # in seconds of the monotonic clock.
    expires_at: float = 0.0

    @property
    def ended(self) -> bool:
        """Return whether the generation is done or cancelled."""
        return self.state in (State.DONE, State.CANCELLED)

    @property
    def usage(self) -> dict[str, Any]:
        """Return the token usage so far."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def report(self) -> dict[str, Any]:
        """Return the fields exposed by the API."""
        names = ("id", "version", "tokens")
        fields = {name: getattr(self, name) for name in names}
        return fields | {"state": self.state.value}


@attrs.frozen
class BatchSettings:
    """Current behaviour of the batch, including injected faults.

    `cut_after` is the number of tokens after which a stream is cut; 0 means never.
    """

    token_seconds: float
    prefill_factor: float = 1.0
    frozen: bool = False
    cut_after: int = 0


class Batch:
    """Queued, running and recently ended generations."""

    def __init__(
        self,
        slots: int,
        orphan_seconds: float,
        get_settings: Callable[[], BatchSettings],
    ) -> None:
        self.slots = slots
        self._orphan_seconds = orphan_seconds
        self._get_settings = get_settings
        self._changed = threading.Condition()
        self._by_id: dict[str, Generation] = {}
        self._submitted: list[Generation] = []
        self._queue: list[tuple[int, int, Generation]] = []
        self._due_tokens: list[tuple[float, int, Generation]] = []
        self._running = 0
        self._sequence = itertools.count()
        self._swept_at = 0.0
        self._closed = False
        self._pool = ThreadPoolExecutor(max_workers=1)
        generating = self._pool.submit(self._generate)
        # Otherwise an exception that ends the thread would go unnoticed.
        generating.add_done_callback(lambda future: future.result())

    def submit(self, generation: Generation, sink: Sink) -> None:
        """Queue a generation whose tokens go to the sink."""
        with self._changed:
            generation.sink = sink
            self._by_id[generation.id] = generation
            self._submitted.append(generation)
            entry = (generation.priority, next(self._sequence), generation)
            heapq.heappush(self._queue, entry)
            self._admit(time.monotonic())
            self._changed.notify()

    def resume(self, generation: Generation, sink: Sink) -> None:
        """Write the tokens that the sink lacks, then stream further ones to it.

        A sink that is still attached is dropped.
        """
        with self._changed:
            if generation.sink is not None:
                generation.sink.drop()
            sink.write(generation)
            if generation.ended:
                sink.finish(generation)
            else:
                generation.sink = sink

    def find(self, request_id: str) -> Generation | None:
        """Return the generation with this id, or None if unknown or removed."""
        with self._changed:
            return self._by_id.get(request_id)

    def cancel(self, generation: Generation) -> None:
        """Cancel a generation that has not ended."""
        with self._changed:
            if not generation.ended:
                self._finish(generation, State.CANCELLED, time.monotonic())

    def load(self) -> tuple[int, int]:
        """Return the numbers of running and queued generations."""
        with self._changed:
            queued = sum(g.state is State.QUEUED for _, _, g in self._queue)
            return self._running, queued

    def reports(self) -> list[dict[str, Any]]:
        """Return reports of all generations submitted so far."""
        with self._changed:
            return [generation.report() for generation in self._submitted]

    def close(self) -> None:
        """Stop the thread and drop open connections."""
        with self._changed:
            self._closed = True
            for generation in self._by_id.values():
                if generation.sink is not None:
                    generation.sink.drop()
            self._changed.notify()
        self._pool.shutdown()

    def _generate(self) -> None:
        with self._changed:
            while not self._closed:
                now = time.monotonic()
                if now - self._swept_at >= SWEEP_INTERVAL_SECONDS:
                    self._swept_at = now
                    self._sweep(now)
                settings = self._get_settings()
                while (
                    self._due_tokens
                    and self._due_tokens[0][0] <= now + DUE_SLACK_SECONDS
                ):
                    due, _, generation = heapq.heappop(self._due_tokens)
                    if generation.state is State.RUNNING:
                        self._produce_token(generation, due, now, settings)
                next_at = self._swept_at + SWEEP_INTERVAL_SECONDS
                if self._due_tokens:
                    next_at = min(next_at, self._due_tokens[0][0])
                self._changed.wait(max(0.0, next_at - time.monotonic()))

    def _produce_token(
        self, generation: Generation, due: float, now: float, settings: BatchSettings
    ) -> None:
        if not settings.frozen:
            generation.tokens += 1
            sink = generation.sink
            if sink is not None:
                sink.write(generation)
                should_cut = 0 < settings.cut_after <= generation.tokens
                if should_cut and sink.streams and not generation.cut:
                    generation.cut = True
                    sink.drop()
                if sink.is_disconnected():
                    self._detach_sink(generation, now)
            if generation.tokens >= generation.token_limit:
                self._finish(generation, State.DONE, now)
                return
        # If the thread fell behind, continue from now instead of in a burst of tokens.
        next_due = max(due, now - settings.token_seconds) + settings.token_seconds
        self._schedule_token(generation, next_due)

    def _schedule_token(self, generation: Generation, at: float) -> None:
        heapq.heappush(self._due_tokens, (at, next(self._sequence), generation))

    def _admit(self, now: float) -> None:
        while self._queue and self._running < self.slots:
            generation = heapq.heappop(self._queue)[2]
            if generation.state is State.QUEUED:
                generation.state = State.RUNNING
                self._running += 1
                seconds = (
                    generation.prefill_seconds * self._get_settings().prefill_factor
                )
                self._schedule_token(generation, now + seconds)

    def _finish(self, generation: Generation, state: State, now: float) -> None:
        if generation.state is State.RUNNING:
            self._running -= 1
        generation.state = state
        generation.expires_at = now + self._orphan_seconds
        if generation.sink is not None:
            generation.sink.finish(generation)
            generation.sink = None
        self._admit(now)

    def _detach_sink(self, generation: Generation, now: float) -> None:
        if generation.sink is not None:
            generation.sink.drop()
        generation.sink = None
        generation.expires_at = now + self._orphan_seconds

    def _sweep(self, now: float) -> None:
        for generation in list(self._by_id.values()):
            if generation.sink is not None and generation.sink.is_disconnected():
                self._detach_sink(generation, now)
            if generation.sink is None and now >= generation.expires_at:
                if generation.ended:
                    self._remove(generation)
                else:
                    self._finish(generation, State.CANCELLED, now)

    def _remove(self, generation: Generation) -> None:
        # A later generation may have reused the id.
        if self._by_id.get(generation.id) is generation:
            del self._by_id[generation.id]
