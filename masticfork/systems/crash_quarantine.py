"""Finds prompt parts that crash servers, and keeps requests with them from servers.

A part is suspected of a crash if a request that holds it had been sent to the server
and no event of its answer had arrived. A part that many requests share is soon cleared
of it: the next answer that begins with it proves it harmless. A part that remains
under suspicion for several crashes is put into quarantine.

Each host reports its observations to the others, since no two requests with such a
part need to reach the same host.
"""

from collections import OrderedDict, defaultdict, deque
from collections.abc import Iterable, Mapping

import attrs

from masticfork.core.crash_reports import CrashReport, PartObservation

# Crashes within this time count as one: servers of a rack or zone fail together.
INCIDENT_SECONDS = 0.25
# Time for which observations wait for those of other hosts, which may explain the same
# crash better.
SETTLING_SECONDS = 0.6
# Crashes after which a part is put into quarantine if it was never answered, and if it
# was answered before the first of them.
MIN_CRASHES, MIN_CRASHES_OF_ANSWERED_PARTS = 3, 5
# Crashes after which a part that was never answered is put into quarantine if they took
# many servers, and the number of these: where many requests hold a deadly part, all
# servers crash within a second, and the next ones only when they are back.
MIN_INCIDENTS_OF_MANY_SERVERS, MANY_SERVERS = 2, 4
# Time after which a server does not crash any more by a call that this host has ended,
# and the number of such calls that are remembered.
ABANDONED_SECONDS = 0.5
MAX_ABANDONED_CALLS = 512
OBSERVATION_LIFETIME_SECONDS = 60.0
# Time for which this host repeats an observation to the others.
REPORT_SECONDS = 4.0
QUARANTINE_SECONDS = 300.0
# Time until one request with the part is tried again, and the factor by which it grows
# with each trial that crashes a server.
FIRST_TRIAL_SECONDS, TRIAL_GROWTH_FACTOR = 20.0, 4.0
# Remaining time below which a quarantine is not told any more: the others hold it too,
# and its end differs by the time of a digest on the way.
MIN_TOLD_SECONDS = 5.0
MAX_OBSERVATIONS = 2048
# Bounds the size of a digest.
MAX_REPORTED = 96
MAX_ANSWERED_KEYS = 8192


@attrs.frozen
class PartQuarantine:
    """A prompt part that has been put into quarantine."""

    part: int
    until: float
    # Crashes that the part explains; None if another host has found it.
    crashes: int | None = None
    # Time of the next trial, and the time between it and the one before.
    trial_at: float = attrs.field()
    trial_interval: float = FIRST_TRIAL_SECONDS

    @trial_at.default
    def _first_trial_at(self) -> float:
        return self.since + FIRST_TRIAL_SECONDS

    @property
    def since(self) -> float:
        """Return the time at which the quarantine began on the host that found it."""
        return self.until - QUARANTINE_SECONDS

    @property
    def evidence_until(self) -> float:
        """Return a time after all crashes that count; later answers refute them."""
        return self.since - SETTLING_SECONDS


@attrs.frozen
class QuarantineChanges:
    """The quarantines that have begun and ended."""

    added: tuple[PartQuarantine, ...] = ()
    released: tuple[PartQuarantine, ...] = ()


@attrs.frozen
class _Observation:
    """A request with a part was unanswered at a server when the server crashed."""

    part: int
    server: int
    # Index of the part in the prompt.
    position: int
    at: float
    own: bool


@attrs.frozen
class _AbandonedCall:
    """An unanswered call that this host has ended while its server was at work."""

    parts: tuple[int, ...]
    server: int
    at: float


@attrs.frozen
class _Clearance:
    """An answer that other hosts are told of."""

    answered_at: float
    told_until: float


