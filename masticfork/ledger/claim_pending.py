"""Outcomes of claims that a host knows before the platform does."""

import threading

from masticfork.ledger.claim_records import Claim, ClaimState

# Outcomes kept in memory; beyond it, no new claims are made.
MAX_PENDING = 10_000

_Id = tuple[str, str]


class PendingClaims:
    """Outcomes by key and attempt; safe to share between threads."""

    def __init__(self, max_pending: int = MAX_PENDING) -> None:
        self._max_pending = max_pending
        self._lock = threading.Lock()
        self._claims: dict[_Id, Claim] = {}
        # The outcome of the one attempt at a key that may have run.
        self._outcomes: dict[str, Claim] = {}

    @property
    def full(self) -> bool:
        """Tell whether no further claim should be made."""
        return len(self) >= self._max_pending

    def __len__(self) -> int:
        with self._lock:
            return len(self._claims)

    def __contains__(self, claim: Claim) -> bool:
        with self._lock:
            return _id(claim) in self._claims

    def all(self) -> tuple[Claim, ...]:
        """Return the outcomes, oldest first."""
        with self._lock:
            return tuple(self._claims.values())

    def keep(self, claim: Claim) -> None:
        """Keep an attempt's outcome."""
        with self._lock:
            self._claims[_id(claim)] = claim
            if claim.record.state is not ClaimState.NOT_RUN:
                self._outcomes[claim.key] = claim

    def drop(self, claim: Claim) -> None:
        """Forget an attempt's outcome."""
        with self._lock:
            self._claims.pop(_id(claim), None)
            kept = self._outcomes.get(claim.key)
            if kept is not None and _id(kept) == _id(claim):
                del self._outcomes[claim.key]

    def outcome(self, key: str) -> Claim | None:
        """Return the outcome of the attempt at the key that may have run."""
        with self._lock:
            return self._outcomes.get(key)

    def not_run(self, claim: Claim) -> bool:
        """Tell whether the claim's attempt is known to have sent nothing."""
        with self._lock:
            kept = self._claims.get(_id(claim))
        return kept is not None and kept.record.state is ClaimState.NOT_RUN


def _id(claim: Claim) -> _Id:
    return claim.key, claim.record.attempt_id
