"""Stand-in for a service without models: stock lookups and reservations."""

import itertools
import threading
import time
import zlib
from typing import Any

import attrs
import click

from standins.common import DEFAULT_THREADS, Faults, error_reply, run
from standins.records import Call, ConnectionDroppedError, Reply

MAX_QUANTITY = 1000
ACTION_PATHS = ("/reservations", "/orders/confirm")
LOOKUP_PATHS = ("/reservations/by-key/", "/orders/")


@attrs.define
class _Record:
    """Number of runs for an idempotency key, and its latest reservation number."""

    runs: int = 0
    reservation: int = 0


class PlainService:
    """Idempotent reads, and actions that run on every call.

    Repeated idempotency keys are counted, not deduplicated, so that tests detect
    actions that ran twice.
    """

    def __init__(self) -> None:
        # `delay_seconds` delays every response; `lookup_down` fails lookups with 503.
        # The others count occurrences: `refuse` rejects with 503 without running,
        # `close_before_read` closes a connection before its request is read,
        # `run_then_close` runs an action but sends no response, and `cut_answer` sends
        # half of a response.
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
        self._reservation_numbers = itertools.count(1)
        self._reads = 0

    def counts(self) -> dict[str, Any]:
        """Return the number of runs by idempotency key and the number of reads."""
        with self._lock:
            runs = {key: record.runs for key, record in self._records.items()}
            return {"runs": runs, "reads": self._reads}

    def should_close_before_read(self, *, reused: bool) -> bool:
        """Return whether the `close_before_read` fault closes this connection."""
        return self.faults.consume("close_before_read")

    def close(self) -> None:
        """Do nothing; this stand-in has no background threads."""

    def handle(self, call: Call) -> Reply:
        """Handle one request."""
        time.sleep(self.faults.get("delay_seconds") or 0)
        if self.faults.consume("refuse"):
            error = error_reply(503, "refused")
            return attrs.evolve(error, headers=(("X-Not-Run", "true"),))
        if call.method == "POST" and call.path in ACTION_PATHS:
            return self._run_action(call)
        if call.method == "GET" and call.path.startswith("/stock/"):
            return self._stock(call.path.removeprefix("/stock/"))
        for prefix in LOOKUP_PATHS:
            if call.method == "GET" and call.path.startswith(prefix):
                return self._lookup(call.path.removeprefix(prefix))
        return error_reply(404, "not_found")

    def _stock(self, item: str) -> Reply:
        with self._lock:
            self._reads += 1
        quantity = zlib.crc32(item.encode()) % MAX_QUANTITY
        body = {"item": item, "quantity": quantity}
        return Reply(200, body, cut=self.faults.consume("cut_answer"))

    def _run_action(self, call: Call) -> Reply:
        key = call.header("Idempotency-Key")
        if key is None or not isinstance(call.json(), dict):
            return error_reply(
                400, "malformed", "Idempotency-Key and an object are needed"
            )
        with self._lock:
            record = self._records.setdefault(key, _Record())
            record.runs += 1
            record.reservation = next(self._reservation_numbers)
            body = {"reservation": record.reservation, "key": key}
        if self.faults.consume("run_then_close"):
            raise ConnectionDroppedError
        return Reply(201, body, cut=self.faults.consume("cut_answer"))

    def _lookup(self, key: str) -> Reply:
        if self.faults.get("lookup_down"):
            return error_reply(503, "lookup_down")
        with self._lock:
            self._reads += 1
            record = self._records.get(key)
            if record is None:
                return error_reply(404, "not_found")
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
