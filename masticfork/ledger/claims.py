"""Run the request with a given idempotency key of a team at most once.

A claim object is created before the request is sent to the service. A host that finds
an existing claim replays its answer, waits, or reports that the outcome is unknown. A
claim is replaced only if its request certainly did not run; the new claim has a greater
fencing token.
"""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Severity, SourceLocation
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
    platform_down_refusal,
)
from masticfork.ledger.claim_pending import PendingOutcomes
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
from masticfork.store.confirmed_writes import (
    WriteOutcome,
    Written,
    create_confirmed,
    update_confirmed,
)

DEFAULT_RETENTION_SECONDS = 7 * 86_400.0

# Timeout for writing a claim, after which the call is refused.
CLAIM_WRITE_TIMEOUT_SECONDS = 2.0

# Time from claiming a key within which the host must start sending the request.
DISPATCH_WINDOW_SECONDS = 5.0

# Delay after a failed call to the platform before the next claim is attempted.
RETRY_DELAY_SECONDS = 1.0

# Attempts at a write that conflicts with other writers before it is given up.
MAX_CONFLICT_ATTEMPTS = 4

_FINAL_STATES = (ClaimState.DONE, ClaimState.NOT_RUN)


@attrs.frozen
class _Claimable:
    """The key can be claimed; `fencing` is the version to replace, 0 for none."""

    fencing: int


