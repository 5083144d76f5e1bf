"""The version that last served each session, on this host or another."""

from collections import Counter, OrderedDict

from masticfork.core.ids import short_key

# Added to the idle timeout of sessions. It covers the interval at which their requests
# are reported while they run, and the time on the way to this host.
EXPIRY_MARGIN_SECONDS = 6.0
# Interval at which sessions whose requests run are reported again.
REPORT_INTERVAL_SECONDS = 3.0
# Sessions of the largest deployments, of 800 requests a second; they take some 10 MB.
MAX_SESSIONS = 40_000
# The begin of a request is sent in this many digests, in case one is lost; it is also
# reported while it runs, and at its end.
SENDS_PER_SESSION = 2
MAX_SESSIONS_PER_DIGEST = 60


def _key(service: str, session: str) -> int:
    return short_key(f"{service}/{session}")


class SessionVersions:
    """Versions by session until the sessions expire, both stored as short keys.

    A session expires some time after the end of its latest request on any host.
    """

    def __init__(self, idle_timeout_seconds: float) -> None:
        self._lifetime_seconds = idle_timeout_seconds + EXPIRY_MARGIN_SECONDS
        # Version and time of the last request or report by session, oldest first.
        self._versions: OrderedDict[int, tuple[int, float]] = OrderedDict()
        self._sends_left: OrderedDict[int, int] = OrderedDict()
        # Requests that run on this host by session, and when these were last reported,
        # oldest first.
        self._running: Counter[int] = Counter()
        self._reported_at: OrderedDict[int, float] = OrderedDict()

    def version(self, service: str, session: str, now: float) -> int | None:
        """Return the short key of the session's version, None if it has expired."""
        entry = self._versions.get(_key(service, session))
        if entry is None or now - entry[1] > self._lifetime_seconds:
            return None
        return entry[0]

    def record(self, service: str, session: str, version: str, now: float) -> None:
        """Record that a request of the session was sent to a version."""
        key = _key(service, session)
        self._put(key, short_key(version), now)
        self._sends_left[key] = SENDS_PER_SESSION

    def begin_request(self, service: str, session: str, now: float) -> None:
        """Keep a session until the end of a request that begins."""
        key = _key(service, session)
        self._running[key] += 1
        self._reported_at.setdefault(key, now)

    def end_request(self, service: str, session: str, now: float) -> None:
        """Count the idle time of a session from the end of a request."""
        key = _key(service, session)
        self._report(key, now)
        self._running[key] -= 1
        if self._running[key] <= 0:
            del self._running[key]
            self._reported_at.pop(key, None)

    def apply_report(self, reported: dict[int, int], now: float) -> None:
        """Record the versions of sessions that another host reported."""
        for key, version in reported.items():
            self._put(key, version, now)

    def next_batch(self) -> dict[int, int]:
        """Return versions by session for the next digest; count them as sent once."""
        batch: dict[int, int] = {}
        for key in list(self._sends_left)[:MAX_SESSIONS_PER_DIGEST]:
            entry = self._versions.get(key)
            if entry is not None:
                batch[key] = entry[0]
            self._sends_left[key] -= 1
            if self._sends_left[key] <= 0:
                del self._sends_left[key]
        return batch

    def sweep(self, now: float) -> None:
        """Report sessions whose requests run, and remove expired ones."""
        while self._reported_at:
            key, reported_at = next(iter(self._reported_at.items()))
            if now - reported_at < REPORT_INTERVAL_SECONDS:
                break
            self._report(key, now)
            self._reported_at[key] = now
            self._reported_at.move_to_end(key)
        while self._versions:
            key, (_, at) = next(iter(self._versions.items()))
            if now - at <= self._lifetime_seconds:
                return
            del self._versions[key]

    def _report(self, key: int, now: float) -> None:
        """Record a session as in use, and send its version once more."""
        entry = self._versions.get(key)
        if entry is not None:
            self._put(key, entry[0], now)
            self._sends_left.setdefault(key, 1)

    def _put(self, key: int, version: int, now: float) -> None:
        self._versions[key] = (version, now)
        self._versions.move_to_end(key)
        while len(self._versions) > MAX_SESSIONS:
            self._versions.popitem(last=False)
