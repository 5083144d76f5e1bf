"""Stand-in for the platform object API.

It has versioned objects, conditional writes, watches and rate limits.
"""

import bisect
import collections
import json
import threading
import time
from typing import Any

import attrs
import click

from standins.common import Faults, error_reply, run
from standins.rate_limiter import RateLimiter
from standins.records import Call, ConnectionDroppedError, Reply

OBJECTS_PATH = "/objects/"
MAX_VALUE_BYTES = 1024 * 1024
DEFAULT_HISTORY = 20_000
DEFAULT_PAGE_SIZE = 500
DEFAULT_WATCH_SECONDS = 30.0
THREADS = 256
# How often a waiting watch checks for the `down` fault and a closed connection.
WATCH_RECHECK_SECONDS = 0.5
RETRY_AFTER_HEADERS = (("Retry-After", "1"),)


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
    """Objects with one revision counter, conditional writes and watches."""

    def __init__(
        self,
        writes_per_second: float = 300,
        reads_per_second: float = 2000,
        history: int = DEFAULT_HISTORY,
    ) -> None:
        # `down` drops all connections, `slow_seconds` delays every response, and
        # `lose_answers` drops that many successful writes' responses.
        self.faults = Faults(down=False, slow_seconds=0, lose_answers=0)
        self._write_limiter = RateLimiter(writes_per_second, writes_per_second)
        self._read_limiter = RateLimiter(reads_per_second, reads_per_second)
        self._changed = threading.Condition()
        self._objects: dict[str, _Object] = {}
        self._keys: list[str] = []
        self._revision = 0
        # Changes up to this revision are no longer in the history.
        self._compacted_revision = 0
        self._events: collections.deque[_Event] = collections.deque()
        self._history = history
        self._calls = dict.fromkeys(("get", "list", "put", "delete", "watch"), 0)
        self._rate_limited = 0

    def counts(self) -> dict[str, Any]:
        """Return the calls by kind, and how many were rejected by the rate limit."""
        with self._changed:
            return {"calls": dict(self._calls), "refused": self._rate_limited}

    def should_close_before_read(self, *, reused: bool) -> bool:
        """Return whether the `down` fault is set; it drops every connection."""
        return bool(self.faults.get("down"))

    def close(self) -> None:
        """Wake waiting watches and make all further requests fail."""
        self.faults.set({"down": True})
        with self._changed:
            self._changed.notify_all()

    def handle(self, call: Call) -> Reply:
        """Handle one request."""
        self._raise_if_down()
        time.sleep(self.faults.get("slow_seconds") or 0)
        kind = self._kind(call)
        if kind is None:
            return error_reply(404, "not_found")
        is_write = kind in ("put", "delete")
        with self._changed:
            self._calls[kind] += 1
        if (self._write_limiter if is_write else self._read_limiter).acquire():
            with self._changed:
                self._rate_limited += 1
            return attrs.evolve(
                error_reply(429, "rate_limit"), headers=RETRY_AFTER_HEADERS
            )
        reply: Reply = getattr(self, f"_{kind}")(call)
        if (
            is_write
            and reply.status in (200, 201)
            and self.faults.consume("lose_answers")
        ):
            raise ConnectionDroppedError
        self._raise_if_down()
        return reply

    def _kind(self, call: Call) -> str | None:
        if call.path.startswith(OBJECTS_PATH) and len(call.path) > len(OBJECTS_PATH):
            kind = call.method.lower()
            return kind if kind in ("get", "put", "delete") else None
        collection_paths = {"/objects": "list", "/watch": "watch"}
        return collection_paths.get(call.path) if call.method == "GET" else None

    def _raise_if_down(self) -> None:
        if self.faults.get("down"):
            raise ConnectionDroppedError

    def _get(self, call: Call) -> Reply:
        key = call.path.removeprefix(OBJECTS_PATH)
        with self._changed:
            found = self._objects.get(key)
        if found is None:
            return error_reply(404, "not_found")
        return Reply(200, {"key": key} | attrs.asdict(found, recurse=False))

    def _list(self, call: Call) -> Reply:
        prefix = call.query.get("prefix", "")
        after = call.query.get("after", "")
        limit = int(call.query.get("limit", DEFAULT_PAGE_SIZE))
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
        none_match, if_match = call.header("If-None-Match"), call.header("If-Match")
        if (none_match is None) == (if_match is None) or none_match not in (None, "*"):
            return error_reply(428, "condition_required")
        if len(call.body) > MAX_VALUE_BYTES:
            return error_reply(413, "value_too_large")
        value = json.loads(call.body)
        key = call.path.removeprefix(OBJECTS_PATH)
        with self._changed:
            found = self._objects.get(key)
            current = found.version if found else 0
            if current != (0 if if_match is None else int(if_match)) or if_match == "0":
                return Reply(412, {"key": key, "version": current})
            self._commit(key, value, deleted=False)
            return Reply(200 if found else 201, {"key": key, "version": self._revision})

    def _delete(self, call: Call) -> Reply:
        if_match = call.header("If-Match")
        if if_match is None:
            return error_reply(428, "condition_required")
        key = call.path.removeprefix(OBJECTS_PATH)
        with self._changed:
            found = self._objects.get(key)
            if found is None:
                return error_reply(404, "not_found")
            if found.version != int(if_match):
                return Reply(412, {"key": key, "version": found.version})
            self._commit(key, None, deleted=True)
            return Reply(200, {"key": key, "version": self._revision})

    def _commit(self, key: str, value: Any, *, deleted: bool) -> None:
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
            self._compacted_revision = self._events.popleft().version
        self._changed.notify_all()

    def _watch(self, call: Call) -> Reply:
        prefix = call.query.get("prefix", "")
        since = int(call.query.get("since", "0"))
        seconds = float(call.query.get("timeout", DEFAULT_WATCH_SECONDS))
        deadline = time.monotonic() + seconds
        scanned_revision = since
        with self._changed:
            while True:
                self._raise_if_down()
                if since < self._compacted_revision:
                    return error_reply(410, "revision_forgotten")
                events = self._events_after(prefix, scanned_revision)
                scanned_revision = max(scanned_revision, self._revision)
                remaining = deadline - time.monotonic()
                if events or remaining <= 0 or call.disconnected():
                    body = {"events": events, "revision": scanned_revision}
                    return Reply(200, body)
                self._changed.wait(min(remaining, WATCH_RECHECK_SECONDS))

    def _events_after(self, prefix: str, since: int) -> list[dict[str, Any]]:
        events = []
        for event in reversed(self._events):
            if event.version <= since:
                break
            if event.key.startswith(prefix):
                events.append(attrs.asdict(event, recurse=False))
        return events[::-1]


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
