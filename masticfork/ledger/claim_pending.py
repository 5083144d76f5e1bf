"""Outcomes of claims that are known to this host but not yet stored."""

import threading

from masticfork.ledger.claim_records import Claim, ClaimState

# Number of pending outcomes from which no new claims are made.
MAX_PENDING_OUTCOMES = 10_000

_AttemptKey = tuple[str, str]


class PendingOutcomes:
    """Outcomes by claim key and attempt; thread-safe."""

    def __init__(self, max_pending: int = MAX_PENDING_OUTCOMES) -> None:
        self._max_pending = max_pending
        self._lock = threading.Lock()
        self._by_attempt: dict[_AttemptKey, Claim] = {}
        # For each key, the outcome of the only attempt that may have run.
        self._by_key: dict[str, Claim] = {}

    @property
    def full(self) -> bool:
        """Return whether the limit is reached, so that no new claim may be made."""
        return len(self) >= self._max_pending

    def __len__(self) -> int:
        with self._lock:
            return len(self._by_attempt)

    def __contains__(self, claim: Claim) -> bool:
        with self._lock:
            return _attempt_key(claim) in self._by_attempt

    def all(self) -> tuple[Claim, ...]:
        """Return all pending outcomes, in insertion order."""
        with self._lock:
            return tuple(self._by_attempt.values())

    def add(self, claim: Claim) -> None:
        """Add or replace an attempt's outcome."""
        with self._lock:
            self._by_attempt[_attempt_key(claim)] = claim
            if claim.record.state is not ClaimState.NOT_RUN:
                self._by_key[claim.key] = claim

    def remove(self, claim: Claim) -> None:
        """Remove an attempt's outcome, if present."""
        with self._lock:
            self._by_attempt.pop(_attempt_key(claim), None)
            pending = self._by_key.get(claim.key)
            if pending is not None and _attempt_key(pending) == _attempt_key(claim):
                del self._by_key[claim.key]

    def outcome(self, key: str) -> Claim | None:
        """Return the outcome of the attempt that may have run, if any is pending."""
        with self._lock:
            return self._by_key.get(key)

    def not_run(self, claim: Claim) -> bool:
        """Return whether the claim's attempt is known not to have sent the request."""
        with self._lock:
            pending = self._by_attempt.get(_attempt_key(claim))
        return pending is not None and pending.record.state is ClaimState.NOT_RUN


def _attempt_key(claim: Claim) -> _AttemptKey:
    return claim.key, claim.record.attempt_id