@attrs.define(eq=False)
class CrashQuarantine:
    """The prompt parts under suspicion, and those in quarantine.

    Parts and incarnations of servers are identified by short keys; times are those of
    the event loop, in seconds.
    """

    # By part and server.
    _observations: dict[tuple[int, int], _Observation] = attrs.field(factory=dict)
    # Keys of the observations of each part, and of each server.
    _observations_of: defaultdict[int, set[tuple[int, int]]] = attrs.field(
        factory=lambda: defaultdict(set)
    )
    # The latest ones.
    _abandoned: deque[_AbandonedCall] = attrs.field(
        factory=lambda: deque(maxlen=MAX_ABANDONED_CALLS)
    )
    # Latest time at which a part, or a server, was seen to produce an answer.
    _answered_at: OrderedDict[int, float] = attrs.field(factory=OrderedDict)
    # Answers that clear an observation, to be told to other hosts.
    _clearances: dict[int, _Clearance] = attrs.field(factory=dict)
    _quarantines: dict[int, PartQuarantine] = attrs.field(factory=dict)
    # Quarantines that have begun or ended and that `run` has not returned yet.
    _added: list[PartQuarantine] = attrs.field(factory=list)
    _released: list[PartQuarantine] = attrs.field(factory=list)

    @property
    def quarantines(self) -> Mapping[int, PartQuarantine]:
        """Return the quarantines by part."""
        return self._quarantines

    def record_crash(self, parts: Iterable[int], server: int, now: float) -> None:
        """Record that a request was lost, and its parts that got no answer."""
        self._observe_abandoned_calls(server, now)
        for position, part in enumerate(parts):
            self._observe(_Observation(part, server, position, now, own=True))
            self._extend_quarantine(part, now + QUARANTINE_SECONDS)

    def record_abandoned(self, parts: Iterable[int], server: int, now: float) -> None:
        """Record that this host has ended an unanswered request with these parts."""
        self._abandoned.append(_AbandonedCall(tuple(parts), server, now))

    def record_answer(self, parts: Iterable[int], now: float) -> None:
        """Record that the answer to a request with these parts has begun."""
        for part in parts:
            self._clear(part, now)

    def record_alive(self, server: int, at: float) -> None:
        """Record that a server was running at a time."""
        self._clear(server, at)

    def begin_trial(self, part: int, now: float) -> bool:
        """Return whether one request with a quarantined part may be sent; count it.

        An answer to it ends the quarantine. Until then the next trial is put off.
        """
        quarantine = self._quarantines[part]
        if now < quarantine.trial_at:
            return False
        interval = quarantine.trial_interval * TRIAL_GROWTH_FACTOR
        self._quarantines[part] = attrs.evolve(
            quarantine, trial_at=now + interval, trial_interval=interval
        )
        return True

    def apply_report(self, report: CrashReport, now: float) -> None:
        """Apply what another host has observed."""
        for key, age in report.answered.items():
            self._clear(key, now - age)
        for item in report.observations:
            at = now - item.age
            if item.server not in self._observations_of:
                self._observe_abandoned_calls(item.server, at)
            self._observe(
                _Observation(item.part, item.server, item.position, at, own=False)
            )
        for part, seconds_left in report.quarantined.items():
            until = now + min(seconds_left, QUARANTINE_SECONDS)
            quarantine = PartQuarantine(part, until)
            answered_at = self._answered_at.get(part, float("-inf"))
            if answered_at > quarantine.evidence_until:
                self._tell(part, _Clearance(answered_at, now + REPORT_SECONDS))
            elif part not in self._quarantines:
                self._quarantines[part] = quarantine
                self._added.append(quarantine)
            else:
                self._extend_quarantine(part, quarantine.until)

    def report(self, now: float) -> CrashReport:
        """Return what other hosts should know."""
        recent = [
            item
            for item in self._observations.values()
            if item.own and now - item.at < REPORT_SECONDS
        ]
        # Parts that were never answered first, then those seen in several crashes, then
        # the latest.
        recent.sort(
            key=lambda item: (
                item.part in self._answered_at,
                -len(self._observations_of[item.part]),
                -item.at,
            )
        )
        return CrashReport(
            tuple(
                PartObservation(item.part, item.server, item.position, now - item.at)
                for item in recent[:MAX_REPORTED]
            ),
            {
                key: now - item.answered_at
                for key, item in list(self._clearances.items())[-MAX_REPORTED:]
            },
            {
                part: item.until - now
                for part, item in self._quarantines.items()
                if item.until - now > MIN_TOLD_SECONDS
            },
        )

    def run(self, now: float) -> QuarantineChanges:
        """Expire what is out of date, put parts into quarantine; return the changes."""
        if not (self._observations or self._quarantines or self._clearances):
            return QuarantineChanges()
        oldest = now - OBSERVATION_LIFETIME_SECONDS
        for item in [i for i in self._observations.values() if i.at <= oldest]:
            self._forget(item)
        self._clearances = {
            key: item for key, item in self._clearances.items() if now < item.told_until
        }
        for quarantine in list(self._quarantines.values()):
            if quarantine.until <= now:
                self._release(quarantine)
        while (part := self._main_suspect(now)) is not None:
            self._quarantine(part, now)
        changes = QuarantineChanges(tuple(self._added), tuple(self._released))
        self._added, self._released = [], []
        return changes

    def _quarantine(self, part: int, now: float) -> None:
        """Put a part into quarantine, and release those whose crashes it explains."""
        crashes = _count_incidents(self._unexplained_suspects(now)[part])
        for other in list(self._quarantines):
            servers = self._crashed_servers(other)
            if servers and servers <= self._crashed_servers(part):
                self._clear(other, now)
        quarantine = PartQuarantine(part, now + QUARANTINE_SECONDS, crashes)
        self._quarantines[part] = quarantine
        self._added.append(quarantine)

    def _extend_quarantine(self, part: int, until: float) -> None:
        quarantine = self._quarantines.get(part)
        if quarantine is not None and until > quarantine.until:
            self._quarantines[part] = attrs.evolve(quarantine, until=until)

    def _crashed_servers(self, part: int) -> set[int]:
        return {server for _, server in self._observations_of.get(part, ())}

    def _release(self, quarantine: PartQuarantine) -> None:
        del self._quarantines[quarantine.part]
        self._released.append(quarantine)

    def _main_suspect(self, now: float) -> int | None:
        """Return the part that explains most crashes, None if there are too few.

        Parts that were never answered come first: an answer shows that a part was
        sound, and parts that many requests share are in most crashes by chance.
        """
        suspects = self._unexplained_suspects(now)
        unanswered = suspects.keys() - self._answered_at.keys()
        # A host that was just started has no answers by which to tell parts apart.
        has_answers = len(unanswered) < len(suspects)
        counts: dict[int, int] = {}
        for part, seen in suspects.items():
            count = _count_incidents(seen)
            if part not in unanswered:
                suffices = count >= MIN_CRASHES_OF_ANSWERED_PARTS
            elif has_answers and len(seen) >= MANY_SERVERS:
                suffices = count >= MIN_INCIDENTS_OF_MANY_SERVERS
            else:
                suffices = count >= MIN_CRASHES
            if suffices:
                counts[part] = count
        candidates = (counts.keys() & unanswered) or counts.keys()
        highest = max((counts[part] for part in candidates), default=0)
        return min(
            (part for part in candidates if counts[part] == highest),
            key=lambda part: self._guilt_order(part, suspects[part]),
            default=None,
        )

    def _guilt_order(
        self, part: int, observations: list[_Observation]
    ) -> tuple[float, int]:
        """Return a sort key by which the most suspicious of tied parts comes first.

        A part that was answered long ago comes before one that was answered recently,
        and a later part of the prompts before an earlier one, which is held by more
        requests.
        """
        answered_at = self._answered_at.get(part, float("-inf"))
        return answered_at, -max(item.position for item in observations)

    def _unexplained_suspects(self, now: float) -> dict[int, list[_Observation]]:
        """Return the settled observations of crashes that no quarantine explains."""
        explained = {
            item.server
            for item in self._observations.values()
            if item.part in self._quarantines
        }
        suspects: dict[int, list[_Observation]] = {}
        for item in self._observations.values():
            if item.server not in explained and now - item.at >= SETTLING_SECONDS:
                suspects.setdefault(item.part, []).append(item)
        return suspects

    def _observe(self, seen: _Observation) -> None:
        latest_answer = max(
            self._answered_at.get(seen.part, float("-inf")),
            self._answered_at.get(seen.server, float("-inf")),
        )
        key = (seen.part, seen.server)
        if latest_answer >= seen.at or key in self._observations:
            return
        self._observations[key] = seen
        for index in key:
            self._observations_of[index].add(key)
        if len(self._observations) > MAX_OBSERVATIONS:
            self._forget(next(iter(self._observations.values())))

    def _observe_abandoned_calls(self, server: int, at: float) -> None:
        """Record the parts of calls that this host had ended just before a crash."""
        for call in self._abandoned:
            if call.server == server and 0.0 <= at - call.at <= ABANDONED_SECONDS:
                for position, part in enumerate(call.parts):
                    self._observe(_Observation(part, server, position, at, own=True))

    def _forget(self, seen: _Observation) -> None:
        key = (seen.part, seen.server)
        del self._observations[key]
        for index in key:
            self._observations_of[index].discard(key)
            if not self._observations_of[index]:
                del self._observations_of[index]

    def _clear(self, key: int, at: float) -> None:
        """Drop the observations of a part or a server from before an answer."""
        self._answered_at[key] = max(at, self._answered_at.get(key, at))
        self._answered_at.move_to_end(key)
        if len(self._answered_at) > MAX_ANSWERED_KEYS:
            self._answered_at.popitem(last=False)
        seen_items = (self._observations[k] for k in self._observations_of.get(key, ()))
        cleared = [item for item in seen_items if item.at <= at]
        for item in cleared:
            self._forget(item)
        quarantine = self._quarantines.get(key)
        if quarantine is not None and quarantine.evidence_until < at:
            self._release(quarantine)
        elif not cleared:
            return
        self._tell(key, _Clearance(at, at + REPORT_SECONDS))

    def _tell(self, key: int, clearance: _Clearance) -> None:
        """Tell other hosts of a clearance, before those of earlier ones."""
        self._clearances.pop(key, None)
        self._clearances[key] = clearance


def _count_incidents(observations: list[_Observation]) -> int:
    """Return the number of crashes, counting those at the same time as one."""
    count, latest = 0, float("-inf")
    for at in sorted(item.at for item in observations):
        if at - latest >= INCIDENT_SECONDS:
            count, latest = count + 1, at
    return count
