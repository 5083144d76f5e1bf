"""Whether streams of a new version are slower between their events than usual.

The time between events grows with the calls that a server runs, so a stream is compared
with those of the old version on servers with as many calls or more.
"""

import statistics
from bisect import bisect_left
from collections import deque
from collections.abc import Mapping, Sequence

import attrs

# Upper bounds of the ranges of running calls that are kept apart; one more is open.
RUNNING_BOUNDS = (1, 2, 4, 8)
RANGES = len(RUNNING_BOUNDS) + 1
# A stream is slow if its time between events is longer than usual by this factor.
SLOW_MULTIPLE = 1.4
MAX_PACES = 60
# Streams that a host must know of one size and load, or else hosts that know some.
MIN_PACES = 5
MIN_HOSTS = 3
# Events after the first one that a stream must have.
MIN_EVENTS = 2


@attrs.frozen
class StreamPace:
    """The mean time between the events of one stream.

    `size` is the model's index in the route, smallest first; `running` are the calls on
    the server, of all hosts, when the stream began.
    """

    size: int
    running: int
    seconds: float


@attrs.define
class PaceBaseline:
    """The usual version's recent times between events, by model size and load."""

    _paces: dict[int, deque[float]] = attrs.field(factory=dict)

    @property
    def usual(self) -> dict[int, float]:
        """Return the usual times, in seconds, by a key of the size and the load."""
        return {key: statistics.median(paces) for key, paces in self._paces.items()}

    def add(self, pace: StreamPace) -> None:
        """Record a stream of the usual version."""
        key = _keys(pace)[0]
        self._paces.setdefault(key, deque(maxlen=MAX_PACES)).append(pace.seconds)

    def is_slow(
        self, pace: StreamPace, elsewhere: Sequence[Mapping[int, float]] = ()
    ) -> bool | None:
        """Return whether a stream is slow, None if no usual time is known.

        `elsewhere` are the usual times of other hosts.
        """
        usual = []
        for key in _keys(pace):
            own = self._paces.get(key, ())
            known = [statistics.median(own)] if own else []
            known += [times[key] for times in elsewhere if key in times]
            if len(own) >= MIN_PACES or len(known) >= MIN_HOSTS:
                usual.append(statistics.median(known))
        return pace.seconds > min(usual) * SLOW_MULTIPLE if usual else None


def _keys(pace: StreamPace) -> range:
    """Return the keys of the stream's range of running calls and of those above it."""
    first = pace.size * RANGES
    return range(first + bisect_left(RUNNING_BOUNDS, pace.running), first + RANGES)
