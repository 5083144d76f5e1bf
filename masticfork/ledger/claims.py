"""At most one run for a team's idempotency key.

A claim object is created before any byte goes to the service. Whoever finds one
replays its answer, waits, or tells that the outcome is unknown; only a claim that
surely did not run gives way to a new one, under a greater fencing number.
"""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Place, Severity
from masticfork.core.ids import AttemptId, HostName, TeamName
from masticfork.core.refusals import Reason, Refusal, RunState
from masticfork.ledger.claim_outcomes import (
    Claimed,
    ClaimOutcome,
    Lookup,
    LookupOutcome,
    NotRun,
    OutcomeUnknown,
    Ran,
    Replay,
    Running,
    Undetermined,
    platform_down,
)
from masticfork.ledger.claim_pending import PendingClaims
from masticfork.ledger.claim_records import (
    Claim,
    ClaimRecord,
    ClaimState,
    StoredAnswer,
    claim_key,
    claim_value,
    parse_claim,
)
from masticfork.store.client import ErrorKind, ObjectStore, PlatformError
from masticfork.store.settle import (
    Settled,
    Written,
    create_settled,
    update_settled,
)

DEFAULT_RETENTION_SECONDS = 7 * 86_400.0

# Time within which a claim is written or the call refused.
CLAIM_WRITE_SECONDS = 2.0

# Time from the start of a claim within which the first byte must leave.
DISPATCH_SECONDS = 5.0

# Time after a failed call to the platform in which no claim is tried.
RETRY_SECONDS = 1.0

# Rounds of meeting other writers' changes before a write is given up.
MAX_ROUNDS = 4

_DECIDED = (ClaimState.DONE, ClaimState.NOT_RUN)


@attrs.frozen
class _Free:
    """The standing claim did not run; a new one may replace it."""

    fencing: int


