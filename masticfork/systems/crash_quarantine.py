"""Finds requests and prompt parts that crash servers, and keeps them from servers.

The suspects of a crash are the requests that had been sent to the server and had no
answer, and the parts of their prompts. A suspect is cleared by the next answer to a
request that holds it, so a part that many requests share is soon cleared. A suspected
request that comes again runs by itself, so that a second crash tells of it alone. A
suspect that remains after several crashes is put into quarantine.

Each host reports its observations to the others, since such requests come to any host.
"""

import enum
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping

import attrs

from masticfork.core.crash_reports import CrashObservation, CrashReport
from masticfork.systems.crash_evidence import (
    MIN_CRASHES,
    SETTLING_SECONDS,
    CrashEvidence,
    Observation,
    count_incidents,
    positions,
)

# Crashes after which a suspect is put into quarantine, `MIN_CRASHES` for others: for a
# part that was answered before the first of them, and for a request that was once the
# only one of the crash.
MIN_CRASHES_OF_ANSWERED_PARTS, MIN_CRASHES_OF_LONE_REQUESTS = 5, 2
# Crashes after which a part that was never answered is put into quarantine if they took
# many servers, and the number of these: where many requests hold a deadly part, all
# servers crash within a second, and the next ones only when they are back.
MIN_INCIDENTS_OF_MANY_SERVERS, MANY_SERVERS = 2, 4
# Time after which a server does not crash any more by a call that this host has ended,
# and the number of such calls that are remembered.
ABANDONED_SECONDS = 0.5
MAX_ABANDONED_CALLS = 512
OBSERVATION_LIFETIME_SECONDS = 60.0
# Time for which this host repeats an observation to the others, and for which it is
# told with each message.
REPORT_SECONDS, NEWS_SECONDS = 4.0, 0.5
# Time for which a suspected request is taken to run at another host that has said so.
RUNNING_SECONDS = 1.0
# Time until a suspected request may come again that runs elsewhere.
RERUN_SECONDS = 0.25
QUARANTINE_SECONDS = 300.0
# Time until one request with the part is tried again, and the factor by which it grows
# with each trial that crashes a server.
FIRST_TRIAL_SECONDS, TRIAL_GROWTH_FACTOR = 20.0, 4.0
# Remaining time below which a quarantine is not told any more: the others hold it too,
# and its end differs by the time of a digest on the way.
MIN_TOLD_SECONDS = 5.0
MAX_QUARANTINES = 256
# Suspected requests of other hosts that are remembered to be running.
MAX_RUNNING_ELSEWHERE = 1024
# Bounds the size of a digest.
MAX_REPORTED = 96
MAX_ANSWERED_KEYS = 8192


@attrs.frozen
class Quarantine:
    """A prompt part or a request that has been put into quarantine."""

    suspect: int
    until: float
    # Crashes that the suspect explains; None if another host has found it.
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

    added: tuple[Quarantine, ...] = ()
    released: tuple[Quarantine, ...] = ()


@attrs.frozen
class _AbandonedCall:
    """An unanswered call that this host has ended while its server was at work."""

    suspects: tuple[tuple[int, int], ...]
    server: int
    at: float


@attrs.frozen
class _Clearance:
    """An answer that other hosts are told of."""

    answered_at: float
    told_until: float


class Suspicion(enum.Enum):
    """How a request may be sent to a server."""

    # Like any other.
    NONE = "none"
    # By itself: a crash of its server must tell of it alone.
    ALONE = "alone"
    # Not now: it runs elsewhere, or what its last run has shown is not settled.
    HELD = "held"