class ClaimRegistry:
    """The claims made by one host; thread-safe."""

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
        self._pending = PendingOutcomes()
        self._claims_paused_until = Deadline(0.0)

    @property
    def pending(self) -> int:
        """Return the number of outcomes not yet stored at the platform."""
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
        """Claim a key for one attempt, or return the outcome of an earlier attempt.

        `attempt_id` is unique per attempt; `deadline` is that of the whole call. If
        the outcome of an earlier attempt is unknown, `lookup` asks the service for it.
        """
        now = self._now()
        new_claim = self._new_claim(team, key, body_digest, attempt_id, deadline)
        pending = self._pending.outcome(new_claim.key)
        refusal = None if pending else self._early_refusal(deadline, now)
        if refusal is not None:
            return Err(refusal)
        run_lookup = None if lookup is None else lambda: lookup.look_up(key, deadline)
        for _ in range(MAX_CONFLICT_ATTEMPTS):
            write_by = deadline.earliest(
                Deadline.after(now, CLAIM_WRITE_TIMEOUT_SECONDS)
            )
            if pending is not None:
                decision, pending = self._resolve(new_claim, pending, run_lookup), None
            else:
                decision = self._try_claim(new_claim, write_by, run_lookup)
            if not isinstance(decision, _Claimable):
                return decision
            new_claim = attrs.evolve(new_claim, fencing=decision.fencing)
        return Err(Refusal(Reason.OVERLOADED, "too many concurrent claims of this key"))

    def finish(
        self, claim: Claim, answer: StoredAnswer
    ) -> Result[Claim, PlatformError]:
        """Store the answer of the run; if the platform fails, `flush` retries."""
        return self._store_outcome(claim.with_state(ClaimState.DONE, answer))

    def release(self, claim: Claim) -> Result[Claim, PlatformError]:
        """Record that the request did not run, so that the key can be claimed again."""
        return self._store_outcome(claim.with_state(ClaimState.NOT_RUN))

    def mark_unknown(self, claim: Claim) -> Result[Claim, PlatformError]:
        """Record that the request may have run."""
        return self._store_outcome(claim.with_state(ClaimState.UNKNOWN))

    def record_lookup(
        self, claim: Claim, outcome: LookupOutcome
    ) -> Result[Claim, PlatformError]:
        """Record the result of a lookup; a "not run" that is not final is ignored."""
        if isinstance(outcome, Ran):
            return self._store_outcome(
                claim.with_state(ClaimState.DONE, outcome.answer)
            )
        if isinstance(outcome, NotRun) and claim.lookup_is_final(self._now()):
            return self._store_outcome(claim.with_state(ClaimState.NOT_RUN))
        return Ok(claim)

    def flush(self) -> Findings:
        """Write the pending outcomes; stop with a warning at the first failure."""
        for claim in self._pending.all():
            write_result = self._store_outcome(claim)
            if isinstance(write_result, Err) and claim in self._pending:
                place = SourceLocation("claims", claim.key)
                message = f"storing an outcome failed: {write_result.err_value.message}"
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
            dispatch_by=deadline.earliest(Deadline.after(now, DISPATCH_WINDOW_SECONDS)),
            finish_by=deadline,
            expires_at=Deadline.after(now, self._retention_seconds),
        )
        return Claim(claim_key(team, key), 0, record)

    def _early_refusal(self, deadline: Deadline, now: float) -> Refusal | None:
        if deadline.expired(now):
            return Refusal(Reason.DEADLINE_EXPIRED, "the deadline has passed")
        retry_at = Deadline.after(now, RETRY_DELAY_SECONDS)
        if self._pending.full:
            return platform_down_refusal(
                "too many outcomes are waiting to be stored", retry_at
            )
        if not self._claims_paused_until.expired(now):
            return platform_down_refusal(
                "a recent call to the platform failed", retry_at
            )
        return None

    def _try_claim(
        self,
        new_claim: Claim,
        write_by: Deadline,
        run_lookup: Callable[[], LookupOutcome] | None,
    ) -> Result[ClaimOutcome, Refusal] | _Claimable:
        write_result = self._write(new_claim, write_by)
        if isinstance(write_result, Err):
            return Err(self._claim_refusal(new_claim, write_result.err_value, write_by))
        if isinstance(write_result.ok_value, Written):
            version = write_result.ok_value.stored.version
            return Ok(Claimed(attrs.evolve(new_claim, fencing=version)))
        current = write_result.ok_value.current
        if current is None:
            return _Claimable(0)
        parsed = parse_claim(current)
        if isinstance(parsed, Err):
            return Err(Refusal(Reason.INTERNAL, parsed.err_value, RunState.UNKNOWN))
        return self._resolve(new_claim, parsed.ok_value, run_lookup)

    def _resolve(
        self,
        new_claim: Claim,
        existing: Claim,
        run_lookup: Callable[[], LookupOutcome] | None,
    ) -> Result[ClaimOutcome, Refusal] | _Claimable:
        """Resolve a new claim against an existing claim of the same key."""
        now = self._now()
        record = existing.record
        if record.body_digest != new_claim.record.body_digest:
            message = "the idempotency key was used with another body"
            return Err(Refusal(Reason.KEY_REUSED, message))
        if record.answer is not None:
            return Ok(Replay(record.answer))
        if record.state is ClaimState.NOT_RUN or self._pending.not_run(existing):
            return _Claimable(existing.fencing)
        if record.state is ClaimState.CLAIMED:
            if record.attempt_id == new_claim.record.attempt_id:
                return Ok(Claimed(existing))
            if not existing.abandoned(now):
                return Ok(Running(Deadline.after(now, RETRY_DELAY_SECONDS)))
        return self._apply_lookup(
            existing, run_lookup() if run_lookup else Undetermined()
        )

    def _apply_lookup(
        self, existing: Claim, outcome: LookupOutcome
    ) -> Result[ClaimOutcome, Refusal] | _Claimable:
        write_result = self.record_lookup(existing, outcome)
        if isinstance(outcome, Ran):
            return Ok(Replay(outcome.answer))
        if isinstance(write_result, Ok):
            claim = write_result.ok_value
            if claim.record.state is ClaimState.NOT_RUN:
                return _Claimable(claim.fencing)
        return Ok(OutcomeUnknown(existing))

    def _claim_refusal(
        self, new_claim: Claim, error: PlatformError, write_by: Deadline
    ) -> Refusal:
        """Return the refusal of a call that was not sent, as its claim write failed."""
        now = self._now()
        if error.kind is ErrorKind.UNKNOWN:
            # The claim may exist or appear later; it must not block the key.
            self._pending.add(new_claim.with_state(ClaimState.NOT_RUN))
        had_full_timeout = new_claim.record.finish_by.at > write_by.at
        if error.retry_at is None and had_full_timeout:
            self._claims_paused_until = Deadline.after(now, RETRY_DELAY_SECONDS)
        retry_at = error.retry_at or Deadline.after(now, RETRY_DELAY_SECONDS)
        refusal = platform_down_refusal(error.message, retry_at)
        if error.kind is ErrorKind.CONFLICT:
            # An earlier claim exists and could not be read.
            return attrs.evolve(refusal, run_state=RunState.UNKNOWN)
        return refusal

    def _store_outcome(self, target: Claim) -> Result[Claim, PlatformError]:
        """Write an attempt's outcome; a final outcome is never overwritten."""
        for _ in range(MAX_CONFLICT_ATTEMPTS):
            write_by = Deadline.after(self._now(), CLAIM_WRITE_TIMEOUT_SECONDS)
            write_result = self._write(target, write_by)
            if isinstance(write_result, Err):
                self._pending.add(target)
                return write_result
            if isinstance(write_result.ok_value, Written):
                self._pending.remove(target)
                version = write_result.ok_value.stored.version
                return Ok(attrs.evolve(target, fencing=version))
            current = write_result.ok_value.current
            parsed = None if current is None else parse_claim(current).ok()
            if parsed is None or not _same_attempt(parsed, target):
                self._pending.remove(target)
                message = f"{target.key}: the claim was replaced or deleted"
                return Err(PlatformError(ErrorKind.CONFLICT, message))
            if parsed.record.state in (*_FINAL_STATES, target.record.state):
                self._pending.remove(target)
                return Ok(parsed)
            target = attrs.evolve(target, fencing=parsed.fencing)
        self._pending.add(target)
        return Err(
            PlatformError(ErrorKind.UNKNOWN, f"{target.key}: too many conflicts")
        )

    def _write(
        self, claim: Claim, deadline: Deadline
    ) -> Result[WriteOutcome, PlatformError]:
        value = claim_value(claim.record)
        if claim.fencing == 0:
            return create_confirmed(self._store, claim.key, value, deadline)
        return update_confirmed(self._store, claim.key, value, claim.fencing, deadline)


def _same_attempt(one: Claim, other: Claim) -> bool:
    return one.record.attempt_id == other.record.attempt_id
