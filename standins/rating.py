"""Stand-in for the rating service: ratings that come late, or never."""

import bisect
import heapq
import itertools
import random
import threading
import time
from typing import Any

import click

from standins.common import DEFAULT_THREADS, Faults, failure, run
from standins.engine_answers import BAD_START
from standins.records import Call, ConnectionDroppedError, Reply

FIELDS = ("request_id", "version", "class", "team")
DEFAULT_DELAY_SECONDS = 2.0
DELAY_SPREAD = (0.5, 1.5)
DEFAULT_QUALITY = 0.8
BAD_QUALITY = 0.1
NOISE = 0.05
DEFAULT_LIMIT = 500


class Rating:
    """Ratings of answers, readable some time after they were asked for."""

    def __init__(
        self,
        quality: dict[str, float] | None = None,
        delay_seconds: float = DEFAULT_DELAY_SECONDS,
    ) -> None:
        self.faults = Faults(down=False, lose_share=0)
        self._quality = quality or {}
        self._delay_seconds = delay_seconds
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        self._waiting: list[tuple[float, int, dict[str, Any]]] = []
        self._readable: list[dict[str, Any]] = []
        self._requests = 0
        self._lost = 0

    def counts(self) -> dict[str, Any]:
        """Return how many ratings were asked for, are readable and never come."""
        with self._lock:
            rated = len(self._readable)
            return {"requests": self._requests, "rated": rated, "lost": self._lost}

    def closes_unread(self, *, reused: bool) -> bool:
        """Close every connection while down."""
        return bool(self.faults.get("down"))

    def close(self) -> None:
        """Do nothing: nothing runs in the background."""

    def handle(self, call: Call) -> Reply:
        """Answer one call."""
        if self.faults.get("down"):
            raise ConnectionDroppedError
        if (call.method, call.path) == ("POST", "/ratings/requests"):
            return self._request(call.json(), time.monotonic())
        if (call.method, call.path) == ("GET", "/ratings"):
            after = int(call.query.get("after", "0"))
            limit = int(call.query.get("limit", DEFAULT_LIMIT))
            return self._read(after, limit, time.monotonic())
        return failure(404, "not_found")

    def _request(self, asked: dict[str, Any], now: float) -> Reply:
        # The same request is always rated the same way.
        draw = random.Random(f"{asked['request_id']} {asked['version']}")
        bad = asked["text"].startswith(BAD_START)
        mean = self._quality.get(asked["version"], DEFAULT_QUALITY)
        score = draw.gauss(BAD_QUALITY if bad else mean, NOISE)
        rating = {field: asked[field] for field in FIELDS}
        rating["score"] = round(min(1.0, max(0.0, score)), 4)
        ready_at = now + self._delay_seconds * draw.uniform(*DELAY_SPREAD)
        with self._lock:
            self._requests += 1
            if draw.random() < float(self.faults.get("lose_share") or 0):
                self._lost += 1
            else:
                entry = (ready_at, next(self._numbers), rating)
                heapq.heappush(self._waiting, entry)
        return Reply(202, {"request_id": asked["request_id"]})

    def _read(self, after: int, limit: int, now: float) -> Reply:
        with self._lock:
            while self._waiting and self._waiting[0][0] <= now:
                rating = heapq.heappop(self._waiting)[2]
                self._readable.append({"seq": len(self._readable) + 1, **rating})
            start = bisect.bisect_right(self._readable, after, key=lambda r: r["seq"])
            found = self._readable[start : start + limit]
        following = found[-1]["seq"] if found else after
        return Reply(200, {"ratings": found, "next": following})


def parse_quality(text: str) -> dict[str, float]:
    """Parse mean scores by version, as `a@1=0.9,a@2=0.7`."""
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
