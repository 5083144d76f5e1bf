"""Starts and stops this host's reading of the store, as the fleet chooses readers."""

from collections.abc import Callable

from masticfork.core.deadlines import Deadline
from masticfork.relay.followers import Follower
from masticfork.relay.loop import Loop
from masticfork.relay.peers import Peers
from masticfork.relay.store_view import StoreView
from masticfork.relay.tables import Tables
from masticfork.systems.store_readers import (
    DIGESTS_PER_SILENCE,
    ReaderCandidate,
    choose_readers,
    overdue_limit,
    silence_limit,
)

# Share of the tolerated silence. After a longer pause between two checks, which usually
# are 0.25 s apart, a check tells nothing of the readers.
STANDSTILL_SHARE = 0.5
# Interval between listings of the hosts. Hosts that don't read the store also learn of
# new ones by their digests.
READER_LIST_SECONDS, OTHER_LIST_SECONDS = 5.0, 20.0


class ReaderDuty:
    """Decides on each tick whether this host follows the store itself."""

    def __init__(
        self,
        loop: Loop,
        host: str,
        zone: str,
        tables: Tables,
        peers: Peers,
        view: StoreView,
        followers: list[Follower],
        log: Callable[..., None],
        shortest_change: Callable[[], float],
    ) -> None:
        self._loop = loop
        self._host = host
        self._zone = zone
        self._tables = tables
        self._peers = peers
        self._view = view
        self._followers = followers
        self._log = log
        # Returns the shortest time in seconds within which a change takes effect.
        self._shortest_change = shortest_change
        # Every host reads until it knows others that do.
        self._reading = True
        self._others_rely = False
        # Loop time of the latest check, and whether it was skipped.
        self._checked_at = loop.now
        self._skipped = False

    @property
    def reading(self) -> bool:
        """Return whether this host follows the store itself."""
        return self._reading

    @property
    def tolerated_silence(self) -> float | None:
        """Return the silence in seconds after which this reader is replaced.

        None if no other host relies on this one. Thread-safe.
        """
        if not (self._reading and self._others_rely):
            return None
        return silence_limit(self._shortest_change())

    @property
    def probe_silence(self) -> float | None:
        """Return the silence in seconds within which this reader notices a failure.

        None if this host does not read the store. Thread-safe.
        """
        return silence_limit(self._shortest_change()) if self._reading else None

    @property
    def _is_overdue(self) -> bool:
        """Return whether the others have not passed on in time what they know."""
        since = self._view.behind_since
        if since is None:
            return False
        deadline = Deadline.after(since, overdue_limit(self._shortest_change()))
        return deadline.expired(self._loop.now)

    @property
    def digest_interval_seconds(self) -> float:
        """Return the longest interval between digests by which others rely on it."""
        if not self._reading:
            return float("inf")
        return silence_limit(self._shortest_change()) / DIGESTS_PER_SILENCE

    @property
    def list_interval_seconds(self) -> float:
        """Return the interval between listings of the hosts."""
        return READER_LIST_SECONDS if self._reading else OTHER_LIST_SECONDS

    def run(self) -> None:
        """Start or stop following the store."""
        silence = silence_limit(self._shortest_change())
        checked_at, self._checked_at = self._checked_at, self._loop.now
        stood_still = self._loop.now - checked_at > STANDSTILL_SHARE * silence
        self._skipped = stood_still and not self._skipped
        if self._skipped:
            # What the others have sent meanwhile may not have been received yet.
            return
        digests = self._peers.recent_digests(silence)
        candidates = [ReaderCandidate(d.host, d.zone, d.store_failing) for d in digests]
        own = ReaderCandidate(self._host, self._zone, self._view.store_failing)
        chosen = choose_readers([own, *candidates])
        # In an outage the chosen hosts fail one after the other and are replaced; the
        # rest waits for them, so that the store is not met by all hosts at once.
        others_read = any(
            digest.reading and digest.host in chosen for digest in digests
        )
        should_read = (
            self._host in chosen
            or not others_read
            or not self._tables.complete
            or self._is_overdue
        )
        self._others_rely = len(candidates) >= len(chosen)
        if not self._reading:
            # A call in progress when the followers were paused may have failed since.
            self._view.forget_failures()
        if should_read == self._reading:
            return
        self._reading = should_read
        self._log(
            "reading the store" if should_read else "no longer reading the store",
            readers=len(chosen),
            hosts=len(candidates) + 1,
            silence=silence,
        )
        for follower in self._followers:
            if should_read:
                follower.resume(self._view.position(follower.kind))
            else:
                follower.pause()