@attrs.define(eq=False)
class CrashQuarantine:
    """The requests and prompt parts under suspicion, and those in quarantine.

    Suspects and incarnations of servers are identified by short keys; times are those
    of the event loop, in seconds.
    """

    _evidence: CrashEvidence = attrs.field(factory=CrashEvidence)
    # The latest ones.
    _abandoned: deque[_AbandonedCall] = attrs.field(
        factory=lambda: deque(maxlen=MAX_ABANDONED_CALLS)
    )
    # Latest time at which a suspect, or a server, was seen to produce an answer.
    _answered_at: OrderedDict[int, float] = attrs.field(factory=OrderedDict)
    # Answers that clear an observation, to be told to other hosts.
    _clearances: dict[int, _Clearance] = attrs.field(factory=dict)
    _quarantines: dict[int, Quarantine] = attrs.field(factory=dict)
    # Suspected requests that run at servers: from this host, and those of other hosts
    # with the time until which this is assumed.
    _running: set[int] = attrs.field(factory=set)
    _running_elsewhere: OrderedDict[int, float] = attrs.field(factory=OrderedDict)
    # Quarantines that have begun or ended and that `run` has not returned yet.
    _added: list[Quarantine] = attrs.field(factory=list)
    _released: list[Quarantine] = attrs.field(factory=list)

    @property
    def quarantines(self) -> Mapping[int, Quarantine]:
        """Return the quarantines by suspect."""
        return self._quarantines

    @property
    def active(self) -> bool:
        """Return whether anything is suspected or in quarantine."""
        return bool(self._evidence or self._quarantines)

    def record_crash(
        self, parts: Iterable[int], server: int, now: float, request: int | None = None
    ) -> None:
        """Record that a call was lost, and its suspects if it got no answer."""
        self._observe_abandoned_calls(server, now)
        for suspect, position in positions(parts, request):
            self._observe(Observation(suspect, server, position, now, own=True))
            self._extend_quarantine(suspect, now + QUARANTINE_SECONDS)

    def record_abandoned(
        self, parts: Iterable[int], server: int, now: float, request: int | None = None
    ) -> None:
        """Record that this host has ended an unanswered call with these suspects."""
        suspects = positions(parts, request)
        self._abandoned.append(_AbandonedCall(suspects, server, now))

    def record_answer(
        self, parts: Iterable[int], now: float, request: int | None = None
    ) -> None:
        """Record that the answer to a request with these parts has begun."""
        for part in parts:
            self._clear(part, now)
        # Only suspects are remembered: requests are too many.
        if request is not None and (
            request in self._evidence or request in self._quarantines
        ):
            self._clear(request, now)

    def retract(self, since: float) -> None:
        """Drop the crashes that this host has seen since a time: they were none."""
        self._evidence.forget(
            item for item in self._evidence.all() if item.own and item.at >= since
        )

    def record_alive(self, server: int, at: float, sent_at: float) -> None:
        """Record that a server was running at a time, by its answer to a call.

        If the call was sent after a crash that was seen, there was none, and a request
        that is in quarantine for it is released.
        """
        refuted = [
            seen.suspect
            for seen in self._evidence.of(server)
            if seen.is_request and seen.at < sent_at
        ]
        self._clear(server, at)
        for suspect in refuted:
            crashes = count_incidents(self._evidence.of(suspect))
            if suspect in self._quarantines and crashes < MIN_CRASHES_OF_LONE_REQUESTS:
                self._clear(suspect, at)

    def suspicion_of(self, request: int, now: float) -> Suspicion:
        """Return how a request that is not in quarantine may be sent."""
        if request not in self._evidence:
            return Suspicion.NONE
        if self.seconds_until_run(request, now) > 0.0:
            return Suspicion.HELD
        return Suspicion.ALONE

    def seconds_until_run(self, request: int, now: float) -> float:
        """Return how long a suspected request is held, or 0."""
        if request in self._running or self._running_elsewhere.get(request, 0.0) > now:
            return RERUN_SECONDS
        seen = self._evidence.of(request)
        if count_incidents(seen) < MIN_CRASHES_OF_LONE_REQUESTS:
            return 0.0
        settled_at = max(item.at for item in seen) + SETTLING_SECONDS + RERUN_SECONDS
        return max(0.0, settled_at - now)

    def begin_run(self, request: int) -> None:
        """Record that a suspected request is sent to a server."""
        self._running.add(request)

    def end_run(self, request: int) -> None:
        """Record that a suspected request was answered or has ended."""
        self._running.discard(request)

    def begin_trial(self, suspect: int, now: float) -> bool:
        """Return whether one request with a quarantined suspect may be sent; count it.

        An answer to it ends the quarantine. Until then the next trial is put off.
        """
        quarantine = self._quarantines[suspect]
        if now < quarantine.trial_at:
            return False
        interval = quarantine.trial_interval * TRIAL_GROWTH_FACTOR
        self._quarantines[suspect] = attrs.evolve(
            quarantine, trial_at=now + interval, trial_interval=interval
        )
        return True

    def apply_report(self, report: CrashReport, now: float) -> None:
        """Apply what another host has observed."""
        for key, age in report.answered.items():
            self._clear(key, now - age)
        for item in report.observations:
            at = now - item.age
            if item.server not in self._evidence:
                self._observe_abandoned_calls(item.server, at)
            self._observe(
                Observation(item.suspect, item.server, item.position, at, own=False)
            )
        for request in report.running:
            self._running_elsewhere[request] = now + RUNNING_SECONDS
            self._running_elsewhere.move_to_end(request)
        while len(self._running_elsewhere) > MAX_RUNNING_ELSEWHERE:
            self._running_elsewhere.popitem(last=False)
        for suspect, seconds_left in report.quarantined.items():
            until = now + min(seconds_left, QUARANTINE_SECONDS)
            quarantine = Quarantine(suspect, until)
            answered_at = self._answered_at.get(suspect, float("-inf"))
            if answered_at > quarantine.evidence_until:
                self._tell(suspect, _Clearance(answered_at, now + REPORT_SECONDS))
            elif suspect not in self._quarantines:
                self._begin(quarantine)
            else:
                self._extend_quarantine(suspect, quarantine.until)

    def report(self, now: float) -> CrashReport:
        """Return what other hosts should know."""
        return self._report(now, REPORT_SECONDS, self._quarantines.values())

    def news(self, now: float) -> CrashReport:
        """Return what other hosts should know of the last moments."""
        recent = (q for q in self._quarantines.values() if now - q.since < NEWS_SECONDS)
        return self._report(now, NEWS_SECONDS, recent)

    def _report(
        self, now: float, max_age: float, quarantines: Iterable[Quarantine]
    ) -> CrashReport:
        recent = [
            item
            for item in self._evidence.all()
            if item.own and now - item.at < max_age
        ]
        # Suspects that were never answered first, then those seen in several crashes,
        # then the latest.
        recent.sort(
            key=lambda item: (
                item.suspect in self._answered_at,
                -len(self._evidence.crashed_servers(item.suspect)),
                -item.at,
            )
        )
        return CrashReport(
            tuple(
                CrashObservation(
                    item.suspect, item.server, item.position, now - item.at
                )
                for item in recent[:MAX_REPORTED]
            ),
            {
                key: now - item.answered_at
                for key, item in list(self._clearances.items())[-MAX_REPORTED:]
            },
            {
                item.suspect: item.until - now
                for item in quarantines
                if item.until - now > MIN_TOLD_SECONDS
            },
            frozenset(self._running),
        )

    def run(self, now: float) -> QuarantineChanges:
        """Expire what is out of date, begin quarantines; return the changes."""
        if not (self.active or self._clearances):
            return QuarantineChanges()
        oldest = now - OBSERVATION_LIFETIME_SECONDS
        self._evidence.forget(
            item for item in self._evidence.all() if item.at <= oldest
        )
        self._clearances = {
            key: item for key, item in self._clearances.items() if now < item.told_until
        }
        for quarantine in list(self._quarantines.values()):
            if quarantine.until <= now:
                self._release(quarantine)
        while (suspect := self._main_suspect(now)) is not None:
            self._quarantine(suspect, now)
        changes = QuarantineChanges(tuple(self._added), tuple(self._released))
        self._added, self._released = [], []
        return changes

    def _quarantine(self, suspect: int, now: float) -> None:
        """Put a suspect into quarantine; release those whose crashes it explains."""
        unexplained = self._evidence.unexplained(self._quarantines, now)
        crashes = count_incidents(unexplained[suspect])
        for other in list(self._quarantines):
            servers = self._evidence.crashed_servers(other)
            if servers and servers <= self._evidence.crashed_servers(suspect):
                self._clear(other, now)
        self._begin(Quarantine(suspect, now + QUARANTINE_SECONDS, crashes))

    def _begin(self, quarantine: Quarantine) -> None:
        """Add a quarantine; the one that ends first gives way if there are too many."""
        if len(self._quarantines) >= MAX_QUARANTINES:
            first = min(self._quarantines.values(), key=lambda q: q.until)
            self._release(first)
            # They would put it into quarantine again.
            self._evidence.forget(self._evidence.of(first.suspect))
        self._quarantines[quarantine.suspect] = quarantine
        self._added.append(quarantine)

    def _extend_quarantine(self, suspect: int, until: float) -> None:
        quarantine = self._quarantines.get(suspect)
        if quarantine is not None and until > quarantine.until:
            # Another host may be the next one to try the suspect.
            first_trial_at = until - QUARANTINE_SECONDS + FIRST_TRIAL_SECONDS
            self._quarantines[suspect] = attrs.evolve(
                quarantine,
                until=until,
                trial_at=max(quarantine.trial_at, first_trial_at),
            )

    def _release(self, quarantine: Quarantine) -> None:
        del self._quarantines[quarantine.suspect]
        self._released.append(quarantine)

    def _main_suspect(self, now: float) -> int | None:
        """Return the suspect that explains most crashes, None if there are too few.

        Suspects that were never answered come first: an answer shows that a part was
        sound, and parts that many requests share are in most crashes by chance. A
        request may crash servers that have answered it before.
        """
        suspects = self._evidence.unexplained(self._quarantines, now)
        unanswered = {
            suspect
            for suspect, seen in suspects.items()
            if seen[0].is_request or suspect not in self._answered_at
        }
        # A host that was just started has no answers by which to tell parts apart.
        has_answers = any(suspect in self._answered_at for suspect in suspects)
        counts: dict[int, int] = {}
        for suspect, seen in suspects.items():
            count = count_incidents(seen)
            if seen[0].is_request and self._evidence.was_lone(seen):
                suffices = count >= MIN_CRASHES_OF_LONE_REQUESTS
            elif suspect not in unanswered:
                suffices = count >= MIN_CRASHES_OF_ANSWERED_PARTS
            elif seen[0].is_request:
                suffices = count >= MIN_CRASHES
            elif has_answers and len(seen) >= MANY_SERVERS:
                suffices = count >= MIN_INCIDENTS_OF_MANY_SERVERS
            else:
                suffices = count >= MIN_CRASHES
            if suffices:
                counts[suspect] = count
        candidates = (counts.keys() & unanswered) or counts.keys()
        highest = max((counts[suspect] for suspect in candidates), default=0)
        return min(
            (suspect for suspect in candidates if counts[suspect] == highest),
            key=lambda suspect: self._guilt_order(suspect, suspects[suspect]),
            default=None,
        )

    def _guilt_order(
        self, suspect: int, observations: list[Observation]
    ) -> tuple[float, int]:
        """Return a sort key by which the most suspicious of tied ones comes first.

        A suspect that was answered long ago comes before one that was answered
        recently, and a later part of the prompts before an earlier one, which is held
        by more requests; a whole request comes before its parts.
        """
        answered_at = self._answered_at.get(suspect, float("-inf"))
        return answered_at, -max(item.position for item in observations)

    def _observe(self, seen: Observation) -> None:
        latest_answer = max(
            self._answered_at.get(seen.suspect, float("-inf")),
            self._answered_at.get(seen.server, float("-inf")),
        )
        if latest_answer < seen.at:
            self._evidence.add(seen)

    def _observe_abandoned_calls(self, server: int, at: float) -> None:
        """Record the suspects of calls that this host had ended just before a crash."""
        for call in self._abandoned:
            if call.server == server and 0.0 <= at - call.at <= ABANDONED_SECONDS:
                for suspect, position in call.suspects:
                    self._observe(Observation(suspect, server, position, at, own=True))

    def _clear(self, key: int, at: float) -> None:
        """Drop the observations of a suspect or a server from before an answer."""
        self._answered_at[key] = max(at, self._answered_at.get(key, at))
        self._answered_at.move_to_end(key)
        if len(self._answered_at) > MAX_ANSWERED_KEYS:
            self._answered_at.popitem(last=False)
        cleared = [item for item in self._evidence.of(key) if item.at <= at]
        self._evidence.forget(cleared)
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
