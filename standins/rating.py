"""Stand-in for the rating service, whose ratings are delayed or lost."""

import bisect
import heapq
import itertools
import random
import threading
import time
from typing import Any

import click

from standins.common import DEFAULT_THREADS, Faults, error_reply, run
from standins.engine_answers import BAD_PREFIX
from standins.records import Call, ConnectionDroppedError, Reply

COPIED_FIELDS = ("request_id", "version", "class", "team")
DEFAULT_DELAY_SECONDS = 2.0
DELAY_FACTOR_RANGE = (0.5, 1.5)
DEFAULT_QUALITY = 0.8
BAD_QUALITY = 0.1
SCORE_STANDARD_DEVIATION = 0.05
DEFAULT_PAGE_SIZE = 500


class Rating:
    """Ratings of answers, available some time after they were requested.

    `quality` gives the mean score of good answers by version.
    """

    def __init__(
        self,
        quality: dict[str, float] | None = None,
        delay_seconds: float = DEFAULT_DELAY_SECONDS,
    ) -> None:
        # `down` drops all connections; `lose_share` is the fraction of ratings lost.
        self.faults = Faults(down=False, lose_share=0)
        self._quality = quality or {}
        self._delay_seconds = delay_seconds
        self._lock = threading.Lock()
        self._sequence = itertools.count()
        self._pending: list[tuple[float, int, dict[str, Any]]] = []
        self._published: list[dict[str, Any]] = []
        self._requests = 0
        self._lost = 0

    def counts(self) -> dict[str, Any]:
        """Return how many ratings were requested, published and lost."""
        with self._lock:
            rated = len(self._published)
            return {"requests": self._requests, "rated": rated, "lost": self._lost}

    def should_close_before_read(self, *, reused: bool) -> bool:
        """Return whether the `down` fault is set; it drops every connection."""
        return bool(self.faults.get("down"))

    def close(self) -> None:
        """Do nothing; this stand-in has no background threads."""

    def handle(self, call: Call) -> Reply:
        """Handle one request."""
        if self.faults.get("down"):
            raise ConnectionDroppedError
        if (call.method, call.path) == ("POST", "/ratings/requests"):
            return self._create_rating(call.json(), time.monotonic())
        if (call.method, call.path) == ("GET", "/ratings"):
            after = int(call.query.get("after", "0"))
            limit = int(call.query.get("limit", DEFAULT_PAGE_SIZE))
            return self._read_ratings(after, limit, time.monotonic())
        return error_reply(404, "not_found")

    def _create_rating(self, request: dict[str, Any], now: float) -> Reply:
        # Seeded so that the same request always gets the same rating.
        rng = random.Random(f"{request['request_id']} {request['version']}")
        bad = request["text"].startswith(BAD_PREFIX)
        mean = self._quality.get(request["version"], DEFAULT_QUALITY)
        score = rng.gauss(BAD_QUALITY if bad else mean, SCORE_STANDARD_DEVIATION)
        rating = {field: request[field] for field in COPIED_FIELDS}
        rating["score"] = round(min(1.0, max(0.0, score)), 4)
        ready_at = now + self._delay_seconds * rng.uniform(*DELAY_FACTOR_RANGE)
        with self._lock:
            self._requests += 1
            if rng.random() < float(self.faults.get("lose_share") or 0):
                self._lost += 1
            else:
                entry = (ready_at, next(self._sequence), rating)
                heapq.heappush(self._pending, entry)
        return Reply(202, {"request_id": request["request_id"]})

    def _read_ratings(self, after: int, limit: int, now: float) -> Reply:
        with self._lock:
            while self._pending and self._pending[0][0] <= now:
                rating = heapq.heappop(self._pending)[2]
                self._published.append({"seq": len(self._published) + 1, **rating})
            start = bisect.bisect_right(self._published, after, key=lambda r: r["seq"])
            page = self._published[start : start + limit]
        next_after = page[-1]["seq"] if page else after
        return Reply(200, {"ratings": page, "next": next_after})


def parse_quality(text: str) -> dict[str, float]:
    """Parse mean scores by version, such as `a@1=0.9,a@2=0.7`."""
    pairs = (pair.rsplit("=", 1) for pair in text.split(",") if pair)
    return {version: float(score) for version, score in pairs}


@click.command()
@click.option("--port", type=int, default=0)
@click.option("--quality", default="")
@click.option("--delay-seconds", type=float, default=DEFAULT_DELAY_SECONDS)
@click.option("--threads", type=int, default=DEFAULT_THREADS)
def main(port: int, quality: str, delay_seconds: float, threads: int) -> None:
    """Run the rating service."""
    run(Rating(parse_quality(quality), delay_seconds), port, threads)


if __name__ == "__main__":
    main()
