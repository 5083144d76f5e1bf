"""Which version each session ran on last, on this host or another."""

import zlib
from collections import OrderedDict

# Seconds beyond the session's pause for which a version is remembered: the pause counts
# from the end of a request, and this host knows only its beginning.
MARGIN = 6.0
MAX_SESSIONS = 20_000
# Digests in which each session is told, in case one is lost; the most in one digest.
TELLINGS = 2
MAX_TOLD = 60


def short_key(text: str) -> int:
    """Return the short form of a name, the same on all hosts."""
    return zlib.crc32(text.encode())


class SessionVersions:
    """Remembers versions of sessions until they lapse; all names in short form."""

    def __init__(self, pause: float) -> None:
        self._pause = pause + MARGIN
        self._rows: OrderedDict[int, tuple[int, float]] = OrderedDict()
        self._untold: OrderedDict[int, int] = OrderedDict()

    def version(self, service: str, session: str, now: float) -> int | None:
        """Return the version that the session ran on shortly before."""
        row = self._rows.get(short_key(f"{service}/{session}"))
        if row is None or now - row[1] > self._pause:
            return None
        return row[0]

    def note(self, service: str, session: str, version: str, now: float) -> None:
        """Note that a request of the session was sent to a version."""
        key = short_key(f"{service}/{session}")
        self._put(key, short_key(version), now)
        self._untold[key] = TELLINGS

    def take(self, told: dict[int, int], now: float) -> None:
        """Note what another host told."""
        for key, version in told.items():
            self._put(key, version, now)

    def tell(self) -> dict[int, int]:
        """Return the sessions that other hosts have to know of."""
        told: dict[int, int] = {}
        for key in list(self._untold)[:MAX_TOLD]:
            row = self._rows.get(key)
            if row is not None:
                told[key] = row[0]
            self._untold[key] -= 1
            if self._untold[key] <= 0:
                del self._untold[key]
        return told

    def sweep(self, now: float) -> None:
        """Forget lapsed sessions."""
        while self._rows:
            key, (_, at) = next(iter(self._rows.items()))
            if now - at <= self._pause:
                return
            del self._rows[key]

    def _put(self, key: int, version: int, now: float) -> None:
        self._rows[key] = (version, now)
        self._rows.move_to_end(key)
        while len(self._rows) > MAX_SESSIONS:
            self._rows.popitem(last=False)
