"""Stand-in for the weight store, from which engines fetch model weights."""

import collections
import math
import threading
import time
from typing import Any

import attrs
import click

from standins.common import DEFAULT_THREADS, Faults, error_reply, run
from standins.rate_limiter import RateLimiter
from standins.records import Call, Reply

DEFAULT_FETCHES_PER_MINUTE = 60.0
DEFAULT_TRANSFER_SECONDS = 0.5
WEIGHT_BYTES = 16 * 1024**3
SECONDS_PER_MINUTE = 60.0


class WeightStore:
    """Serves weight fetches at a limited rate."""

    def __init__(
        self,
        fetches_per_minute: float = DEFAULT_FETCHES_PER_MINUTE,
        transfer_seconds: float = DEFAULT_TRANSFER_SECONDS,
    ) -> None:
        self.faults = Faults()
        # Bursts may use the allowance of one second, but at least one fetch.
        per_second = fetches_per_minute / SECONDS_PER_MINUTE
        self._limiter = RateLimiter(per_second, max(1.0, per_second))
        self._transfer_seconds = transfer_seconds
        self._lock = threading.Lock()
        self._fetches: collections.Counter[str] = collections.Counter()
        self._rate_limited = 0

    def counts(self) -> dict[str, Any]:
        """Return the fetches by version, and how many were over the rate limit."""
        with self._lock:
            return {"fetches": dict(self._fetches), "refused": self._rate_limited}

    def should_close_before_read(self, *, reused: bool) -> bool:
        """Return False; this stand-in reads every request."""
        return False

    def close(self) -> None:
        """Do nothing; this stand-in has no background threads."""

    def handle(self, call: Call) -> Reply:
        """Handle one request."""
        if (call.method, call.path) != ("POST", "/fetch"):
            return error_reply(404, "not_found")
        version = str(call.json()["version"])
        wait = self._limiter.acquire()
        with self._lock:
            self._rate_limited += 1 if wait else 0
            self._fetches[version] += 0 if wait else 1
        if wait:
            headers = (("Retry-After", str(math.ceil(wait))),)
            return attrs.evolve(error_reply(429, "rate_limit"), headers=headers)
        time.sleep(self._transfer_seconds)
        return Reply(200, {"version": version, "bytes": WEIGHT_BYTES})


@click.command()
@click.option("--port", type=int, default=0)
@click.option("--fetches-per-minute", type=float, default=DEFAULT_FETCHES_PER_MINUTE)
@click.option("--transfer-seconds", type=float, default=DEFAULT_TRANSFER_SECONDS)
@click.option("--threads", type=int, default=DEFAULT_THREADS)
def main(
    port: int, fetches_per_minute: float, transfer_seconds: float, threads: int
) -> None:
    """Run the weight store."""
    run(WeightStore(fetches_per_minute, transfer_seconds), port, threads)


if __name__ == "__main__":
    main()
