"""Prefix cache of the engine: limited blocks, the least recently used leave."""

import collections
import random
import threading
from typing import Any

import attrs

from standins.engine_answers import prefixes

MAX_EVENTS = 20_000


@attrs.frozen
class _Event:
    seq: int
    at: float
    kind: str
    prefix: str


class PrefixCache:
    """Prefixes held, and the events that tell of them late and with gaps."""

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
        # From the least to the most recently used; the value is the version.
        self._held: collections.OrderedDict[str, str] = collections.OrderedDict()
        self._events: collections.deque[_Event] = collections.deque(maxlen=MAX_EVENTS)
        self._seq = 0

    def use(self, version: str, text: str, now: float) -> int:
        """Hold a text's prefixes; return how many characters were held before."""
        with self._lock:
            hashes = prefixes(version, text)
            held = [k for k, prefix in hashes.items() if prefix in self._held]
            for prefix in hashes.values():
                if prefix not in self._held:
                    self._record("stored", prefix, now)
                self._held[prefix] = version
                self._held.move_to_end(prefix)
            while len(self._held) > self._blocks:
                self._record("removed", self._held.popitem(last=False)[0], now)
            return max(held, default=0)

    def forget(self, version: str, now: float) -> None:
        """Remove all prefixes of a version."""
        with self._lock:
            gone = [prefix for prefix, held in self._held.items() if held == version]
            for prefix in gone:
                del self._held[prefix]
                self._record("removed", prefix, now)

    def events(self, after: int, now: float) -> dict[str, Any]:
        """Return the events after a number that are old enough to be told."""
        with self._lock:
            told_until = now - self._lag_seconds
            found = [e for e in self._events if e.seq > after and e.at <= told_until]
            last = found[-1].seq if found else after
            shown = [e for e in found if e.kind != "lost"]
            fields = ("seq", "kind", "prefix")
            events = [{name: getattr(e, name) for name in fields} for e in shown]
            return {"events": events, "next": last}

    def _record(self, kind: str, prefix: str, now: float) -> None:
        self._seq += 1
        lost = self._random.random() < self._gap_share
        event = _Event(self._seq, now, "lost" if lost else kind, prefix)
        self._events.append(event)
