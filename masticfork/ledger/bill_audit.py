"""Compare the bills at the platform with what engines and callers counted."""

from collections import defaultdict
from collections.abc import Callable, Iterable

import attrs
from result import Err, Ok, Result

from masticfork.core.findings import Finding, Findings, Place, Severity
from masticfork.core.ids import AttemptId, VersionId
from masticfork.ledger.bill_records import (
    BILL_PREFIX,
    Bill,
    BillIdentity,
    BillStep,
    merge_bills,
)
from masticfork.ledger.bill_store import read_batches
from masticfork.store.client import ObjectStore, PlatformError


@attrs.frozen
class Generation:
    """One attempt as an engine counted it."""

    attempt_id: AttemptId
    version: VersionId
    tokens: int


@attrs.frozen
class Counts:
    """What the bills are compared with."""

    generations: tuple[Generation, ...]
    # Requests whose callers got the end of their answer, where that is known.
    answered: frozenset[BillIdentity] = frozenset()


def audit(
    store: ObjectStore,
    counts: Counts,
    now: Callable[[], float],
    prefix: str = BILL_PREFIX,
) -> Result[Findings, PlatformError]:
    """Read the bills under a prefix and report what does not agree."""
    read = read_batches(store, now, prefix)
    if isinstance(read, Err):
        return read
    bills = [bill for batch in read.ok_value for bill in batch.bills]
    return Ok(audit_bills(bills, counts))


def audit_bills(bills: Iterable[Bill], counts: Counts) -> Findings:
    """Report missing, doubled and wrong bills; an empty result is a clean audit."""
    distinct = set(bills)
    merged = merge_bills(distinct)
    return (
        *_missing(merged, counts),
        *_doubled(distinct, merged),
        *_disagreeing(distinct, merged, counts),
    )


def _missing(merged: dict[BillIdentity, Bill], counts: Counts) -> Findings:
    missing = sorted(counts.answered - merged.keys(), key=repr)
    return tuple(
        _finding("bill_missing", identity, "an answered request has no bill")
        for identity in missing
    )


def _doubled(distinct: set[Bill], merged: dict[BillIdentity, Bill]) -> Findings:
    found: list[Finding] = []
    owners: dict[AttemptId, set[BillIdentity]] = defaultdict(set)
    for bill in distinct:
        for step in bill.steps:
            owners[step.attempt_id].add(bill.identity)
    for attempt, identities in sorted(owners.items()):
        if len(identities) > 1:
            message = f"attempt {attempt} is billed for {len(identities)} requests"
            found.append(
                _finding("attempt_doubled", min(identities, key=repr), message)
            )
    for bill in sorted(distinct - set(merged.values()), key=repr):
        message = f"the bill of {bill.host} gives way to another of this request"
        found.append(_finding("bill_merged", bill.identity, message, Severity.INFO))
    return tuple(found)


def _disagreeing(
    distinct: set[Bill], merged: dict[BillIdentity, Bill], counts: Counts
) -> Findings:
    found: list[Finding] = []
    generations = {g.attempt_id: g for g in counts.generations}
    for bill in sorted(merged.values(), key=repr):
        for step in bill.steps:
            message = _disagreement(step, generations.get(step.attempt_id))
            if message:
                found.append(_finding("bill_wrong", bill.identity, message))
    billed = {step.attempt_id for bill in distinct for step in bill.steps}
    for generation in counts.generations:
        if generation.attempt_id not in billed and generation.tokens:
            # The work of a host that died before its caller got an answer.
            message = f"{generation.tokens} tokens are in no bill"
            place = Place("engines", generation.attempt_id)
            warning = Severity.WARNING
            found.append(Finding("generation_unbilled", place, message, warning))
    return tuple(found)


def _disagreement(step: BillStep, generation: Generation | None) -> str:
    """Tell how a step differs from the engine's count; empty if it does not."""
    if generation is None:
        return f"attempt {step.attempt_id} is not known to any engine"
    if generation.version != step.version:
        return f"attempt {step.attempt_id} ran {generation.version}"
    if step.completion_tokens > generation.tokens:
        return (
            f"attempt {step.attempt_id} is billed for {step.completion_tokens} "
            f"tokens of {generation.tokens}"
        )
    return ""


def _finding(
    code: str,
    identity: BillIdentity,
    message: str,
    severity: Severity = Severity.ERROR,
) -> Finding:
    place = Place("bills", f"{identity.team}/{identity.request_id}")
    return Finding(code, place, message, severity)
