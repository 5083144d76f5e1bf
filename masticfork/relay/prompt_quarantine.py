"""Quarantine of the prompt parts that crash servers, by this host's calls."""

from collections import OrderedDict
from collections.abc import Callable

import attrs

from masticfork.core.crash_reports import CrashReport
from masticfork.core.forwarding import PromptPart, shared_parts
from masticfork.core.ids import short_key
from masticfork.relay.exchange import CallRecord, QuarantinedPart
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.systems.crash_quarantine import CrashQuarantine

# Parts of lost calls whose names are remembered for the log.
MAX_NAMED_PARTS = 4096
# Longest time that data takes from a server to this host, unless it is lost on the way.
MAX_LINK_SECONDS = 0.02


@attrs.define(eq=False)
class PromptQuarantine:
    """Feeds calls and reports of other hosts to the quarantine, and logs its changes.

    A part is identified together with its service: what crashes the servers of one
    service may be sound at another one.
    """

    _loop: Loop
    _metrics: RelayMetrics
    _log: Callable[..., None]
    # Whether this host tries out the part with a key; one of the hosts does.
    _tries_part: Callable[[int], bool]
    _quarantine: CrashQuarantine = attrs.field(factory=CrashQuarantine)
    _names: OrderedDict[int, str] = attrs.field(factory=OrderedDict)

    def record_end(self, record: CallRecord) -> None:
        """Record the end of a call if it may tell of a crash."""
        server, now = record.row.notice.key, self._loop.now
        if record.connection_lost:
            unanswered = [] if record.answered else self._named_keys(record)
            self._quarantine.record_crash(unanswered, server, now)
        elif record.abandoned and not record.answered:
            self._quarantine.record_abandoned(self._named_keys(record), server, now)

    def record_answer(self, record: CallRecord) -> None:
        """Record that the answer to a call has begun."""
        self._quarantine.record_answer(_part_keys(record), self._loop.now)
        # What is read now may have been sent by a server that has crashed since.
        sent_after = self._loop.previous_now - MAX_LINK_SECONDS
        alive_at = max(record.started_at, sent_after)
        self._quarantine.record_alive(record.row.notice.key, alive_at)

    def _named_keys(self, record: CallRecord) -> list[int]:
        """Return the keys of a call's shared parts, and remember their names."""
        keys = _part_keys(record)
        self._names.update(zip(keys, record.shared_part_ids, strict=True))
        while len(self._names) > MAX_NAMED_PARTS:
            self._names.popitem(last=False)
        return keys

    def part_of(
        self, service: str, prompt: tuple[PromptPart, ...]
    ) -> QuarantinedPart | None:
        """Return the part for which a prompt must not reach a service's servers."""
        if not self._quarantine.quarantines:
            return None
        now = self._loop.now
        for part in shared_parts(prompt):
            quarantine = self._quarantine.quarantines.get(_part_key(service, part))
            if quarantine is not None and quarantine.until > now:
                return QuarantinedPart(part.id, max(0.0, quarantine.trial_at - now))
        return None

    def admits(self, service: str, prompt: tuple[PromptPart, ...]) -> bool:
        """Return whether a prompt may be sent to a server, if only as a trial."""
        now = self._loop.now
        keys = (_part_key(service, part) for part in shared_parts(prompt))
        quarantines = self._quarantine.quarantines
        parts = [k for k in keys if k in quarantines and quarantines[k].until > now]
        if not parts:
            return True
        # With several such parts, the outcome would not tell which one failed.
        part = parts[0]
        if len(parts) > 1 or not self._tries_part(part):
            return False
        if not self._quarantine.begin_trial(part, now):
            return False
        self._log("prompt part tried", part=self._names.get(part), key=part)
        return True

    def apply_report(self, report: CrashReport) -> None:
        """Apply what another host has observed."""
        self._quarantine.apply_report(report, self._loop.now)

    def report(self) -> CrashReport:
        """Return what other hosts should know."""
        return self._quarantine.report(self._loop.now)

    def run(self) -> bool:
        """Update the quarantines; return whether there are new ones."""
        now = self._loop.now
        changes = self._quarantine.run(now)
        for quarantine in changes.added:
            self._log(
                "prompt part quarantined",
                part=self._names.get(quarantine.part),
                key=quarantine.part,
                source="peer" if quarantine.crashes is None else "own decision",
                crashes=quarantine.crashes,
                seconds=round(quarantine.until - now, 1),
            )
        for quarantine in changes.released:
            self._log(
                "prompt part released",
                part=self._names.get(quarantine.part),
                key=quarantine.part,
            )
        self._metrics.quarantined_parts.set(len(self._quarantine.quarantines))
        return bool(changes.added)


def _part_keys(record: CallRecord) -> list[int]:
    service = record.row.server.service
    return [_part_key(service, part) for part in shared_parts(record.work.prompt)]


def _part_key(service: str, part: PromptPart) -> int:
    return short_key(f"{service}/{part.id}")
