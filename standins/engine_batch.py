"""Continuous batching: slots, a priority queue, and one thread for all tokens."""

import enum
import heapq
import itertools
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs

from standins.engine_answers import AnswerText, Chunks
from standins.engine_sinks import Sink

# How often broken connections and expired streams are looked for.
SWEEP_SECONDS = 0.1
# Tokens due within this time are written in the same wake-up.
SLACK_SECONDS = 0.0005


class State(enum.Enum):
    """How far a generation is."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@attrs.define(eq=False)
class Generation:
    """One generation; all of it changes only under the batch's lock."""

    id: str
    version: str
    answer: AnswerText
    total: int
    finish_reason: str
    priority: int
    prefill_seconds: float
    prompt_tokens: int
    cached_tokens: int
    chunks: Chunks
    tokens: int = 0
    state: State = State.QUEUED
    sink: Sink | None = None
    cut: bool = False
    # When a generation that nobody reads is cancelled, or a finished one dropped.
    kept_until: float = 0.0

    @property
    def ended(self) -> bool:
        """Tell whether no token will follow."""
        return self.state in (State.DONE, State.CANCELLED)

    @property
    def usage(self) -> dict[str, Any]:
        """Return what was used so far."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def report(self) -> dict[str, Any]:
        """Return the fields that callers see."""
        names = ("id", "version", "tokens")
        fields = {name: getattr(self, name) for name in names}
        return fields | {"state": self.state.value}


@attrs.frozen
class Pace:
    """How the batch behaves now, faults included."""

    token_seconds: float
    prefill_factor: float = 1.0
    frozen: bool = False
    cut_after: int = 0


class Batch:
    """Generations that wait, run and are kept after their end."""

    def __init__(
        self, slots: int, orphan_seconds: float, pace: Callable[[], Pace]
    ) -> None:
        self.slots = slots
        self._orphan_seconds = orphan_seconds
        self._pace = pace
        self._changed = threading.Condition()
        self._known: dict[str, Generation] = {}
        self._all: list[Generation] = []
        self._queue: list[tuple[int, int, Generation]] = []
        self._due: list[tuple[float, int, Generation]] = []
        self._running = 0
        self._numbers = itertools.count()
        self._swept_at = 0.0
        self._closed = False
        self._pool = ThreadPoolExecutor(max_workers=1)
        generating = self._pool.submit(self._generate)
        # Without this an error that ends the thread would never be seen.
        generating.add_done_callback(lambda future: future.result())

    def submit(self, generation: Generation, sink: Sink) -> None:
        """Queue a generation that writes to the sink."""
        with self._changed:
            generation.sink = sink
            self._known[generation.id] = generation
            self._all.append(generation)
            entry = (generation.priority, next(self._numbers), generation)
            heapq.heappush(self._queue, entry)
            self._admit(time.monotonic())
            self._changed.notify()

    def resume(self, generation: Generation, sink: Sink) -> None:
        """Write the tokens that the sink lacks, then go on live."""
        with self._changed:
            if generation.sink is not None:
                generation.sink.drop()
            sink.write(generation)
            if generation.ended:
                sink.finish(generation)
            else:
                generation.sink = sink

    def find(self, request_id: str) -> Generation | None:
        """Return a known generation."""
        with self._changed:
            return self._known.get(request_id)

    def cancel(self, generation: Generation) -> None:
        """End a generation without further tokens."""
        with self._changed:
            if not generation.ended:
                self._end(generation, State.CANCELLED, time.monotonic())

    def load(self) -> tuple[int, int]:
        """Return how many generations run and how many wait."""
        with self._changed:
            waiting = sum(g.state is State.QUEUED for _, _, g in self._queue)
            return self._running, waiting

    def reports(self) -> list[dict[str, Any]]:
        """Return all generations so far."""
        with self._changed:
            return [generation.report() for generation in self._all]

    def close(self) -> None:
        """End the thread; open connections are dropped."""
        with self._changed:
            self._closed = True
            for generation in self._known.values():
                if generation.sink is not None:
                    generation.sink.drop()
            self._changed.notify()
        self._pool.shutdown()

    def _generate(self) -> None:
        with self._changed:
            while not self._closed:
                now = time.monotonic()
                if now - self._swept_at >= SWEEP_SECONDS:
                    self._swept_at = now
                    self._sweep(now)
                pace = self._pace()
                while self._due and self._due[0][0] <= now + SLACK_SECONDS:
                    due, _, generation = heapq.heappop(self._due)
                    if generation.state is State.RUNNING:
                        self._step(generation, due, now, pace)
                next_at = self._swept_at + SWEEP_SECONDS
                if self._due:
                    next_at = min(next_at, self._due[0][0])
                self._changed.wait(max(0.0, next_at - time.monotonic()))

    def _step(self, generation: Generation, due: float, now: float, pace: Pace) -> None:
        if not pace.frozen:
            generation.tokens += 1
            sink = generation.sink
            if sink is not None:
                sink.write(generation)
                cuts = 0 < pace.cut_after <= generation.tokens
                if cuts and sink.streams and not generation.cut:
                    generation.cut = True
                    sink.drop()
                if sink.broken():
                    self._orphan(generation, now)
            if generation.tokens >= generation.total:
                self._end(generation, State.DONE, now)
                return
        # A thread that fell behind goes on from now, without a burst of tokens.
        following = max(due, now - pace.token_seconds) + pace.token_seconds
        self._schedule(generation, following)

    def _schedule(self, generation: Generation, at: float) -> None:
        heapq.heappush(self._due, (at, next(self._numbers), generation))

    def _admit(self, now: float) -> None:
        while self._queue and self._running < self.slots:
            generation = heapq.heappop(self._queue)[2]
            if generation.state is State.QUEUED:
                generation.state = State.RUNNING
                self._running += 1
                seconds = generation.prefill_seconds * self._pace().prefill_factor
                self._schedule(generation, now + seconds)

    def _end(self, generation: Generation, state: State, now: float) -> None:
        if generation.state is State.RUNNING:
            self._running -= 1
        generation.state = state
        generation.kept_until = now + self._orphan_seconds
        if generation.sink is not None:
            generation.sink.finish(generation)
            generation.sink = None
        self._admit(now)

    def _orphan(self, generation: Generation, now: float) -> None:
        if generation.sink is not None:
            generation.sink.drop()
        generation.sink = None
        generation.kept_until = now + self._orphan_seconds

    def _sweep(self, now: float) -> None:
        for generation in list(self._known.values()):
            if generation.sink is not None and generation.sink.broken():
                self._orphan(generation, now)
            if generation.sink is None and now >= generation.kept_until:
                if generation.ended:
                    self._forget(generation)
                else:
                    self._end(generation, State.CANCELLED, now)

    def _forget(self, generation: Generation) -> None:
        # A later generation may have taken the same identity.
        if self._known.get(generation.id) is generation:
            del self._known[generation.id]