class ClaimBook:
    """Claims of one host; safe to share between threads."""

    def __init__(
        self,
        store: ObjectStore,
        host: HostName,
        now: Callable[[], float],
        retention_seconds: float = DEFAULT_RETENTION_SECONDS,
    ) -> None:
        self._store = store
        self._host = host
        self._now = now
        self._retention_seconds = retention_seconds
        self._pending = PendingClaims()
        self._no_claim_until = Deadline(0.0)

    @property
    def pending(self) -> int:
        """Return the number of outcomes that the platform has not taken yet."""
        return len(self._pending)

    def claim(
        self,
        team: TeamName,
        key: str,
        body_digest: str,
        attempt_id: AttemptId,
        deadline: Deadline,
        lookup: Lookup | None = None,
    ) -> Result[ClaimOutcome, Refusal]:
        """Claim a key for one attempt, or tell what became of an earlier one.

        `attempt_id` is new for each attempt; `deadline` is that of the whole call.
        """
        now = self._now()
        wanted = self._new_claim(team, key, body_digest, attempt_id, deadline)
        known = self._pending.outcome(wanted.key)
        refused = None if known else self._refused_up_front(deadline, now)
        if refused is not None:
            return Err(refused)
        asked = None if lookup is None else lambda: lookup.look_up(key, deadline)
        for _ in range(MAX_ROUNDS):
            write_by = deadline.sooner(Deadline.after(now, CLAIM_WRITE_SECONDS))
            if known is not None:
                judged, known = self._judge(wanted, known, asked), None
            else:
                judged = self._try_claim(wanted, write_by, asked)
            if not isinstance(judged, _Free):
                return judged
            wanted = attrs.evolve(wanted, fencing=judged.fencing)
        return Err(Refusal(Reason.OVERLOADED, "the key is contended"))

    def finish(
        self, claim: Claim, answer: StoredAnswer
    ) -> Result[Claim, PlatformError]:
        """Store the answer of the run; kept for `flush` where the platform fails."""
        return self._conclude(claim.evolve(ClaimState.DONE, answer))

    def release(self, claim: Claim) -> Result[Claim, PlatformError]:
        """Record that nothing ran, so that the key may be claimed again."""
        return self._conclude(claim.evolve(ClaimState.NOT_RUN))

    def mark_unknown(self, claim: Claim) -> Result[Claim, PlatformError]:
        """Record that the request may have run."""
        return self._conclude(claim.evolve(ClaimState.UNKNOWN))

    def settle(
        self, claim: Claim, outcome: LookupOutcome
    ) -> Result[Claim, PlatformError]:
        """Record what a lookup told; an early "not run" changes nothing."""
        if isinstance(outcome, Ran):
            return self._conclude(claim.evolve(ClaimState.DONE, outcome.answer))
        if isinstance(outcome, NotRun) and claim.lookup_is_final(self._now()):
            return self._conclude(claim.evolve(ClaimState.NOT_RUN))
        return Ok(claim)

    def flush(self) -> Findings:
        """Write outcomes that the platform did not take, until it fails again."""
        for claim in self._pending.all():
            concluded = self._conclude(claim)
            if isinstance(concluded, Err) and claim in self._pending:
                place = Place("claims", claim.key)
                message = f"an outcome is not stored: {concluded.err_value.message}"
                severity = Severity.WARNING
                return (Finding("claim_pending", place, message, severity),)
        return ()

    def _new_claim(
        self,
        team: TeamName,
        key: str,
        body_digest: str,
        attempt_id: AttemptId,
        deadline: Deadline,
    ) -> Claim:
        now = self._now()
        record = ClaimRecord(
            attempt_id=attempt_id,
            host=self._host,
            body_digest=body_digest,
            state=ClaimState.CLAIMED,
            dispatch_by=deadline.sooner(Deadline.after(now, DISPATCH_SECONDS)),
            finish_by=deadline,
            expires_at=Deadline.after(now, self._retention_seconds),
        )
        return Claim(claim_key(team, key), 0, record)

    def _refused_up_front(self, deadline: Deadline, now: float) -> Refusal | None:
        if deadline.expired(now):
            return Refusal(Reason.DEADLINE_EXPIRED, "the deadline has passed")
        later = Deadline.after(now, RETRY_SECONDS)
        if self._pending.full:
            return platform_down("too many outcomes wait for the platform", later)
        if not self._no_claim_until.expired(now):
            return platform_down("the platform did not answer", later)
        return None

    def _try_claim(
        self,
        wanted: Claim,
        write_by: Deadline,
        asked: Callable[[], LookupOutcome] | None,
    ) -> Result[ClaimOutcome, Refusal] | _Free:
        settled = self._write(wanted, write_by)
        if isinstance(settled, Err):
            return Err(self._not_claimed(wanted, settled.err_value, write_by))
        if isinstance(settled.ok_value, Written):
            version = settled.ok_value.stored.version
            return Ok(Claimed(attrs.evolve(wanted, fencing=version)))
        current = settled.ok_value.current
        if current is None:
            return _Free(0)
        parsed = parse_claim(current)
        if isinstance(parsed, Err):
            return Err(Refusal(Reason.INTERNAL, parsed.err_value, RunState.UNKNOWN))
        return self._judge(wanted, parsed.ok_value, asked)

    def _judge(
        self,
        wanted: Claim,
        standing: Claim,
        asked: Callable[[], LookupOutcome] | None,
    ) -> Result[ClaimOutcome, Refusal] | _Free:
        """Decide by the claim that stands in the way of the wanted one."""
        now = self._now()
        record = standing.record
        if record.body_digest != wanted.record.body_digest:
            message = "the idempotency key was used with another body"
            return Err(Refusal(Reason.KEY_REUSED, message))
        if record.answer is not None:
            return Ok(Replay(record.answer))
        if record.state is ClaimState.NOT_RUN or self._pending.not_run(standing):
            return _Free(standing.fencing)
        if record.state is ClaimState.CLAIMED:
            if record.attempt_id == wanted.record.attempt_id:
                return Ok(Claimed(standing))
            if not standing.abandoned(now):
                return Ok(Running(Deadline.after(now, RETRY_SECONDS)))
        return self._look_up(standing, asked() if asked else Undetermined())

    def _look_up(
        self, standing: Claim, outcome: LookupOutcome
    ) -> Result[ClaimOutcome, Refusal] | _Free:
        settled = self.settle(standing, outcome)
        if isinstance(outcome, Ran):
            return Ok(Replay(outcome.answer))
        if isinstance(settled, Ok):
            claim = settled.ok_value
            if claim.record.state is ClaimState.NOT_RUN:
                return _Free(claim.fencing)
        return Ok(OutcomeUnknown(standing))

    def _not_claimed(
        self, wanted: Claim, error: PlatformError, write_by: Deadline
    ) -> Refusal:
        """Refuse a call whose claim is not surely written; nothing was sent."""
        now = self._now()
        if error.kind is ErrorKind.UNKNOWN:
            # The claim may stand or appear later; it must not block the key.
            self._pending.keep(wanted.evolve(ClaimState.NOT_RUN))
        whole_time = wanted.record.finish_by.at > write_by.at
        if error.retry_at is None and whole_time:
            self._no_claim_until = Deadline.after(now, RETRY_SECONDS)
        later = error.retry_at or Deadline.after(now, RETRY_SECONDS)
        refusal = platform_down(error.message, later)
        if error.kind is ErrorKind.CONFLICT:
            # An earlier claim stands and could not be read.
            return attrs.evolve(refusal, run_state=RunState.UNKNOWN)
        return refusal

    def _conclude(self, target: Claim) -> Result[Claim, PlatformError]:
        """Write an attempt's outcome; a decided outcome of it is never replaced."""
        for _ in range(MAX_ROUNDS):
            write_by = Deadline.after(self._now(), CLAIM_WRITE_SECONDS)
            settled = self._write(target, write_by)
            if isinstance(settled, Err):
                self._pending.keep(target)
                return settled
            if isinstance(settled.ok_value, Written):
                self._pending.drop(target)
                version = settled.ok_value.stored.version
                return Ok(attrs.evolve(target, fencing=version))
            current = settled.ok_value.current
            parsed = None if current is None else parse_claim(current).ok()
            if parsed is None or not _same_attempt(parsed, target):
                self._pending.drop(target)
                message = f"{target.key}: the claim was replaced"
                return Err(PlatformError(ErrorKind.CONFLICT, message))
            if parsed.record.state in (*_DECIDED, target.record.state):
                self._pending.drop(target)
                return Ok(parsed)
            target = attrs.evolve(target, fencing=parsed.fencing)
        self._pending.keep(target)
        return Err(PlatformError(ErrorKind.UNKNOWN, f"{target.key} is contended"))

    def _write(
        self, claim: Claim, deadline: Deadline
    ) -> Result[Settled, PlatformError]:
        value = claim_value(claim.record)
        if claim.fencing == 0:
            return create_settled(self._store, claim.key, value, deadline)
        return update_settled(self._store, claim.key, value, claim.fencing, deadline)


def _same_attempt(one: Claim, other: Claim) -> bool:
    return one.record.attempt_id == other.record.attempt_id
