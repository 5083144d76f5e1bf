"""Stand-in for a plain service: stock lookups and reservations."""

import itertools
import threading
import time
import zlib
from typing import Any

import attrs
import click

from standins.common import DEFAULT_THREADS, Faults, failure, run
from standins.records import Call, ConnectionDroppedError, Reply

MAX_QUANTITY = 1000
ACTIONS = ("/reservations", "/orders/confirm")
LOOKUPS = ("/reservations/by-key/", "/orders/")


@attrs.define
class _Record:
    """How often a key ran, and its latest reservation."""

    runs: int = 0
    reservation: int = 0


class PlainService:
    """Idempotent reads, and actions that run each time they are called."""

    def __init__(self) -> None:
        self.faults = Faults(
            delay_seconds=0,
            refuse=0,
            close_before_read=0,
            run_then_close=0,
            cut_answer=0,
            lookup_down=False,
        )
        self._lock = threading.Lock()
        self._records: dict[str, _Record] = {}
        self._numbers = itertools.count(1)
        self._reads = 0

    def counts(self) -> dict[str, Any]:
        """Return the runs by key and the number of reads."""
        with self._lock:
            runs = {key: record.runs for key, record in self._records.items()}
            return {"runs": runs, "reads": self._reads}

    def closes_unread(self, *, reused: bool) -> bool:
        """Close unread where that fault is on."""
        return self.faults.take("close_before_read")

    def close(self) -> None:
        """Do nothing: nothing runs in the background."""

    def handle(self, call: Call) -> Reply:
        """Answer one call."""
        time.sleep(self.faults.get("delay_seconds") or 0)
        if self.faults.take("refuse"):
            error = failure(503, "refused")
            return attrs.evolve(error, headers=(("X-Not-Run", "true"),))
        if call.method == "POST" and call.path in ACTIONS:
            return self._act(call)
        if call.method == "GET" and call.path.startswith("/stock/"):
            return self._stock(call.path.removeprefix("/stock/"))
        for prefix in LOOKUPS:
            if call.method == "GET" and call.path.startswith(prefix):
                return self._lookup(call.path.removeprefix(prefix))
        return failure(404, "not_found")

    def _stock(self, item: str) -> Reply:
        with self._lock:
            self._reads += 1
        quantity = zlib.crc32(item.encode()) % MAX_QUANTITY
        body = {"item": item, "quantity": quantity}
        return Reply(200, body, cut=self.faults.take("cut_answer"))

    def _act(self, call: Call) -> Reply:
        key = call.header("Idempotency-Key")
        if key is None or not isinstance(call.json(), dict):
            return failure(400, "malformed", "Idempotency-Key and an object are needed")
        with self._lock:
            record = self._records.setdefault(key, _Record())
            record.runs += 1
            record.reservation = next(self._numbers)
            body = {"reservation": record.reservation, "key": key}
        if self.faults.take("run_then_close"):
            raise ConnectionDroppedError
        return Reply(201, body, cut=self.faults.take("cut_answer"))

    def _lookup(self, key: str) -> Reply:
        if self.faults.get("lookup_down"):
            return failure(503, "lookup_down")
        with self._lock:
            self._reads += 1
            record = self._records.get(key)
            if record is None:
                return failure(404, "not_found")
            body = {"key": key} | attrs.asdict(record)
        return Reply(200, body)


@click.command()
@click.option("--port", type=int, default=0)
@click.option("--threads", type=int, default=DEFAULT_THREADS)
def main(port: int, threads: int) -> None:
    """Run the plain service."""
    run(PlainService(), port, threads)


if __name__ == "__main__":
    main()
