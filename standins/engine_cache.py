"""Prefix cache of the engine: a fixed number of blocks with LRU eviction."""

import collections
import random
import threading
from typing import Any

import attrs

from standins.engine_answers import prefix_digests

MAX_EVENTS = 20_000


@attrs.frozen
class _Event:
    seq: int
    at: float
    kind: str
    prefix: str


class PrefixCache:
    """Cached prefixes, and a log of cache events that is delayed and incomplete.

    Events become visible after `lag_seconds`; a fraction `gap_share` of them is lost.
    """

    def __init__(
        self,
        blocks: int,
        lag_seconds: float = 0.0,
        gap_share: float = 0.0,
        seed: str = "",
    ) -> None:
        self._blocks = blocks
        self._lag_seconds = lag_seconds
        self._gap_share = gap_share
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        # Versions by prefix hash, from least to most recently used.
        self._cached: collections.OrderedDict[str, str] = collections.OrderedDict()
        self._events: collections.deque[_Event] = collections.deque(maxlen=MAX_EVENTS)
        self._seq = 0

    def match_and_insert(self, version: str, text: str, now: float) -> int:
        """Cache a text's prefixes; return how many characters were cached before."""
        with self._lock:
            hashes = prefix_digests(version, text)
            matched = [k for k, prefix in hashes.items() if prefix in self._cached]
            for prefix in hashes.values():
                if prefix not in self._cached:
                    self._record_event("stored", prefix, now)
                self._cached[prefix] = version
                self._cached.move_to_end(prefix)
            while len(self._cached) > self._blocks:
                self._record_event("removed", self._cached.popitem(last=False)[0], now)
            return max(matched, default=0)

    def remove_version(self, version: str, now: float) -> None:
        """Remove all cached prefixes of a version."""
        with self._lock:
            removed = [
                prefix
                for prefix, stored_version in self._cached.items()
                if stored_version == version
            ]
            for prefix in removed:
                del self._cached[prefix]
                self._record_event("removed", prefix, now)

    def events(self, after: int, now: float) -> dict[str, Any]:
        """Return the visible events after a sequence number, and where to continue."""
        with self._lock:
            visible_until = now - self._lag_seconds
            visible = [
                e for e in self._events if e.seq > after and e.at <= visible_until
            ]
            last_seq = visible[-1].seq if visible else after
            delivered = [e for e in visible if e.kind != "lost"]
            fields = ("seq", "kind", "prefix")
            events = [{name: getattr(e, name) for name in fields} for e in delivered]
            return {"events": events, "next": last_seq}

    def _record_event(self, kind: str, prefix: str, now: float) -> None:
        # A lost event uses up a sequence number but is never delivered.
        self._seq += 1
        lost = self._random.random() < self._gap_share
        event = _Event(self._seq, now, "lost" if lost else kind, prefix)
        self._events.append(event)
