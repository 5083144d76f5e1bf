"""Compare the stored bills with the usage that engines and callers recorded."""

from collections import defaultdict
from collections.abc import Callable, Iterable

import attrs
from result import Err, Ok, Result

from masticfork.core.findings import Finding, Findings, Severity, SourceLocation
from masticfork.core.ids import AttemptId, VersionId
from masticfork.ledger.bill_records import (
    BILL_PREFIX,
    Bill,
    BillIdentity,
    BillStep,
    select_charged_bills,
)
from masticfork.ledger.bill_store import read_batches
from masticfork.store.client import ObjectStore, PlatformError


@attrs.frozen
class Generation:
    """The usage of one attempt as recorded by an engine."""

    attempt_id: AttemptId
    version: VersionId
    tokens: int


@attrs.frozen
class ExpectedUsage:
    """The usage that the bills are compared with."""

    generations: tuple[Generation, ...]
    # Requests known to have been answered completely.
    answered: frozenset[BillIdentity] = frozenset()


def audit(
    store: ObjectStore,
    counts: ExpectedUsage,
    now: Callable[[], float],
    prefix: str = BILL_PREFIX,
) -> Result[Findings, PlatformError]:
    """Audit the bills stored under a key prefix; see `audit_bills`.

    Fails if a page cannot be read within its timeout or a batch is malformed.
    """
    batches = read_batches(store, now, prefix)
    if isinstance(batches, Err):
        return batches
    bills = [bill for batch in batches.ok_value for bill in batch.bills]
    return Ok(audit_bills(bills, counts))


def audit_bills(bills: Iterable[Bill], counts: ExpectedUsage) -> Findings:
    """Report missing, duplicate and wrong bills; an empty result is a clean audit."""
    unique_bills = set(bills)
    merged = select_charged_bills(unique_bills)
    return (
        *_missing_bills(merged, counts),
        *_duplicate_bills(unique_bills, merged),
        *_usage_mismatches(unique_bills, merged, counts),
    )


def _missing_bills(merged: dict[BillIdentity, Bill], counts: ExpectedUsage) -> Findings:
    missing = sorted(counts.answered - merged.keys(), key=repr)
    return tuple(
        _finding("bill_missing", identity, "an answered request has no bill")
        for identity in missing
    )


def _duplicate_bills(
    unique_bills: set[Bill], merged: dict[BillIdentity, Bill]
) -> Findings:
    findings: list[Finding] = []
    requests_by_attempt: dict[AttemptId, set[BillIdentity]] = defaultdict(set)
    for bill in unique_bills:
        for step in bill.steps:
            requests_by_attempt[step.attempt_id].add(bill.identity)
    for attempt, identities in sorted(requests_by_attempt.items()):
        if len(identities) > 1:
            message = f"attempt {attempt} is billed for {len(identities)} requests"
            findings.append(
                _finding("attempt_doubled", min(identities, key=repr), message)
            )
    for bill in sorted(unique_bills - set(merged.values()), key=repr):
        message = f"the bill of {bill.host} is superseded by another of this request"
        findings.append(_finding("bill_merged", bill.identity, message, Severity.INFO))
    return tuple(findings)


def _usage_mismatches(
    unique_bills: set[Bill], merged: dict[BillIdentity, Bill], counts: ExpectedUsage
) -> Findings:
    findings: list[Finding] = []
    generations = {g.attempt_id: g for g in counts.generations}
    for bill in sorted(merged.values(), key=repr):
        for step in bill.steps:
            message = _step_mismatch(step, generations.get(step.attempt_id))
            if message:
                findings.append(_finding("bill_wrong", bill.identity, message))
    billed = {step.attempt_id for bill in unique_bills for step in bill.steps}
    for generation in counts.generations:
        if generation.attempt_id not in billed and generation.tokens:
            # The host died before its caller got an answer.
            message = f"{generation.tokens} generated tokens are not billed"
            place = SourceLocation("engines", generation.attempt_id)
            warning = Severity.WARNING
            findings.append(Finding("generation_unbilled", place, message, warning))
    return tuple(findings)


def _step_mismatch(step: BillStep, generation: Generation | None) -> str:
    """Describe how a step differs from the engine's record; empty if it agrees."""
    if generation is None:
        return f"attempt {step.attempt_id} is not recorded by any engine"
    if generation.version != step.version:
        return f"attempt {step.attempt_id} ran another version: {generation.version}"
    if step.completion_tokens > generation.tokens:
        return (
            f"attempt {step.attempt_id} is billed for {step.completion_tokens} "
            f"tokens but generated {generation.tokens}"
        )
    return ""


def _finding(
    code: str,
    identity: BillIdentity,
    message: str,
    severity: Severity = Severity.ERROR,
) -> Finding:
    place = SourceLocation("bills", f"{identity.team}/{identity.request_id}")
    return Finding(code, place, message, severity)
