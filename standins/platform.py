"""Stand-in for the platform object API: versions, conditions, watches, limits."""

import bisect
import collections
import json
import threading
import time
from typing import Any

import attrs
import click

from standins.common import Faults, failure, run
from standins.limit import Limit
from standins.records import Call, ConnectionDroppedError, Reply

OBJECTS = "/objects/"
MAX_VALUE_BYTES = 1024 * 1024
DEFAULT_HISTORY = 20_000
DEFAULT_LIMIT = 500
DEFAULT_WATCH_SECONDS = 30.0
THREADS = 256
# How often a waiting watch looks whether the platform is down.
WATCH_STEP_SECONDS = 0.5
RETRY_AFTER = (("Retry-After", "1"),)


@attrs.frozen
class _Object:
    version: int
    value: Any


@attrs.frozen
class _Event:
    key: str
    version: int
    value: Any
    deleted: bool


class Platform:
    """Objects under one growing number, with conditional writes and watches."""

    def __init__(
        self,
        writes_per_second: float = 300,
        reads_per_second: float = 2000,
        history: int = DEFAULT_HISTORY,
    ) -> None:
        self.faults = Faults(down=False, slow_seconds=0, lose_answers=0)
        self._writes = Limit(writes_per_second, writes_per_second)
        self._reads = Limit(reads_per_second, reads_per_second)
        self._changed = threading.Condition()
        self._objects: dict[str, _Object] = {}
        self._keys: list[str] = []
        self._revision = 0
        # Revisions at or below this one have left the history.
        self._forgotten = 0
        self._events: collections.deque[_Event] = collections.deque()
        self._history = history
        self._calls = dict.fromkeys(("get", "list", "put", "delete", "watch"), 0)
        self._refused = 0

    def counts(self) -> dict[str, Any]:
        """Return the calls by kind and how many were over the rate limit."""
        with self._changed:
            return {"calls": dict(self._calls), "refused": self._refused}

    def closes_unread(self, *, reused: bool) -> bool:
        """Close every connection while down."""
        return bool(self.faults.get("down"))

    def close(self) -> None:
        """Wake the waiting watches."""
        self.faults.set({"down": True})
        with self._changed:
            self._changed.notify_all()

    def handle(self, call: Call) -> Reply:
        """Answer one call."""
        self._check_up()
        time.sleep(self.faults.get("slow_seconds") or 0)
        kind = self._kind(call)
        if kind is None:
            return failure(404, "not_found")
        writes = kind in ("put", "delete")
        with self._changed:
            self._calls[kind] += 1
        if (self._writes if writes else self._reads).take():
            with self._changed:
                self._refused += 1
            return attrs.evolve(failure(429, "rate_limit"), headers=RETRY_AFTER)
        reply: Reply = getattr(self, f"_{kind}")(call)
        if writes and reply.status in (200, 201) and self.faults.take("lose_answers"):
            raise ConnectionDroppedError
        self._check_up()
        return reply

    def _kind(self, call: Call) -> str | None:
        if call.path.startswith(OBJECTS) and len(call.path) > len(OBJECTS):
            kind = call.method.lower()
            return kind if kind in ("get", "put", "delete") else None
        whole = {"/objects": "list", "/watch": "watch"}
        return whole.get(call.path) if call.method == "GET" else None

    def _check_up(self) -> None:
        if self.faults.get("down"):
            raise ConnectionDroppedError

    def _get(self, call: Call) -> Reply:
        key = call.path.removeprefix(OBJECTS)
        with self._changed:
            found = self._objects.get(key)
        if found is None:
            return failure(404, "not_found")
        return Reply(200, {"key": key} | attrs.asdict(found, recurse=False))

    def _list(self, call: Call) -> Reply:
        prefix = call.query.get("prefix", "")
        after = call.query.get("after", "")
        limit = int(call.query.get("limit", DEFAULT_LIMIT))
        with self._changed:
            start = bisect.bisect_left(self._keys, prefix)
            start = max(start, bisect.bisect_right(self._keys, after) if after else 0)
            keys = self._keys[start : start + limit + 1]
            keys = [key for key in keys if key.startswith(prefix)]
            items = [
                {"key": key, **attrs.asdict(self._objects[key], recurse=False)}
                for key in keys[:limit]
            ]
            more = len(keys) > limit
            body = {"items": items, "revision": self._revision, "more": more}
        return Reply(200, body)

    def _put(self, call: Call) -> Reply:
        create, update = call.header("If-None-Match"), call.header("If-Match")
        if (create is None) == (update is None) or create not in (None, "*"):
            return failure(428, "condition_required")
        if len(call.body) > MAX_VALUE_BYTES:
            return failure(413, "value_too_large")
        value = json.loads(call.body)
        key = call.path.removeprefix(OBJECTS)
        with self._changed:
            found = self._objects.get(key)
            standing = found.version if found else 0
            if standing != (0 if update is None else int(update)) or update == "0":
                return Reply(412, {"key": key, "version": standing})
            self._record(key, value, deleted=False)
            return Reply(200 if found else 201, {"key": key, "version": self._revision})

    def _delete(self, call: Call) -> Reply:
        update = call.header("If-Match")
        if update is None:
            return failure(428, "condition_required")
        key = call.path.removeprefix(OBJECTS)
        with self._changed:
            found = self._objects.get(key)
            if found is None:
                return failure(404, "not_found")
            if found.version != int(update):
                return Reply(412, {"key": key, "version": found.version})
            self._record(key, None, deleted=True)
            return Reply(200, {"key": key, "version": self._revision})

    def _record(self, key: str, value: Any, *, deleted: bool) -> None:
        self._revision += 1
        if deleted:
            del self._objects[key]
            del self._keys[bisect.bisect_left(self._keys, key)]
        else:
            if key not in self._objects:
                bisect.insort(self._keys, key)
            self._objects[key] = _Object(self._revision, value)
        self._events.append(_Event(key, self._revision, value, deleted))
        if len(self._events) > self._history:
            self._forgotten = self._events.popleft().version
        self._changed.notify_all()

    def _watch(self, call: Call) -> Reply:
        prefix = call.query.get("prefix", "")
        since = int(call.query.get("since", "0"))
        seconds = float(call.query.get("timeout", DEFAULT_WATCH_SECONDS))
        end = time.monotonic() + seconds
        looked_at = since
        with self._changed:
            while True:
                self._check_up()
                if since < self._forgotten:
                    return failure(410, "revision_forgotten")
                events = self._newer(prefix, looked_at)
                looked_at = max(looked_at, self._revision)
                left = end - time.monotonic()
                if events or left <= 0 or call.disconnected():
                    body = {"events": events, "revision": looked_at}
                    return Reply(200, body)
                self._changed.wait(min(left, WATCH_STEP_SECONDS))

    def _newer(self, prefix: str, since: int) -> list[dict[str, Any]]:
        newer = []
        for event in reversed(self._events):
            if event.version <= since:
                break
            if event.key.startswith(prefix):
                newer.append(attrs.asdict(event, recurse=False))
        return newer[::-1]


@click.command()
@click.option("--port", type=int, default=0)
@click.option("--writes-per-second", type=float, default=300)
@click.option("--reads-per-second", type=float, default=2000)
@click.option("--history", type=int, default=DEFAULT_HISTORY)
@click.option("--threads", type=int, default=THREADS)
def main(
    port: int,
    writes_per_second: float,
    reads_per_second: float,
    history: int,
    threads: int,
) -> None:
    """Run the platform object API."""
    run(Platform(writes_per_second, reads_per_second, history), port, threads)


if __name__ == "__main__":
    main()
