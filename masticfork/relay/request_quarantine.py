"""Quarantine of the requests that crash servers, by this host's calls."""

from collections import OrderedDict
from collections.abc import Callable

import attrs

from masticfork.core.crash_reports import CrashReport
from masticfork.core.request_identity import RequestIdentity
from masticfork.relay.exchange import CallRecord, HeldRequest
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.systems.crash_quarantine import CrashQuarantine, Suspicion

# Suspects of lost calls whose names are remembered for the log.
MAX_NAMED_SUSPECTS = 4096
# Longest name of a request in the log.
MAX_NAME_CHARACTERS = 80
# Longest time that data takes from a server to this host, unless it is lost on the way.
MAX_LINK_SECONDS = 0.02


@attrs.define(eq=False)
class RequestQuarantine:
    """Feeds calls and other hosts' reports to the quarantine; logs its changes."""

    _loop: Loop
    _metrics: RelayMetrics
    _log: Callable[..., None]
    # Whether this host tries out the suspect with a key; one of the hosts does.
    _tries_suspect: Callable[[int], bool]
    # Called when the other hosts should be told at once.
    _on_news: Callable[[], None]
    _quarantine: CrashQuarantine = attrs.field(factory=CrashQuarantine)
    _names: OrderedDict[int, str] = attrs.field(factory=OrderedDict)

    def begin_run(self, record: CallRecord) -> None:
        """Record that a call of a suspected request is being sent."""
        self._quarantine.begin_run(record.identity.key)
        self._on_news()

    def end_run(self, record: CallRecord) -> None:
        """Record that a call of a suspected request was answered or has ended."""
        self._quarantine.end_run(record.identity.key)

    def record_end(self, record: CallRecord) -> None:
        """Record the end of a call, which may tell of a crash."""
        server, now, identity = record.row.notice.key, self._loop.now, record.identity
        if record.answered:
            if record.connection_lost:
                self._quarantine.record_crash((), server, now)
                self._on_news()
            return
        if not (record.connection_lost or record.abandoned):
            return
        self._remember_names(identity)
        parts, request = identity.part_keys, identity.key
        if record.connection_lost:
            self._quarantine.record_crash(parts, server, now, request)
            self._on_news()
        else:
            self._quarantine.record_abandoned(parts, server, now, request)

    def record_answer(self, record: CallRecord) -> None:
        """Record that the answer to a call has begun."""
        identity = record.identity
        request = identity.key if self._quarantine.active else None
        self._quarantine.record_answer(identity.part_keys, self._loop.now, request)
        self.record_alive(record)

    def record_alive(self, record: CallRecord) -> None:
        """Record that data of the server of a call has arrived."""
        # What is read now may have been sent by a server that has crashed since.
        sent_after = self._loop.previous_now - MAX_LINK_SECONDS
        alive_at = max(record.started_at, sent_after)
        server = record.row.notice.key
        self._quarantine.record_alive(server, alive_at, record.started_at)

    def retract(self, since: float) -> None:
        """Drop the crashes that this host has seen since a time."""
        self._quarantine.retract(since)

    def _remember_names(self, identity: RequestIdentity) -> None:
        """Remember the names of a call's suspects for the log."""
        request = identity.request
        target = request.target.decode("latin-1")
        name = f"{request.method.decode('latin-1')} {request.host}{target}"
        self._names.update(zip(identity.part_keys, identity.part_names, strict=True))
        self._names[identity.key] = name[:MAX_NAME_CHARACTERS]
        while len(self._names) > MAX_NAMED_SUSPECTS:
            self._names.popitem(last=False)

    def held(self, identity: RequestIdentity) -> HeldRequest | None:
        """Return why a request must not reach servers now, None if it may."""
        if not self._quarantine.active:
            return None
        now = self._loop.now
        for suspect in self._suspects_in_quarantine(identity):
            trial_at = self._quarantine.quarantines[suspect].trial_at
            name = self._names.get(suspect, f"{suspect:08x}")
            return HeldRequest(name, max(0.0, trial_at - now), quarantined=True)
        seconds = self._quarantine.seconds_until_run(identity.key, now)
        if seconds > 0.0:
            return HeldRequest("suspected", seconds, quarantined=False)
        return None

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Return whether a request has to run by itself if it is sent."""
        if not self._quarantine.active:
            return False
        if self._suspects_in_quarantine(identity):
            return True
        suspicion = self._quarantine.suspicion_of(identity.key, self._loop.now)
        return suspicion is not Suspicion.NONE

    def _suspects_in_quarantine(self, identity: RequestIdentity) -> list[int]:
        quarantines, now = self._quarantine.quarantines, self._loop.now
        if not quarantines:
            return []
        keys = (*identity.part_keys, identity.key)
        return [k for k in keys if k in quarantines and quarantines[k].until > now]

    def admits(self, identity: RequestIdentity) -> bool:
        """Return whether a held request may be sent to a server as a trial."""
        suspects = self._suspects_in_quarantine(identity)
        # With several suspects, the outcome would not tell which one failed.
        if len(suspects) != 1 or not self._tries_suspect(suspects[0]):
            return False
        if not self._quarantine.begin_trial(suspects[0], self._loop.now):
            return False
        name = self._names.get(suspects[0])
        self._log("suspect tried", suspect=name, key=suspects[0])
        return True

    def apply_report(self, report: CrashReport) -> None:
        """Apply what another host has observed."""
        self._quarantine.apply_report(report, self._loop.now)

    def report(self) -> CrashReport:
        """Return what other hosts should know."""
        return self._quarantine.report(self._loop.now)

    def news(self) -> CrashReport:
        """Return what other hosts should know of the last moments."""
        return self._quarantine.news(self._loop.now)

    def run(self) -> bool:
        """Update the quarantines; return whether there are new ones."""
        now = self._loop.now
        changes = self._quarantine.run(now)
        for quarantine in changes.added:
            self._log(
                "suspect quarantined",
                suspect=self._names.get(quarantine.suspect),
                key=quarantine.suspect,
                source="peer" if quarantine.crashes is None else "own decision",
                crashes=quarantine.crashes,
                seconds=round(quarantine.until - now, 1),
            )
        for quarantine in changes.released:
            self._log(
                "suspect released",
                suspect=self._names.get(quarantine.suspect),
                key=quarantine.suspect,
            )
        self._metrics.quarantined_suspects.set(len(self._quarantine.quarantines))
        return bool(changes.added)
