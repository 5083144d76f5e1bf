"""Which version each session ran on last."""

from collections import OrderedDict

# Seconds beyond the session's pause for which a version is remembered: the pause counts
# from the end of a request, and hosts see that end a little later.
MARGIN = 1.5
MAX_SESSIONS = 20_000


class SessionVersions:
    """Remembers versions of sessions until they lapse."""

    def __init__(self, pause: float) -> None:
        self._pause = pause + MARGIN
        self._rows: OrderedDict[tuple[str, str], tuple[str, float]] = OrderedDict()

    def version(self, service: str, session: str, now: float) -> str | None:
        """Return the version that the session ran on shortly before."""
        row = self._rows.get((service, session))
        if row is None or now - row[1] > self._pause:
            return None
        return row[0]

    def note(self, service: str, session: str, version: str, now: float) -> None:
        """Note that a request of the session ran."""
        key = (service, session)
        self._rows[key] = (version, now)
        self._rows.move_to_end(key)
        while len(self._rows) > MAX_SESSIONS:
            self._rows.popitem(last=False)

    def sweep(self, now: float) -> None:
        """Forget lapsed sessions."""
        while self._rows:
            key, (_, at) = next(iter(self._rows.items()))
            if now - at <= self._pause:
                return
            del self._rows[key]
