"""What has been seen of crashed servers: which requests were under way there."""

from collections import Counter, defaultdict
from collections.abc import Container, Iterable

import attrs

from masticfork.core.crash_reports import REQUEST_POSITION

# Crashes within this time count as one: servers of a rack or zone fail together. The
# shorter time holds for a request, which a host sends to the next server at once.
INCIDENT_SECONDS, REQUEST_INCIDENT_SECONDS = 0.25, 0.04
# Time for which observations wait for those of other hosts, which may explain the same
# crash better.
SETTLING_SECONDS = 0.6
# Crashes from which a request explains all of them, also for the parts of its prompt.
MIN_CRASHES = 3
MAX_OBSERVATIONS = 4096


@attrs.frozen
class Observation:
    """A request with the suspect was unanswered when its server crashed."""

    suspect: int
    server: int
    # Index of the part in the prompt, or `REQUEST_POSITION`.
    position: int
    at: float
    own: bool

    @property
    def is_request(self) -> bool:
        """Return whether the suspect is a whole request."""
        return self.position == REQUEST_POSITION


@attrs.define(eq=False)
class CrashEvidence:
    """The observations, by suspect and server; the oldest are dropped."""

    _observations: dict[tuple[int, int], Observation] = attrs.field(factory=dict)
    # Keys of the observations of each suspect, and of each server.
    _keys_of: defaultdict[int, set[tuple[int, int]]] = attrs.field(
        factory=lambda: defaultdict(set)
    )

    def __len__(self) -> int:
        return len(self._observations)

    def __contains__(self, key: int) -> bool:
        return key in self._keys_of

    def all(self) -> list[Observation]:
        """Return all observations, the oldest first."""
        return list(self._observations.values())

    def of(self, key: int) -> list[Observation]:
        """Return the observations of a suspect, or of a server."""
        return [self._observations[known] for known in self._keys_of.get(key, ())]

    def crashed_servers(self, suspect: int) -> set[int]:
        """Return the servers that have crashed under a suspect."""
        return {server for _, server in self._keys_of.get(suspect, ())}

    def add(self, seen: Observation) -> None:
        """Add an observation, unless the same one is known."""
        key = (seen.suspect, seen.server)
        if key in self._observations:
            return
        self._observations[key] = seen
        for index in key:
            self._keys_of[index].add(key)
        if len(self._observations) > MAX_OBSERVATIONS:
            self.forget([next(iter(self._observations.values()))])

    def forget(self, observations: Iterable[Observation]) -> None:
        """Drop observations."""
        for seen in observations:
            key = (seen.suspect, seen.server)
            del self._observations[key]
            for index in key:
                self._keys_of[index].discard(key)
                if not self._keys_of[index]:
                    del self._keys_of[index]

    def was_lone(self, observations: Iterable[Observation]) -> bool:
        """Return whether a request was the only one at one of the crashed servers."""
        return any(
            sum(other.is_request for other in self.of(seen.server)) == 1
            for seen in observations
        )

    def unexplained(
        self, quarantined: Container[int], now: float
    ) -> dict[int, list[Observation]]:
        """Return the settled observations of crashes that no quarantine explains.

        Requests with a deadly part crash servers too; until they have done so more
        often than its other requests, their quarantines do not explain it.
        """
        seen_items = self._observations.values()
        guilty = [seen for seen in seen_items if seen.suspect in quarantined]
        crashes = Counter(seen.suspect for seen in guilty)
        explained = {seen.server for seen in guilty}
        explained_for_parts = {
            seen.server
            for seen in guilty
            if not seen.is_request or crashes[seen.suspect] >= MIN_CRASHES
        }
        suspects: defaultdict[int, list[Observation]] = defaultdict(list)
        for seen in seen_items:
            servers = explained if seen.is_request else explained_for_parts
            if seen.server not in servers and now - seen.at >= SETTLING_SECONDS:
                suspects[seen.suspect].append(seen)
        return dict(suspects)


def positions(parts: Iterable[int], request: int | None) -> tuple[tuple[int, int], ...]:
    """Return the suspects of a call, each with its position."""
    # A later part would be taken for a request.
    indexed = tuple(zip(parts, range(REQUEST_POSITION), strict=False))
    return indexed if request is None else (*indexed, (request, REQUEST_POSITION))


def count_incidents(observations: Iterable[Observation]) -> int:
    """Return the number of crashes, counting those at the same time as one."""
    count, latest = 0, float("-inf")
    for seen in sorted(observations, key=lambda item: item.at):
        gap = REQUEST_INCIDENT_SECONDS if seen.is_request else INCIDENT_SECONDS
        if seen.at - latest >= gap:
            count, latest = count + 1, seen.at
    return count
